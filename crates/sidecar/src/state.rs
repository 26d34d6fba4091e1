//! State that all parts of a node share. A node runs on one thread.

use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

use olivegate_authentication::key_table::HashSecret;
use olivegate_http1::RequestLimits;
use olivegate_overload::{LevelTable, ProcessPressure};
use olivegate_routing::balance::Balancer;
use olivegate_types::{InstanceName, Moment};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use tokio::sync::Notify;

use crate::access::Access;
use crate::declared::DeclaredRates;
use crate::directory::retention::RetentionPolicy;
use crate::directory::{Directory, InstanceStatus};
use crate::edge::gate_connection_pool::GateConnectionPool;
use crate::edge::held_response::HeldBytes;
use crate::event::{LogBudgets, LogClass};
use crate::gate::Gate;
use crate::gate_protocol::KnownState;
use crate::lineage::Lineage;
use crate::metrics::Metrics;
use crate::model::{ClientLimits, Configuration, Incarnation};
use crate::peers::attestation::Attestation;
use crate::peers::freshness::Freshness;
use crate::peers::suspects::ServiceMachines;
use crate::reload::ReadSettings;
use crate::routes::{RouteTable, WeightedRoundRobin};
use crate::settings::SidecarSettings;
use crate::stop::StopState;
use crate::wire_names::WireNames;
use olivegate_clock as clock;

/// Time after the source recovers within which live instances write lost entries again: two seconds, plus
/// time to read them.
const REWRITTEN_WITHIN: Duration = Duration::from_millis(2_300);
/// Time within which the gate of an instance whose entry was removed attests that it is alive or confirms the
/// removal: one call of the source that times out, and the propagation to all nodes.
const CONFIRMED_WITHIN: Duration = Duration::from_millis(600);
/// Heartbeats within which an instance that has just started is listed.
const LISTED_HEARTBEATS: u32 = 2;
/// Missed heartbeats after which the source drops an entry.
const EXPIRY_HEARTBEATS: u32 = 3;
/// Time until an expired entry is known here.
const EXPIRY_SLACK: Duration = Duration::from_millis(500);
/// How long a reported level is valid. Edges that rarely call a class hear of its level only this often.
const LEVEL_VALIDITY: Duration = Duration::from_millis(500);
/// Maximum bytes buffered of a body and of a response that are read as a whole.
const MAX_BUFFERED_BYTES: u64 = 128 << 10;
/// Weight of one request in the moving average of buffered bytes.
const REQUEST_BYTES_WEIGHT: f64 = 0.02;

/// Size limits before the first configuration. All requests are then refused without reading a long body, so
/// the body has no limit of its own, whose rejection would be final.
const UNCONFIGURED_REQUEST_LIMITS: RequestLimits =
    RequestLimits { max_head_bytes: 64 << 10, max_body_bytes: u64::MAX };

/// The configuration and the directory.
#[derive(Debug)]
pub struct ClusterState {
    /// The configuration in force.
    pub configuration: Option<Rc<Configuration>>,
    /// The routes of this configuration.
    pub routes: Option<Rc<RouteTable>>,
    /// The known instances.
    pub directory: Directory,
}

/// The shared state of a node.
pub struct Node {
    settings: RefCell<Rc<SidecarSettings>>,
    /// Reads the settings again; `None` if they cannot change.
    settings_reader: RefCell<Option<ReadSettings>>,
    /// Header names of the deployment.
    pub wire_names: WireNames,
    /// The configuration and the directory.
    pub cluster: RefCell<ClusterState>,
    /// Notified when the configuration or the directory changed.
    pub cluster_changed: Notify,
    /// Keys and quotas.
    pub access: Access,
    /// Load balancing state of the instances.
    pub balancer: RefCell<Balancer>,
    /// Rates that instances declare.
    pub declared_rates: RefCell<DeclaredRates>,
    /// Distributes requests of weighted routes.
    pub weighted_round_robin: RefCell<WeightedRoundRobin>,
    /// Admission levels by class, as reported by gates.
    pub levels: RefCell<LevelTable>,
    /// Whether this process keeps up with its work.
    pub pressure: RefCell<ProcessPressure>,
    /// When the lateness of this process was last sampled.
    pub lateness_sampled: Cell<Moment>,
    /// Tells which requests are calls of the instance beside this node.
    pub lineage: RefCell<Lineage>,
    /// Size limits of clients' requests, for the decoders of their connections.
    request_limits: Rc<Cell<RequestLimits>>,
    /// Connections to remote gates.
    pub gate_connections: GateConnectionPool,
    /// Bytes of responses that are held while others wait behind them.
    pub held_bytes: Rc<HeldBytes>,
    /// The gate of the instance beside this node.
    pub gate: Gate,
    /// Machines with instances of this node's service.
    pub service_machines: RefCell<ServiceMachines>,
    /// Gates whose quarantine reports were requested and not yet received.
    pub pending_gates: RefCell<HashSet<IpAddr>>,
    /// How recent the state is, and which nodes read the source.
    pub freshness: RefCell<Freshness>,
    /// Since when this node cannot reach the source.
    pub source_unreachable_since: Cell<Option<Moment>>,
    /// Moving average of the bytes that a request and its response buffer; begins with the maximum.
    request_bytes: Cell<f64>,
    /// Attestations that are to be forwarded.
    pub attestations: RefCell<Vec<Attestation>>,
    /// Notified when there are attestations to forward.
    pub attestations_changed: Notify,
    /// Shutdown state and requests in flight.
    pub stop: Rc<StopState>,
    /// Metrics.
    pub metrics: Metrics,
    /// Limits the log lines about requests.
    pub log_budgets: LogBudgets,
    random: RefCell<SmallRng>,
}

impl Node {
    /// Creates a node without configuration or instances.
    pub fn new(settings: SidecarSettings, wire_names: WireNames) -> Self {
        let retention = RetentionPolicy {
            rewritten_within: REWRITTEN_WITHIN,
            confirmed_within: CONFIRMED_WITHIN,
            listed_within: settings.heartbeat * LISTED_HEARTBEATS,
            expires_within: settings.heartbeat * EXPIRY_HEARTBEATS + EXPIRY_SLACK,
        };
        let cluster = ClusterState { configuration: None, routes: None, directory: Directory::new(retention) };
        let freshness = Freshness::new(settings.ip());
        let max_idle_gate_connections = settings.machine.max_idle_gate_connections();
        let held_bytes = HeldBytes::new(settings.machine.max_held_bytes());
        Node {
            settings: RefCell::new(Rc::new(settings)),
            settings_reader: RefCell::default(),
            wire_names,
            cluster: RefCell::new(cluster),
            cluster_changed: Notify::new(),
            access: Access::new(HashSecret(rand::rng().random()), rand::rng().random()),
            balancer: RefCell::default(),
            declared_rates: RefCell::default(),
            weighted_round_robin: RefCell::default(),
            levels: RefCell::new(LevelTable::with_hold(LEVEL_VALIDITY)),
            pressure: RefCell::default(),
            lateness_sampled: Cell::new(Moment::START),
            lineage: RefCell::default(),
            request_limits: Rc::new(Cell::new(UNCONFIGURED_REQUEST_LIMITS)),
            gate_connections: GateConnectionPool::new(max_idle_gate_connections),
            held_bytes,
            gate: Gate::default(),
            service_machines: RefCell::default(),
            pending_gates: RefCell::default(),
            freshness: RefCell::new(freshness),
            source_unreachable_since: Cell::new(None),
            request_bytes: Cell::new(MAX_BUFFERED_BYTES as f64),
            attestations: RefCell::default(),
            attestations_changed: Notify::new(),
            stop: Rc::default(),
            metrics: Metrics::default(),
            log_budgets: LogBudgets::default(),
            random: RefCell::new(SmallRng::from_rng(&mut rand::rng())),
        }
    }

    /// Returns the settings in force.
    pub fn settings(&self) -> Rc<SidecarSettings> {
        self.settings.borrow().clone()
    }

    /// Replaces the settings. Sockets that are already bound stay as they are.
    pub fn replace_settings(&self, settings: SidecarSettings) {
        *self.settings.borrow_mut() = Rc::new(settings);
    }

    /// Sets how the settings are read again.
    pub fn set_settings_reader(&self, read_settings: ReadSettings) {
        *self.settings_reader.borrow_mut() = Some(read_settings);
    }

    /// Reads the settings again, without putting them in force; `None` if they cannot change.
    pub fn read_settings(&self) -> Option<Result<SidecarSettings, String>> {
        self.settings_reader.borrow().as_ref().map(|read| read())
    }

    /// Returns the routes in force; `None` before the first configuration.
    pub fn routes(&self) -> Option<Rc<RouteTable>> {
        self.cluster.borrow().routes.clone()
    }

    /// Returns the limits on clients in force.
    pub fn client_limits(&self) -> ClientLimits {
        let cluster = self.cluster.borrow();
        cluster.routes.as_ref().map(|routes| routes.limits()).unwrap_or_default()
    }

    /// Returns the size limits of clients' requests, which follow the configuration.
    pub fn request_limits(&self) -> Rc<Cell<RequestLimits>> {
        self.request_limits.clone()
    }

    /// Returns the version of the configuration and the revision of the directory.
    pub fn known_state(&self) -> KnownState {
        let cluster = self.cluster.borrow();
        let configuration = cluster.configuration.as_ref().map(|configuration| configuration.version);
        KnownState { configuration: configuration.unwrap_or_default(), directory: cluster.directory.revision() }
    }

    /// Puts `configuration` in force if it is newer than the current one and valid. Returns true if it did.
    pub fn accept_configuration(&self, configuration: Configuration, from: &str) -> bool {
        let current = self.known_state().configuration;
        if configuration.version <= current {
            return false;
        }
        let tenants = configuration.tenants.as_deref();
        if let Err(error) = self.access.apply_tenants(tenants, &self.settings().bounds, clock::now()) {
            log::error!(
                "event=configuration_rejected version={} in_force={current} from={from} error={:?}",
                configuration.version,
                error.to_string(),
            );
            return false;
        }
        log::info!(
            "event=configuration_in_force version={} before={current} from={from} routes={} tenants={}",
            configuration.version,
            configuration.routes.len(),
            configuration.tenants.as_ref().map_or("none".to_string(), |tenants| tenants.len().to_string()),
        );
        self.metrics.set_state("configuration_version", configuration.version.0);
        self.weighted_round_robin.borrow_mut().retain(&configuration);
        let is_configured = |name: &str| configuration.routes.iter().any(|route| route.name == name);
        self.levels.borrow_mut().retain(|class| is_configured(class.root_kind.as_str()));
        self.lineage.borrow_mut().retain(is_configured);
        self.metrics.retain_routes(is_configured);
        let limits = configuration.limits;
        self.request_limits.set(RequestLimits {
            max_head_bytes: limits.max_head_bytes as usize,
            max_body_bytes: limits.max_body_bytes,
        });
        let mut cluster = self.cluster.borrow_mut();
        cluster.routes = Some(Rc::new(RouteTable::new(&configuration)));
        cluster.configuration = Some(Rc::new(configuration));
        drop(cluster);
        self.cluster_changed.notify_waiters();
        true
    }

    /// Applies `change` to the directory, which returns whether anything changed, and updates what depends on
    /// it.
    pub fn update_directory(&self, from: &str, change: impl FnOnce(&mut Directory) -> bool) {
        let (changed, revision, ready, restarted) = {
            let directory = &mut self.cluster.borrow_mut().directory;
            let changed = change(directory);
            (changed, directory.revision(), directory.ready_count(), directory.take_restarted())
        };
        self.metrics.set_state("directory_revision", revision.number);
        self.metrics.set_state("directory_epoch", revision.epoch.0);
        if !changed {
            return;
        }
        log::info!("event=directory_changed revision={revision} ready={ready} from={from}");
        self.metrics.set_state("ready_instances", ready as u64);
        self.gate.follow_directory(self);
        self.note_service_machines();
        let cluster = self.cluster.borrow();
        // A restarted instance is a different one. The latency and failures of its predecessor must not keep
        // requests away from it.
        let is_same = |name: &InstanceName| !restarted.contains(name);
        let is_listed = |name: &InstanceName| cluster.directory.instance(name).is_some();
        self.balancer.borrow_mut().retain(|name| is_listed(name) && is_same(name));
        // An instance whose entry was removed may still be alive and be listed again; the rate that it
        // declared then still applies.
        self.gate_connections.retain_machines(&cluster.directory.listed_machines());
        let is_known = |name: &InstanceName| cluster.directory.status(name) != InstanceStatus::Unknown;
        self.declared_rates.borrow_mut().retain(|name| is_known(name) && is_same(name));
        drop(cluster);
        self.cluster_changed.notify_waiters();
    }

    /// Records that this incarnation of an instance announced that it is leaving. `from` names the origin for
    /// logs.
    pub fn note_leaving(&self, name: &InstanceName, incarnation: Incarnation, from: &str) {
        if self.cluster.borrow().directory.has_announced_leaving(name, incarnation) {
            return;
        }
        log::info!("event=instance_leaving instance={} from={from}", incarnation.start_name(name));
        self.update_directory(from, |directory| directory.note_leaving(name, incarnation, clock::now()));
    }

    fn note_service_machines(&self) {
        let instances = self.cluster.borrow().directory.ready_instances(&self.settings().service);
        let machines = instances.iter().map(|instance| instance.address.ip());
        self.service_machines.borrow_mut().note(machines, clock::now());
    }

    /// Returns true if the node can serve: it knows routes and ready instances, and is not shutting down.
    pub fn is_ready(&self) -> bool {
        let cluster = self.cluster.borrow();
        cluster.routes.is_some() && cluster.directory.ready_count() > 0 && !self.stop.is_stopping()
    }

    /// Records the bytes that a request and its response buffered.
    pub fn note_request_bytes(&self, bytes: usize) {
        let mean = self.request_bytes.get();
        self.request_bytes.set(mean + (bytes as f64 - mean) * REQUEST_BYTES_WEIGHT);
    }

    /// Returns true if more requests are in flight than the machine's memory allows.
    pub fn is_at_request_limit(&self) -> bool {
        let max = self.settings().machine.max_requests_of(self.request_bytes.get() as u64);
        self.stop.in_flight() > max
    }

    /// Calls `with` with the node's random number generator.
    pub fn random<T>(&self, with: impl FnOnce(&mut SmallRng) -> T) -> T {
        with(&mut self.random.borrow_mut())
    }

    /// Returns true if a line of `class` about this request may be logged now.
    pub fn may_log(&self, class: LogClass, request_id: &[u8]) -> bool {
        self.log_budgets.take(class, request_id, clock::now())
    }
}
