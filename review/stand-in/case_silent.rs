//! An instance falls silent in the middle of large answers, and the route's timeout passes.

use std::io;
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{Client, End};
use crate::configuration::{RouteSpec, configuration};
use crate::deployment::{Deployment, MachineSpec};
use crate::instance::{Answer, Fault};
use crate::{Finding, Setting};

const REQUESTS: usize = 12;
/// How long the clients wait.
const PATIENCE_MS: u32 = 6_000;
const ROUTE_TIMEOUT_MS: u32 = 1_000;
/// The rule counts an answer as late this long after the route's timeout.
const SLACK: Duration = Duration::from_millis(500);
/// Requests without an answer by then that break the rule, if they are over a quarter.
const MANY: usize = 8;
const SCAN_BYTES: usize = 200_000;
const SENT_BYTES: usize = 100_000;

const ROUTES: [RouteSpec; 1] = [RouteSpec {
    path: "/scans/",
    kind: "download",
    service: "facsimiles",
    timeout_ms: ROUTE_TIMEOUT_MS,
    target_ms: 800,
}];

fn machines(fault: Option<(usize, Fault)>) -> Vec<MachineSpec> {
    let answer = Answer { work: Duration::from_millis(50), length: SCAN_BYTES, fault };
    let machine = |zone, service| MachineSpec { zone, service, slots: 142, answer };
    vec![machine("port-louis", "catalogue"), machine("rose-hill", "facsimiles")]
}

pub fn run(setting: &Setting) -> io::Result<Finding> {
    let record = &setting.record;
    let machines = machines(setting.has_trouble.then_some((SENT_BYTES, Fault::Silent)));
    let deployment = Deployment::start(&setting.folder, &configuration(1, &ROUTES, 1 << 20), machines, record)?;
    thread::sleep(Duration::from_millis(3_200));
    let edge = &deployment.machines[0];
    let mut clients = Vec::new();
    for number in 0..REQUESTS {
        let mut client = Client::connect(edge.outbound())?;
        let record = record.clone();
        clients.push(thread::spawn(move || -> io::Result<bool> {
            let id = format!("scan-{number}");
            let sent_at = Instant::now();
            client.get("/scans/plate", &id, PATIENCE_MS)?;
            let received = client.receive(sent_at + Duration::from_millis(u64::from(PATIENCE_MS)));
            let took = sent_at.elapsed();
            record.note(&format!("{id}: after {} ms: {}", took.as_millis(), received.text()));
            let limit = Duration::from_millis(u64::from(ROUTE_TIMEOUT_MS)) + SLACK;
            Ok(received.end == End::TimedOut || took > limit)
        }));
    }
    let mut late = 0;
    for client in clients {
        late += usize::from(client.join().map_err(|_| io::Error::other("a client failed"))??);
    }
    record.note(&format!("without a final answer 0.5 s after the route's timeout: {late} of {REQUESTS}"));
    Ok(if late < MANY || late * 4 <= REQUESTS { Finding::Held } else { Finding::Broken })
}
