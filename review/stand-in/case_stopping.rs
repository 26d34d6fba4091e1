//! SIGTERM of a sidecar while it returns large answers to clients that pipeline and read slowly.

use std::io;
use std::ops::Range;
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{Client, End, Received};
use crate::configuration::{RouteSpec, configuration};
use crate::deployment::{Deployment, MachineSpec};
use crate::http::{Summary, pattern};
use crate::instance::Answer;
use crate::{Finding, Setting};

/// Clients that send their first request before the signal, and as many that send it after.
const CLIENTS: usize = 3;
const TIMEOUT_MS: u32 = 5_000;
const ANSWER_BYTES: usize = 600_000;
const WORK: Duration = Duration::from_millis(300);
/// From the first requests to the signal, and from the signal to those of the later clients.
const SIGNAL_GAP: Duration = Duration::from_millis(100);
/// From the first request of a client to its second one; the client reads nothing before.
const SECOND_AFTER: Duration = Duration::from_millis(700);

const ROUTES: [RouteSpec; 1] =
    [RouteSpec { path: "/scans/", kind: "download", service: "facsimiles", timeout_ms: 5_000, target_ms: 2_000 }];

fn machines() -> Vec<MachineSpec> {
    let answer = Answer { work: WORK, length: ANSWER_BYTES, fault: None };
    let machine = |zone, service| MachineSpec { zone, service, slots: 142, answer };
    vec![machine("port-louis", "catalogue"), machine("rose-hill", "facsimiles"), machine("curepipe", "facsimiles")]
}

/// Sends two requests, the second before the first one's answer is read; returns what came for the first.
fn pipeline(mut client: Client, number: usize, until: Instant) -> io::Result<(Received, Received)> {
    client.get("/scans/plate", &format!("first-{number}"), TIMEOUT_MS)?;
    thread::sleep(SECOND_AFTER);
    // Fails if the sidecar has reset the connection; the answer to the first is read all the same.
    let _ = client.get("/scans/plate", &format!("second-{number}"), TIMEOUT_MS);
    let first = client.receive(until);
    let second = client.receive(until);
    Ok((first, second))
}

pub fn run(setting: &Setting) -> io::Result<Finding> {
    let record = &setting.record;
    let deployment = Deployment::start(&setting.folder, &configuration(1, &ROUTES, 1 << 20), machines(), record)?;
    // A machine is in touch `contact-ms` after its start.
    thread::sleep(Duration::from_millis(3_200));
    let edge = &deployment.machines[0];
    let until = Instant::now() + Duration::from_millis(u64::from(TIMEOUT_MS) + 1_000);
    let mut clients = Vec::new();
    let mut start_clients = |numbers: Range<usize>| -> io::Result<()> {
        record.note(&format!("clients {numbers:?} send their first requests"));
        for number in numbers {
            let client = Client::connect(edge.outbound())?;
            clients.push(thread::spawn(move || pipeline(client, number, until)));
        }
        Ok(())
    };
    start_clients(0..CLIENTS)?;
    thread::sleep(SIGNAL_GAP);
    if setting.has_trouble {
        edge.signal("TERM")?;
        record.note("SIGTERM sent to the sidecar of the clients");
    }
    thread::sleep(SIGNAL_GAP);
    start_clients(CLIENTS..2 * CLIENTS)?;
    let expected = Summary::of(&pattern(ANSWER_BYTES));
    let mut lost = 0;
    for (number, client) in clients.into_iter().enumerate() {
        let (first, second) = client.join().map_err(|_| io::Error::other("a client failed"))??;
        let id = format!("first-{number}");
        let has_run = deployment.machines.iter().any(|machine| machine.instance.has_run(&id));
        record.note(&format!("client {number}: {id} ran: {has_run}; {}", first.text()));
        record.note(&format!("client {number}: second-{number}: {}", second.text()));
        if first.end == End::Complete && first.status == 200 && first.body != expected {
            return Err(io::Error::other("a complete answer differs from the instance's"));
        }
        // The rule: a request that was passed on to an instance gets a complete answer.
        if has_run && first.end != End::Complete {
            record.note(&format!(
                "LOST: {id} was passed on and its answer ended after {} of {ANSWER_BYTES} bytes",
                first.body.length
            ));
            lost += 1;
        }
    }
    Ok(if lost == 0 { Finding::Held } else { Finding::Broken })
}
