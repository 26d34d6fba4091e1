//! What nodes pass on of the directory.

use std::collections::HashSet;

use borsh::{BorshDeserialize, BorshSerialize};
use olivegate_types::{InstanceName, Moment};

use super::retention::{Hold, HoldReason, PassedHold};
use super::{Directory, Entry, Tombstone};
use crate::model::{Instance, Millis, Revision};
use crate::source::ListedInstance;

/// An entry as nodes pass it on.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct DirectoryEntry {
    /// The instance.
    pub instance: Instance,
    /// Its last change.
    pub revision: Revision,
    /// Why and how long it is still believed, when the source does not list it.
    pub hold: Option<PassedHold>,
    /// How long it is not used yet, since nobody may renew it.
    pub doubted_for: Option<Millis>,
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
pub struct DirectoryUpdate {
    /// The state that it adds to; `None` when it is all there is.
    pub base: Option<Revision>,
    /// Entries that are newer than the base, and all that are held.
    pub entries: Vec<DirectoryEntry>,
    /// Entries that went away since the base.
    pub gone: Vec<GoneEntry>,
    /// State of the source after it.
    pub revision: Revision,
}

impl Directory {
    /// Takes over what another node knows, when that is newer. True when anything changed.
    pub fn apply_update(&mut self, copy: &DirectoryUpdate, now: Moment) -> bool {
        if copy.revision <= self.revision || copy.base.is_some_and(|base| base > self.revision) {
            return false;
        }
        let is_new_epoch = self.enter_epoch(copy.revision.epoch, now);
        let mut changed = false;
        if copy.base.is_none() {
            let names: HashSet<&InstanceName> = copy.entries.iter().map(|entry| &entry.instance.name).collect();
            for name in self.missing_from(&names) {
                // The other node may never have heard of it, and the source has lost it.
                changed |= if is_new_epoch {
                    self.remove(&name, copy.revision, now)
                } else {
                    self.forget(&name, copy.revision, now)
                };
            }
            self.gone_since = self.gone_since.max(copy.revision);
        }
        for gone in &copy.gone {
            let is_newer = self.entries.get(&gone.name).is_some_and(|entry| entry.revision < gone.revision);
            changed |= is_newer && !self.is_attested(&gone.name) && self.forget(&gone.name, gone.revision, now);
        }
        for entry in &copy.entries {
            if self.was_seen_gone(entry) {
                continue;
            }
            let listed = ListedInstance { instance: entry.instance.clone(), revision: entry.revision };
            let before = self.entries.get(&entry.instance.name).map(|own| own.revision);
            changed |= self.insert(&listed, now);
            if before != Some(entry.revision) {
                changed |= self.doubt(entry, now);
            }
            let is_same = self.entries.get(&entry.instance.name).is_some_and(|own| own.revision == entry.revision);
            if let Some(passed) = entry.hold.as_ref().filter(|_| is_same) {
                changed |= self.hold(&entry.instance.name, Hold::of_passed(passed, now));
            }
        }
        self.finish(copy.revision, changed)
    }

    /// Takes over another node's doubt of an entry. True when that changes anything.
    fn doubt(&mut self, passed: &DirectoryEntry, now: Moment) -> bool {
        let Some(doubted_for) = passed.doubted_for else { return false };
        let own = self.entries.get_mut(&passed.instance.name).filter(|own| own.revision == passed.revision);
        let Some(own) = own else { return false };
        own.doubted_until = Some(now + doubted_for.duration());
        true
    }

    /// True for an entry that another node still believes since it waits for the word of the
    /// instance's gate, while this node knows already that the instance is gone.
    fn was_seen_gone(&self, entry: &DirectoryEntry) -> bool {
        let is_unconfirmed = entry.hold.as_ref().is_some_and(|hold| hold.reason == HoldReason::Unconfirmed);
        is_unconfirmed && self.gone.get(&entry.instance.name).is_some_and(|tombstone| tombstone.is_seen)
    }

    /// What a node that knows the state `known` lacks: the changes since, or everything when
    /// removals since then are no longer remembered.
    pub fn update_since(&self, known: Revision, now: Moment) -> DirectoryUpdate {
        let is_whole = known < self.gone_since || known == Revision::default();
        let base = if is_whole { None } else { Some(known) };
        let is_news = |entry: &&Entry| is_whole || entry.revision > known || entry.hold.is_some();
        let entries = self.entries.values().filter(is_news).map(|entry| DirectoryEntry {
            instance: Instance::clone(&entry.instance),
            revision: entry.revision,
            hold: entry.hold.map(|hold| hold.to_passed(now)),
            doubted_for: entry.doubted_until.map(|until| Millis::from_duration(until.since(now))),
        });
        // A node of an earlier epoch may know what the source has lost, and not what has gone since.
        let is_of_earlier_epoch = known != Revision::default() && known.epoch < self.revision.epoch;
        let is_lacking = |revision: Revision| if is_whole { is_of_earlier_epoch } else { revision > known };
        let is_told = |tombstone: &Tombstone| tombstone.revision != Revision::default();
        let removed = self.gone.iter().filter(|(_, gone)| is_told(gone) && is_lacking(gone.revision));
        let gone = removed.map(|(name, tombstone)| GoneEntry { name: name.clone(), revision: tombstone.revision });
        DirectoryUpdate { base, entries: entries.collect(), gone: gone.collect(), revision: self.revision }
    }
}
