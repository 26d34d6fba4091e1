//! Handling of suspected members.
//!
//! A suspicion that times out makes a member dead only if something was heard from the
//! member's zone in the meantime. Otherwise the zone is more likely partitioned: the suspicion
//! stays *unconfirmed*, the member gets no work, and contact with it or a full sync with a
//! reachable member clears the suspicion.

use olivegate_types::{Moment, NodeName, ZoneName};

use crate::membership::{Member, Membership, Output};
use crate::record::{MemberRecord, MemberState};

/// Periods without a message after which a zone counts as silent.
const SILENT_PERIODS: u32 = 5;
/// Number of members suspected while their zone was silent from which a partition is
/// assumed, rather than the death of members.
const MIN_SUSPECTS_OF_PARTITION: usize = 3;

impl Membership {
    /// Decides suspicions that have timed out, and removes members that were suspected or dead
    /// for longer than the retention time.
    pub(crate) fn check_suspicions(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        let timeout = self.config.suspicion_time(self.members.len() + 1);
        let retention = self.config.dead_retention;
        let suspected_or_dead: Vec<(MemberRecord, Moment)> = self
            .suspected_or_dead
            .iter()
            .filter_map(|name| self.members.get(name).map(|member| (member.record.clone(), member.since)))
            .collect();
        for (record, since) in suspected_or_dead {
            let age = now.since(since);
            if record.state == MemberState::Suspect
                && age >= timeout
                && self.is_zone_reachable(&record.zone, since)
            {
                self.apply(MemberRecord { state: MemberState::Dead, ..record }, now, outputs);
            } else if age >= retention {
                self.suspected_or_dead.remove(&record.name);
                self.members.remove(&record.name);
            } else if record.state == MemberState::Suspect
                && age >= timeout
                && let Some(member) = self.members.get_mut(&record.name)
            {
                member.unconfirmed = true;
            }
        }
    }

    /// True when something was heard from `zone` after `since`, or `zone` is this node's own.
    /// Only a node that can reach a zone may declare its members dead.
    fn is_zone_reachable(&self, zone: &ZoneName, since: Moment) -> bool {
        *zone == self.own.zone || self.zone_last_heard.get(zone).is_some_and(|heard| *heard > since)
    }

    /// Records a message from a member. If its zone was silent before, the members suspected
    /// during the silence get a new time to refute and their suspicion is no longer gossiped;
    /// with enough of them, a full sync with the sender shows which are alive.
    pub(crate) fn record_contact(&mut self, name: &NodeName, now: Moment, outputs: &mut Vec<Output>) {
        let Some(record) = self.members.get(name).map(|member| member.record.clone()) else {
            return;
        };
        if self.members.get(name).is_some_and(|member| member.unconfirmed) {
            self.clear_suspicion(MemberRecord { state: MemberState::Alive, ..record.clone() }, now, outputs);
        }
        let last_heard = self.zone_last_heard.insert(record.zone.clone(), now).unwrap_or_default();
        if record.zone == self.own.zone || now.since(last_heard) < self.config.period * SILENT_PERIODS {
            return;
        }
        let restarted = self.restart_suspicions(&record.zone, last_heard, now);
        if restarted >= MIN_SUSPECTS_OF_PARTITION {
            outputs.push(Output::Sync { from: record.control });
        }
    }

    /// Marks the members of `zone` that were suspected after `last_heard` as unconfirmed and
    /// restarts their timeouts. Returns how many there are.
    fn restart_suspicions(&mut self, zone: &ZoneName, last_heard: Moment, now: Moment) -> usize {
        let mut restarted = 0;
        for name in &self.suspected_or_dead {
            let Some(member) = self.members.get_mut(name) else {
                continue;
            };
            let suspected_in_silence = member.record.state == MemberState::Suspect && member.since > last_heard;
            if member.record.zone == *zone && suspected_in_silence {
                member.unconfirmed = true;
                member.since = now;
                self.gossip.remove(name);
                restarted += 1;
            }
        }
        restarted
    }

    /// Clears the suspicion of a member that this node suspected while the member's zone was
    /// silent, when a reachable peer reports it as alive or leaving.
    pub(crate) fn clear_suspicion_by_peer(
        &mut self,
        update: &MemberRecord,
        now: Moment,
        outputs: &mut Vec<Output>,
    ) {
        let Some(member) = self.members.get(&update.name) else {
            return;
        };
        let is_suspect = member.record.state == MemberState::Suspect;
        let silent = member.unconfirmed || !self.is_zone_reachable(&member.record.zone, member.since);
        if is_suspect && silent && update.is_answering() && update.incarnation == member.record.incarnation {
            self.clear_suspicion(update.clone(), now, outputs);
        }
    }

    fn clear_suspicion(&mut self, record: MemberRecord, now: Moment, outputs: &mut Vec<Output>) {
        let (name, state) = (record.name.clone(), record.state);
        self.suspected_or_dead.remove(&name);
        self.gossip.remove(&name);
        self.members.insert(name.clone(), Member { record, since: now, unconfirmed: false });
        outputs.push(Output::Changed { name, state });
    }
}
