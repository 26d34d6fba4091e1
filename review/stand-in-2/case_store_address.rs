//! The settings files change: the platform's store has another address from now on. The platform lays the new
//! settings where the settings files lie and sends SIGHUP. Later the store no longer answers at its earlier address.
//!
//! Rule CONFIG: a machine in touch refuses with 404 a request that was sent later than `config-apply-ms` after the
//! acknowledgement of a configuration that has its route.

use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::CaseResult;
use crate::client::Connection;
use crate::http::{Message, write_response};
use crate::machine::{Deployment, Handler, Instance, Ports, Sidecar, entry};
use crate::record::Record;
use crate::store::Store;

/// Time between the SIGHUP and the end of the earlier address.
const BOTH_ADDRESSES: Duration = Duration::from_secs(8);
/// `contact-ms`, and a little longer.
const CONTACT: Duration = Duration::from_millis(3_500);
/// `config-apply-ms`, and a little longer.
const CONFIG_APPLY: Duration = Duration::from_millis(2_200);
/// Rounds of requests at the end, one a second at each machine.
const ROUNDS: usize = 8;

const CONFIGURATION: &str = r#"{"version":"00000007","routes":[{"name":"r-browse","host":"shop.example","path-prefix":"/browse/","type":"safe","timeout-ms":5000,"target-latency-ms":1500,"priority":2,"service":"catalogue","retry-attempts":2}],"services":[{"name":"catalogue","health-path":"/healthz","max-connections":952,"protocol":"h1","tls":false},{"name":"desk","health-path":"/healthz","max-connections":952,"protocol":"h1","tls":false}],"limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-ms":3000,"idle-timeout-ms":15000}}"#;

/// The next version: a route is added.
const NEXT_CONFIGURATION: &str = r#"{"version":"00000009","routes":[{"name":"r-browse","host":"shop.example","path-prefix":"/browse/","type":"safe","timeout-ms":5000,"target-latency-ms":1500,"priority":2,"service":"catalogue","retry-attempts":2},{"name":"r-desk","host":"shop.example","path-prefix":"/desk/","type":"safe","timeout-ms":5000,"target-latency-ms":1500,"priority":2,"service":"desk","retry-attempts":2}],"services":[{"name":"catalogue","health-path":"/healthz","max-connections":952,"protocol":"h1","tls":false},{"name":"desk","health-path":"/healthz","max-connections":952,"protocol":"h1","tls":false}],"limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-ms":3000,"idle-timeout-ms":15000}}"#;

fn now_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis()
}

/// Status of a request on a new connection; 0 if there is no answer.
fn ask(outbound: SocketAddr, path: &str, id: &str, record: &Record) -> u16 {
    let opened = Connection::open(outbound, Duration::from_millis(5_000));
    let result = opened.and_then(|mut connection| connection.get(path, id, 5_000));
    let text = result.as_ref().map_or_else(|error| error.to_string(), |answer| answer.first_line.clone());
    record.line(format!("{outbound}: request {id} {path}: {text}"));
    result.map_or(0, |answer| answer.status())
}

/// Runs the case.
pub fn run(record: &Record, folder: std::path::PathBuf, with_trouble: bool) -> CaseResult {
    let store = Store::default();
    store.put("op/config", CONFIGURATION);
    let earlier = store.open("127.0.0.1");
    let mut deployment =
        Deployment { ports: Ports::free(), store: earlier.address, folder, max_descriptors: 4_100 };
    let handler: Handler = std::sync::Arc::new(|request: &Message, output: &mut TcpStream| {
        std::thread::sleep(Duration::from_millis(20));
        let id = request.field("x-request-id").unwrap_or("").to_string();
        let fields = [("X-Request-Id", id.as_str()), ("X-Server-Signature", "3e1b.07")];
        write_response(output, "200 OK", &fields, &[b'b'; 1_500])
    });
    let mut machines = Vec::new();
    for (number, service) in ["desk", "desk", "catalogue", "catalogue"].into_iter().enumerate() {
        let ip = format!("127.81.0.{}", number + 2);
        let address: SocketAddr = format!("{ip}:{}", deployment.ports.instance).parse().unwrap();
        let id = format!("i-{number:08x}");
        let instance = Instance::start(&id, address, handler.clone());
        store.put(&format!("servers/{id}"), &entry(address, service, "ready", now_ms()));
        machines.push((Sidecar::start(&deployment, &ip, service), instance));
    }
    let are_ready =
        machines.iter().all(|(sidecar, _)| sidecar.wait_until_ready(&deployment, Duration::from_secs(10)));
    if !are_ready {
        return CaseResult::NotRun("the machines did not get ready".into());
    }
    std::thread::sleep(Duration::from_secs(2));
    if with_trouble {
        let later = store.open("127.0.0.1");
        deployment.store = later.address;
        for (sidecar, _) in &machines {
            sidecar.replace_settings(&deployment);
            sidecar.signal("HUP");
        }
        record.line(format!("new settings: the store is at {}; SIGHUP to all machines", later.address));
    }
    std::thread::sleep(BOTH_ADDRESSES);
    if with_trouble {
        earlier.close();
        record.line(format!("the store no longer answers at {}", earlier.address));
    }
    std::thread::sleep(CONTACT);
    store.put("op/config", NEXT_CONFIGURATION);
    record.line("the store has acknowledged a configuration that adds a route");
    std::thread::sleep(CONFIG_APPLY);
    let (mut refused, mut served, mut others) = (0_usize, 0_usize, 0_usize);
    for round in 0..ROUNDS {
        for (sidecar, _) in &machines {
            let outbound: SocketAddr = format!("{}:{}", sidecar.ip, deployment.ports.outbound).parse().unwrap();
            match ask(outbound, "/desk/opening-hours", &format!("r{round}m{}", sidecar.ip), record) {
                200 => served += 1,
                404 => refused += 1,
                _ => others += 1,
            }
        }
        std::thread::sleep(Duration::from_secs(1));
    }
    let summary = format!(
        "requests on the added route, sent {} ms to {} s after the acknowledgement: {refused} refused with 404, \
         {served} served, {others} answered otherwise",
        CONFIG_APPLY.as_millis(),
        CONFIG_APPLY.as_secs() as usize + ROUNDS,
    );
    match (refused, served) {
        (1.., _) => CaseResult::Broken(summary),
        (0, 1..) => CaseResult::Held(summary),
        (0, 0) => CaseResult::NotRun(summary),
    }
}
