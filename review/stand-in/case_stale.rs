//! Open connections between the machines fall silent, and the configuration changes later, in a quiet time.

use std::io;
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{Client, Received};
use crate::configuration::{RouteSpec, configuration};
use crate::deployment::{Deployment, MachineSpec};
use crate::instance::Answer;
use crate::record::Record;
use crate::{Finding, Setting};

const TIMEOUT_MS: u32 = 5_000;
/// Requests that each machine's clients send at once to each service in the busy time.
const AT_ONCE: usize = 12;
/// `contact-ms` and `config-apply-ms` of the small deployments.
const CONTACT: Duration = Duration::from_millis(3_000);
const APPLY: Duration = Duration::from_millis(2_000);
/// Rounds of requests after the change, and the time between them.
const ROUNDS: u32 = 5;
const ROUND_GAP: Duration = Duration::from_millis(500);

/// The services of the machines, in their order.
const SERVICES: [&str; 4] = ["catalogue", "reservations", "facsimiles", "stockroom"];
const BUSY_PATHS: [&str; 4] = ["/catalogue/", "/reservations/", "/facsimiles/", "/stockroom/"];
/// Routes that go to the service of one machine, and from the change on to that of the next one.
const MOVED_PATHS: [&str; 4] = ["/moved-0/", "/moved-1/", "/moved-2/", "/moved-3/"];
const NEW_PATH: &str = "/new/";

fn route(path: &'static str, kind: &'static str, service: &'static str) -> RouteSpec {
    RouteSpec { path, kind, service, timeout_ms: 5_000, target_ms: 1_500 }
}

/// The routes; `is_changed` tells whether those of the later version.
fn routes(is_changed: bool) -> Vec<RouteSpec> {
    let mut routes = Vec::new();
    for index in 0..SERVICES.len() {
        routes.push(route(BUSY_PATHS[index], "safe", SERVICES[index]));
        let moved_to = if is_changed { (index + 1) % SERVICES.len() } else { index };
        routes.push(route(MOVED_PATHS[index], "unsafe", SERVICES[moved_to]));
    }
    if is_changed {
        routes.push(route(NEW_PATH, "safe", SERVICES[0]));
    }
    routes
}

fn machines() -> Vec<MachineSpec> {
    let answer = Answer { work: Duration::from_millis(400), length: 1_500, fault: None };
    let zones = ["port-louis", "port-louis", "rose-hill", "rose-hill"];
    let machine = |(zone, service)| MachineSpec { zone, service, slots: 142, answer };
    zones.into_iter().zip(SERVICES).map(machine).collect()
}

/// Sends requests to all services through all machines at once.
fn busy_time(deployment: &Deployment, record: &Record) -> io::Result<()> {
    let mut clients = Vec::new();
    for (edge, machine) in deployment.machines.iter().enumerate() {
        for path in BUSY_PATHS {
            for number in 0..AT_ONCE {
                let (address, id) = (machine.outbound(), format!("busy-{edge}{path}{number}"));
                clients.push(thread::spawn(move || -> io::Result<bool> {
                    let mut client = Client::connect(address)?;
                    client.get(&format!("{path}x"), &id, TIMEOUT_MS)?;
                    Ok(client.receive(Instant::now() + Duration::from_secs(6)).status == 200)
                }));
            }
        }
    }
    let sent = clients.len();
    let mut served = 0;
    for client in clients {
        served += usize::from(client.join().map_err(|_| io::Error::other("a client failed"))??);
    }
    record.note(&format!("busy time: {sent} requests at once, {served} served"));
    Ok(())
}

/// Sends one request through a machine.
fn send(deployment: &Deployment, edge: usize, path: &str, id: &str) -> io::Result<Received> {
    let mut client = Client::connect(deployment.machines[edge].outbound())?;
    client.get(&format!("{path}x"), id, 1_500)?;
    Ok(client.receive(Instant::now() + Duration::from_millis(2_000)))
}

pub fn run(setting: &Setting) -> io::Result<Finding> {
    let record = &setting.record;
    let first = configuration(1, &routes(false), 1 << 20);
    let deployment = Deployment::start(&setting.folder, &first, machines(), record)?;
    thread::sleep(CONTACT + Duration::from_millis(200));
    busy_time(&deployment, record)?;
    thread::sleep(Duration::from_millis(500));
    if setting.has_trouble {
        let count = deployment.links.silence_open();
        record.note(&format!("{count} open connections between the machines fall silent"));
    }
    thread::sleep(CONTACT + Duration::from_millis(500));
    deployment.store.put("op/config", &configuration(9, &routes(true), 1 << 20));
    let acknowledged = Instant::now();
    record.note("version 9 acknowledged: it adds the route /new/ and moves the routes /moved-N/");
    thread::sleep(APPLY + Duration::from_millis(100));
    let mut stale = 0;
    for round in 0..ROUNDS {
        for edge in 0..SERVICES.len() {
            let id = format!("new-{edge}-{round}");
            let after = acknowledged.elapsed().as_millis();
            let received = send(&deployment, edge, NEW_PATH, &id)?;
            record.note(&format!("machine {edge}: {id} sent {after} ms after version 9: {}", received.text()));
            if received.status == 404 {
                record.note(&format!("CONFIG: {id} is refused with 404 though its route is there"));
                stale += 1;
            }
            let id = format!("moved-{edge}-{round}");
            let after = acknowledged.elapsed().as_millis();
            let received = send(&deployment, edge, MOVED_PATHS[edge], &id)?;
            record.note(&format!("machine {edge}: {id} sent {after} ms after version 9: {}", received.text()));
            if deployment.machines[edge].instance.has_run(&id) {
                record.note(&format!("CONFIG: {id} was run by {}, the old service of its route", SERVICES[edge]));
                stale += 1;
            }
        }
        thread::sleep(ROUND_GAP);
    }
    record.note(&format!("requests handled as only the older version allows: {stale}"));
    Ok(if stale == 0 { Finding::Held } else { Finding::Broken })
}
