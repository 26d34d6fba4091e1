//! What all parts of a node share. A node runs on one thread.

use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

use olivegate_authentication::key_table::HashSecret;
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
use crate::event::{LogBudgets, LogClass};
use crate::gate::Gate;
use crate::gate_protocol::KnownState;
use crate::lineage::Lineage;
use crate::metrics::Metrics;
use crate::model::{Configuration, Incarnation};
use crate::peers::attestation::Attestation;
use crate::peers::freshness::Freshness;
use crate::peers::suspects::ServiceMachines;
use crate::routes::{RouteTable, WeightedRoundRobin};
use crate::settings::SidecarSettings;
use crate::stop::StopState;
use crate::wire_names::WireNames;
use olivegate_clock as clock;

/// Time after the source's return within which live instances have written lost entries again:
/// two seconds, and some for the reading.
const REWRITTEN_WITHIN: Duration = Duration::from_millis(2_300);
/// Time within which the gate of an instance whose entry went away says whether it lives: a
/// call of the source that is not answered, and the way to all nodes.
const CONFIRMED_WITHIN: Duration = Duration::from_millis(600);
/// Heartbeats within which an instance that has just started is listed.
const LISTED_HEARTBEATS: u32 = 2;
/// Heartbeats of silence after which the source drops an entry.
const LAPSED_HEARTBEATS: u32 = 3;
/// Time that the end of an entry takes to be known here.
const LAPSE_SLACK: Duration = Duration::from_millis(500);
/// Time for which a reported level holds: edges where a class is rare hear of it this seldom.
const LEVEL_HOLD: Duration = Duration::from_millis(500);
/// Bytes that are held of a body and of an answer that are read whole, at most.
const LARGEST_PIECES: u64 = 128 << 10;
/// Weight of one request in the mean of what requests hold.
const REQUEST_BYTES_WEIGHT: f64 = 0.02;

/// Configuration and directory.
#[derive(Debug)]
pub struct ClusterState {
    /// The configuration in force.
    pub configuration: Option<Rc<Configuration>>,
    /// Its routes.
    pub routes: Option<Rc<RouteTable>>,
    /// The instances.
    pub directory: Directory,
}

/// A node.
pub struct Node {
    settings: RefCell<Rc<SidecarSettings>>,
    /// Header names.
    pub wire_names: WireNames,
    /// Configuration and directory.
    pub cluster: RefCell<ClusterState>,
    /// Told when configuration or directory changed.
    pub cluster_changed: Notify,
    /// Keys and quotas.
    pub access: Access,
    /// Observations of instances.
    pub balancer: RefCell<Balancer>,
    /// Rates that instances declare.
    pub declared_rates: RefCell<DeclaredRates>,
    /// Deals weighted routes.
    pub weighted_round_robin: RefCell<WeightedRoundRobin>,
    /// How much of each class is let begin, as gates report.
    pub levels: RefCell<LevelTable>,
    /// Whether this process keeps up with its work.
    pub pressure: RefCell<ProcessPressure>,
    /// When that was last sampled.
    pub lateness_sampled: Cell<Moment>,
    /// Which requests are calls of the instance.
    pub lineage: RefCell<Lineage>,
    /// Connections to gates.
    pub gate_connections: GateConnectionPool,
    /// The instance beside this node.
    pub gate: Gate,
    /// Machines beside instances of this node's service.
    pub service_machines: RefCell<ServiceMachines>,
    /// Gates that were asked what they suspect and have not answered.
    pub pending_gates: RefCell<HashSet<IpAddr>>,
    /// How recent the knowledge is, and who reads the source.
    pub freshness: RefCell<Freshness>,
    /// Since when the source can't be read from here.
    pub source_unreachable_since: Cell<Option<Moment>>,
    /// Bytes that a request and its answer hold on average; as much as they may at first.
    request_bytes: Cell<f64>,
    /// Attestations that are to be passed on.
    pub attestations: RefCell<Vec<Attestation>>,
    /// Told when there are such.
    pub attestations_changed: Notify,
    /// Stop and requests in flight.
    pub stop: Rc<StopState>,
    /// Metrics.
    pub metrics: Metrics,
    /// Bound on log lines about requests.
    pub lines: LogBudgets,
    random: RefCell<SmallRng>,
}

impl Node {
    /// A node that knows nothing yet.
    pub fn new(settings: SidecarSettings, wire_names: WireNames) -> Self {
        let hold = RetentionPolicy {
            rewritten_within: REWRITTEN_WITHIN,
            confirmed_within: CONFIRMED_WITHIN,
            listed_within: settings.heartbeat * LISTED_HEARTBEATS,
            expires_within: settings.heartbeat * LAPSED_HEARTBEATS + LAPSE_SLACK,
        };
        let cluster = ClusterState { configuration: None, routes: None, directory: Directory::new(hold) };
        let freshness = Freshness::new(settings.ip());
        Node {
            settings: RefCell::new(Rc::new(settings)),
            wire_names,
            cluster: RefCell::new(cluster),
            cluster_changed: Notify::new(),
            access: Access::new(HashSecret(rand::rng().random()), rand::rng().random()),
            balancer: RefCell::default(),
            declared_rates: RefCell::default(),
            weighted_round_robin: RefCell::default(),
            levels: RefCell::new(LevelTable::with_hold(LEVEL_HOLD)),
            pressure: RefCell::default(),
            lateness_sampled: Cell::new(Moment::START),
            lineage: RefCell::default(),
            gate_connections: GateConnectionPool::default(),
            gate: Gate::default(),
            service_machines: RefCell::default(),
            pending_gates: RefCell::default(),
            freshness: RefCell::new(freshness),
            source_unreachable_since: Cell::new(None),
            request_bytes: Cell::new(LARGEST_PIECES as f64),
            attestations: RefCell::default(),
            attestations_changed: Notify::new(),
            stop: Rc::default(),
            metrics: Metrics::default(),
            lines: LogBudgets::default(),
            random: RefCell::new(SmallRng::from_rng(&mut rand::rng())),
        }
    }

    /// The settings in force.
    pub fn settings(&self) -> Rc<SidecarSettings> {
        self.settings.borrow().clone()
    }

    /// Puts new settings in force. Addresses that are bound already stay.
    pub fn replace_settings(&self, settings: SidecarSettings) {
        *self.settings.borrow_mut() = Rc::new(settings);
    }

    /// The routes in force; `None` before the first configuration.
    pub fn routes(&self) -> Option<Rc<RouteTable>> {
        self.cluster.borrow().routes.clone()
    }

    /// Version of the configuration and state of the directory.
    pub fn known_state(&self) -> KnownState {
        let cluster = self.cluster.borrow();
        let configuration = cluster.configuration.as_ref().map(|configuration| configuration.version);
        KnownState { configuration: configuration.unwrap_or_default(), directory: cluster.directory.revision() }
    }

    /// Puts `configuration` in force unless one as new is. True when it is in force now.
    pub fn accept_configuration(&self, configuration: Configuration, from: &str) -> bool {
        let current = self.known_state().configuration;
        if configuration.version <= current {
            return false;
        }
        if let Err(error) = self.access.apply_tenants(&configuration.tenants, &self.settings().bounds) {
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
            configuration.tenants.len(),
        );
        self.metrics.set_state("configuration_version", configuration.version.0);
        self.weighted_round_robin.borrow_mut().retain(&configuration);
        let is_configured = |name: &str| configuration.routes.iter().any(|route| route.name == name);
        self.levels.borrow_mut().retain(|class| is_configured(class.root_kind.as_str()));
        self.lineage.borrow_mut().retain(is_configured);
        let mut cluster = self.cluster.borrow_mut();
        cluster.routes = Some(Rc::new(RouteTable::new(&configuration)));
        cluster.configuration = Some(Rc::new(configuration));
        drop(cluster);
        self.cluster_changed.notify_waiters();
        true
    }

    /// Changes the directory; `change` says whether anything changed.
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
        // An instance that has started again is another one: slowness and failures of the one before
        // would keep requests from it.
        let is_same = |name: &InstanceName| !restarted.contains(name);
        let is_listed = |name: &InstanceName| cluster.directory.instance(name).is_some();
        self.balancer.borrow_mut().retain(|name| is_listed(name) && is_same(name));
        // One whose entry has gone may still live, and come back with what it said in force.
        let is_known = |name: &InstanceName| cluster.directory.status(name) != InstanceStatus::Unknown;
        self.declared_rates.borrow_mut().retain(|name| is_known(name) && is_same(name));
        drop(cluster);
        self.cluster_changed.notify_waiters();
    }

    /// This start of an instance has said that it leaves; `from` tells who has heard it.
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

    /// True when the node can serve: it knows routes and instances and does not stop.
    pub fn is_ready(&self) -> bool {
        let cluster = self.cluster.borrow();
        cluster.routes.is_some() && cluster.directory.ready_count() > 0 && !self.stop.is_stopping()
    }

    /// Notes what a request and its answer held.
    pub fn note_request_bytes(&self, bytes: usize) {
        let mean = self.request_bytes.get();
        self.request_bytes.set(mean + (bytes as f64 - mean) * REQUEST_BYTES_WEIGHT);
    }

    /// True when as many requests are on their way as the machine's memory allows.
    pub fn is_at_request_limit(&self) -> bool {
        let max = self.settings().machine.max_requests_of(self.request_bytes.get() as u64);
        self.stop.in_flight() > max
    }

    /// Calls `with` with the node's random numbers.
    pub fn random<T>(&self, with: impl FnOnce(&mut SmallRng) -> T) -> T {
        with(&mut self.random.borrow_mut())
    }

    /// True when a line of `class` about this request may be logged now.
    pub fn may_log(&self, class: LogClass, request_id: &[u8]) -> bool {
        self.lines.take(class, request_id, clock::now())
    }
}
