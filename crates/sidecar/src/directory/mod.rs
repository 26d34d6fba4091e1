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
//! - [`hold`]: how long an instance that is not listed is believed.
//! - [`prior`]: what was known of an instance that is listed anew.
//! - [`copy`]: what nodes pass on.

pub mod copy;
pub mod hold;
mod prior;

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use olivegate_types::{InstanceName, Moment, ServiceName, ZoneName};

use crate::model::{Epoch, Instance, InstanceState, Revision};
use crate::source::{Change, ListedInstance};
use hold::{Hold, HoldPolicy, HoldReason, SourceHealth};
use prior::{Prior, Taken};

/// An attestation that lasts longer by this much is news.
const NEWS_OF_HOLD: Duration = Duration::from_secs(1);
/// How long machines are remembered after their last entry.
const MACHINE_MEMORY: Duration = Duration::from_secs(60);

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
    machines: HashMap<IpAddr, Machine>,
    source: SourceHealth,
    /// When the present epoch was met, where an earlier one was known.
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
    pub fn standing(&self, name: &InstanceName) -> Standing {
        match self.entries.get(name) {
            Some(entry) if entry.instance.state == InstanceState::Draining => Standing::Draining,
            Some(entry) if entry.doubted_until.is_some() => Standing::Gone,
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

    /// Notes that the source does not answer this node: what goes missing may live.
    pub fn note_source_away(&mut self) {
        if !matches!(self.source, SourceHealth::Away { .. }) {
            self.source = SourceHealth::Away { seen: None };
        }
    }

    /// Notes that the source answered another node at `at`: for this one it may be away longer,
    /// by a fault of its own or since it asks seldom, but live instances write to it again.
    pub fn note_source_seen(&mut self, at: Moment) {
        if let SourceHealth::Away { seen: seen @ None } = &mut self.source {
            *seen = Some(at);
        }
    }

    /// Notes that the source has answered; to be told before what it said is taken over.
    pub fn note_source_answered(&mut self, now: Moment) {
        let SourceHealth::Away { seen } = self.source else { return };
        let returned = seen.unwrap_or(now);
        self.source = SourceHealth::Returned(returned);
        let until = returned + self.policy.rewritten_within;
        let holds = self.entries.values_mut().filter_map(|entry| entry.hold.as_mut());
        holds.for_each(|hold| hold.until = hold.until.max(until));
    }

    /// Begins `epoch`, if it is later than the one known: what was learnt in that one is no longer
    /// counted as known, but stays in force until the source has said otherwise. What is missing now
    /// is written again as after an absence. True when it began.
    fn enter_epoch(&mut self, epoch: Epoch, now: Moment) -> bool {
        if self.revision == Revision::default() || epoch <= self.revision.epoch {
            return false;
        }
        self.revision = Revision::new(epoch, 0);
        self.gone_since = self.revision;
        self.epoch_met = Some(now);
        self.note_source_seen(now);
        match self.source {
            SourceHealth::Away { .. } => {}
            SourceHealth::Returned(at) if now.since(at) < self.policy.rewritten_within => {}
            _ => self.source = SourceHealth::Returned(now),
        }
        true
    }

    /// True while writes that the source lost may not yet have been written again.
    pub fn may_lack_writes(&self, now: Moment) -> bool {
        self.epoch_met.is_some_and(|met| now.since(met) < self.policy.rewritten_within)
    }

    /// Instances that have started again under their names since this was asked last.
    pub fn take_restarted(&mut self) -> Vec<InstanceName> {
        std::mem::take(&mut self.restarted)
    }

    /// Takes over everything that the source holds. True when anything changed.
    pub fn apply_snapshot(&mut self, listed: &[ListedInstance], revision: Revision, now: Moment) -> bool {
        if revision < self.revision {
            return false;
        }
        self.enter_epoch(revision.epoch, now);
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
                let is_newer = self.entries.get(name).is_none_or(|entry| entry.revision < *revision);
                is_newer && !self.is_attested(name) && self.remove(name, *revision, now)
            }
            Change::Configuration(_) => false,
        };
        self.finish(self.revision, changed)
    }

    /// Notes that all changes up to `revision` were followed.
    pub fn advance(&mut self, revision: Revision) {
        self.revision = self.revision.max(revision);
    }

    /// Ends holds whose time is over; call every second or so. True when anything changed.
    pub fn expire(&mut self, now: Moment) -> bool {
        self.forget_old_removals(now);
        let listed: HashSet<IpAddr> = self.entries.values().map(|entry| entry.instance.address.ip()).collect();
        self.machines.retain(|ip, machine| listed.contains(ip) || now.since(machine.seen) < MACHINE_MEMORY);
        let source = self.source;
        let is_over = |entry: &Entry| entry.hold.is_some_and(|hold| hold.is_over(source, now));
        let ended: Vec<InstanceName> =
            self.entries.iter().filter(|(_, entry)| is_over(entry)).map(|(name, _)| name.clone()).collect();
        let mut changed = self.end_doubts(now);
        for name in ended {
            changed |= self.forget(&name, self.removal_of(&name), now);
        }
        self.finish(self.revision, changed)
    }

    /// An entry that has stood for longer than a silent one does is renewed by its instance. Nothing
    /// shows that while the source is away.
    fn end_doubts(&mut self, now: Moment) -> bool {
        if matches!(self.source, SourceHealth::Away { .. }) {
            return false;
        }
        let is_over = |entry: &&mut Entry| entry.doubted_until.is_some_and(|until| now >= until);
        let ended = self.entries.values_mut().filter(is_over);
        ended.map(|entry| entry.doubted_until = None).count() > 0
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
        let changed = self.forget(name, self.removal_of(name), now);
        if let Some(tombstone) = self.gone.get_mut(name) {
            tombstone.is_seen = true;
        }
        self.finish(self.revision, changed)
    }

    /// An instance was met on its own machine before the source lists it. It is believed for
    /// as long as that may take.
    pub fn observe(&mut self, instance: Instance, now: Moment) -> bool {
        if self.standing(&instance.name) != Standing::Unknown {
            return false;
        }
        let hold =
            Hold { reason: HoldReason::Met, until: now + self.policy.listed_within, removed: Revision::default() };
        self.believe(instance, hold, now);
        true
    }

    /// The gate on its machine attests until `until` that an instance lives whose entry is
    /// gone. True when that is news which is to be passed on.
    pub fn attest(&mut self, instance: Instance, until: Moment, now: Moment) -> bool {
        if self.left_as_draining(&instance) {
            return false;
        }
        let removed = self.removal_of(&instance.name);
        let hold = Hold { reason: HoldReason::Attested, until, removed };
        let Some(entry) = self.entries.get_mut(&instance.name) else {
            self.believe(instance, hold, now);
            return true;
        };
        let is_news = entry.hold.is_some_and(|known| until.since(known.until) >= NEWS_OF_HOLD);
        if is_news {
            entry.hold = Some(hold);
        }
        is_news
    }

    /// The gate of an instance knows better than the word that its entry went away.
    fn is_attested(&self, name: &InstanceName) -> bool {
        let hold = self.entries.get(name).and_then(|entry| entry.hold);
        hold.is_some_and(|hold| hold.reason == HoldReason::Attested)
    }

    /// The change that took the entry of an instance away, where that is known.
    fn removal_of(&self, name: &InstanceName) -> Revision {
        let held = self.entries.get(name).and_then(|entry| entry.hold).map(|hold| hold.removed);
        held.or(self.gone.get(name).map(|tombstone| tombstone.revision)).unwrap_or_default()
    }

    /// An instance said that it leaves before its entry went.
    fn left_as_draining(&self, instance: &Instance) -> bool {
        let left = self.gone.get(&instance.name).map(|tombstone| &tombstone.instance);
        left.is_some_and(|left| {
            left.state == InstanceState::Draining && !instance.incarnation.differs_from(left.incarnation)
        })
    }

    fn believe(&mut self, instance: Instance, hold: Hold, now: Moment) {
        self.note_machine(&instance, now);
        let name = instance.name.clone();
        self.gone.remove(&name);
        let entry = Entry {
            instance: Rc::new(instance),
            revision: Revision::default(),
            hold: Some(hold),
            doubted_until: None,
        };
        self.entries.insert(name, entry);
        self.finish(self.revision, true);
    }

    /// The instance at `address` that the source does not list any more, or not yet, although
    /// nothing here shows that it is gone or leaves.
    pub fn unlisted_at(&self, address: SocketAddr) -> Option<Rc<Instance>> {
        let known = self.entries.values().filter(|entry| entry.instance.address == address);
        if let Some(entry) = known.max_by_key(|entry| entry.revision) {
            return entry.hold.is_some().then(|| entry.instance.clone());
        }
        let removed = self.gone.values().filter(|tombstone| tombstone.instance.address == address);
        let last = removed.max_by_key(|tombstone| tombstone.since)?;
        (!last.is_seen && last.instance.state == InstanceState::Ready).then(|| last.instance.clone())
    }

    /// The gate of an instance whose entry went away says that it is gone. True when anything
    /// changed.
    pub fn confirm_gone(&mut self, name: &InstanceName, now: Moment) -> bool {
        let hold = self.entries.get(name).and_then(|entry| entry.hold);
        hold.is_some_and(|hold| hold.reason == HoldReason::Unconfirmed) && self.note_gone(name, now)
    }

    /// An instance that is not listed was not found. True when anything changed.
    pub fn drop_held(&mut self, name: &InstanceName, now: Moment) -> bool {
        let is_held = self.entries.get(name).is_some_and(|entry| entry.hold.is_some());
        is_held && self.note_gone(name, now)
    }

    /// Slots of the instances of `service`, where one is listed.
    pub fn slots_of_service(&self, service: &ServiceName) -> Option<u32> {
        let same = self.entries.values().find(|entry| entry.instance.service == *service);
        same.map(|entry| entry.instance.slots)
    }

    /// Entries that are not in `names`; those that are held end with their hold.
    fn missing_from(&self, names: &HashSet<&InstanceName>) -> Vec<InstanceName> {
        let missing = self.entries.iter().filter(|(name, entry)| !names.contains(name) && entry.hold.is_none());
        missing.map(|(name, _)| name.clone()).collect()
    }

    fn insert(&mut self, listed: &ListedInstance, now: Moment) -> bool {
        let name = &listed.instance.name;
        self.note_machine(&listed.instance, now);
        let known = self.entries.get(name);
        let is_news = known.is_none_or(|entry| entry.revision < listed.revision || entry.hold.is_some());
        if !is_news || known.is_some_and(|entry| entry.revision > listed.revision) {
            return false;
        }
        let taken = self.prior_of(name).map_or(Taken::AsListed, |prior| prior.take(listed));
        let mut instance = listed.instance.clone();
        match taken {
            Taken::Outdated => return false,
            Taken::StillLeaving => instance.state = InstanceState::Draining,
            Taken::AsListed | Taken::Doubted => {}
        }
        let doubted_until = (taken == Taken::Doubted).then(|| now + self.policy.lapses_within);
        let is_same = |entry: &Entry| *entry.instance == instance && entry.doubted_until == doubted_until;
        let changed = known.is_none_or(|entry| !is_same(entry));
        let prior = self.prior_of(name).map(|prior| prior.instance.incarnation);
        if prior.is_some_and(|prior| instance.incarnation.differs_from(prior)) {
            self.restarted.push(name.clone());
        }
        self.gone.remove(name);
        let entry = Entry { instance: Rc::new(instance), revision: listed.revision, hold: None, doubted_until };
        self.entries.insert(name.clone(), entry);
        changed
    }

    /// What is known of an instance, whether it is listed or gone.
    fn prior_of(&self, name: &InstanceName) -> Option<Prior<'_>> {
        if let Some(entry) = self.entries.get(name) {
            return Some(Prior { instance: &entry.instance, epoch: entry.revision.epoch, was_gone: false });
        }
        let tombstone = self.gone.get(name)?;
        Some(Prior { instance: &tombstone.instance, epoch: tombstone.epoch, was_gone: true })
    }

    /// An entry went missing: held for a while unless it was draining.
    fn remove(&mut self, name: &InstanceName, revision: Revision, now: Moment) -> bool {
        match self.source.hold_of_missing(self.policy, revision, now) {
            Some(hold) if self.standing(name) == Standing::Ready => self.hold(name, hold),
            _ => self.forget(name, revision, now),
        }
    }

    /// True when it was not held before.
    fn hold(&mut self, name: &InstanceName, hold: Hold) -> bool {
        let Some(entry) = self.entries.get_mut(name) else { return false };
        let was_held = entry.hold.is_some();
        if entry.hold.is_none_or(|known| known.until < hold.until) {
            entry.hold = Some(hold);
        }
        !was_held
    }

    /// Removes an entry. `revision` is the change that removed it, or the default when only
    /// this node thinks so.
    fn forget(&mut self, name: &InstanceName, revision: Revision, now: Moment) -> bool {
        let Some(entry) = self.entries.remove(name) else { return false };
        self.note_machine(&entry.instance, now);
        let epoch = self.revision.epoch;
        let tombstone = Tombstone { instance: entry.instance, revision, epoch, is_seen: false, since: now };
        self.gone.insert(name.clone(), tombstone);
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
            if entry.instance.state == InstanceState::Ready && entry.doubted_until.is_none() {
                ready.entry(entry.instance.service.clone()).or_default().push(entry.instance.clone());
            }
        }
        self.ready = ready.into_iter().map(|(service, instances)| (service, Rc::new(instances))).collect();
    }
}
