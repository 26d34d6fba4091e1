//! What is believed beside the source's word: entries that are held, the word of gates, what was seen on
//! the way to an instance; and when that ends.

use std::collections::HashSet;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use olivegate_types::{InstanceName, Moment};

use super::retention::{Hold, HoldReason, SourceHealth};
use super::{Directory, Entry, InstanceStatus, MACHINE_MEMORY};
use crate::model::{Incarnation, Instance, InstanceState, Revision};

/// An attestation that lasts longer by this much is news.
const NEWS_OF_HOLD: Duration = Duration::from_secs(1);

impl Directory {
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

    /// Ends holds whose time is over; call every second or so. True when anything changed.
    pub fn expire(&mut self, now: Moment) -> bool {
        self.forget_old_removals(now);
        let (entries, gone) = (&self.entries, &self.gone);
        self.said_leaving.forget(now, |name| entries.contains_key(name) || gone.contains_key(name));
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

    /// This start of an instance has said in an answer that it leaves. True when that changes anything.
    pub fn note_leaving(&mut self, name: &InstanceName, incarnation: Incarnation, now: Moment) -> bool {
        let changed = self.said_leaving.note(name, incarnation, now);
        self.finish(self.revision, changed)
    }

    /// An instance was met on its own machine before the source lists it. It is believed for
    /// as long as that may take.
    pub fn observe(&mut self, instance: Instance, now: Moment) -> bool {
        if self.status(&instance.name) != InstanceStatus::Unknown {
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
        if self.left_as_draining(&instance) || self.is_leaving(&instance) {
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
    pub(super) fn is_attested(&self, name: &InstanceName) -> bool {
        let hold = self.entries.get(name).and_then(|entry| entry.hold);
        hold.is_some_and(|hold| hold.reason == HoldReason::Attested)
    }

    /// The change that took the entry of an instance away, where that is known.
    pub(super) fn removal_of(&self, name: &InstanceName) -> Revision {
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
            let may_live = entry.hold.is_some() && !self.is_leaving(&entry.instance);
            return may_live.then(|| entry.instance.clone());
        }
        let removed = self.gone.values().filter(|tombstone| tombstone.instance.address == address);
        let last = removed.max_by_key(|tombstone| tombstone.since)?;
        (!last.is_seen && !self.is_leaving(&last.instance)).then(|| last.instance.clone())
    }

    /// The gate of an instance whose entry went away says that it is gone. True when anything
    /// changed.
    pub fn confirm_gone(&mut self, name: &InstanceName, now: Moment) -> bool {
        let hold = self.entries.get(name).and_then(|entry| entry.hold);
        hold.is_some_and(|hold| hold.reason == HoldReason::Unconfirmed) && self.note_gone(name, now)
    }

    /// An instance that is not listed was not found. True when anything changed.
    pub fn remove_unlisted(&mut self, name: &InstanceName, now: Moment) -> bool {
        let is_held = self.entries.get(name).is_some_and(|entry| entry.hold.is_some());
        is_held && self.note_gone(name, now)
    }

    /// True when it was not held before.
    pub(super) fn hold(&mut self, name: &InstanceName, hold: Hold) -> bool {
        let Some(entry) = self.entries.get_mut(name) else { return false };
        let was_held = entry.hold.is_some();
        if entry.hold.is_none_or(|known| known.until < hold.until) {
            entry.hold = Some(hold);
        }
        !was_held
    }
}
