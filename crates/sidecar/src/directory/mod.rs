//! The instances that are known, and when one is no longer believed.
//!
//! The source's word binds: an instance that is draining or gone gets no new requests.
//! But a source that was away may have lost entries of instances that live; these write
//! theirs again soon after its return. An entry that is found missing on that return is
//! *held*: it stays in use until it comes back, says that it drains, or its time to be
//! written again is over. Copies carry what is left of that time, so that all nodes end a
//! hold together.
//!
//! An entry also goes when its machine alone is cut off from the source. The gate there can
//! tell, and attests that its instance lives. So an entry that goes in calm is held, too, for
//! the moment that its gate needs to say so or to refuse.
//!
//! A source that lost what it had acknowledged begins a new epoch, with a state older than what is
//! known here. That state is taken over as all that the source holds, but nothing of what was
//! learnt of instances is forgotten for it.
//!
//! - `source_update`: taking over what the source says.
//! - `local_evidence`: what is believed beside that, and when it ends.
//! - [`retention`]: how long an instance that is not listed is believed.
//! - `leaving`: instances that say themselves that they leave.
//! - `prior`: what was known of an instance that is listed anew.
//! - [`peer_update`]: what nodes pass on.

mod leaving;
mod local_evidence;
pub mod peer_update;
mod prior;
pub mod retention;
mod source_update;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use olivegate_types::{InstanceName, Moment, ServiceName, ZoneName};

use crate::model::{Epoch, Incarnation, Instance, InstanceState, Revision};
use crate::source::ListedInstance;
use leaving::SaidLeaving;
use retention::{Hold, HoldPolicy, SourceHealth};

/// How long machines are remembered after their last entry.
const MACHINE_MEMORY: Duration = Duration::from_secs(60);

/// What the directory says about one instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InstanceStatus {
    /// It takes requests.
    Ready,
    /// It takes no new requests.
    Draining,
    /// It was listed once and is gone.
    Gone,
    /// It was never listed.
    Unknown,
}

/// Remembers that an entry went away.
#[derive(Debug, Clone)]
struct Tombstone {
    /// As it was listed last.
    instance: Rc<Instance>,
    /// The change that removed it; the default when only this node saw that it is gone.
    revision: Revision,
    /// Epoch in which that was learnt.
    epoch: Epoch,
    /// It was seen, on its machine or on the way there, that it is gone.
    is_seen: bool,
    since: Moment,
}

/// A machine that has, or lately had, an instance.
#[derive(Debug, Clone)]
struct Machine {
    zone: ZoneName,
    seen: Moment,
}

#[derive(Debug, Clone)]
struct Entry {
    instance: Rc<Instance>,
    revision: Revision,
    /// The source does not list it, but it is believed for now.
    hold: Option<Hold>,
    /// The source lists it, but until then it may be an entry that nobody renews.
    doubted_until: Option<Moment>,
}

/// The instances that are known.
#[derive(Debug)]
pub struct Directory {
    policy: HoldPolicy,
    revision: Revision,
    entries: BTreeMap<InstanceName, Entry>,
    gone: HashMap<InstanceName, Tombstone>,
    /// Removals after this one are all in `gone`.
    gone_since: Revision,
    said_leaving: SaidLeaving,
    machines: HashMap<IpAddr, Machine>,
    source: SourceHealth,
    /// When the present epoch was met, unless it is the source's first.
    epoch_met: Option<Moment>,
    /// Instances that have started again under their names, until they are taken.
    restarted: Vec<InstanceName>,
    ready: HashMap<ServiceName, Rc<Vec<Rc<Instance>>>>,
}

impl Directory {
    /// An empty directory.
    pub fn new(policy: HoldPolicy) -> Self {
        Directory {
            policy,
            revision: Revision::default(),
            entries: BTreeMap::new(),
            gone: HashMap::new(),
            gone_since: Revision::default(),
            said_leaving: SaidLeaving::default(),
            machines: HashMap::new(),
            source: SourceHealth::default(),
            epoch_met: None,
            restarted: Vec::new(),
            ready: HashMap::new(),
        }
    }

    /// State of the source that the directory shows.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Instances that take requests of `service`, in a fixed order.
    pub fn ready_instances(&self, service: &ServiceName) -> Rc<Vec<Rc<Instance>>> {
        self.ready.get(service).cloned().unwrap_or_default()
    }

    /// Number of instances that take requests, of all services.
    pub fn ready_count(&self) -> usize {
        self.ready.values().map(|instances| instances.len()).sum()
    }

    /// What is known about one instance.
    pub fn status(&self, name: &InstanceName) -> InstanceStatus {
        match self.entries.get(name) {
            Some(entry) if self.is_leaving(&entry.instance) => InstanceStatus::Draining,
            Some(entry) if entry.doubted_until.is_some() => InstanceStatus::Gone,
            Some(_) => InstanceStatus::Ready,
            None if self.gone.contains_key(name) => InstanceStatus::Gone,
            None => InstanceStatus::Unknown,
        }
    }

    /// True when the source or the instance itself says that it leaves.
    fn is_leaving(&self, instance: &Instance) -> bool {
        instance.state == InstanceState::Draining
            || self.has_announced_leaving(&instance.name, instance.incarnation)
    }

    /// True when this start of an instance, or a later one, has said that it leaves.
    pub fn has_announced_leaving(&self, name: &InstanceName, incarnation: Incarnation) -> bool {
        self.said_leaving.holds_for(name, incarnation)
    }

    /// A listed instance.
    pub fn instance(&self, name: &InstanceName) -> Option<Rc<Instance>> {
        self.entries.get(name).map(|entry| entry.instance.clone())
    }

    /// The instance listed at `address`; the latest one when several are.
    pub fn instance_at(&self, address: SocketAddr) -> Option<Rc<Instance>> {
        let listed = self.entries.values().filter(|entry| entry.instance.address == address);
        listed.max_by_key(|entry| entry.revision).map(|entry| entry.instance.clone())
    }

    /// Addresses of machines that have, or lately had, an instance.
    pub fn machines(&self) -> impl Iterator<Item = IpAddr> {
        self.machines.keys().copied()
    }

    /// Those of one zone.
    pub fn machines_of_zone(&self, zone: &ZoneName) -> Vec<IpAddr> {
        let in_zone = self.machines.iter().filter(|(_, machine)| machine.zone == *zone);
        in_zone.map(|(ip, _)| *ip).collect()
    }

    /// Zones that have machines.
    pub fn zones(&self) -> BTreeSet<&ZoneName> {
        self.machines.values().map(|machine| &machine.zone).collect()
    }

    fn note_machine(&mut self, instance: &Instance, now: Moment) {
        let machine = Machine { zone: instance.zone.clone(), seen: now };
        self.machines.insert(instance.address.ip(), machine);
    }

    /// Notes the machines of a list that may be old; nothing else of it.
    pub fn note_machines(&mut self, listed: &[ListedInstance], now: Moment) {
        listed.iter().for_each(|listed| self.note_machine(&listed.instance, now));
    }

    /// Instances that have started again under their names since this was asked last.
    pub fn take_restarted(&mut self) -> Vec<InstanceName> {
        std::mem::take(&mut self.restarted)
    }

    /// Notes that all changes up to `revision` were followed.
    pub fn advance(&mut self, revision: Revision) {
        self.revision = self.revision.max(revision);
    }

    /// Slots of the instances of `service`, where one is listed.
    pub fn slots_of_service(&self, service: &ServiceName) -> Option<u32> {
        let same = self.entries.values().find(|entry| entry.instance.service == *service);
        same.map(|entry| entry.instance.slots)
    }

    fn finish(&mut self, revision: Revision, changed: bool) -> bool {
        self.advance(revision);
        if changed {
            self.rebuild();
        }
        changed
    }

    fn rebuild(&mut self) {
        let mut ready: HashMap<ServiceName, Vec<Rc<Instance>>> = HashMap::new();
        for entry in self.entries.values() {
            if !self.is_leaving(&entry.instance) && entry.doubted_until.is_none() {
                ready.entry(entry.instance.service.clone()).or_default().push(entry.instance.clone());
            }
        }
        self.ready = ready.into_iter().map(|(service, instances)| (service, Rc::new(instances))).collect();
    }
}
