//! Applies what the source reports: full lists, changes, and the state of a new epoch.

use std::collections::HashSet;
use std::rc::Rc;

use olivegate_types::{InstanceName, Moment, is_name};

use super::prior::{Disposition, PriorRecord};
use super::retention::SourceHealth;
use super::{Directory, Entry, InstanceStatus, Tombstone};
use crate::model::{Epoch, InstanceState, Revision};
use crate::source::{Change, ListedInstance};

impl Directory {
    /// Enters `epoch` if it is later than the known one. Entries of the earlier epoch stay in use until the
    /// source reports otherwise, but no longer count as known; missing entries are expected to be written
    /// again as after an outage. Returns true if the epoch was entered.
    pub(super) fn enter_epoch(&mut self, epoch: Epoch, now: Moment) -> bool {
        if self.revision == Revision::default() {
            self.note_first_epoch(epoch, now);
            return false;
        }
        if epoch <= self.revision.epoch {
            return false;
        }
        self.revision = Revision::new(epoch, 0);
        self.tombstones_since = self.revision;
        self.epoch_first_seen = Some(now);
        self.note_source_answered_peer(now);
        match self.source {
            SourceHealth::Unreachable { .. } => {}
            SourceHealth::Recovered(at) if now.since(at) < self.policy.rewritten_within => {}
            _ => self.source = SourceHealth::Recovered(now),
        }
        true
    }

    /// A node that has just started cannot tell when the source was restored, if ever. Its first read may
    /// lack a key withdrawal that the source had acknowledged.
    fn note_first_epoch(&mut self, epoch: Epoch, now: Moment) {
        if epoch > Epoch::default() {
            self.epoch_first_seen = Some(now);
        }
    }

    /// Returns true while writes that the source lost may not have been written again yet.
    pub fn may_lack_writes(&self, now: Moment) -> bool {
        self.epoch_first_seen.is_some_and(|first_seen| now.since(first_seen) < self.policy.rewritten_within)
    }

    /// Applies the full state of the source. Returns true if anything changed.
    pub fn apply_snapshot(&mut self, listed: &[ListedInstance], revision: Revision, now: Moment) -> bool {
        if revision < self.revision {
            return false;
        }
        self.enter_epoch(revision.epoch, now);
        let names: HashSet<&InstanceName> = listed.iter().map(|entry| &entry.instance.name).collect();
        let mut changed = false;
        for name in self.missing_from(&names) {
            changed |= self.remove_or_retain(&name, revision, now);
        }
        if self.revision == Revision::default() {
            self.tombstones_since = revision;
        }
        for entry in listed {
            changed |= self.insert(entry, now);
        }
        self.commit(revision, changed)
    }

    /// Applies the readable part of the source's state. Nothing counts as removed, and the revision stays, so
    /// that the whole is read again. Returns true if anything changed.
    pub fn apply_truncated(&mut self, listed: &[ListedInstance], revision: Revision, now: Moment) -> bool {
        let is_first_read = self.revision == Revision::default();
        let is_outdated = revision < self.revision || revision.epoch != self.revision.epoch;
        if is_outdated && !is_first_read {
            return false;
        }
        let mut changed = false;
        for entry in listed {
            changed |= self.insert(entry, now);
        }
        self.commit(self.revision, changed)
    }

    /// Applies one change. Returns true if anything changed.
    pub fn apply_change(&mut self, change: &Change, now: Moment) -> bool {
        let changed = match change {
            Change::Instance(listed) => self.insert(listed, now),
            Change::InstanceRemoved { name, revision } => {
                let is_newer = self.entries.get(name).is_none_or(|entry| entry.revision < *revision);
                is_newer && !self.is_attested(name) && self.remove_or_retain(name, *revision, now)
            }
            Change::Configuration(_) => false,
        };
        self.commit(self.revision, changed)
    }

    /// Returns the entries that are not in `names`, without retained ones, which end when their retention
    /// does.
    pub(super) fn missing_from(&self, names: &HashSet<&InstanceName>) -> Vec<InstanceName> {
        let missing =
            self.entries.iter().filter(|(name, entry)| !names.contains(name) && entry.retention.is_none());
        missing.map(|(name, _)| name.clone()).collect()
    }

    /// Applies one entry if it is newer than the known one. Returns true if anything changed. An entry under an
    /// odd name is no instance; a node of an earlier release passes such entries on.
    pub(super) fn insert(&mut self, listed: &ListedInstance, now: Moment) -> bool {
        let name = &listed.instance.name;
        if !is_name(name.as_str()) {
            return false;
        }
        self.note_machine(&listed.instance, now);
        if !self.is_newer(listed) {
            return false;
        }
        let prior = self.prior_of(name);
        let disposition = prior.map_or(Disposition::AsListed, |prior| prior.disposition_of(listed));
        let has_restarted = prior.is_some_and(|prior| prior.has_restarted(listed));
        let mut instance = listed.instance.clone();
        match disposition {
            Disposition::Outdated => return false,
            Disposition::StillLeaving => instance.state = InstanceState::Draining,
            Disposition::AsListed | Disposition::Unverified => {}
        }
        if has_restarted {
            self.restarted.push(name.clone());
        }
        self.leaving_notices.set_incarnation(&instance);
        let unverified_until = (disposition == Disposition::Unverified).then(|| now + self.policy.expires_within);
        let is_same = |entry: &Entry| *entry.instance == instance && entry.unverified_until == unverified_until;
        let changed = !self.entries.get(name).is_some_and(is_same);
        let entry =
            Entry { instance: Rc::new(instance), revision: listed.revision, retention: None, unverified_until };
        self.tombstones.remove(name);
        self.entries.insert(name.clone(), entry);
        changed
    }

    /// Returns true if `listed` is newer than the known entry, or ends its retention.
    fn is_newer(&self, listed: &ListedInstance) -> bool {
        self.entries.get(&listed.instance.name).is_none_or(|known| {
            known.revision < listed.revision || known.revision == listed.revision && known.retention.is_some()
        })
    }

    /// Returns what is known of an instance, whether it is listed or removed.
    fn prior_of(&self, name: &InstanceName) -> Option<PriorRecord<'_>> {
        if let Some(entry) = self.entries.get(name) {
            return Some(PriorRecord {
                instance: &entry.instance,
                epoch: entry.revision.epoch,
                was_removed: false,
            });
        }
        let tombstone = self.tombstones.get(name)?;
        Some(PriorRecord { instance: &tombstone.instance, epoch: tombstone.epoch, was_removed: true })
    }

    /// Handles an entry that went missing: retains it for a while if it was ready, else removes it.
    pub(super) fn remove_or_retain(&mut self, name: &InstanceName, revision: Revision, now: Moment) -> bool {
        match self.source.retention_of_missing(self.policy, revision, now) {
            Some(retention) if self.status(name) == InstanceStatus::Ready => self.retain(name, retention),
            _ => self.delete(name, revision, now),
        }
    }

    /// Removes an entry. `revision` is the change that removed it, or the default if only this node found it
    /// to be gone.
    pub(super) fn delete(&mut self, name: &InstanceName, revision: Revision, now: Moment) -> bool {
        let Some(entry) = self.entries.remove(name) else { return false };
        self.note_machine(&entry.instance, now);
        let epoch = self.revision.epoch;
        let tombstone = Tombstone { instance: entry.instance, revision, epoch, is_confirmed: false, since: now };
        self.tombstones.insert(name.clone(), tombstone);
        true
    }
}
