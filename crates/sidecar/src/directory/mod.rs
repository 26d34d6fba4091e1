//! The directory of known instances.
//!
//! The source is authoritative: an instance that it lists as draining, or no longer lists, gets no new
//! requests. After an outage, however, the source may have lost the entries of live instances, which write
//! them again soon after it recovers. An entry that is missing after an outage is therefore *retained*: it
//! stays in use until it is listed again, its instance says that it is draining, or the time for writing it
//! again has passed. Updates between nodes carry the time that remains, so that all nodes end a retention
//! together.
//!
//! An entry also expires when only its instance's machine is cut off from the source. The gate on that
//! machine detects this and attests that the instance is alive. So an entry that is removed while the source
//! is healthy is retained as well, for the time that the gate needs to attest or to confirm the removal.
//!
//! A source that lost acknowledged writes begins a new epoch with a state older than the one known here. A
//! node adopts that state as everything the source holds, but keeps all that it has learned about instances.
//!
//! - `source_update`: applies lists and changes from the source.
//! - `local_evidence`: what is believed in addition, and when it expires.
//! - [`retention`]: how long an instance that is not listed stays in use.
//! - `leaving`: instances that announce themselves that they are leaving.
//! - `prior`: what was known of an instance that is listed again.
//! - [`peer_update`]: directory state that nodes send each other.

mod leaving;
mod local_evidence;
pub mod peer_update;
mod prior;
pub mod retention;
mod source_update;

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use olivegate_types::{InstanceName, Moment, ServiceName, ZoneName};

use crate::model::{Epoch, Incarnation, Instance, InstanceState, Revision};
use crate::source::ListedInstance;
use leaving::LeavingNotices;
use retention::{Retention, RetentionPolicy, SourceHealth};

/// How long a machine is remembered after its last entry, and a tombstone after the removal.
const MACHINE_MEMORY: Duration = Duration::from_secs(60);

/// Status of one instance in the directory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InstanceStatus {
    /// Listed or retained; takes requests.
    Ready,
    /// Leaving; takes no new requests.
    Draining,
    /// Removed, or listed again but not yet verified.
    Gone,
    /// Never listed.
    Unknown,
}

/// Record of a removed entry.
#[derive(Debug, Clone)]
struct Tombstone {
    /// The instance as it was last listed.
    instance: Rc<Instance>,
    /// The change that removed it; the default if only this node found that it is gone.
    revision: Revision,
    /// The epoch in which the removal was learned.
    epoch: Epoch,
    /// The removal was confirmed on the instance's machine or on the way there.
    is_confirmed: bool,
    since: Moment,
}

/// A machine that has, or recently had, an instance.
#[derive(Debug, Clone)]
struct Machine {
    zone: ZoneName,
    seen: Moment,
}

#[derive(Debug, Clone)]
struct Entry {
    instance: Rc<Instance>,
    revision: Revision,
    /// Set if the source does not list the entry but it stays in use for now.
    retention: Option<Retention>,
    /// Set for an entry that the source lists again after an epoch change although it had been removed. It is
    /// not used until then, because its instance may not renew it.
    unverified_until: Option<Moment>,
}

/// The known instances, their status and their machines.
#[derive(Debug)]
pub struct Directory {
    policy: RetentionPolicy,
    revision: Revision,
    entries: BTreeMap<InstanceName, Entry>,
    tombstones: HashMap<InstanceName, Tombstone>,
    /// All removals after this change are in `tombstones`.
    tombstones_since: Revision,
    leaving_notices: LeavingNotices,
    machines: HashMap<IpAddr, Machine>,
    source: SourceHealth,
    /// When the current epoch was first seen; `None` in the source's first epoch.
    epoch_first_seen: Option<Moment>,
    /// Instances that restarted under their names since the last call of `take_restarted`.
    restarted: Vec<InstanceName>,
    ready: HashMap<ServiceName, Rc<Vec<Rc<Instance>>>>,
}

impl Directory {
    /// Creates an empty directory.
    pub fn new(policy: RetentionPolicy) -> Self {
        Directory {
            policy,
            revision: Revision::default(),
            entries: BTreeMap::new(),
            tombstones: HashMap::new(),
            tombstones_since: Revision::default(),
            leaving_notices: LeavingNotices::default(),
            machines: HashMap::new(),
            source: SourceHealth::default(),
            epoch_first_seen: None,
            restarted: Vec::new(),
            ready: HashMap::new(),
        }
    }

    /// Returns the revision of the source up to which the directory is current.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the instances that take requests of `service`, in a fixed order.
    pub fn ready_instances(&self, service: &ServiceName) -> Rc<Vec<Rc<Instance>>> {
        self.ready.get(service).cloned().unwrap_or_default()
    }

    /// Returns the number of instances that take requests, over all services.
    pub fn ready_count(&self) -> usize {
        self.ready.values().map(|instances| instances.len()).sum()
    }

    /// Returns the status of one instance.
    pub fn status(&self, name: &InstanceName) -> InstanceStatus {
        match self.entries.get(name) {
            Some(entry) if self.is_leaving(&entry.instance) => InstanceStatus::Draining,
            Some(entry) if entry.unverified_until.is_some() => InstanceStatus::Gone,
            Some(_) => InstanceStatus::Ready,
            None if self.tombstones.contains_key(name) => InstanceStatus::Gone,
            None => InstanceStatus::Unknown,
        }
    }

    /// Returns true if the source lists the instance as draining or it announced itself that it is leaving.
    fn is_leaving(&self, instance: &Instance) -> bool {
        instance.state == InstanceState::Draining
            || self.has_announced_leaving(&instance.name, instance.incarnation)
    }

    /// Returns true if this incarnation of an instance, or a later one, announced that it is leaving.
    pub fn has_announced_leaving(&self, name: &InstanceName, incarnation: Incarnation) -> bool {
        self.leaving_notices.has_announced(name, incarnation)
    }

    /// Returns a listed or retained instance.
    pub fn instance(&self, name: &InstanceName) -> Option<Rc<Instance>> {
        self.entries.get(name).map(|entry| entry.instance.clone())
    }

    /// Returns the instance listed at `address`; the most recently changed one if there are several.
    pub fn instance_at(&self, address: SocketAddr) -> Option<Rc<Instance>> {
        let listed = self.entries.values().filter(|entry| entry.instance.address == address);
        listed.max_by_key(|entry| entry.revision).map(|entry| entry.instance.clone())
    }

    /// Returns the addresses of machines that have, or recently had, an instance.
    pub fn machines(&self) -> impl Iterator<Item = IpAddr> {
        self.machines.keys().copied()
    }

    /// Returns the addresses of machines that have a listed or retained instance.
    pub fn listed_machines(&self) -> HashSet<IpAddr> {
        self.entries.values().map(|entry| entry.instance.address.ip()).collect()
    }

    /// Returns the machines of one zone.
    pub fn machines_of_zone(&self, zone: &ZoneName) -> Vec<IpAddr> {
        let in_zone = self.machines.iter().filter(|(_, machine)| machine.zone == *zone);
        in_zone.map(|(ip, _)| *ip).collect()
    }

    /// Returns the zones that have machines.
    pub fn zones(&self) -> BTreeSet<&ZoneName> {
        self.machines.values().map(|machine| &machine.zone).collect()
    }

    fn note_machine(&mut self, instance: &Instance, now: Moment) {
        let machine = Machine { zone: instance.zone.clone(), seen: now };
        self.machines.insert(instance.address.ip(), machine);
    }

    /// Records the machines of a list that may be stale, and nothing else of it.
    pub fn note_machines(&mut self, listed: &[ListedInstance], now: Moment) {
        listed.iter().for_each(|listed| self.note_machine(&listed.instance, now));
    }

    /// Returns the instances that restarted under their names since the last call.
    pub fn take_restarted(&mut self) -> Vec<InstanceName> {
        std::mem::take(&mut self.restarted)
    }

    /// Records that all changes up to `revision` were applied.
    pub fn advance(&mut self, revision: Revision) {
        self.revision = self.revision.max(revision);
    }

    /// Returns the number of slots per instance of `service`, if one is listed.
    pub fn slots_of_service(&self, service: &ServiceName) -> Option<u32> {
        let same = self.entries.values().find(|entry| entry.instance.service == *service);
        same.map(|entry| entry.instance.slots)
    }

    fn commit(&mut self, revision: Revision, changed: bool) -> bool {
        self.advance(revision);
        if changed {
            self.rebuild_ready();
        }
        changed
    }

    fn rebuild_ready(&mut self) {
        let mut ready: HashMap<ServiceName, Vec<Rc<Instance>>> = HashMap::new();
        for entry in self.entries.values() {
            if !self.is_leaving(&entry.instance) && entry.unverified_until.is_none() {
                ready.entry(entry.instance.service.clone()).or_default().push(entry.instance.clone());
            }
        }
        self.ready = ready.into_iter().map(|(service, instances)| (service, Rc::new(instances))).collect();
    }
}
