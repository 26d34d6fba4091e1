//! The instances of a service are replaced one after the other, each together with its machine. Meanwhile the
//! clients of one machine use the service. After that, a configuration adds a route, and new clients connect to
//! that machine.
//!
//! Rule CONFIG: of the requests that outlast their route's `timeout-ms`, eight or more, and over a quarter, still lack
//! a final answer from a machine in touch 0.5 s after that timeout. And: a machine in touch refuses with 404 a request
//! that was sent later than `config-apply-ms` after the acknowledgement of a configuration that has its route.

use std::collections::{BTreeMap, VecDeque};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::client::{Connection, send};
use crate::http::{Message, read_message, write_response};
use crate::machine::{Deployment, Handler, Instance, Ports, ReadinessCheck, Sidecar, entry};
use crate::record::Record;
use crate::store::Store;
use crate::{CaseResult, end_by};

/// Instances of the service at any time.
const INSTANCES: usize = 4;
/// Replacements, one at a time.
const REPLACEMENTS: usize = 100;
/// Time between two replacements.
const REPLACEMENT_GAP: Duration = Duration::from_millis(710);
/// Machines that start ahead of their turn, so that one is ready at each turn.
const STARTED_AHEAD: usize = 4;
/// `drain-ms`, and a little longer.
const DRAIN: Duration = Duration::from_millis(2_200);
/// Clients that keep a connection and use the service.
const USERS: usize = 220;
/// Work of an instance on a request.
const WORK: Duration = Duration::from_millis(300);
/// `contact-ms`.
const CONTACT: Duration = Duration::from_millis(3_000);
/// New clients that connect at the end, with one request each, and what they will wait.
const NEW_CLIENTS: usize = 20;
const NEW_CLIENT_DEADLINE: Duration = Duration::from_millis(5_000);
/// `timeout-ms` of the route that they use, and 0.5 s.
const OVERDUE: Duration = Duration::from_millis(1_500);
/// By how much they are late then.
const LATE_BY: Duration = Duration::from_millis(500);
/// Requests that may lack an answer then.
const ALLOWED_OVERDUE: usize = 7;
/// `max-fds` of a machine.
const MAX_DESCRIPTORS: u32 = 4_100;

/// `config-apply-ms`, and a little longer.
const CONFIG_APPLY: Duration = Duration::from_millis(2_200);
/// Clients that keep a connection from the start and use it once a second.
const STEADY_CLIENTS: usize = 10;

const CONFIGURATION: &str = r#"{"version":"00000007","routes":[{"name":"r-reserve","host":"shop.example","path-prefix":"/reserve/","type":"unsafe","timeout-ms":1000,"target-latency-ms":1500,"priority":0,"service":"desk","retry-attempts":2},{"name":"r-browse","host":"shop.example","path-prefix":"/browse/","type":"safe","timeout-ms":6000,"target-latency-ms":1500,"priority":2,"service":"catalogue","retry-attempts":2}],"services":[{"name":"catalogue","health-path":"/healthz","max-connections":952,"protocol":"h1","tls":false},{"name":"desk","health-path":"/healthz","max-connections":952,"protocol":"h1","tls":false}],"limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-ms":3000,"idle-timeout-ms":15000}}"#;
/// The next version: a route is added.
const NEXT_CONFIGURATION: &str = r#"{"version":"00000009","routes":[{"name":"r-reserve","host":"shop.example","path-prefix":"/reserve/","type":"unsafe","timeout-ms":1000,"target-latency-ms":1500,"priority":0,"service":"desk","retry-attempts":2},{"name":"r-desk","host":"shop.example","path-prefix":"/desk/","type":"safe","timeout-ms":6000,"target-latency-ms":1500,"priority":2,"service":"desk","retry-attempts":2},{"name":"r-browse","host":"shop.example","path-prefix":"/browse/","type":"safe","timeout-ms":6000,"target-latency-ms":1500,"priority":2,"service":"catalogue","retry-attempts":2}],"services":[{"name":"catalogue","health-path":"/healthz","max-connections":952,"protocol":"h1","tls":false},{"name":"desk","health-path":"/healthz","max-connections":952,"protocol":"h1","tls":false}],"limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-ms":3000,"idle-timeout-ms":15000}}"#;

struct Machine {
    sidecar: Sidecar,
    instance: Instance,
    born_ms: u128,
    address: SocketAddr,
}

/// An instance that is leaving, and when it ends.
struct Leaving {
    machine: Machine,
    ends_at: Instant,
}

struct Release<'a> {
    deployment: &'a Deployment,
    store: &'a Store,
    record: &'a Record,
    handler: Handler,
    next_machine: usize,
    starting: VecDeque<Machine>,
    serving: VecDeque<Machine>,
    leaving: VecDeque<Leaving>,
    stopping: Vec<Sidecar>,
}

fn now_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis()
}

impl Release<'_> {
    /// Starts the next machine with its instance.
    fn start_machine(&mut self) {
        self.next_machine += 1;
        let ip = format!("127.77.{}.{}", self.next_machine / 200, self.next_machine % 200 + 2);
        let address: SocketAddr = format!("{ip}:{}", self.deployment.ports.instance).parse().unwrap();
        let id = format!("i-{:08x}", self.next_machine);
        let instance = Instance::start(&id, address, self.handler.clone());
        let sidecar = Sidecar::start(self.deployment, &ip, "catalogue");
        self.record.line(format!("machine {ip} starts with instance {id}"));
        self.starting.push_back(Machine { sidecar, instance, born_ms: now_ms(), address });
    }

    /// The machine that was started first takes part.
    fn add(&mut self) -> bool {
        let Some(machine) = self.starting.pop_front() else { return false };
        if !machine.sidecar.wait_until_ready(self.deployment, Duration::from_secs(15)) && !self.serving.is_empty()
        {
            self.record.line(format!("machine {} did not get ready", machine.sidecar.ip));
            return false;
        }
        self.write(&machine, "ready");
        self.serving.push_back(machine);
        true
    }

    fn write(&self, machine: &Machine, state: &str) {
        let value = entry(machine.address, "catalogue", state, machine.born_ms);
        self.store.put(&format!("servers/{}", machine.instance.id), &value);
        self.record.line(format!("instance {} says {state}", machine.instance.id));
    }

    /// The instance that has served longest says that it leaves.
    fn drain_oldest(&mut self) {
        let machine = self.serving.pop_front().expect("an instance serves");
        self.write(&machine, "draining");
        self.leaving.push_back(Leaving { machine, ends_at: Instant::now() + DRAIN });
    }

    /// Ends the instances that have drained, and their machines with them.
    fn end_drained(&mut self) {
        while self.leaving.front().is_some_and(|leaving| leaving.ends_at <= Instant::now()) {
            let machine = self.leaving.pop_front().unwrap().machine;
            machine.instance.end();
            self.store.delete(&format!("servers/{}", machine.instance.id));
            machine.sidecar.signal("TERM");
            self.record.line(format!("instance {} has ended, its machine leaves", machine.instance.id));
            self.stopping.push(machine.sidecar);
        }
        self.stopping.retain_mut(Sidecar::is_running);
    }
}

/// What the users did.
#[derive(Default)]
struct Counts {
    sent: AtomicU64,
    served: AtomicU64,
    failed: AtomicU64,
    run: AtomicU64,
}

/// Uses the service until `is_over`, on a connection that is kept.
fn use_service(address: SocketAddr, user: usize, counts: &Counts, is_over: &AtomicBool) {
    let mut connection = None;
    for number in 0_u64.. {
        if is_over.load(Ordering::Relaxed) {
            return;
        }
        if connection.is_none() {
            connection = Connection::open(address, Duration::from_secs(7)).ok();
        }
        let Some(open) = connection.as_mut() else {
            std::thread::sleep(Duration::from_millis(200));
            continue;
        };
        counts.sent.fetch_add(1, Ordering::Relaxed);
        let answer = open.get("/browse/books", &format!("u{user}x{number}"), 6_000);
        let is_served = answer.as_ref().is_ok_and(|answer| answer.status() == 200);
        let counter = if is_served { &counts.served } else { &counts.failed };
        counter.fetch_add(1, Ordering::Relaxed);
        if answer.as_ref().map_or(true, Message::closes) {
            connection = None;
        }
        if !is_served {
            std::thread::sleep(Duration::from_millis(250));
        }
    }
}

/// Uses a connection that is kept, once a second, until `is_over`. Requests go to the added route once `is_added`;
/// counts the answers to these by their status.
fn use_kept_connection(
    address: SocketAddr,
    client: usize,
    record: &Record,
    answers: &Mutex<BTreeMap<u16, usize>>,
    is_added: &AtomicBool,
    is_over: &AtomicBool,
) {
    let Ok(mut connection) = Connection::open(address, Duration::from_secs(7)) else { return };
    for number in 0_u64.. {
        if is_over.load(Ordering::SeqCst) {
            return;
        }
        let is_new_route = is_added.load(Ordering::SeqCst);
        let path = if is_new_route { "/desk/opening-hours" } else { "/browse/books" };
        let id = format!("k{client}x{number}");
        match connection.get(path, &id, 6_000) {
            Ok(answer) if is_new_route => {
                record.line(format!("kept connection, request {id} on the added route: {}", answer.first_line));
                let is_signed = answer.field("x-server-signature").is_some();
                let status = if is_signed { 0 } else { answer.status() };
                *answers.lock().unwrap().entry(status).or_default() += 1;
            }
            Ok(answer) if answer.closes() => return,
            Ok(_) => {}
            Err(error) => return record.line(format!("kept connection, request {id}: {error}")),
        }
        std::thread::sleep(Duration::from_millis(1_000));
    }
}

/// Connects anew and sends a request that may run once. Notes the time until its answer; `None` if there is none
/// until its deadline.
fn connect_anew(address: SocketAddr, client: usize, record: &Record, times: &Mutex<Vec<Option<Duration>>>) {
    let id = format!("n{client}");
    let began = Instant::now();
    let opened = Connection::open(address, NEW_CLIENT_DEADLINE);
    let result = opened.and_then(|mut connection| {
        let timeout_ms = NEW_CLIENT_DEADLINE.as_millis() as u64;
        send(connection.input.get_mut(), "POST", "/reserve/book", &id, timeout_ms, b"{}")?;
        read_message(&mut connection.input)?.ok_or(std::io::ErrorKind::UnexpectedEof.into())
    });
    let after = began.elapsed();
    match result {
        Ok(answer) => {
            record.line(format!(
                "new connection, request {id}: {} after {} ms",
                answer.first_line,
                after.as_millis()
            ));
            times.lock().unwrap().push(Some(after));
        }
        Err(error) => {
            record
                .line(format!("new connection, request {id}: no answer after {} ms ({error})", after.as_millis()));
            times.lock().unwrap().push(None);
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
        max_descriptors: MAX_DESCRIPTORS,
        repeat_slack: 60,
    };
    let counts = Arc::new(Counts::default());
    let handler: Handler = {
        let counts = counts.clone();
        Arc::new(move |request: &Message, output: &mut TcpStream| {
            counts.run.fetch_add(1, Ordering::Relaxed);
            std::thread::sleep(WORK);
            let id = request.field("x-request-id").unwrap_or("").to_string();
            let fields = [("X-Request-Id", id.as_str()), ("X-Server-Signature", "3e1b.07")];
            write_response(output, "200 OK", &fields, &[b'b'; 1_500])
        })
    };
    let mut release = Release {
        deployment: &deployment,
        store: &store,
        record,
        handler: handler.clone(),
        next_machine: 0,
        starting: VecDeque::new(),
        serving: VecDeque::new(),
        leaving: VecDeque::new(),
        stopping: Vec::new(),
    };
    // The machine whose clients use the service; its own instance is of another one.
    let ip = "127.77.250.2";
    let own_address: SocketAddr = format!("{ip}:{}", deployment.ports.instance).parse().unwrap();
    let _own_instance = Instance::start("i-desk", own_address, handler);
    store.put("servers/i-desk", &entry(own_address, "desk", "ready", now_ms()));
    let edge = Sidecar::start(&deployment, ip, "desk");
    for _ in 0..INSTANCES + STARTED_AHEAD {
        release.start_machine();
    }
    for _ in 0..INSTANCES {
        release.add();
    }
    if !edge.wait_until_ready(&deployment, Duration::from_secs(10)) || release.serving.len() < INSTANCES {
        return CaseResult::NotRun("the machines did not get ready".into());
    }
    std::thread::sleep(Duration::from_secs(1));
    let outbound: SocketAddr = format!("{ip}:{}", deployment.ports.outbound).parse().unwrap();
    let is_over = Arc::new(AtomicBool::new(false));
    for user in 0..USERS {
        let (counts, is_over) = (counts.clone(), is_over.clone());
        std::thread::spawn(move || use_service(outbound, user, &counts, &is_over));
    }
    let is_added = Arc::new(AtomicBool::new(false));
    let answers = Arc::new(Mutex::new(BTreeMap::new()));
    for client in 0..STEADY_CLIENTS {
        let (record, answers) = (record.clone(), answers.clone());
        let (is_added, is_over) = (is_added.clone(), is_over.clone());
        std::thread::spawn(move || use_kept_connection(outbound, client, &record, &answers, &is_added, &is_over));
    }
    let mut readiness = ReadinessCheck::default();
    let mut next_second = Instant::now();
    let mut tick = |readiness: &mut ReadinessCheck| {
        if Instant::now() < next_second {
            return;
        }
        next_second += Duration::from_secs(1);
        record.line(format!(
            "users: sent {} served {} failed {} run {}; machine {ip}: readiness {} descriptors {} memory {} MB",
            counts.sent.load(Ordering::Relaxed),
            counts.served.load(Ordering::Relaxed),
            counts.failed.load(Ordering::Relaxed),
            counts.run.load(Ordering::Relaxed),
            readiness.ask(ip, deployment.ports.readiness),
            edge.descriptors(),
            edge.memory_mb(),
        ));
    };
    let began = Instant::now();
    for number in 0..REPLACEMENTS {
        let turn = began + REPLACEMENT_GAP * number as u32;
        while Instant::now() < turn {
            std::thread::sleep(Duration::from_millis(20));
            release.end_drained();
            tick(&mut readiness);
        }
        if !end_by(record, 100.0) {
            record.line("no time for more replacements");
            break;
        }
        if !with_trouble {
            continue;
        }
        release.start_machine();
        if release.add() {
            release.drain_oldest();
        }
    }
    while !release.leaving.is_empty() || !release.stopping.is_empty() {
        std::thread::sleep(Duration::from_millis(20));
        release.end_drained();
        tick(&mut readiness);
        if !end_by(record, 108.0) {
            break;
        }
    }
    // In touch: nothing happens any more for `contact-ms`.
    let calm_from = Instant::now();
    while calm_from.elapsed() < CONTACT {
        std::thread::sleep(Duration::from_millis(20));
        tick(&mut readiness);
    }
    store.put("op/config", NEXT_CONFIGURATION);
    record.line("the store has acknowledged a configuration that adds a route");
    std::thread::sleep(CONFIG_APPLY);
    is_added.store(true, Ordering::SeqCst);
    let times = Arc::new(Mutex::new(Vec::new()));
    let trying_since = Instant::now();
    let clients: Vec<_> = (0..NEW_CLIENTS)
        .map(|client| {
            let (record, times) = (record.clone(), times.clone());
            std::thread::spawn(move || connect_anew(outbound, client, &record, &times))
        })
        .collect();
    let mut was_ready = true;
    while trying_since.elapsed() < NEW_CLIENT_DEADLINE + Duration::from_millis(300) {
        std::thread::sleep(Duration::from_millis(250));
        was_ready &= readiness.ask(ip, deployment.ports.readiness) == 200;
        tick(&mut readiness);
    }
    clients.into_iter().for_each(|client| client.join().unwrap());
    is_over.store(true, Ordering::SeqCst);
    let times = times.lock().unwrap();
    let is_late = |time: &&Option<Duration>| time.is_none_or(|time| time > OVERDUE);
    let late = times.iter().filter(is_late).count();
    let outlasting = times.iter().filter(|time| time.is_none_or(|time| time > OVERDUE - LATE_BY)).count();
    let answers = answers.lock().unwrap();
    let served = answers.get(&0).copied().unwrap_or(0);
    let refused = answers.get(&404).copied().unwrap_or(0);
    let others =
        answers.iter().filter(|(status, _)| !matches!(**status, 0 | 404)).map(|(_, count)| count).sum::<usize>();
    let summary = format!(
        "{NEW_CLIENTS} requests on new connections: {late} lacked an answer {} ms after they were sent, 0.5 s after the \
         timeout of their route, while the machine said ready: {was_ready}; requests on an added route, sent more than \
         {} ms after the acknowledgement: {refused} refused with 404, {served} served, {others} answered otherwise; \
         descriptors of the machine's sidecar: {}, its memory: {} MB",
        OVERDUE.as_millis(),
        CONFIG_APPLY.as_millis(),
        edge.descriptors(),
        edge.memory_mb(),
    );
    let is_overdue = late > ALLOWED_OVERDUE && late * 4 > outlasting;
    if is_overdue || refused > 0 {
        CaseResult::Broken(summary)
    } else if served > 0 {
        CaseResult::Held(summary)
    } else {
        CaseResult::NotRun(summary)
    }
}
