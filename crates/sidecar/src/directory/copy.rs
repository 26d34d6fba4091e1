//! What nodes pass on of the directory.

use std::collections::HashSet;

use borsh::{BorshDeserialize, BorshSerialize};
use olivegate_types::{InstanceName, Moment};

use super::hold::{Hold, HoldReason, PassedHold};
use super::{Directory, Entry};
use crate::model::{Instance, Revision};
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

impl Directory {
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
            changed |= is_newer && !self.is_attested(&gone.name) && self.forget(&gone.name, gone.revision, now);
        }
        for entry in &copy.entries {
            if self.was_seen_gone(entry) {
                continue;
            }
            let listed = ListedInstance { instance: entry.instance.clone(), revision: entry.revision };
            changed |= self.insert(&listed, now);
            let is_same = self.entries.get(&entry.instance.name).is_some_and(|own| own.revision == entry.revision);
            if let Some(passed) = entry.hold.as_ref().filter(|_| is_same) {
                changed |= self.hold(&entry.instance.name, Hold::of_passed(passed, now));
            }
        }
        self.finish(copy.revision, changed)
    }

    /// True for an entry that another node still believes since it waits for the word of the
    /// instance's gate, while this node knows already that the instance is gone.
    fn was_seen_gone(&self, entry: &DirectoryEntry) -> bool {
        let is_unconfirmed = entry.hold.as_ref().is_some_and(|hold| hold.reason == HoldReason::Unconfirmed);
        is_unconfirmed && self.gone.get(&entry.instance.name).is_some_and(|tombstone| tombstone.is_seen)
    }

    /// What a node that knows the state `known` lacks: the changes since, or everything when
    /// removals since then are no longer remembered.
    pub fn copy_since(&self, known: Revision, now: Moment) -> DirectoryCopy {
        let is_whole = known < self.gone_since || known == Revision::default();
        let base = if is_whole { None } else { Some(known) };
        let is_news = |entry: &&Entry| is_whole || entry.revision > known || entry.hold.is_some();
        let entries = self.entries.values().filter(is_news).map(|entry| DirectoryEntry {
            instance: Instance::clone(&entry.instance),
            revision: entry.revision,
            hold: entry.hold.map(|hold| hold.to_passed(now)),
        });
        let removed = self.gone.iter().filter(|(_, tombstone)| !is_whole && tombstone.revision > known);
        let gone = removed.map(|(name, tombstone)| GoneEntry { name: name.clone(), revision: tombstone.revision });
        DirectoryCopy { base, entries: entries.collect(), gone: gone.collect(), revision: self.revision }
    }
}
