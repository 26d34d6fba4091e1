//! The instances that are known, and when one is no longer believed.
//!
//! The source's word binds: an instance that is draining or gone gets no new requests.
//! But a source that was away may have lost entries of instances that live; these write
//! theirs again soon after its return. An entry that is found missing on that return is
//! *held*: it stays in use until it comes back, says that it drains, or its time to be
//! written again is over. Copies carry what is left of that time, so that all nodes end a
//! hold together.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use borsh::{BorshDeserialize, BorshSerialize};
use olivegate_types::{InstanceName, Moment, ServiceName, ZoneName};

use crate::model::{Instance, InstanceState, Millis, Revision};
use crate::source::{Change, ListedInstance};

/// How long machines are remembered after their last entry.
const MACHINE_MEMORY: Duration = Duration::from_secs(60);

/// How long an entry that the source does not list is believed.
#[derive(Debug, Clone, Copy)]
pub struct HoldPolicy {
    /// Time after the source's return within which a live instance has written a lost entry
    /// again.
    pub rewritten_within: Duration,
    /// Time that an instance which was met on its own machine takes to be listed.
    pub listed_within: Duration,
}

/// How the source fared when this node last read it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
enum SourceHealth {
    /// It answers.
    #[default]
    Calm,
    /// It does not answer this node.
    Away,
    /// It was away and has answered again since then.
    Returned(Moment),
}

/// An entry as nodes pass it on.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct DirectoryEntry {
    /// The instance.
    pub instance: Instance,
    /// Its last change.
    pub revision: Revision,
    /// How long it is still believed, when the source does not list it.
    pub held_for: Option<Millis>,
}

/// An instance whose entry went away.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct GoneEntry {
    /// The instance.
    pub name: InstanceName,
    /// The change that removed it.
    pub revision: Revision,
}

/// What a node passes on to one that knows less.
#[derive(Debug, Clone, PartialEq, Eq, Default, BorshSerialize, BorshDeserialize)]
pub struct DirectoryCopy {
    /// The state that it adds to; `None` when it is all there is.
    pub base: Option<Revision>,
    /// Entries that are newer than the base, and all that are held.
    pub entries: Vec<DirectoryEntry>,
    /// Entries that went away since the base.
    pub gone: Vec<GoneEntry>,
    /// State of the source after it.
    pub revision: Revision,
}

/// What the directory says about one instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
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
#[derive(Debug, Clone, Copy)]
struct Tombstone {
    revision: Revision,
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
    /// The source does not list it; it is believed until then.
    held_until: Option<Moment>,
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
    machines: HashMap<IpAddr, Machine>,
    source: SourceHealth,
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
            machines: HashMap::new(),
            source: SourceHealth::default(),
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
    pub fn standing(&self, name: &InstanceName) -> Standing {
        match self.entries.get(name) {
            Some(entry) if entry.instance.state == InstanceState::Draining => Standing::Draining,
            Some(_) => Standing::Ready,
            None if self.gone.contains_key(name) => Standing::Gone,
            None => Standing::Unknown,
        }
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

    fn note_machine(&mut self, instance: &Instance, now: Moment) {
        let machine = Machine { zone: instance.zone.clone(), seen: now };
        self.machines.insert(instance.address.ip(), machine);
    }

    /// Notes that the source does not answer this node: what goes missing may live.
    pub fn note_source_away(&mut self) {
        self.source = SourceHealth::Away;
    }

    /// Notes that the source has answered; to be told before what it said is taken over.
    pub fn note_source_answered(&mut self, now: Moment) {
        if self.source != SourceHealth::Away {
            return;
        }
        self.source = SourceHealth::Returned(now);
        let until = now + self.policy.rewritten_within;
        let held = self.entries.values_mut().filter_map(|entry| entry.held_until.as_mut());
        held.for_each(|held_until| *held_until = until.max(*held_until));
    }

    /// Until when an entry that goes missing now is believed; `None` when it is gone.
    fn hold_of_missing(&self, now: Moment) -> Option<Moment> {
        let until = match self.source {
            SourceHealth::Calm => return None,
            SourceHealth::Away => now + self.policy.rewritten_within,
            SourceHealth::Returned(at) => at + self.policy.rewritten_within,
        };
        (now < until).then_some(until)
    }

    /// Takes over everything that the source holds. True when anything changed.
    pub fn apply_snapshot(&mut self, listed: &[ListedInstance], revision: Revision, now: Moment) -> bool {
        if revision < self.revision {
            return false;
        }
        let names: HashSet<&InstanceName> = listed.iter().map(|entry| &entry.instance.name).collect();
        let mut changed = false;
        for name in self.missing_from(&names) {
            changed |= self.remove(&name, revision, now);
        }
        if self.revision == Revision::default() {
            self.gone_since = revision;
        }
        for entry in listed {
            changed |= self.insert(entry, now);
        }
        self.finish(revision, changed)
    }

    /// Follows one change. True when anything changed.
    pub fn apply_change(&mut self, change: &Change, now: Moment) -> bool {
        let changed = match change {
            Change::Instance(listed) => self.insert(listed, now),
            Change::InstanceGone { name, revision } => {
                let newer = self.entries.get(name).is_none_or(|entry| entry.revision < *revision);
                newer && self.remove(name, *revision, now)
            }
            Change::Configuration(_) => false,
        };
        self.finish(self.revision, changed)
    }

    /// Notes that all changes up to `revision` were followed.
    pub fn advance(&mut self, revision: Revision) {
        self.revision = self.revision.max(revision);
    }

    /// Takes over what another node knows, when that is newer. True when anything changed.
    pub fn apply_copy(&mut self, copy: &DirectoryCopy, now: Moment) -> bool {
        if copy.revision <= self.revision || copy.base.is_some_and(|base| base > self.revision) {
            return false;
        }
        let mut changed = false;
        if copy.base.is_none() {
            let names: HashSet<&InstanceName> = copy.entries.iter().map(|entry| &entry.instance.name).collect();
            for name in self.missing_from(&names) {
                changed |= self.forget(&name, copy.revision, now);
            }
            self.gone_since = self.gone_since.max(copy.revision);
        }
        for gone in &copy.gone {
            let is_newer = self.entries.get(&gone.name).is_some_and(|entry| entry.revision < gone.revision);
            changed |= is_newer && self.forget(&gone.name, gone.revision, now);
        }
        for entry in &copy.entries {
            let listed = ListedInstance { instance: entry.instance.clone(), revision: entry.revision };
            changed |= self.insert(&listed, now);
            let is_same = self.entries.get(&entry.instance.name).is_some_and(|own| own.revision == entry.revision);
            if let Some(left) = entry.held_for.filter(|_| is_same) {
                self.hold(&entry.instance.name, now + left.duration());
            }
        }
        self.finish(copy.revision, changed)
    }

    /// What a node that knows the state `known` lacks: the changes since, or everything when
    /// removals since then are no longer remembered.
    pub fn copy_since(&self, known: Revision, now: Moment) -> DirectoryCopy {
        let is_whole = known < self.gone_since || known == Revision::default();
        let base = if is_whole { None } else { Some(known) };
        let is_news = |entry: &&Entry| is_whole || entry.revision > known || entry.held_until.is_some();
        let entries = self.entries.values().filter(is_news).map(|entry| DirectoryEntry {
            instance: Instance::clone(&entry.instance),
            revision: entry.revision,
            held_for: entry.held_until.map(|until| Millis::of(until.since(now))),
        });
        let removed = self.gone.iter().filter(|(_, tombstone)| !is_whole && tombstone.revision > known);
        let gone = removed.map(|(name, tombstone)| GoneEntry { name: name.clone(), revision: tombstone.revision });
        DirectoryCopy { base, entries: entries.collect(), gone: gone.collect(), revision: self.revision }
    }

    /// Ends holds whose time is over; call every second or so. An instance that was met on
    /// its own machine can't be listed while the source is away. True when anything changed.
    pub fn expire(&mut self, now: Moment) -> bool {
        self.forget_old_removals(now);
        let listed: HashSet<IpAddr> = self.entries.values().map(|entry| entry.instance.address.ip()).collect();
        self.machines.retain(|ip, machine| listed.contains(ip) || now.since(machine.seen) < MACHINE_MEMORY);
        let is_away = self.source == SourceHealth::Away;
        let is_over = |entry: &Entry| {
            let was_listed = entry.revision != Revision::default();
            entry.held_until.is_some_and(|until| now >= until) && (was_listed || !is_away)
        };
        let ended: Vec<InstanceName> =
            self.entries.iter().filter(|(_, entry)| is_over(entry)).map(|(name, _)| name.clone()).collect();
        let mut changed = false;
        for name in ended {
            changed |= self.forget(&name, Revision::default(), now);
        }
        self.finish(self.revision, changed)
    }

    fn forget_old_removals(&mut self, now: Moment) {
        let mut forgotten = self.gone_since;
        self.gone.retain(|_, tombstone| {
            let is_kept = now.since(tombstone.since) < MACHINE_MEMORY;
            if !is_kept {
                forgotten = forgotten.max(tombstone.revision);
            }
            is_kept
        });
        self.gone_since = forgotten;
    }

    /// An instance is known to be gone from its own machine, whatever the source says.
    pub fn note_gone(&mut self, name: &InstanceName, now: Moment) -> bool {
        let changed = self.forget(name, Revision::default(), now);
        self.finish(self.revision, changed)
    }

    /// An instance was met on its own machine before the source lists it. It is believed for
    /// as long as that may take.
    pub fn observe(&mut self, instance: Instance, now: Moment) -> bool {
        if self.standing(&instance.name) != Standing::Unknown {
            return false;
        }
        self.note_machine(&instance, now);
        let name = instance.name.clone();
        let held_until = Some(now + self.policy.listed_within);
        let entry = Entry { instance: Rc::new(instance), revision: Revision::default(), held_until };
        self.entries.insert(name, entry);
        self.finish(self.revision, true)
    }

    /// Slots of the instances of `service`, where one is listed.
    pub fn slots_of_service(&self, service: &ServiceName) -> Option<u32> {
        let same = self.entries.values().find(|entry| entry.instance.service == *service);
        same.map(|entry| entry.instance.slots)
    }

    /// Entries that are not in `names`; those that are held end with their hold.
    fn missing_from(&self, names: &HashSet<&InstanceName>) -> Vec<InstanceName> {
        let missing =
            self.entries.iter().filter(|(name, entry)| !names.contains(name) && entry.held_until.is_none());
        missing.map(|(name, _)| name.clone()).collect()
    }

    fn insert(&mut self, listed: &ListedInstance, now: Moment) -> bool {
        let name = &listed.instance.name;
        self.note_machine(&listed.instance, now);
        let known = self.entries.get(name);
        let is_news = known.is_none_or(|entry| entry.revision < listed.revision || entry.held_until.is_some());
        if !is_news || known.is_some_and(|entry| entry.revision > listed.revision) {
            return false;
        }
        let changed = known.is_none_or(|entry| *entry.instance != listed.instance);
        let instance = Rc::new(listed.instance.clone());
        self.gone.remove(name);
        self.entries.insert(name.clone(), Entry { instance, revision: listed.revision, held_until: None });
        changed
    }

    /// An entry went missing: held when the source was away, else gone.
    fn remove(&mut self, name: &InstanceName, revision: Revision, now: Moment) -> bool {
        match self.hold_of_missing(now) {
            Some(until) if self.standing(name) == Standing::Ready => {
                self.hold(name, until);
                false
            }
            _ => self.forget(name, revision, now),
        }
    }

    fn hold(&mut self, name: &InstanceName, until: Moment) {
        if let Some(entry) = self.entries.get_mut(name) {
            entry.held_until = entry.held_until.max(Some(until));
        }
    }

    /// Removes an entry. `revision` is the change that removed it, or the default when only
    /// this node thinks so.
    fn forget(&mut self, name: &InstanceName, revision: Revision, now: Moment) -> bool {
        let Some(entry) = self.entries.remove(name) else { return false };
        self.note_machine(&entry.instance, now);
        self.gone.insert(name.clone(), Tombstone { revision, since: now });
        true
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
            if entry.instance.state == InstanceState::Ready {
                ready.entry(entry.instance.service.clone()).or_default().push(entry.instance.clone());
            }
        }
        self.ready = ready.into_iter().map(|(service, instances)| (service, Rc::new(instances))).collect();
    }
}
