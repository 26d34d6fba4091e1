//! An instance breaks off a large answer in front of pipelined requests that sound instances have run.

use std::io;
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{Client, End, Received};
use crate::configuration::{RouteSpec, configuration};
use crate::deployment::{Deployment, MachineSpec};
use crate::instance::{Answer, Fault};
use crate::{Finding, Setting};

const CLIENTS: usize = 4;
/// Requests that a client sends behind its first one.
const BEHIND: usize = 3;
const TIMEOUT_MS: u32 = 5_000;
const SCAN_BYTES: usize = 200_000;
const SENT_BYTES: usize = 100_000;
/// More requests than this, passed on and not answered, break the rule.
const ALLOWED: usize = 3;

const ROUTES: [RouteSpec; 2] = [
    RouteSpec { path: "/scans/", kind: "download", service: "facsimiles", timeout_ms: 5_000, target_ms: 2_000 },
    RouteSpec { path: "/search/", kind: "safe", service: "catalogue", timeout_ms: 5_000, target_ms: 1_500 },
];

fn machines(fault: Option<(usize, Fault)>) -> Vec<MachineSpec> {
    let scans = Answer { work: Duration::from_millis(50), length: SCAN_BYTES, fault };
    let searches = Answer { work: Duration::from_millis(100), length: 1_500, fault: None };
    let machine = |zone, service, answer| MachineSpec { zone, service, slots: 142, answer };
    vec![
        machine("port-louis", "reservations", searches),
        machine("rose-hill", "facsimiles", scans),
        machine("curepipe", "catalogue", searches),
    ]
}

fn searches_of(number: usize) -> Vec<String> {
    (0..BEHIND).map(|behind| format!("search-{number}-{behind}")).collect()
}

fn pipeline(mut client: Client, number: usize, until: Instant) -> io::Result<Vec<Received>> {
    client.get("/scans/plate", &format!("scan-{number}"), TIMEOUT_MS)?;
    for id in searches_of(number) {
        client.get("/search/maps", &id, TIMEOUT_MS)?;
    }
    Ok((0..=BEHIND).map(|_| client.receive(until)).collect())
}

pub fn run(setting: &Setting) -> io::Result<Finding> {
    let record = &setting.record;
    let fault = (SENT_BYTES, Fault::BreaksOff(Duration::from_millis(400)));
    let machines = machines(setting.has_trouble.then_some(fault));
    let deployment = Deployment::start(&setting.folder, &configuration(1, &ROUTES, 1 << 20), machines, record)?;
    thread::sleep(Duration::from_millis(3_200));
    let edge = &deployment.machines[0];
    let until = Instant::now() + Duration::from_millis(u64::from(TIMEOUT_MS) + 1_000);
    let mut clients = Vec::new();
    for number in 0..CLIENTS {
        let client = Client::connect(edge.outbound())?;
        clients.push(thread::spawn(move || pipeline(client, number, until)));
    }
    let mut lost = 0;
    for (number, client) in clients.into_iter().enumerate() {
        let answers = client.join().map_err(|_| io::Error::other("a client failed"))??;
        record.note(&format!("client {number}: scan-{number}: {}", answers[0].text()));
        for (id, answer) in searches_of(number).into_iter().zip(&answers[1..]) {
            let has_run = deployment.machines[2].instance.has_run(&id);
            record.note(&format!("client {number}: {id} ran at the sound instance: {has_run}; {}", answer.text()));
            if has_run && answer.end == End::Cut {
                lost += 1;
            }
        }
    }
    record.note(&format!("passed on to a sound instance, and the connection closed without an answer: {lost}"));
    Ok(if lost <= ALLOWED { Finding::Held } else { Finding::Broken })
}
