//! Nodes, instances, a source and clients on loopback addresses, all in one thread.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures::StreamExt;
use olivegate_authentication::{ApiKey, Tenant};
use olivegate_http1::{Frame, RequestDecoder, RequestHead, ResponseDecoder, ResponseHead};
use olivegate_quarantine::QuarantinePolicy;
use olivegate_sidecar::model::{
    ClientLimits, Configuration, ConfigurationVersion, Instance, InstanceState, Millis, RepeatSafety, Revision,
    Route, WeightedPart,
};
use olivegate_sidecar::settings::{Bounds, ListenAddresses, MachineLimits};
use olivegate_sidecar::source::{Changes, InstanceList, ListedInstance, Recency, Snapshot, Source, SourceError};
use olivegate_sidecar::state::Node;
use olivegate_sidecar::{SidecarSettings, Vocabulary};
use olivegate_types::{InstanceName, NodeName, ServiceName, TenantName, ZoneName};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::{AbortHandle, JoinSet, LocalSet, spawn_local};
use tokio_util::codec::FramedRead;

pub const VOCABULARY: Vocabulary = Vocabulary {
    request_id: "x-id",
    time_left_ms: "x-time",
    expected_instance: "x-expected",
    instance: "x-instance",
    not_run: "x-not-run",
    caller_service: "x-caller",
    credential: "x-key",
    tenant: "x-holder",
    signature: "x-signature",
    retry_after: "retry-after",
    readiness_path: "/ready",
};

pub const INSTANCE_PORT: u16 = 18_301;
const INBOUND_PORT: u16 = 18_300;
const OUTBOUND_PORT: u16 = 18_304;
const READINESS_PORT: u16 = 18_302;
const PEERS_PORT: u16 = 18_320;

static NEXT_FLEET: AtomicU8 = AtomicU8::new(1);

/// Runs a test on one thread, with an end of its own.
pub fn run<F: Future<Output = ()>>(test: F) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let limited = async { tokio::time::timeout(Duration::from_secs(20), test).await.expect("the test hangs") };
    LocalSet::new().block_on(&runtime, limited);
}

/// Machines of one test; no other test uses their addresses.
pub struct Fleet {
    number: u8,
    pub source: TestSource,
    /// Repeats allowed over all nodes in a window, beyond one for each request.
    pub repeat_slack: f64,
    /// Repeats allowed for each request.
    pub repeat_ratio: f64,
    /// Age of the configuration up to which keys count.
    pub keys_proven_within: Option<Duration>,
    /// What follows for requests with which instances end.
    pub quarantine: QuarantinePolicy,
}

impl Fleet {
    pub fn new() -> Self {
        Fleet {
            number: NEXT_FLEET.fetch_add(1, Ordering::SeqCst),
            source: TestSource::default(),
            repeat_slack: 100_000.0,
            repeat_ratio: 1.0,
            keys_proven_within: None,
            quarantine: QuarantinePolicy::default(),
        }
    }

    pub fn ip(&self, machine: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, 77, self.number, machine))
    }

    pub fn outbound(&self, machine: u8) -> SocketAddr {
        SocketAddr::new(self.ip(machine), OUTBOUND_PORT)
    }

    pub fn inbound(&self, machine: u8) -> SocketAddr {
        SocketAddr::new(self.ip(machine), INBOUND_PORT)
    }

    pub fn readiness(&self, machine: u8) -> SocketAddr {
        SocketAddr::new(self.ip(machine), READINESS_PORT)
    }

    pub fn instance_address(&self, machine: u8) -> SocketAddr {
        SocketAddr::new(self.ip(machine), INSTANCE_PORT)
    }

    /// Lists an instance of `service` on `machine`.
    pub fn list(&self, machine: u8, name: &str, service: &str) -> Instance {
        self.list_as(machine, name, service, InstanceState::Ready)
    }

    /// Lists an instance of `service` on `machine` in this state.
    pub fn list_as(&self, machine: u8, name: &str, service: &str, state: InstanceState) -> Instance {
        let instance = Instance {
            name: InstanceName::new(name),
            service: ServiceName::new(service),
            address: self.instance_address(machine),
            zone: ZoneName::new("zone"),
            slots: 4,
            state,
        };
        self.source.list(instance.clone());
        instance
    }

    /// Limits of each machine.
    pub fn machine_limits(&self) -> MachineLimits {
        MachineLimits { memory_mb: 256, max_descriptors: 1_024 }
    }

    /// Starts the node of `machine`, beside an instance of `service`.
    pub async fn start(&self, machine: u8, service: &str) -> Rc<Node> {
        self.start_with(machine, service, self.source.clone()).await
    }

    /// Starts a node that reads the fleet's source by a way of its own.
    pub async fn start_with(&self, machine: u8, service: &str, source: TestSource) -> Rc<Node> {
        let ip = self.ip(machine);
        let settings = SidecarSettings {
            node: NodeName::new(format!("node-{machine}")),
            zone: ZoneName::new("zone"),
            service: ServiceName::new(service),
            instance: self.instance_address(machine),
            listen: ListenAddresses {
                outbound: self.outbound(machine),
                inbound: SocketAddr::new(ip, INBOUND_PORT),
                advertised: ip,
                readiness: self.readiness(machine),
                peers: SocketAddr::new(ip, PEERS_PORT),
                metrics: None,
            },
            source: SocketAddr::new(ip, 1),
            heartbeat: Duration::from_millis(100),
            bounds: Bounds {
                contact: Duration::from_millis(300),
                grace_period: Duration::from_secs(6),
                drain: Duration::from_secs(2),
                repeat_ratio: self.repeat_ratio,
                repeat_slack: self.repeat_slack,
                repeat_window: Duration::from_secs(10),
                keys_proven_within: self.keys_proven_within,
                quota: olivegate_quota::Tolerance { window: Duration::from_secs(5), overshoot: 0.25, slack: 20.0 },
            },
            machine: self.machine_limits(),
            quarantine: self.quarantine,
        };
        olivegate_sidecar::app::start(settings, VOCABULARY, source).await.unwrap()
    }

    /// Waits until `node` is ready.
    pub async fn ready(node: &Rc<Node>) {
        eventually("the node is ready", || node.is_ready()).await;
    }
}

/// Waits until `condition` holds.
pub async fn eventually(what: &str, condition: impl Fn() -> bool) {
    for _ in 0..1_000 {
        if condition() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    panic!("does not happen: {what}");
}

pub fn route(path_prefix: &str, service: &str, safety: RepeatSafety) -> Route {
    Route {
        name: format!("to-{service}{path_prefix}"),
        host: "shop".into(),
        path_prefix: path_prefix.into(),
        parts: vec![WeightedPart { service: ServiceName::new(service), weight: 1 }],
        safety,
        timeout: Some(Millis(2_000)),
        target_latency: Millis(1_000),
        priority: 1,
        attempts: 2,
        is_public: false,
    }
}

pub fn configuration(version: u64, routes: Vec<Route>) -> Configuration {
    Configuration {
        version: ConfigurationVersion(version),
        routes,
        limits: ClientLimits::default(),
        tenants: Vec::new(),
    }
}

/// How the source fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Fault {
    #[default]
    None,
    Refusing,
    Silent,
    /// Only readings that may be old are answered.
    OldReadingsOnly,
}

/// A source in memory that can be made to fail.
#[derive(Clone, Default)]
pub struct TestSource {
    snapshot: Rc<RefCell<Snapshot>>,
    fault: Rc<Cell<Fault>>,
    /// Calls that begin to wait now hear of no change.
    deaf: Rc<Cell<bool>>,
    /// Calls of this way to the source.
    pub calls: Rc<Cell<u32>>,
}

impl TestSource {
    pub fn configure(&self, configuration: Configuration) {
        let mut snapshot = self.snapshot.borrow_mut();
        snapshot.configuration = Some(configuration);
        snapshot.list.revision.0 += 1;
    }

    pub fn list(&self, instance: Instance) {
        let mut snapshot = self.snapshot.borrow_mut();
        snapshot.list.revision.0 += 1;
        let revision = snapshot.list.revision;
        snapshot.list.instances.retain(|listed| listed.instance.name != instance.name);
        snapshot.list.instances.push(ListedInstance { instance, revision });
    }

    pub fn unlist(&self, name: &str) {
        let mut snapshot = self.snapshot.borrow_mut();
        snapshot.list.revision.0 += 1;
        snapshot.list.instances.retain(|listed| listed.instance.name.as_str() != name);
    }

    pub fn set_down(&self, down: bool) {
        self.set_fault(if down { Fault::Refusing } else { Fault::None });
    }

    pub fn set_fault(&self, fault: Fault) {
        self.fault.set(fault);
    }

    /// The same source by a way that fails and is counted by itself.
    pub fn own_way(&self) -> Self {
        TestSource { fault: Rc::default(), calls: Rc::default(), ..self.clone() }
    }

    /// Calls for changes that begin meanwhile hear of none until their wait is over.
    pub fn set_deaf(&self, deaf: bool) {
        self.deaf.set(deaf);
    }

    async fn call(&self, limit: Duration) -> Result<(), SourceError> {
        self.calls.set(self.calls.get() + 1);
        match self.fault.get() {
            Fault::None => Ok(()),
            Fault::Refusing => Err(SourceError::Refused(503)),
            Fault::Silent | Fault::OldReadingsOnly => {
                tokio::time::sleep(limit).await;
                Err(SourceError::TimedOut)
            }
        }
    }
}

impl Source for TestSource {
    async fn instances(&self, recency: Recency, limit: Duration) -> Result<InstanceList, SourceError> {
        if recency == Recency::Latest || self.fault.get() != Fault::OldReadingsOnly {
            self.call(limit).await?;
        }
        Ok(self.snapshot.borrow().list.clone())
    }

    async fn snapshot(&self, limit: Duration) -> Result<Snapshot, SourceError> {
        self.call(limit).await?;
        Ok(self.snapshot.borrow().clone())
    }

    /// Forgets its history at once: each change is followed by reading everything.
    async fn changes(&self, after: Revision, wait: Duration, limit: Duration) -> Result<Changes, SourceError> {
        self.call(limit).await?;
        let until = tokio::time::Instant::now() + wait;
        let is_deaf = self.deaf.get();
        while is_deaf || self.snapshot.borrow().list.revision <= after {
            if tokio::time::Instant::now() >= until {
                return Ok(Changes { changes: Vec::new(), revision: after });
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        Err(SourceError::HistoryGone)
    }

    async fn configuration(&self, limit: Duration) -> Result<Option<Configuration>, SourceError> {
        self.call(limit).await?;
        Ok(self.snapshot.borrow().configuration.clone())
    }

    async fn probe(&self, limit: Duration) -> Result<(), SourceError> {
        self.call(limit).await
    }
}

/// What a test instance does with a request.
#[derive(Clone)]
pub enum Action {
    Send(String),
    Sleep(u64),
    /// Makes a call by the node at this address and answers 200 when that succeeds, else 500.
    Call(SocketAddr, String),
    /// Tells the test that the work is done.
    Note(Rc<dyn Fn()>),
    Close,
    Reset,
    /// Ends the whole instance after so many milliseconds, as a process that crashes: its port and
    /// all its connections; also when nobody waits for the answer any more.
    Crash(u64),
}

/// A request that an instance received.
#[derive(Debug, Clone)]
pub struct Seen {
    pub head: RequestHead,
    pub body: Bytes,
    /// How long its connection had rested; none for the first request of a connection.
    pub rested: Option<Duration>,
}

impl Seen {
    pub fn field(&self, name: &str) -> String {
        self.head.fields.text(name).unwrap_or_default().to_string()
    }

    pub fn id(&self) -> String {
        self.field(VOCABULARY.request_id)
    }
}

/// A scripted instance.
#[derive(Clone, Default)]
pub struct TestInstance {
    pub seen: Rc<RefCell<Vec<Seen>>>,
    /// Connections that ended while a request was being worked on.
    pub abandoned: Rc<Cell<u32>>,
    /// Connections that are open.
    pub open: Rc<Cell<u32>>,
    /// The task that serves; connections end with it.
    serving: Rc<RefCell<Option<AbortHandle>>>,
    /// Told when it has crashed.
    pub crashed: Rc<Notify>,
}

/// Counts a connection as long as it is open.
struct Open(Rc<Cell<u32>>);

impl Open {
    fn begin(open: &Rc<Cell<u32>>) -> Self {
        open.set(open.get() + 1);
        Open(open.clone())
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl TestInstance {
    /// Serves `address`; `script` says what to do with each request, given how many came
    /// before it.
    pub async fn start(address: SocketAddr, script: impl Fn(&Seen, usize) -> Vec<Action> + 'static) -> Self {
        let instance = TestInstance::default();
        let listener = TcpListener::bind(address).await.unwrap();
        let script = Rc::new(script);
        let serving = instance.clone();
        let task = spawn_local(async move {
            let mut connections = JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                connections.spawn_local(serving.clone().connection(stream, script.clone()));
                while connections.try_join_next().is_some() {}
            }
        });
        *instance.serving.borrow_mut() = Some(task.abort_handle());
        instance
    }

    /// Ends the instance: its port refuses, its connections break.
    pub fn crash(&self) {
        if let Some(serving) = self.serving.borrow_mut().take() {
            serving.abort();
            self.crashed.notify_one();
        }
    }

    async fn connection(self, stream: TcpStream, script: Rc<impl Fn(&Seen, usize) -> Vec<Action>>) {
        let _open = Open::begin(&self.open);
        let (reading, mut writing) = stream.into_split();
        let mut requests = FramedRead::new(reading, RequestDecoder::new(65_536, 1 << 30));
        let mut current: Option<(RequestHead, BytesMut)> = None;
        let mut rests_since: Option<tokio::time::Instant> = None;
        while let Some(Ok(frame)) = requests.next().await {
            match (frame, current.take()) {
                (Frame::Head(head, _), _) => current = Some((head, BytesMut::new())),
                (Frame::Data(data), Some((head, mut body))) => {
                    body.extend_from_slice(&data);
                    current = Some((head, body));
                }
                (Frame::End, Some((head, body))) => {
                    let rested = rests_since.map(|since| since.elapsed());
                    let seen = Seen { head, body: body.freeze(), rested };
                    let before = self.seen.borrow().len();
                    self.seen.borrow_mut().push(seen.clone());
                    for action in script(&seen, before) {
                        match action {
                            Action::Send(text) => {
                                let _ = writing.write_all(text.as_bytes()).await;
                            }
                            Action::Sleep(millis) => tokio::select! {
                                () = tokio::time::sleep(Duration::from_millis(millis)) => {}
                                frame = requests.next() => {
                                    if !matches!(frame, Some(Ok(_))) {
                                        self.abandoned.set(self.abandoned.get() + 1);
                                        return;
                                    }
                                }
                            },
                            Action::Call(outbound, request) => {
                                let called = Client::connect(outbound).await.ask(&request).await;
                                let status = if called.head.status == 200 { 200 } else { 500 };
                                let _ = writing.write_all(answer(status, &seen.id(), "body").as_bytes()).await;
                            }
                            Action::Note(note) => note(),
                            Action::Close => return,
                            Action::Crash(millis) => {
                                let instance = self.clone();
                                spawn_local(async move {
                                    tokio::time::sleep(Duration::from_millis(millis)).await;
                                    instance.crash();
                                });
                                return futures::future::pending().await;
                            }
                            Action::Reset => {
                                let stream = requests.into_inner().reunite(writing).unwrap();
                                socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
                                return;
                            }
                        }
                    }
                    rests_since = Some(tokio::time::Instant::now());
                }
                _ => return,
            }
        }
    }

    pub fn runs(&self) -> usize {
        self.seen.borrow().len()
    }
}

/// An instance's answer.
pub fn answer(status: u16, id: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status} X\r\nx-id: {id}\r\nx-signature: s-{id}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// A whole answer as a client sees it.
#[derive(Debug, Clone)]
pub struct ClientAnswer {
    pub head: ResponseHead,
    pub body: String,
    /// False when the connection ended inside the answer.
    pub whole: bool,
}

impl ClientAnswer {
    pub fn field(&self, name: &str) -> Option<String> {
        self.head.fields.text(name).map(str::to_string)
    }
}

/// A client's connection.
pub struct Client {
    pub writing: tokio::net::tcp::OwnedWriteHalf,
    answers: FramedRead<tokio::net::tcp::OwnedReadHalf, ResponseDecoder>,
}

impl Client {
    pub async fn connect(address: SocketAddr) -> Self {
        let (reading, writing) = TcpStream::connect(address).await.unwrap().into_split();
        Client { writing, answers: FramedRead::new(reading, ResponseDecoder::new(65_536)) }
    }

    pub async fn send(&mut self, text: &str) {
        self.writing.write_all(text.as_bytes()).await.unwrap();
    }

    /// The next answer; `None` when the connection ended before it.
    pub async fn answer(&mut self) -> Option<ClientAnswer> {
        let mut head = None;
        let mut body = Vec::new();
        loop {
            match self.answers.next().await {
                Some(Ok(Frame::Head(read, _))) => head = Some(read),
                Some(Ok(Frame::Data(data))) => body.extend_from_slice(&data),
                Some(Ok(Frame::End)) => {
                    let body = String::from_utf8_lossy(&body).into_owned();
                    return head.map(|head| ClientAnswer { head, body, whole: true });
                }
                Some(Err(_)) | None => {
                    let body = String::from_utf8_lossy(&body).into_owned();
                    return head.map(|head| ClientAnswer { head, body, whole: false });
                }
            }
        }
    }

    pub async fn ask(&mut self, text: &str) -> ClientAnswer {
        self.send(text).await;
        self.answer().await.expect("an answer")
    }
}

/// A request without a body.
pub fn get(path: &str, id: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nHost: shop\r\nx-id: {id}\r\nx-time: 2000\r\n\r\n")
}

/// A request with a key, by a client that names itself another tenant.
pub fn keyed(path: &str, id: &str, key: &str) -> String {
    format!(
        "GET {path} HTTP/1.1\r\nHost: shop\r\nx-id: {id}\r\nx-time: 2000\r\nx-key: {key}\r\nx-holder: forged\r\n\r\n"
    )
}

/// A tenant without a limit.
pub fn tenant(name: &str, keys: &[&str]) -> Tenant {
    Tenant {
        name: TenantName::new(name),
        keys: keys.iter().map(|key| ApiKey::new(*key)).collect(),
        priority: None,
        rate_per_s: 0.0,
        burst: 0.0,
    }
}

/// A call with a limit of its own, in milliseconds.
pub fn call(path: &str, id: &str, limit_ms: u64) -> String {
    format!("GET {path} HTTP/1.1\r\nHost: shop\r\nx-id: {id}\r\nx-time: {limit_ms}\r\n\r\n")
}

/// A request with a body.
pub fn post(path: &str, id: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "POST {path} HTTP/1.1\r\nHost: shop\r\nx-id: {id}\r\nx-time: 2000\r\nContent-Length: {length}\r\n\r\n{body}"
    )
}
