//! What the parts of a node share.

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

/// Earlier bundles kept, so that a request ends under the version that admitted it.
const BUNDLES_KEPT: usize = 8;

/// Locks a mutex; a panic elsewhere doesn't take the node down.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// Gates found by hashing, kept until a member changes: hashing over all members of a
/// zone for each call costs too much in large zones.
#[derive(Default)]
struct GateOwners {
    member_changes: u64,
    owners: HashMap<InstanceName, Option<MemberRecord>>,
}

/// Shared state of one node.
pub struct NodeState {
    /// Checked settings.
    pub settings: NodeSettings,
    /// Addresses really bound.
    pub addresses: ListenAddresses,
    /// Bundle versions and the floor.
    pub bundles: Mutex<BundleStore>,
    in_force: RwLock<VecDeque<Arc<IndexedBundle>>>,
    /// True once a peer told its version, or there are no peers.
    pub floor_learnt: std::sync::atomic::AtomicBool,
    /// Members.
    pub membership: Mutex<Membership>,
    /// Raised with each change of a member's state.
    pub member_changes: watch::Sender<u64>,
    /// Socket for control datagrams.
    pub datagrams: UdpSocket,
    gate_owners: Mutex<GateOwners>,
    /// Back-end instances.
    pub directory: RwLock<Directory>,
    /// Own observations of instances.
    pub balancer: Mutex<Balancer>,
    /// Admission levels learnt from replies.
    pub levels: Mutex<LevelTable>,
    /// Retry credits of own root requests.
    pub retry_ledger: Mutex<RetryLedger>,
    /// Local retry budget.
    pub retry_budget: Mutex<RetryBudget>,
    /// Gates of instances.
    pub gates: GateTable,
    /// Seats held here.
    pub seats: Mutex<SeatTable>,
    /// Answers kept for repeats.
    pub response_cache: Mutex<ResponseCache>,
    /// Recent decisions.
    pub decisions: Mutex<DecisionLog>,
    /// Metrics.
    pub metrics: Metrics,
    /// Control connections.
    pub control: ControlPool,
    /// Data connections.
    pub peers: PeerPool,
    /// Stop signal.
    pub stop: StopSignal,
}

/// Shared handle.
pub type Node = Arc<NodeState>;

impl NodeState {
    /// State of a node that was just started.
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

    /// The bundle of this version if it is still kept, else the one in force.
    pub fn bundle_for_version(&self, version: u64) -> Option<Arc<IndexedBundle>> {
        let in_force = self.in_force.read().unwrap_or_else(std::sync::PoisonError::into_inner);
        let exact = in_force.iter().find(|bundle| bundle.stamp().version == version);
        exact.or(in_force.front()).cloned()
    }

    /// Puts a bundle in force.
    pub fn put_in_force(&self, bundle: IndexedBundle) {
        self.metrics.bundle_version.set(bundle.stamp().version as i64);
        self.gates.configure(bundle.bundle());
        let mut in_force = self.in_force.write().unwrap_or_else(std::sync::PoisonError::into_inner);
        in_force.push_front(Arc::new(bundle));
        in_force.truncate(BUNDLES_KEPT);
    }

    /// True when the node may admit requests: a bundle at or above the floor is in
    /// force and the view of the members is fresh.
    pub fn is_ready(&self) -> bool {
        let learnt = self.floor_learnt.load(std::sync::atomic::Ordering::Relaxed);
        learnt && lock(&self.bundles).may_serve() && self.is_view_fresh()
    }

    /// False after the process was stopped, until a member was heard again.
    pub fn is_view_fresh(&self) -> bool {
        lock(&self.membership).is_view_fresh(clock::now())
    }

    /// The node that is the gate of an instance: of the instance's zone if any is usable there.
    pub fn gate_of(&self, instance: &Instance) -> Option<MemberRecord> {
        let changes = *self.member_changes.borrow();
        let mut cache = lock(&self.gate_owners);
        if cache.member_changes != changes {
            cache.member_changes = changes;
            cache.owners.clear();
        }
        if let Some(owner) = cache.owners.get(&instance.name) {
            return owner.clone();
        }
        let owner = self.find_gate(instance);
        cache.owners.insert(instance.name.clone(), owner.clone());
        owner
    }

    fn find_gate(&self, instance: &Instance) -> Option<MemberRecord> {
        let membership = lock(&self.membership);
        let mut candidates = membership.usable_in(&instance.zone);
        if candidates.is_empty() {
            candidates = membership.usable();
        }
        let owner = rendezvous::owner(instance.name.as_str(), candidates.iter(), |record| record.name.as_str());
        owner.map(|record| (*record).clone())
    }

    /// A snapshot of an instance's entry.
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

    /// Notes a decision for `explain`.
    pub fn record_decision(&self, request: RequestId, hop: u8, decision: Decision) {
        lock(&self.decisions).record(request, clock::unix_ms(), hop, decision);
    }

    /// The address at which a member is dialled from here.
    pub fn dial(&self, announced: SocketAddr) -> SocketAddr {
        self.settings.dial(announced)
    }

    /// True while `peer` is neither suspected nor held for dead.
    pub fn is_answering(&self, peer: &NodeName) -> bool {
        lock(&self.membership).get(peer).is_some_and(MemberRecord::is_answering)
    }
}
