//! Uploads within the limit in force, on connections that were accepted under another limit: before a
//! configuration raised `max-body-bytes`, or before a sidecar that had just started knew its configuration.

use std::io::{self, Write};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{Client, Received, request_head};
use crate::configuration::{RouteSpec, configuration};
use crate::deployment::{Deployment, Machine, MachineSpec};
use crate::http::{Summary, pattern, write_chunked};
use crate::instance::Answer;
use crate::{Finding, Setting};

const FIRST_LIMIT: usize = 1 << 20;
const RAISED_LIMIT: usize = 4 << 20;
/// Length of an upload: beyond the first limit, and half of the raised one.
const UPLOAD: usize = 2 << 20;
/// Limit that is above what a sidecar assumes before it knows a configuration (64 MiB), and an upload between.
const HIGH_LIMIT: usize = 128 << 20;
const LARGE_UPLOAD: usize = 80 << 20;
const CHUNK: usize = 16 << 10;
const CLIENTS: usize = 3;
const TIMEOUT_MS: u32 = 5_000;
/// `config-apply-ms` of the small deployments, and a second more.
const APPLIED_AFTER: Duration = Duration::from_millis(3_000);

const ROUTES: [RouteSpec; 1] = [RouteSpec {
    path: "/reserve/",
    kind: "unsafe",
    service: "reservations",
    timeout_ms: 5_000,
    target_ms: 1_500,
}];

fn machines() -> Vec<MachineSpec> {
    let answer = Answer { work: Duration::from_millis(20), length: 1_500, fault: None };
    let machine = |zone, service| MachineSpec { zone, service, slots: 142, answer };
    vec![
        machine("port-louis", "catalogue"),
        machine("rose-hill", "reservations"),
        machine("curepipe", "reservations"),
    ]
}

/// Uploads `body` in chunks and reads one answer.
fn upload(client: &mut Client, id: &str, body: &[u8]) -> io::Result<Received> {
    let head = request_head("POST", "/reserve/copy", id, TIMEOUT_MS, "Transfer-Encoding: chunked\r\n");
    let mut writing = client.stream().try_clone()?;
    writing.write_all(head.as_bytes())?;
    let body = body.to_vec();
    let writer = thread::spawn(move || write_chunked(&mut writing, &body, CHUNK));
    let received = client.receive(Instant::now() + Duration::from_millis(u64::from(TIMEOUT_MS)));
    // The rest can't be written if the sidecar has closed the connection.
    let _ = writer.join();
    Ok(received)
}

/// Sends small requests on new connections and returns the connections, which are kept.
fn kept_connections(setting: &Setting, edge: &Machine, status: u16) -> io::Result<Vec<Client>> {
    let mut kept = Vec::new();
    for number in 0..CLIENTS {
        let mut client = Client::connect(edge.outbound())?;
        let id = format!("small-{number}");
        let received = upload(&mut client, &id, &pattern(300))?;
        setting.record.note(&format!("client {number}: {id} sent, 300 bytes; {}", received.text()));
        if received.status != status || received.closes {
            return Err(io::Error::other("a small request wasn't answered as expected"));
        }
        kept.push(client);
    }
    Ok(kept)
}

/// Uploads `length` bytes on a new connection and on each kept one. Returns how many ran with another body.
fn upload_on(
    setting: &Setting,
    deployment: &Deployment,
    kept: &mut [Client],
    part: &str,
    length: usize,
) -> io::Result<usize> {
    let record = &setting.record;
    let body = pattern(length);
    let mut sent = vec![format!("{part}-new")];
    let received = upload(&mut Client::connect(deployment.machines[0].outbound())?, &sent[0], &body)?;
    record.note(&format!("new connection: {} sent, {length} bytes in chunks; {}", sent[0], received.text()));
    for (number, client) in kept.iter_mut().enumerate() {
        let id = format!("{part}-{number}");
        let received = upload(client, &id, &body)?;
        record.note(&format!("client {number}: {id} sent, {length} bytes in chunks; {}", received.text()));
        sent.push(id);
    }
    thread::sleep(Duration::from_millis(300));
    // The rule: no instance runs a request whose body was changed.
    let expected = Summary::of(&body);
    let runs = deployment.machines.iter().flat_map(|machine| machine.instance.runs());
    let changed: Vec<_> = runs.filter(|run| sent.contains(&run.id) && run.body != expected).collect();
    for run in &changed {
        record.note(&format!("UNASKED: {} ran with {} of {length} bytes of its body", run.id, run.body.length));
    }
    Ok(changed.len())
}

/// A configuration raises the limit.
fn raised(setting: &Setting) -> io::Result<usize> {
    let first_limit = if setting.has_trouble { FIRST_LIMIT } else { RAISED_LIMIT };
    let first = configuration(1, &ROUTES, first_limit);
    let deployment = Deployment::start(&setting.folder, &first, machines(), &setting.record)?;
    let mut kept = kept_connections(setting, &deployment.machines[0], 200)?;
    if setting.has_trouble {
        deployment.store.put("op/config", &configuration(7, &ROUTES, RAISED_LIMIT));
        setting.record.note(&format!("version 7 acknowledged: max-body-bytes {FIRST_LIMIT} -> {RAISED_LIMIT}"));
    }
    thread::sleep(APPLIED_AFTER);
    upload_on(setting, &deployment, &mut kept, "raised", UPLOAD)
}

/// A sidecar starts again while the store is down; the limit stays the same all the time.
fn restarted(setting: &Setting) -> io::Result<usize> {
    let first = configuration(1, &ROUTES, HIGH_LIMIT);
    let deployment = Deployment::start(&setting.folder, &first, machines(), &setting.record)?;
    let edge = &deployment.machines[0];
    let mut kept = if setting.has_trouble {
        deployment.store.set_silent(true);
        edge.kill();
        deployment.start_sidecar(edge)?;
        setting.record.note("the store is down, and the sidecar of the clients is killed and started again");
        edge.wait_for_port()?;
        // The sidecar knows no configuration and answers 503; the clients keep their connections.
        let kept = kept_connections(setting, edge, 503)?;
        thread::sleep(Duration::from_millis(500));
        deployment.store.set_silent(false);
        setting.record.note("the store is up");
        kept
    } else {
        kept_connections(setting, edge, 200)?
    };
    deployment.wait_until_ready()?;
    thread::sleep(APPLIED_AFTER);
    upload_on(setting, &deployment, &mut kept, "restarted", LARGE_UPLOAD)
}

pub fn run(setting: &Setting) -> io::Result<Finding> {
    setting.record.note("part 1: a sidecar starts while the store is down; no limit changes");
    let restarted = restarted(setting)?;
    setting.record.note("part 2: a configuration raises max-body-bytes");
    let raised = raised(setting)?;
    setting.record.note(&format!("UNASKED: part 1: {restarted} of {CLIENTS}, part 2: {raised} of {CLIENTS}"));
    Ok(if restarted + raised == 0 { Finding::Held } else { Finding::Broken })
}
