//! Open connections to the store fall silent, and later an instance leaves without saying that it drains.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::Client;
use crate::configuration::{RouteSpec, configuration};
use crate::deployment::{Deployment, MachineSpec};
use crate::instance::Answer;
use crate::record::Record;
use crate::{Finding, Setting};

const TIMEOUT_MS: u32 = 5_000;
/// Time between two requests of the clients of one machine.
const GAP: Duration = Duration::from_millis(250);
/// `contact-ms` and `drain-ms` of the small deployments.
const CONTACT: Duration = Duration::from_millis(3_000);
const DRAIN: Duration = Duration::from_millis(2_000);
/// Machines whose instances leave, one after the other.
const LEAVING: [usize; 4] = [3, 1, 2, 0];

const ROUTES: [RouteSpec; 1] = [RouteSpec {
    path: "/reserve/",
    kind: "unsafe",
    service: "reservations",
    timeout_ms: 5_000,
    target_ms: 1_500,
}];

fn machines() -> Vec<MachineSpec> {
    let answer = Answer { work: Duration::from_millis(50), length: 1_500, fault: None };
    let zones = ["port-louis", "port-louis", "rose-hill", "rose-hill", "curepipe"];
    let machine = |zone| MachineSpec { zone, service: "reservations", slots: 142, answer };
    zones.into_iter().map(machine).collect()
}

/// Sends one request after the other until it is told to stop.
fn reserve(edge: SocketAddr, name: &str, stop: &AtomicBool, record: &Record) -> io::Result<()> {
    let mut number = 0;
    while !stop.load(Ordering::SeqCst) {
        let id = format!("reserve-{name}-{number}");
        let mut client = Client::connect(edge)?;
        client.get("/reserve/copy", &id, TIMEOUT_MS)?;
        let received = client.receive(Instant::now() + Duration::from_millis(u64::from(TIMEOUT_MS)));
        record.note(&format!("client of machine {name}: {id}: {}", received.text()));
        number += 1;
        thread::sleep(GAP);
    }
    Ok(())
}

pub fn run(setting: &Setting) -> io::Result<Finding> {
    let record = &setting.record;
    let first = configuration(1, &ROUTES, 1 << 20);
    let deployment = Deployment::start(&setting.folder, &first, machines(), record)?;
    thread::sleep(CONTACT);
    let stop = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for machine in LEAVING {
        let (address, stop, record) = (deployment.machines[machine].outbound(), stop.clone(), record.clone());
        clients.push(thread::spawn(move || reserve(address, &machine.to_string(), &stop, &record)));
    }
    thread::sleep(Duration::from_millis(500));
    if setting.has_trouble {
        deployment.store.silence_open();
        record.note("the open connections to the store fall silent");
    }
    thread::sleep(CONTACT + Duration::from_millis(500));
    let mut late = 0;
    for machine in LEAVING {
        let instance = &deployment.machines[machine].instance;
        instance.leave();
        deployment.store.remove(&format!("servers/{}", instance.name));
        let acknowledged = Instant::now();
        record.note(&format!("{} leaves: its entry is gone, and it serves on", instance.name));
        thread::sleep(DRAIN + Duration::from_millis(2_500));
        for run in instance.runs() {
            let after = run.began.saturating_duration_since(acknowledged);
            if after > DRAIN {
                record.note(&format!(
                    "DRAIN: {} reached {} after {} ms",
                    run.id,
                    instance.name,
                    after.as_millis()
                ));
                late += 1;
            }
        }
    }
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        client.join().map_err(|_| io::Error::other("a client failed"))??;
    }
    record.note(&format!("requests that reached an instance later than drain-ms after it left: {late}"));
    Ok(if late == 0 { Finding::Held } else { Finding::Broken })
}
