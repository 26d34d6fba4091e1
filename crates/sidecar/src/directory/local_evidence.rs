//! What a node believes in addition to the source's list, and when that expires: retained entries,
//! attestations of gates, and what was observed while connecting to an instance.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use olivegate_types::{InstanceName, Moment, is_name};

use super::retention::{Retention, RetentionReason, SourceHealth};
use super::{Directory, Entry, InstanceStatus, MACHINE_MEMORY};
use crate::model::{Incarnation, Instance, InstanceState, Revision};

/// An attestation is passed on to other nodes if it extends the known one by at least this much.
const MIN_EXTENSION: Duration = Duration::from_secs(1);

impl Directory {
    /// Records that the source does not answer this node. An entry that goes missing may belong to a live
    /// instance.
    pub fn note_source_unreachable(&mut self) {
        if !matches!(self.source, SourceHealth::Unreachable { .. }) {
            self.source = SourceHealth::Unreachable { answered_peer_at: None };
        }
    }

    /// Records that the source answered another node at `at`. It may stay unreachable for this node, because
    /// of a network fault or because this node rarely calls it, but live instances can write to it again.
    pub fn note_source_answered_peer(&mut self, at: Moment) {
        if let SourceHealth::Unreachable { answered_peer_at: answered_at @ None } = &mut self.source {
            *answered_at = Some(at);
        }
    }

    /// Records that the source answered. To be called before its answer is applied.
    pub fn note_source_answered(&mut self, now: Moment) {
        let SourceHealth::Unreachable { answered_peer_at } = self.source else { return };
        let recovered_at = answered_peer_at.unwrap_or(now);
        self.source = SourceHealth::Recovered(recovered_at);
        let until = recovered_at + self.policy.rewritten_within;
        let retentions = self.entries.values_mut().filter_map(|entry| entry.retention.as_mut());
        retentions.for_each(|retention| retention.until = retention.until.max(until));
    }

    /// Expires retained entries, tombstones and other records; to be called about once a second. Returns true
    /// if anything changed.
    pub fn expire(&mut self, now: Moment) -> bool {
        self.expire_tombstones(now);
        let (entries, tombstones) = (&self.entries, &self.tombstones);
        self.leaving_notices.prune(now, |name| entries.contains_key(name) || tombstones.contains_key(name));
        let listed = self.listed_machines();
        self.machines.retain(|ip, machine| listed.contains(ip) || now.since(machine.seen) < MACHINE_MEMORY);
        let source = self.source;
        let is_expired =
            |entry: &Entry| entry.retention.is_some_and(|retention| retention.is_expired(source, now));
        let ended: Vec<InstanceName> =
            self.entries.iter().filter(|(_, entry)| is_expired(entry)).map(|(name, _)| name.clone()).collect();
        let mut changed = self.end_unverified(now);
        for name in ended {
            changed |= self.delete(&name, self.removal_revision(&name), now);
        }
        self.commit(self.revision, changed)
    }

    /// Ends the verification of entries that outlived the expiry of an entry that is not renewed: their
    /// instances renew them. While the source is unreachable, the age of an entry does not show that.
    fn end_unverified(&mut self, now: Moment) -> bool {
        if matches!(self.source, SourceHealth::Unreachable { .. }) {
            return false;
        }
        let is_expired = |entry: &&mut Entry| entry.unverified_until.is_some_and(|until| now >= until);
        let ended = self.entries.values_mut().filter(is_expired);
        ended.map(|entry| entry.unverified_until = None).count() > 0
    }

    fn expire_tombstones(&mut self, now: Moment) {
        let mut forgotten = self.tombstones_since;
        self.tombstones.retain(|_, tombstone| {
            let is_kept = now.since(tombstone.since) < MACHINE_MEMORY;
            if !is_kept {
                forgotten = forgotten.max(tombstone.revision);
            }
            is_kept
        });
        self.tombstones_since = forgotten;
    }

    /// Records that an instance was found to be gone, on its own machine or on the way there, whatever the
    /// source lists. Returns true if anything changed.
    pub fn note_gone(&mut self, name: &InstanceName, now: Moment) -> bool {
        let changed = self.delete(name, self.removal_revision(name), now);
        if let Some(tombstone) = self.tombstones.get_mut(name) {
            tombstone.is_confirmed = true;
        }
        self.commit(self.revision, changed)
    }

    /// Records that this incarnation of an instance announced in a response that it is leaving. Returns true
    /// if anything changed.
    pub fn note_leaving(&mut self, name: &InstanceName, incarnation: Incarnation, now: Moment) -> bool {
        let changed = self.leaving_notices.note(name, incarnation, now);
        self.commit(self.revision, changed)
    }

    /// Adds an instance that was found on its own machine before the source lists it, for as long as listing
    /// may take. Returns true if it was added.
    pub fn observe(&mut self, instance: Instance, now: Moment) -> bool {
        if !is_name(instance.name.as_str()) || self.status(&instance.name) != InstanceStatus::Unknown {
            return false;
        }
        let retention = Retention {
            reason: RetentionReason::Observed,
            until: now + self.policy.listed_within,
            removed: Revision::default(),
        };
        self.insert_retained(instance, retention, now);
        true
    }

    /// Records that the gate on an instance's machine attests, until `until`, that the instance is alive
    /// although its entry was removed. Returns true if other nodes are to be told.
    pub fn attest(&mut self, instance: Instance, until: Moment, now: Moment) -> bool {
        let is_odd = !is_name(instance.name.as_str());
        if is_odd || self.was_draining_when_removed(&instance) || self.is_leaving(&instance) {
            return false;
        }
        let removed = self.removal_revision(&instance.name);
        let retention = Retention { reason: RetentionReason::Attested, until, removed };
        let Some(entry) = self.entries.get_mut(&instance.name) else {
            self.insert_retained(instance, retention, now);
            return true;
        };
        let is_extended = entry.retention.is_some_and(|known| until.since(known.until) >= MIN_EXTENSION);
        if is_extended {
            entry.retention = Some(retention);
        }
        is_extended
    }

    /// Returns true if the gate of an instance attests that it is alive, which overrides the removal of its
    /// entry.
    pub(super) fn is_attested(&self, name: &InstanceName) -> bool {
        let retention = self.entries.get(name).and_then(|entry| entry.retention);
        retention.is_some_and(|retention| retention.reason == RetentionReason::Attested)
    }

    /// Returns the change that removed the entry of an instance; the default if it is not known.
    pub(super) fn removal_revision(&self, name: &InstanceName) -> Revision {
        let retained = self.entries.get(name).and_then(|entry| entry.retention).map(|retention| retention.removed);
        retained.or(self.tombstones.get(name).map(|tombstone| tombstone.revision)).unwrap_or_default()
    }

    /// Returns true if this incarnation of an instance was draining when its entry was removed.
    fn was_draining_when_removed(&self, instance: &Instance) -> bool {
        let removed = self.tombstones.get(&instance.name).map(|tombstone| &tombstone.instance);
        removed.is_some_and(|removed| {
            removed.state == InstanceState::Draining && !instance.incarnation.differs_from(removed.incarnation)
        })
    }

    fn insert_retained(&mut self, instance: Instance, retention: Retention, now: Moment) {
        self.note_machine(&instance, now);
        let name = instance.name.clone();
        self.tombstones.remove(&name);
        let entry = Entry {
            instance: Rc::new(instance),
            revision: Revision::default(),
            retention: Some(retention),
            unverified_until: None,
        };
        self.entries.insert(name, entry);
        self.commit(self.revision, true);
    }

    /// Returns the instance at `address` that the source no longer lists, or does not list yet, unless this
    /// node knows that it is gone or leaving.
    pub fn unlisted_at(&self, address: SocketAddr) -> Option<Rc<Instance>> {
        let known = self.entries.values().filter(|entry| entry.instance.address == address);
        if let Some(entry) = known.max_by_key(|entry| entry.revision) {
            let may_be_alive = entry.retention.is_some() && !self.is_leaving(&entry.instance);
            return may_be_alive.then(|| entry.instance.clone());
        }
        let removed = self.tombstones.values().filter(|tombstone| tombstone.instance.address == address);
        let last = removed.max_by_key(|tombstone| tombstone.since)?;
        (!last.is_confirmed && !self.is_leaving(&last.instance)).then(|| last.instance.clone())
    }

    /// Removes an instance after its gate confirmed that it is gone, if its entry is retained for that
    /// confirmation. Returns true if anything changed.
    pub fn confirm_gone(&mut self, name: &InstanceName, now: Moment) -> bool {
        let retention = self.entries.get(name).and_then(|entry| entry.retention);
        retention.is_some_and(|retention| retention.reason == RetentionReason::Unconfirmed)
            && self.note_gone(name, now)
    }

    /// Removes an instance that is retained without being listed, after it was not found at its address.
    /// Returns true if anything changed.
    pub fn remove_unlisted(&mut self, name: &InstanceName, now: Moment) -> bool {
        let is_retained = self.entries.get(name).is_some_and(|entry| entry.retention.is_some());
        is_retained && self.note_gone(name, now)
    }

    /// Retains an entry, or extends its retention. Returns true if it was not retained before.
    pub(super) fn retain(&mut self, name: &InstanceName, retention: Retention) -> bool {
        let Some(entry) = self.entries.get_mut(name) else { return false };
        let was_retained = entry.retention.is_some();
        if entry.retention.is_none_or(|known| known.until < retention.until) {
            entry.retention = Some(retention);
        }
        !was_retained
    }
}
