//! Directory updates that nodes send each other.

use std::collections::HashSet;

use borsh::{BorshDeserialize, BorshSerialize};
use olivegate_types::{InstanceName, Moment};

use super::retention::{Retention, RetentionReason, WireRetention};
use super::{Directory, Entry, Tombstone};
use crate::model::{Instance, Millis, Revision};
use crate::source::ListedInstance;

/// A directory entry as nodes send it.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct DirectoryEntry {
    /// The instance.
    pub instance: Instance,
    /// The change that last wrote it.
    pub revision: Revision,
    /// Why and for how long it stays in use, if the source does not list it.
    pub retention: Option<WireRetention>,
    /// For how long it is not used yet, because its instance may not renew it.
    pub unverified_for: Option<Millis>,
}

/// An instance whose entry was removed.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct RemovedEntry {
    /// The instance.
    pub name: InstanceName,
    /// The change that removed it.
    pub revision: Revision,
}

/// The changes that another node lacks, or the full state.
#[derive(Debug, Clone, PartialEq, Eq, Default, BorshSerialize, BorshDeserialize)]
pub struct DirectoryUpdate {
    /// The revision that the update builds on; `None` for the full state.
    pub base: Option<Revision>,
    /// Entries that are newer than the base, and all retained ones.
    pub entries: Vec<DirectoryEntry>,
    /// Entries that were removed since the base.
    pub removed: Vec<RemovedEntry>,
    /// Revision of the source after the update.
    pub revision: Revision,
}

impl Directory {
    /// Applies an update from another node if it is newer. Returns true if anything changed.
    pub fn apply_update(&mut self, update: &DirectoryUpdate, now: Moment) -> bool {
        if update.revision <= self.revision || update.base.is_some_and(|base| base > self.revision) {
            return false;
        }
        let is_new_epoch = self.enter_epoch(update.revision.epoch, now);
        let mut changed = false;
        if update.base.is_none() {
            let names: HashSet<&InstanceName> = update.entries.iter().map(|entry| &entry.instance.name).collect();
            for name in self.missing_from(&names) {
                // The other node may never have known an instance that is missing from the update, and the
                // source may have lost it.
                changed |= if is_new_epoch {
                    self.remove_or_retain(&name, update.revision, now)
                } else {
                    self.delete(&name, update.revision, now)
                };
            }
            self.tombstones_since = self.tombstones_since.max(update.revision);
        }
        for removed in &update.removed {
            let is_newer = self.entries.get(&removed.name).is_some_and(|entry| entry.revision < removed.revision);
            changed |=
                is_newer && !self.is_attested(&removed.name) && self.delete(&removed.name, removed.revision, now);
        }
        for entry in &update.entries {
            if self.is_known_removed(entry) {
                continue;
            }
            let listed = ListedInstance { instance: entry.instance.clone(), revision: entry.revision };
            let before = self.entries.get(&entry.instance.name).map(|own| own.revision);
            changed |= self.insert(&listed, now);
            if before != Some(entry.revision) {
                changed |= self.mark_unverified(entry, now);
            }
            let is_same = self.entries.get(&entry.instance.name).is_some_and(|own| own.revision == entry.revision);
            if let Some(received) = entry.retention.as_ref().filter(|_| is_same) {
                changed |= self.retain(&entry.instance.name, Retention::from_wire(received, now));
            }
        }
        self.commit(update.revision, changed)
    }

    /// Takes over that another node has not yet verified an entry. Returns true if anything changed.
    fn mark_unverified(&mut self, received: &DirectoryEntry, now: Moment) -> bool {
        let Some(unverified_for) = received.unverified_for else { return false };
        let own = self.entries.get_mut(&received.instance.name).filter(|own| own.revision == received.revision);
        let Some(own) = own else { return false };
        own.unverified_until = Some(now + unverified_for.duration());
        true
    }

    /// Returns true if another node retains an entry until the instance's gate confirms the removal, while
    /// this node knows already that the instance is gone.
    fn is_known_removed(&self, entry: &DirectoryEntry) -> bool {
        let is_unconfirmed =
            entry.retention.as_ref().is_some_and(|retention| retention.reason == RetentionReason::Unconfirmed);
        is_unconfirmed && self.tombstones.get(&entry.instance.name).is_some_and(|tombstone| tombstone.is_confirmed)
    }

    /// Returns what a node at revision `known` lacks: the changes since then, or the full state if the
    /// removals since then have expired.
    pub fn update_since(&self, known: Revision, now: Moment) -> DirectoryUpdate {
        let is_full = known < self.tombstones_since || known == Revision::default();
        let base = if is_full { None } else { Some(known) };
        let is_included = |entry: &&Entry| is_full || entry.revision > known || entry.retention.is_some();
        let entries = self.entries.values().filter(is_included).map(|entry| DirectoryEntry {
            instance: Instance::clone(&entry.instance),
            revision: entry.revision,
            retention: entry.retention.map(|retention| retention.to_wire(now)),
            unverified_for: entry.unverified_until.map(|until| Millis::from_duration(until.since(now))),
        });
        // A node of an earlier epoch may know entries that the source lost, and lack later removals.
        let is_of_earlier_epoch = known != Revision::default() && known.epoch < self.revision.epoch;
        let is_lacking = |revision: Revision| if is_full { is_of_earlier_epoch } else { revision > known };
        let is_from_source = |tombstone: &Tombstone| tombstone.revision != Revision::default();
        let lacking = self
            .tombstones
            .iter()
            .filter(|(_, tombstone)| is_from_source(tombstone) && is_lacking(tombstone.revision));
        let removed =
            lacking.map(|(name, tombstone)| RemovedEntry { name: name.clone(), revision: tombstone.revision });
        DirectoryUpdate { base, entries: entries.collect(), removed: removed.collect(), revision: self.revision }
    }
}
