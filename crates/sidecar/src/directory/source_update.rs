//! Taking over what the source says: everything, changes, and the state of a new epoch.

use std::collections::HashSet;
use std::rc::Rc;

use olivegate_types::{InstanceName, Moment};

use super::prior::{Prior, Taken};
use super::retention::SourceHealth;
use super::{Directory, Entry, InstanceStatus, Tombstone};
use crate::model::{Epoch, InstanceState, Revision};
use crate::source::{Change, ListedInstance};

impl Directory {
    /// Begins `epoch`, if it is later than the one known: what was learnt in that one is no longer
    /// counted as known, but stays in force until the source has said otherwise. What is missing now
    /// is written again as after an absence. True when it began.
    pub(super) fn enter_epoch(&mut self, epoch: Epoch, now: Moment) -> bool {
        if self.revision == Revision::default() {
            self.note_first_epoch(epoch, now);
            return false;
        }
        if epoch <= self.revision.epoch {
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

    /// A node that has just started cannot tell how long ago the source came back, if it ever did: what
    /// it reads first may lack a withdrawal that was acknowledged.
    fn note_first_epoch(&mut self, epoch: Epoch, now: Moment) {
        if epoch > Epoch::default() {
            self.epoch_met = Some(now);
        }
    }

    /// True while writes that the source lost may not yet have been written again.
    pub fn may_lack_writes(&self, now: Moment) -> bool {
        self.epoch_met.is_some_and(|met| now.since(met) < self.policy.rewritten_within)
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
            Change::InstanceRemoved { name, revision } => {
                let is_newer = self.entries.get(name).is_none_or(|entry| entry.revision < *revision);
                is_newer && !self.is_attested(name) && self.remove(name, *revision, now)
            }
            Change::Configuration(_) => false,
        };
        self.finish(self.revision, changed)
    }

    /// Entries that are not in `names`; those that are held end with their hold.
    pub(super) fn missing_from(&self, names: &HashSet<&InstanceName>) -> Vec<InstanceName> {
        let missing = self.entries.iter().filter(|(name, entry)| !names.contains(name) && entry.hold.is_none());
        missing.map(|(name, _)| name.clone()).collect()
    }

    /// Takes over one entry, when it is newer than what is known. True when anything changed.
    pub(super) fn insert(&mut self, listed: &ListedInstance, now: Moment) -> bool {
        let name = &listed.instance.name;
        self.note_machine(&listed.instance, now);
        if !self.is_newer(listed) {
            return false;
        }
        let prior = self.prior_of(name);
        let taken = prior.map_or(Taken::AsListed, |prior| prior.take(listed));
        let has_restarted = prior.is_some_and(|prior| prior.has_restarted(listed));
        let mut instance = listed.instance.clone();
        match taken {
            Taken::Outdated => return false,
            Taken::StillLeaving => instance.state = InstanceState::Draining,
            Taken::AsListed | Taken::Doubted => {}
        }
        if has_restarted {
            self.restarted.push(name.clone());
        }
        self.said_leaving.learn_start(&instance);
        let doubted_until = (taken == Taken::Doubted).then(|| now + self.policy.lapses_within);
        let is_same = |entry: &Entry| *entry.instance == instance && entry.doubted_until == doubted_until;
        let changed = !self.entries.get(name).is_some_and(is_same);
        let entry = Entry { instance: Rc::new(instance), revision: listed.revision, hold: None, doubted_until };
        self.gone.remove(name);
        self.entries.insert(name.clone(), entry);
        changed
    }

    /// True when `listed` is later than what is known, or ends a hold.
    fn is_newer(&self, listed: &ListedInstance) -> bool {
        self.entries.get(&listed.instance.name).is_none_or(|known| {
            known.revision < listed.revision || known.revision == listed.revision && known.hold.is_some()
        })
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
    pub(super) fn remove(&mut self, name: &InstanceName, revision: Revision, now: Moment) -> bool {
        match self.source.hold_of_missing(self.policy, revision, now) {
            Some(hold) if self.status(name) == InstanceStatus::Ready => self.hold(name, hold),
            _ => self.forget(name, revision, now),
        }
    }

    /// Removes an entry. `revision` is the change that removed it, or the default when only
    /// this node thinks so.
    pub(super) fn forget(&mut self, name: &InstanceName, revision: Revision, now: Moment) -> bool {
        let Some(entry) = self.entries.remove(name) else { return false };
        self.note_machine(&entry.instance, now);
        let epoch = self.revision.epoch;
        let tombstone = Tombstone { instance: entry.instance, revision, epoch, is_seen: false, since: now };
        self.gone.insert(name.clone(), tombstone);
        true
    }
}
