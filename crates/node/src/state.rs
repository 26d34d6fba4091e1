//! State shared by all parts of a node.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, RwLock};

use olivegate_bundle::{BundleStore, IndexedBundle};
use olivegate_claims::ResponseCache;
use olivegate_control::ControlPool;
use olivegate_membership::{MemberRecord, MemberState, Membership, MembershipConfig};
use olivegate_overload::LevelTable;
use olivegate_retry::{RetryBudget, RetryLedger};
use olivegate_routing::{Balancer, rendezvous};
use olivegate_types::{InstanceName, NodeName, RequestId};
use tokio::net::UdpSocket;
use tokio::sync::watch;

use crate::control_loops::seats::SeatTable;
use crate::directory::{Directory, Instance};
use crate::edge::peers::PeerPool;
use crate::explain::{Decision, DecisionLog};
use crate::gate::GateTable;
use crate::metrics::Metrics;
use crate::settings::{ListenAddresses, NodeSettings};
use crate::stop::StopSignal;
use olivegate_clock as clock;

/// Maximum number of bundle versions kept, with the one in force. Older ones stay so that a request
/// finishes under the version that admitted it.
const MAX_BUNDLES: usize = 8;

/// Locks a mutex and ignores poisoning, so that a panic of one task doesn't bring the node down.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// Cache of the gate of each instance, cleared when a member changes. Hashing over all members of a zone
/// for each call costs too much in large zones.
#[derive(Default)]
struct GateOwners {
    member_changes: u64,
    owners: HashMap<InstanceName, Option<MemberRecord>>,
}

/// Shared state of one node.
pub struct NodeState {
    /// Checked settings.
    pub settings: NodeSettings,
    /// Addresses that were bound.
    pub addresses: ListenAddresses,
    /// Store of the latest bundle, with the version floor.
    pub bundles: Mutex<BundleStore>,
    in_force: RwLock<VecDeque<Arc<IndexedBundle>>>,
    /// True once a peer has reported its bundle version, or if the settings list no peers.
    pub floor_learnt: std::sync::atomic::AtomicBool,
    /// Cluster members and the failure detector.
    pub membership: Mutex<Membership>,
    /// Counts changes of members' states; watchers are notified of each.
    pub member_changes: watch::Sender<u64>,
    /// Socket for control datagrams.
    pub datagrams: UdpSocket,
    gate_owners: Mutex<GateOwners>,
    /// Back-end instances.
    pub directory: RwLock<Directory>,
    /// Load balancer, with this node's own observations of the instances.
    pub balancer: Mutex<Balancer>,
    /// Admission levels reported in the replies of gates.
    pub levels: Mutex<LevelTable>,
    /// Retry credits of the root requests that this node admitted.
    pub retry_ledger: Mutex<RetryLedger>,
    /// Retry budget of this node.
    pub retry_budget: Mutex<RetryBudget>,
    /// Gates of the instances for which this node is responsible.
    pub gates: GateTable,
    /// Seats of the claim group that this node holds.
    pub seats: Mutex<SeatTable>,
    /// Responses cached for duplicates of keyed requests.
    pub response_cache: Mutex<ResponseCache>,
    /// Recent decisions, for `explain`.
    pub decisions: Mutex<DecisionLog>,
    /// Metrics.
    pub metrics: Metrics,
    /// Connections to the control ports of other nodes.
    pub control: ControlPool,
    /// Connections to the data ports of other nodes.
    pub peers: PeerPool,
    /// Stop signal and count of calls in flight.
    pub stop: StopSignal,
}

/// Shared handle to the state of a node.
pub type Node = Arc<NodeState>;

impl NodeState {
    /// State of a node that has just started.
    pub fn new(settings: NodeSettings, addresses: ListenAddresses, datagrams: UdpSocket) -> Self {
        let own = MemberRecord {
            name: settings.node.clone(),
            zone: settings.zone.clone(),
            control: addresses.control,
            data: addresses.data,
            incarnation: clock::unix_ms(),
            state: MemberState::Alive,
            seats: Vec::new(),
        };
        let seed = clock::unix_ms();
        let membership = Membership::new(own, settings.seeds.clone(), MembershipConfig::default(), seed);
        let store = BundleStore::new(settings.deployment.clone(), settings.sign_off.clone());
        NodeState {
            bundles: Mutex::new(store),
            in_force: RwLock::default(),
            floor_learnt: std::sync::atomic::AtomicBool::new(false),
            membership: Mutex::new(membership),
            member_changes: watch::Sender::new(0),
            datagrams,
            gate_owners: Mutex::default(),
            directory: RwLock::default(),
            balancer: Mutex::default(),
            levels: Mutex::default(),
            retry_ledger: Mutex::default(),
            retry_budget: Mutex::default(),
            gates: GateTable::default(),
            seats: Mutex::new(SeatTable::new(settings.seat_zones.len())),
            response_cache: Mutex::default(),
            decisions: Mutex::default(),
            metrics: Metrics::default(),
            control: ControlPool::new(settings.key.clone()),
            peers: PeerPool::default(),
            stop: StopSignal::default(),
            settings,
            addresses,
        }
    }

    /// Name of this node.
    pub fn name(&self) -> &NodeName {
        &self.settings.node
    }

    /// The bundle in force.
    pub fn bundle(&self) -> Option<Arc<IndexedBundle>> {
        let in_force = self.in_force.read().unwrap_or_else(std::sync::PoisonError::into_inner);
        in_force.front().cloned()
    }

    /// The bundle of `version` if it is still kept, else the one in force.
    pub fn bundle_for_version(&self, version: u64) -> Option<Arc<IndexedBundle>> {
        let in_force = self.in_force.read().unwrap_or_else(std::sync::PoisonError::into_inner);
        let exact = in_force.iter().find(|bundle| bundle.stamp().version == version);
        exact.or(in_force.front()).cloned()
    }

    /// Puts a bundle in force and applies its settings to the gates.
    pub fn put_in_force(&self, bundle: IndexedBundle) {
        self.metrics.bundle_version.set(bundle.stamp().version as i64);
        self.gates.configure(bundle.bundle());
        let mut in_force = self.in_force.write().unwrap_or_else(std::sync::PoisonError::into_inner);
        in_force.push_front(Arc::new(bundle));
        in_force.truncate(MAX_BUNDLES);
    }

    /// True when the node may admit requests: a bundle at or above the version floor is in force and the
    /// view of the members is fresh.
    pub fn is_ready(&self) -> bool {
        let learnt = self.floor_learnt.load(std::sync::atomic::Ordering::Relaxed);
        learnt && lock(&self.bundles).may_serve() && self.is_view_fresh()
    }

    /// False after the process was paused, until it has heard from a member again.
    pub fn is_view_fresh(&self) -> bool {
        lock(&self.membership).is_view_fresh(clock::now())
    }

    /// The node that is the gate of an instance: a member of the instance's zone if one is usable there,
    /// else any usable member.
    pub fn gate_of(&self, instance: &Instance) -> Option<MemberRecord> {
        let member_changes = *self.member_changes.borrow();
        let mut cache = lock(&self.gate_owners);
        if cache.member_changes != member_changes {
            cache.member_changes = member_changes;
            cache.owners.clear();
        }
        if let Some(owner) = cache.owners.get(&instance.name) {
            return owner.clone();
        }
        let owner = self.compute_gate(instance);
        cache.owners.insert(instance.name.clone(), owner.clone());
        owner
    }

    fn compute_gate(&self, instance: &Instance) -> Option<MemberRecord> {
        let membership = lock(&self.membership);
        let mut candidates = membership.usable_in(&instance.zone);
        if candidates.is_empty() {
            candidates = membership.usable();
        }
        let owner = rendezvous::owner(instance.name.as_str(), candidates.iter(), |record| record.name.as_str());
        owner.map(|record| (*record).clone())
    }

    /// A copy of an instance's directory entry.
    pub fn instance(&self, name: &InstanceName) -> Option<Instance> {
        self.read_directory().get(name).cloned()
    }

    /// The directory, for reading.
    pub fn read_directory(&self) -> std::sync::RwLockReadGuard<'_, Directory> {
        self.directory.read().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// The directory, for writing.
    pub fn write_directory(&self) -> std::sync::RwLockWriteGuard<'_, Directory> {
        self.directory.write().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Records a decision for `explain`.
    pub fn record_decision(&self, request: RequestId, hop: u8, decision: Decision) {
        lock(&self.decisions).record(request, clock::unix_ms(), hop, decision);
    }

    /// The address to dial for an address that a member announces.
    pub fn dial_address(&self, announced: SocketAddr) -> SocketAddr {
        self.settings.dial_address(announced)
    }

    /// True while `peer` is neither suspected nor declared dead.
    pub fn is_answering(&self, peer: &NodeName) -> bool {
        lock(&self.membership).get(peer).is_some_and(MemberRecord::is_answering)
    }
}
