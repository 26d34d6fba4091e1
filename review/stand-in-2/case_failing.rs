//! One of seven instances fails a part of its requests for some seconds, while its health check is good: it answers
//! with status 503 after it has run them, without `X-Not-Executed`. The requests may run at most once. Clients retry
//! after a promise that a request has not run.
//!
//! Rule REFUSED: a request that can't be repeated has run, yet gets 429 or 503 as its answer.

use std::collections::{BTreeMap, HashSet};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::CaseResult;
use crate::client::{Connection, send};
use crate::http::{Message, read_message, write_response};
use crate::machine::{Deployment, Handler, Instance, Ports, Sidecar, entry};
use crate::record::Record;
use crate::store::Store;

/// Clients, and the books that each reserves.
const CLIENTS: usize = 10;
const RESERVATIONS: usize = 60;
/// Instances of the service.
const INSTANCES: usize = 7;
/// The failing instance fails two in this many requests: a part of 0.4.
const FAILED_EVERY: u64 = 5;
/// For how long it fails them.
const FAILS_FOR: Duration = Duration::from_millis(6_500);
/// Work on a request.
const WORK: Duration = Duration::from_millis(40);
/// What a client will wait.
const DEADLINE_MS: u64 = 5_000;

const CONFIGURATION: &str = r#"{"version":"00000007","routes":[{"name":"r-reserve","host":"shop.example","path-prefix":"/reserve/","type":"unsafe","timeout-ms":5000,"target-latency-ms":1500,"priority":0,"service":"reservations","retry-attempts":2}],"services":[{"name":"reservations","health-path":"/healthz","max-connections":952,"protocol":"h1","tls":false},{"name":"desk","health-path":"/healthz","max-connections":952,"protocol":"h1","tls":false}],"limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-ms":3000,"idle-timeout-ms":15000}}"#;

/// What the instances did.
#[derive(Default)]
struct Runs {
    requests: HashSet<String>,
    /// How often each book was reserved.
    reservations: BTreeMap<String, usize>,
}

/// What the clients saw.
#[derive(Default)]
struct Seen {
    sent: usize,
    by_status: BTreeMap<u16, usize>,
    refused: Vec<String>,
}

fn now_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis()
}

/// An instance, which writes each reservation down and then fails a part of its requests, if `is_failing`.
fn handler(instance: String, is_failing: bool, runs: Arc<Mutex<Runs>>, record: Record) -> Handler {
    let (answers, began) = (AtomicU64::new(0), OnceLock::new());
    Arc::new(move |request: &Message, output: &mut TcpStream| {
        let id = request.field("x-request-id").unwrap_or("").to_string();
        let book = request.target().to_string();
        std::thread::sleep(WORK);
        {
            let mut runs = runs.lock().unwrap();
            runs.requests.insert(id.clone());
            *runs.reservations.entry(book.clone()).or_default() += 1;
        }
        let number = answers.fetch_add(1, Ordering::Relaxed);
        let fails =
            is_failing && number % FAILED_EVERY < 2 && began.get_or_init(Instant::now).elapsed() < FAILS_FOR;
        let status = if fails { "503 Service Unavailable" } else { "200 OK" };
        record.line(format!("instance {instance} runs request {id}, reserves {book}, answers {status}"));
        let fields = [("X-Request-Id", id.as_str()), ("X-Server-Signature", "3e1b.07")];
        write_response(output, status, &fields, b"reserved")
    })
}

/// Reserves a book: a request, and one more after a promise that it has not run.
fn reserve(outbound: SocketAddr, client: usize, number: usize, seen: &Mutex<Seen>, record: &Record) {
    for attempt in 0..2 {
        let id = format!("c{client}b{number}a{attempt}");
        let Ok(mut connection) = Connection::open(outbound, Duration::from_millis(DEADLINE_MS)) else { return };
        let path = format!("/reserve/book-{client}-{number}");
        if send(connection.input.get_mut(), "POST", &path, &id, DEADLINE_MS, b"{}").is_err() {
            return;
        }
        let answer = read_message(&mut connection.input).ok().flatten();
        let status = answer.as_ref().map_or(0, Message::status);
        record.line(format!("client {client}: request {id} {path}: {status}"));
        let mut seen = seen.lock().unwrap();
        seen.sent += 1;
        *seen.by_status.entry(status).or_default() += 1;
        if !matches!(status, 408 | 421 | 429 | 503) {
            return;
        }
        seen.refused.push(id);
    }
}

/// Runs the case.
pub fn run(record: &Record, folder: std::path::PathBuf, with_trouble: bool) -> CaseResult {
    let store = Store::default();
    store.put("op/config", CONFIGURATION);
    let deployment = Deployment {
        ports: Ports::free(),
        store: store.listen("127.0.0.1"),
        folder,
        max_descriptors: 4_100,
        repeat_slack: 49,
    };
    let runs = Arc::new(Mutex::new(Runs::default()));
    let mut machines = Vec::new();
    for number in 0..=INSTANCES {
        let service = if number == 0 { "desk" } else { "reservations" };
        let ip = format!("127.83.0.{}", number + 2);
        let address: SocketAddr = format!("{ip}:{}", deployment.ports.instance).parse().unwrap();
        let id = format!("i-{number:08x}");
        let is_failing = with_trouble && number == 1;
        let instance =
            Instance::start(&id, address, handler(id.clone(), is_failing, runs.clone(), record.clone()));
        store.put(&format!("servers/{id}"), &entry(address, service, "ready", now_ms()));
        machines.push((Sidecar::start(&deployment, &ip, service), instance));
    }
    let are_ready =
        machines.iter().all(|(sidecar, _)| sidecar.wait_until_ready(&deployment, Duration::from_secs(10)));
    if !are_ready {
        return CaseResult::NotRun("the machines did not get ready".into());
    }
    std::thread::sleep(Duration::from_millis(3_500));
    let outbound: SocketAddr = format!("127.83.0.2:{}", deployment.ports.outbound).parse().unwrap();
    let seen = Arc::new(Mutex::new(Seen::default()));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (seen, record) = (seen.clone(), record.clone());
            std::thread::spawn(move || {
                (0..RESERVATIONS).for_each(|number| reserve(outbound, client, number, &seen, &record));
            })
        })
        .collect();
    clients.into_iter().for_each(|client| client.join().unwrap());
    let (seen, runs) = (seen.lock().unwrap(), runs.lock().unwrap());
    let broken: Vec<&String> = seen.refused.iter().filter(|id| runs.requests.contains(*id)).collect();
    let twice = runs.reservations.values().filter(|count| **count > 1).count();
    record.line(format!("answered as not run although an instance ran them: {broken:?}"));
    let summary = format!(
        "of {} requests that may run once, {} had run and were answered as not run (answers by status: {:?}); {twice} \
         of {} books were reserved twice, as their clients tried again",
        seen.sent,
        broken.len(),
        seen.by_status,
        runs.reservations.len(),
    );
    match (broken.len(), seen.by_status.get(&200)) {
        (1.., _) => CaseResult::Broken(summary),
        (0, Some(_)) => CaseResult::Held(summary),
        (0, None) => CaseResult::NotRun(summary),
    }
}
