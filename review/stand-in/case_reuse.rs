//! An instance crashes, and its address goes to an instance of another service while the store is down.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{Client, request_head};
use crate::configuration::{RouteSpec, configuration};
use crate::deployment::{Deployment, MachineSpec};
use crate::http::pattern;
use crate::instance::{Answer, Instance};
use crate::record::Record;
use crate::{Finding, Setting};

const TIMEOUT_MS: u32 = 5_000;
/// Machines whose clients send requests: two others of the zone, and that of the instance that crashes.
const CLIENT_MACHINES: [usize; 3] = [0, 1, 4];
/// Time between two requests of the client.
const GAP: Duration = Duration::from_millis(40);
/// `addr-reuse-s` of the small deployments, and 0.3 s more.
const REUSED_AFTER: Duration = Duration::from_millis(2_300);
/// How often a sidecar reads its settings file. The file changes right after that, without a signal.
const SETTINGS_READ_EVERY: Duration = Duration::from_secs(2);
/// From the crash to the end of the outage, at which the store has the entry of the new instance.
const OUTAGE_AFTER_CRASH: Duration = Duration::from_millis(4_000);

const ROUTES: [RouteSpec; 2] = [
    RouteSpec { path: "/reserve/", kind: "unsafe", service: "reservations", timeout_ms: 5_000, target_ms: 1_500 },
    RouteSpec { path: "/stock/", kind: "safe", service: "stockroom", timeout_ms: 5_000, target_ms: 1_200 },
];

const ANSWER: Answer = Answer { work: Duration::from_millis(20), length: 1_500, fault: None };

fn machines() -> Vec<MachineSpec> {
    let machine = |zone, service| MachineSpec { zone, service, slots: 142, answer: ANSWER };
    vec![
        machine("rose-hill", "catalogue"),
        machine("rose-hill", "reservations"),
        machine("curepipe", "reservations"),
        machine("port-louis", "stockroom"),
        machine("rose-hill", "facsimiles"),
    ]
}

/// Sends one request after the other through `edge` until it is told to stop.
fn reserve(edge: std::net::SocketAddr, name: &str, stop: &AtomicBool, record: &Record) -> io::Result<()> {
    let body = pattern(300);
    let mut number = 0;
    while !stop.load(Ordering::SeqCst) {
        let id = format!("reserve-{name}-{number}");
        let mut client = Client::connect(edge)?;
        let head = request_head("POST", "/reserve/copy", &id, TIMEOUT_MS, "Content-Length: 300\r\n");
        client.stream().write_all(head.as_bytes())?;
        client.stream().write_all(&body)?;
        let received = client.receive(Instant::now() + Duration::from_millis(u64::from(TIMEOUT_MS)));
        record.note(&format!("client: {id}: {}", received.text()));
        number += 1;
        thread::sleep(GAP);
    }
    Ok(())
}

pub fn run(setting: &Setting) -> io::Result<Finding> {
    let record = &setting.record;
    let deployment = Deployment::start(&setting.folder, &configuration(1, &ROUTES, 1 << 20), machines(), record)?;
    thread::sleep(Duration::from_millis(3_200));
    let reused = &deployment.machines[1];
    let stop = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for machine in CLIENT_MACHINES {
        let (address, stop, record) = (deployment.machines[machine].outbound(), stop.clone(), record.clone());
        clients.push(thread::spawn(move || reserve(address, &machine.to_string(), &stop, &record)));
    }
    thread::sleep(Duration::from_millis(500));
    let is_down = std::env::var("STORE_DOWN").map_or(true, |value| value != "0");
    let mut successor = None;
    if setting.has_trouble {
        if is_down {
            deployment.store.set_silent(true);
            record.note("the store is down");
        }
        reused.instance.crash();
        record.note(&format!("{} crashes", reused.instance.name));
        thread::sleep(REUSED_AFTER);
        thread::sleep(reused.time_to_next(SETTINGS_READ_EVERY) + Duration::from_millis(100));
        deployment.write_settings(reused, "stockroom")?;
        let instance = Instance::start("i-stockroom9", reused.instance.address, ANSWER, record)?;
        record.note("i-stockroom9 of stockroom starts at its address; the settings file names stockroom now");
        if is_down {
            thread::sleep(Duration::from_millis(1_500));
        } else {
            thread::sleep(Duration::from_millis(1_000));
        }
        deployment.store.set_silent(false);
        deployment.list(&instance, "stockroom", &reused.spec);
        record.note("the store is up and lists i-stockroom9");
        successor = Some(instance);
        thread::sleep(Duration::from_millis(500));
        deployment.store.remove(&format!("servers/{}", reused.instance.name));
        record.note("the entry of the crashed instance goes");
    } else {
        thread::sleep(OUTAGE_AFTER_CRASH);
    }
    thread::sleep(Duration::from_millis(1_500));
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        client.join().map_err(|_| io::Error::other("a client failed"))??;
    }
    // The rule: no service runs a request that no configuration allows to go to it.
    let mut stockroom = vec![deployment.machines[3].instance.clone()];
    stockroom.extend(successor);
    let foreign: Vec<String> = stockroom
        .iter()
        .flat_map(|instance| instance.runs())
        .filter(|run| run.path.starts_with("/reserve/"))
        .map(|run| run.id)
        .collect();
    record.note(&format!("ROUTE: requests of reservations that stockroom ran: {}", foreign.len()));
    Ok(if foreign.is_empty() { Finding::Held } else { Finding::Broken })
}
