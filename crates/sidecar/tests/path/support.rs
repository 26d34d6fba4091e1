//! Test fleets: nodes and an in-memory source on loopback addresses, all on the thread of the test, which
//! also runs the scripted instances and the clients.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::ops::Range;
use std::rc::Rc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use olivegate_authentication::{ApiKey, Tenant};
use olivegate_quarantine::QuarantinePolicy;
use olivegate_sidecar::model::{
    ClientLimits, Configuration, ConfigurationVersion, Epoch, Incarnation, Instance, InstanceState, Millis,
    RetrySafety, Revision, Route, WeightedService,
};
use olivegate_sidecar::settings::{Bounds, ListenAddresses, MachineLimits};
use olivegate_sidecar::source::{
    Changes, ConfigurationReading, InstanceList, ListedInstance, ReadConsistency, Snapshot, Source, SourceError,
};
use olivegate_sidecar::state::Node;
use olivegate_sidecar::{SidecarSettings, WireNames};
use olivegate_types::{InstanceName, NodeName, ServiceName, TenantName, ZoneName};
use tokio::task::LocalSet;

use crate::thread_stalls::StallMonitor;

pub const WIRE_NAMES: WireNames = WireNames {
    request_id: "x-id",
    time_left_ms: "x-time",
    expected_instance: "x-expected",
    instance: "x-instance",
    not_run: "x-not-run",
    declared_rate: "x-rate",
    leaving: "x-leaving",
    caller_service: "x-caller",
    credential: "x-key",
    tenant: "x-holder",
    signature: "x-signature",
    retry_after: "retry-after",
    readiness_path: "/ready",
};

/// Path of the health check of instances.
pub const HEALTH_PATH: &str = "/health";

pub const INSTANCE_PORT: u16 = 18_301;
const INBOUND_PORT: u16 = 18_300;
const OUTBOUND_PORT: u16 = 18_304;
const READINESS_PORT: u16 = 18_302;
const PEERS_PORT: u16 = 18_320;

/// A node behind a link accepts connections of other nodes at the address of the machine with its number
/// plus this one.
const LINKED_MACHINES: u8 = 100;

/// Number of fleets of this process so far.
static FLEETS: AtomicUsize = AtomicUsize::new(0);
/// Number of fleets on the addresses of one second octet; the third octet is the fleet's.
const FLEETS_PER_OCTET: usize = 256;

/// Range of the second octet of loopback addresses, of which each process of these tests takes some.
const PROCESS_OCTETS: Range<u8> = 80..120;
/// A process owns an octet while it listens on this port of the octet's first address.
const LOCK_PORT: u16 = 18_399;

/// The second octets that this process owns. Fleets are numbered within a process only, so two processes that used
/// the same octet would talk to each other's nodes.
static OWNED_OCTETS: Mutex<Vec<(u8, TcpListener)>> = Mutex::new(Vec::new());

/// The second octet that this process owns as its `index`-th.
fn owned_octet(index: usize) -> u8 {
    let mut owned = OWNED_OCTETS.lock().unwrap_or_else(PoisonError::into_inner);
    while owned.len() <= index {
        owned.push(take_octet());
    }
    owned[index].0
}

fn take_octet() -> (u8, TcpListener) {
    let first = std::process::id() as usize % PROCESS_OCTETS.len();
    let octets = PROCESS_OCTETS.cycle().skip(first).take(PROCESS_OCTETS.len());
    let try_lock = |octet| {
        TcpListener::bind((Ipv4Addr::new(127, octet, 0, 1), LOCK_PORT)).ok().map(|listener| (octet, listener))
    };
    octets.into_iter().find_map(try_lock).expect("processes of these tests hold all addresses")
}

/// Runs a test on a single-threaded runtime and fails it after 20 s.
pub fn run<F: Future<Output = ()>>(test: F) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let with_timeout = async {
        let _stall_monitor = StallMonitor::watch();
        tokio::time::timeout(Duration::from_secs(20), test).await.expect("the test hangs");
    };
    LocalSet::new().block_on(&runtime, with_timeout);
}

/// The machines of one test, on addresses that no other test uses.
pub struct Fleet {
    /// First three octets of its addresses.
    network: [u8; 3],
    pub source: TestSource,
    /// Retries allowed over all nodes in a window, beyond the `retry_ratio` for each request.
    pub retry_slack: f64,
    /// Retries allowed for each request.
    pub retry_ratio: f64,
    /// Maximum age of the proof of the configuration up to which API keys are accepted.
    pub keys_proven_within: Option<Duration>,
    /// Quarantine of requests that end the instances that run them.
    pub quarantine: QuarantinePolicy,
    /// The source counts as undisturbed again after this time without a fault.
    pub contact: Duration,
    /// A leaving instance gets no new requests after this time.
    pub drain: Duration,
}

impl Fleet {
    pub fn new() -> Self {
        let number = FLEETS.fetch_add(1, Ordering::SeqCst);
        let octet = owned_octet(number / FLEETS_PER_OCTET);
        Fleet {
            network: [127, octet, (number % FLEETS_PER_OCTET) as u8],
            source: TestSource::default(),
            retry_slack: 100_000.0,
            retry_ratio: 1.0,
            keys_proven_within: None,
            quarantine: QuarantinePolicy::default(),
            contact: Duration::from_millis(300),
            drain: Duration::from_secs(2),
        }
    }

    pub fn ip(&self, machine: u8) -> IpAddr {
        let [first, second, third] = self.network;
        IpAddr::V4(Ipv4Addr::new(first, second, third, machine))
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

    /// Lists a ready instance of `service` on `machine`.
    pub fn list(&self, machine: u8, name: &str, service: &str) -> Instance {
        self.list_in_state(machine, name, service, InstanceState::Ready)
    }

    /// Lists an instance of `service` on `machine` in this state.
    pub fn list_in_state(&self, machine: u8, name: &str, service: &str, state: InstanceState) -> Instance {
        self.list_with_incarnation(machine, name, service, state, Incarnation::UNKNOWN)
    }

    /// Lists an instance of `service` on `machine` in this state, with this incarnation.
    pub fn list_with_incarnation(
        &self,
        machine: u8,
        name: &str,
        service: &str,
        state: InstanceState,
        incarnation: Incarnation,
    ) -> Instance {
        let instance = Instance {
            name: InstanceName::new(name),
            incarnation,
            service: ServiceName::new(service),
            address: self.instance_address(machine),
            zone: ZoneName::new("zone"),
            slots: 4,
            state,
        };
        self.source.list(instance.clone());
        instance
    }

    /// Resource limits of each machine.
    pub fn machine_limits(&self) -> MachineLimits {
        MachineLimits { memory_mb: 256, max_descriptors: 1_024 }
    }

    /// Starts the node of `machine`, whose local instance belongs to `service`.
    pub async fn start(&self, machine: u8, service: &str) -> Rc<Node> {
        self.start_with_source(machine, service, self.source.clone()).await
    }

    /// Starts a node that reads the fleet's source through this handle.
    pub async fn start_with_source(&self, machine: u8, service: &str, source: TestSource) -> Rc<Node> {
        self.start_at(machine, service, source, self.inbound(machine)).await
    }

    /// Starts a node that other nodes can't connect to, except through a [`Link`](crate::links::Link) to the
    /// returned address. Datagrams reach it.
    pub async fn start_behind_link(
        &self,
        machine: u8,
        service: &str,
        source: TestSource,
    ) -> (Rc<Node>, SocketAddr) {
        let inbound = SocketAddr::new(self.ip(machine + LINKED_MACHINES), INBOUND_PORT);
        (self.start_at(machine, service, source, inbound).await, inbound)
    }

    async fn start_at(&self, machine: u8, service: &str, source: TestSource, inbound: SocketAddr) -> Rc<Node> {
        let ip = self.ip(machine);
        let settings = SidecarSettings {
            node: NodeName::new(format!("node-{machine}")),
            zone: ZoneName::new("zone"),
            service: ServiceName::new(service),
            instance: self.instance_address(machine),
            listen: ListenAddresses {
                outbound: self.outbound(machine),
                inbound,
                advertised: ip,
                readiness: self.readiness(machine),
                peers: SocketAddr::new(ip, PEERS_PORT),
                metrics: None,
            },
            source: SocketAddr::new(ip, 1),
            heartbeat: Duration::from_millis(100),
            bounds: Bounds {
                contact: self.contact,
                grace_period: Duration::from_secs(6),
                drain: self.drain,
                repeat_ratio: self.retry_ratio,
                repeat_slack: self.retry_slack,
                repeat_window: Duration::from_secs(10),
                keys_proven_within: self.keys_proven_within,
                quota: olivegate_quota::Tolerance { window: Duration::from_secs(5), overshoot: 0.25, slack: 20.0 },
            },
            machine: self.machine_limits(),
            quarantine: self.quarantine,
        };
        olivegate_sidecar::app::start(settings, WIRE_NAMES, source).await.unwrap()
    }

    /// Waits until `node` reports that it is ready.
    pub async fn wait_until_ready(node: &Rc<Node>) {
        eventually("the node is ready", || node.is_ready()).await;
    }
}

/// Polls until `condition` holds; panics after 1,000 polls 5 ms apart.
pub async fn eventually(what: &str, condition: impl Fn() -> bool) {
    for _ in 0..1_000 {
        if condition() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    panic!("timed out waiting until {what}");
}

pub fn route(path_prefix: &str, service: &str, safety: RetrySafety) -> Route {
    Route {
        name: format!("to-{service}{path_prefix}"),
        host: "shop".into(),
        path_prefix: path_prefix.into(),
        services: vec![WeightedService { service: ServiceName::new(service), weight: 1 }],
        safety,
        timeout: Some(Millis(2_000)),
        target_latency: Millis(1_000),
        priority: 1,
        attempts: 2,
        is_public: false,
    }
}

pub fn configuration(version: u64, routes: Vec<Route>) -> Configuration {
    let services = routes.iter().flat_map(|route| &route.services).map(|weighted| weighted.service.clone());
    let health_paths = services.map(|service| (service, HEALTH_PATH.to_string())).collect();
    Configuration {
        health_paths,
        version: ConfigurationVersion(version),
        routes,
        limits: ClientLimits::default(),
        tenants: None,
    }
}

/// Fault that the source shows on each call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Fault {
    #[default]
    None,
    /// Each call is refused with status 503.
    Refusing,
    /// Each call times out.
    Silent,
    /// Only reads that may be stale are answered; others time out.
    StaleReadsOnly,
}

/// An in-memory source with fault injection. Clones share its state.
#[derive(Clone, Default)]
pub struct TestSource {
    snapshot: Rc<RefCell<Snapshot>>,
    fault: Rc<Cell<Fault>>,
    /// Calls that begin to wait now miss all changes.
    misses_changes: Rc<Cell<bool>>,
    /// Calls that wait for changes end at once with a change that concerns no node.
    has_foreign_changes: Rc<Cell<bool>>,
    /// Calls that wait for changes report them in a form that can't be parsed.
    malformed_changes: Rc<Cell<bool>>,
    /// Number of instances in the readable part of the list; `None` if it is readable as a whole.
    readable: Rc<Cell<Option<usize>>>,
    /// Number of restores from a backup.
    restore_count: Rc<Cell<u64>>,
    /// Number of calls made through this handle.
    pub calls: Rc<Cell<u32>>,
}

impl TestSource {
    pub fn configure(&self, configuration: Configuration) {
        let mut snapshot = self.snapshot.borrow_mut();
        snapshot.configuration = Some(configuration);
        snapshot.list.revision.number += 1;
    }

    pub fn list(&self, instance: Instance) {
        let mut snapshot = self.snapshot.borrow_mut();
        snapshot.list.revision.number += 1;
        let revision = snapshot.list.revision;
        snapshot.list.instances.retain(|listed| listed.instance.name != instance.name);
        snapshot.list.instances.push(ListedInstance { instance, revision });
    }

    pub fn unlist(&self, name: &str) {
        let mut snapshot = self.snapshot.borrow_mut();
        snapshot.list.revision.number += 1;
        snapshot.list.instances.retain(|listed| listed.instance.name.as_str() != name);
    }

    /// Takes a backup of the whole state.
    pub fn backup(&self) -> Snapshot {
        self.snapshot.borrow().clone()
    }

    /// Restores a backup under a new epoch: later writes are lost, and their revision numbers are reused.
    pub fn restore(&self, mut backup: Snapshot) {
        let epoch = Epoch(self.restore_count.get() + 1);
        self.restore_count.set(epoch.0);
        backup.list.revision.epoch = epoch;
        backup.list.instances.iter_mut().for_each(|listed| listed.revision.epoch = epoch);
        *self.snapshot.borrow_mut() = backup;
    }

    pub fn set_down(&self, down: bool) {
        self.set_fault(if down { Fault::Refusing } else { Fault::None });
    }

    pub fn set_fault(&self, fault: Fault) {
        self.fault.set(fault);
    }

    /// A handle to the same source with its own fault and its own call count.
    pub fn separate_handle(&self) -> Self {
        TestSource { fault: Rc::default(), calls: Rc::default(), ..self.clone() }
    }

    /// From now on changes are reported in a form that can't be parsed.
    pub fn set_malformed_changes(&self) {
        self.malformed_changes.set(true);
    }

    /// Only the first instances of the list can be read.
    pub fn set_readable(&self, readable: Option<usize>) {
        self.readable.set(readable);
    }

    fn readable_list(&self) -> InstanceList {
        let mut list = self.snapshot.borrow().list.clone();
        if let Some(readable) = self.readable.get() {
            list.instances.truncate(readable);
            list.truncated = Some("the second page".into());
        }
        list
    }

    /// Watch calls that begin while this is set report no change before their wait ends.
    pub fn set_missing_changes(&self, misses_changes: bool) {
        self.misses_changes.set(misses_changes);
    }

    /// While this is set, somebody else writes to the source all the time.
    pub fn set_foreign_changes(&self, has_foreign_changes: bool) {
        self.has_foreign_changes.set(has_foreign_changes);
    }

    async fn call(&self, limit: Duration) -> Result<(), SourceError> {
        self.calls.set(self.calls.get() + 1);
        match self.fault.get() {
            Fault::None => Ok(()),
            Fault::Refusing => Err(SourceError::Refused(503)),
            Fault::Silent | Fault::StaleReadsOnly => {
                tokio::time::sleep(limit).await;
                Err(SourceError::TimedOut)
            }
        }
    }
}

impl Source for TestSource {
    async fn instances(&self, consistency: ReadConsistency, limit: Duration) -> Result<InstanceList, SourceError> {
        if consistency == ReadConsistency::Latest || self.fault.get() != Fault::StaleReadsOnly {
            self.call(limit).await?;
        }
        Ok(self.readable_list())
    }

    async fn snapshot(&self, limit: Duration) -> Result<Snapshot, SourceError> {
        self.call(limit).await?;
        let configuration = self.snapshot.borrow().configuration.clone();
        Ok(Snapshot { configuration, list: self.readable_list() })
    }

    /// Keeps no history: each change makes the caller read a full snapshot. A revision that this epoch has
    /// not reached yet counts as lost.
    async fn changes(&self, after: Revision, wait: Duration, limit: Duration) -> Result<Changes, SourceError> {
        self.call(limit).await?;
        let until = tokio::time::Instant::now() + wait;
        let misses_changes = self.misses_changes.get();
        let revision = self.snapshot.borrow().list.revision;
        if revision.epoch != after.epoch {
            let has_revision = revision.number >= after.number;
            return Err(if has_revision { SourceError::EpochChanged } else { SourceError::HistoryCompacted });
        }
        if self.has_foreign_changes.get() {
            self.snapshot.borrow_mut().list.revision.number += 1;
            return Ok(Changes { changes: Vec::new(), revision: self.snapshot.borrow().list.revision });
        }
        while misses_changes || self.snapshot.borrow().list.revision <= after {
            if tokio::time::Instant::now() >= until {
                return Ok(Changes { changes: Vec::new(), revision: after });
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        if self.malformed_changes.get() {
            return Err(SourceError::Malformed("an event".into()));
        }
        Err(SourceError::HistoryCompacted)
    }

    async fn configuration(&self, limit: Duration) -> Result<ConfigurationReading, SourceError> {
        self.call(limit).await?;
        let snapshot = self.snapshot.borrow();
        let configuration = snapshot.configuration.clone();
        Ok(ConfigurationReading { configuration, revision: snapshot.list.revision })
    }

    async fn latest_revision(&self, limit: Duration) -> Result<Revision, SourceError> {
        self.call(limit).await?;
        Ok(self.snapshot.borrow().list.revision)
    }

    async fn probe(&self, limit: Duration) -> Result<(), SourceError> {
        self.call(limit).await
    }
}

/// A tenant without a rate limit.
pub fn tenant(name: &str, keys: &[&str]) -> Tenant {
    Tenant {
        name: TenantName::new(name),
        keys: keys.iter().map(|key| ApiKey::new(*key)).collect(),
        priority: None,
        rate_per_s: 0.0,
        burst: 0.0,
    }
}
