//! One of two instances is faulty: it spoils a part of its answers, so that what it sends is no answer of an
//! instance: the signature is missing.
//!
//! Rule MIXED: a client receives a success (2xx) that lacks the instance's `X-Server-Signature`.

use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::CaseResult;
use crate::client::Connection;
use crate::http::{Message, write_response};
use crate::machine::{Deployment, Handler, Instance, Ports, Sidecar, entry};
use crate::record::Record;
use crate::store::Store;

/// Clients, each on a connection of its own, and the requests of each.
const CLIENTS: usize = 20;
const REQUESTS: usize = 60;
/// The faulty instance spoils one in this many answers: a part of 0.02.
const SPOILED_EVERY: u64 = 50;
/// Work on a request.
const WORK: Duration = Duration::from_millis(20);
/// What a client will wait.
const DEADLINE_MS: u64 = 5_000;

const CONFIGURATION: &str = r#"{"version":"00000007","routes":[{"name":"r-browse","host":"shop.example","path-prefix":"/browse/","type":"safe","timeout-ms":5000,"target-latency-ms":1500,"priority":2,"service":"catalogue","retry-attempts":2}],"services":[{"name":"catalogue","health-path":"/healthz","max-connections":952,"protocol":"h1","tls":false},{"name":"desk","health-path":"/healthz","max-connections":952,"protocol":"h1","tls":false}],"limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-ms":3000,"idle-timeout-ms":15000}}"#;

/// Answers by kind.
#[derive(Default)]
struct Counts {
    sent: u64,
    signed_successes: u64,
    unsigned_successes: u64,
    others: u64,
}

fn now_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis()
}

/// An instance; a faulty one spoils a part of its answers.
fn instance_handler(id: String, is_faulty: bool, record: Record) -> Handler {
    let answers = AtomicU64::new(0);
    Arc::new(move |request: &Message, output: &mut TcpStream| {
        let request_id = request.field("x-request-id").unwrap_or("").to_string();
        std::thread::sleep(WORK);
        let number = answers.fetch_add(1, Ordering::Relaxed);
        let mut fields = vec![("X-Request-Id", request_id.as_str()), ("X-Server-Signature", "3e1b.07")];
        if is_faulty && number % SPOILED_EVERY == SPOILED_EVERY - 1 {
            fields.pop();
            record.line(format!("instance {id} runs request {request_id} and spoils its answer"));
        }
        write_response(output, "200 OK", &fields, &[b'b'; 1_500])
    })
}

fn browse(outbound: SocketAddr, client: usize, counts: &Mutex<Counts>, record: &Record) {
    let mut connection = None;
    for number in 0..REQUESTS {
        if connection.is_none() {
            connection = Connection::open(outbound, Duration::from_millis(DEADLINE_MS)).ok();
        }
        let Some(open) = connection.as_mut() else { continue };
        let id = format!("b{client}x{number}");
        let answer = open.get("/browse/books", &id, DEADLINE_MS);
        let mut counts = counts.lock().unwrap();
        counts.sent += 1;
        match answer {
            Ok(answer) => {
                let is_success = (200..300).contains(&answer.status());
                let is_signed = answer.field("x-server-signature").is_some();
                match (is_success, is_signed) {
                    (true, true) => counts.signed_successes += 1,
                    (true, false) => {
                        counts.unsigned_successes += 1;
                        record.line(format!("client: request {id}: {} without a signature", answer.first_line));
                    }
                    (false, _) => {
                        counts.others += 1;
                        record.line(format!("client: request {id}: {}", answer.first_line));
                    }
                }
                if answer.closes() {
                    connection = None;
                }
            }
            Err(error) => {
                counts.others += 1;
                record.line(format!("client: request {id}: {error}"));
                connection = None;
            }
        }
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
        repeat_slack: 55,
    };
    let mut machines = Vec::new();
    for (number, service) in ["desk", "catalogue", "catalogue"].into_iter().enumerate() {
        let ip = format!("127.80.0.{}", number + 2);
        let address: SocketAddr = format!("{ip}:{}", deployment.ports.instance).parse().unwrap();
        let id = format!("i-{number:08x}");
        let is_faulty = with_trouble && number == 1;
        let instance = Instance::start(&id, address, instance_handler(id.clone(), is_faulty, record.clone()));
        store.put(&format!("servers/{id}"), &entry(address, service, "ready", now_ms()));
        machines.push((Sidecar::start(&deployment, &ip, service), instance));
    }
    let are_ready =
        machines.iter().all(|(sidecar, _)| sidecar.wait_until_ready(&deployment, Duration::from_secs(10)));
    if !are_ready {
        return CaseResult::NotRun("the machines did not get ready".into());
    }
    std::thread::sleep(Duration::from_millis(3_500));
    let outbound: SocketAddr = format!("127.80.0.2:{}", deployment.ports.outbound).parse().unwrap();
    let counts = Arc::new(Mutex::new(Counts::default()));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (counts, record) = (counts.clone(), record.clone());
            std::thread::spawn(move || browse(outbound, client, &counts, &record))
        })
        .collect();
    clients.into_iter().for_each(|client| client.join().unwrap());
    let counts = counts.lock().unwrap();
    let summary = format!(
        "of {} requests, {} were answered with a signed success, {} with a success without a signature, {} otherwise",
        counts.sent, counts.signed_successes, counts.unsigned_successes, counts.others
    );
    if counts.unsigned_successes > 0 { CaseResult::Broken(summary) } else { CaseResult::Held(summary) }
}
