//! What becomes of suspected members.
//!
//! A suspicion that lasts ends in death only if something was heard from the member's
//! zone meanwhile. Otherwise the zone is more likely cut off: the member is *held*, gets
//! no work, and is released by contact or by a full exchange with a reachable member.

use olivegate_types::{Moment, NodeName, ZoneName};

use crate::membership::{Member, Membership, Output};
use crate::record::{MemberRecord, MemberState};

/// Periods without a message after which a zone counts as having been silent.
const SILENT_PERIODS: u32 = 5;
/// Members suspected during one silence that point to a cut rather than to a death.
const SUSPECTS_OF_A_CUT: usize = 3;

impl Membership {
    /// Ends suspicions that have lasted long enough, and forgets members after a time.
    pub(crate) fn check_suspicions(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        let time = self.config.suspicion_time(self.members.len() + 1);
        let retention = self.config.dead_retention;
        let doubted: Vec<(MemberRecord, Moment)> = self
            .doubted
            .iter()
            .filter_map(|name| self.members.get(name).map(|member| (member.record.clone(), member.since)))
            .collect();
        for (record, since) in doubted {
            let age = now.since(since);
            if record.state == MemberState::Suspect && age >= time && self.is_zone_reachable(&record.zone, since) {
                self.apply(MemberRecord { state: MemberState::Dead, ..record }, now, outputs);
            } else if age >= retention {
                self.doubted.remove(&record.name);
                self.members.remove(&record.name);
            } else if record.state == MemberState::Suspect
                && age >= time
                && let Some(member) = self.members.get_mut(&record.name)
            {
                member.held = true;
            }
        }
    }

    /// True when something was heard from `zone` after `since`. Only a node that reaches
    /// the zone may declare one of its members dead.
    fn is_zone_reachable(&self, zone: &ZoneName, since: Moment) -> bool {
        *zone == self.own.zone || self.zone_heard.get(zone).is_some_and(|heard| *heard > since)
    }

    /// Something was heard from a member. After a silence of its zone, members that were
    /// suspected during the silence get a new time to refute, their suspicion is no
    /// longer passed on, and a full exchange with the sender tells who is alive.
    pub(crate) fn note_contact(&mut self, name: &NodeName, now: Moment, outputs: &mut Vec<Output>) {
        let Some(record) = self.members.get(name).map(|member| member.record.clone()) else {
            return;
        };
        if self.members.get(name).is_some_and(|member| member.held) {
            self.release(MemberRecord { state: MemberState::Alive, ..record.clone() }, now, outputs);
        }
        let before = self.zone_heard.insert(record.zone.clone(), now).unwrap_or_default();
        if record.zone == self.own.zone || now.since(before) < self.config.period * SILENT_PERIODS {
            return;
        }
        let renewed = self.renew_suspects(&record.zone, before, now);
        if renewed >= SUSPECTS_OF_A_CUT {
            outputs.push(Output::Sync { from: record.control });
        }
    }

    /// Holds the members of `zone` suspected after `before`; returns how many.
    fn renew_suspects(&mut self, zone: &ZoneName, before: Moment, now: Moment) -> usize {
        let mut renewed = 0;
        for name in &self.doubted {
            let Some(member) = self.members.get_mut(name) else {
                continue;
            };
            let raised_in_silence = member.record.state == MemberState::Suspect && member.since > before;
            if member.record.zone == *zone && raised_in_silence {
                member.held = true;
                member.since = now;
                self.gossip.remove(name);
                renewed += 1;
            }
        }
        renewed
    }

    /// A reachable member holds one for alive that we suspected while its zone was silent:
    /// so do we.
    pub(crate) fn release_suspect(&mut self, news: &MemberRecord, now: Moment, outputs: &mut Vec<Output>) {
        let Some(member) = self.members.get(&news.name) else {
            return;
        };
        let is_suspect = member.record.state == MemberState::Suspect;
        let silent = member.held || !self.is_zone_reachable(&member.record.zone, member.since);
        if is_suspect && silent && news.is_answering() && news.incarnation == member.record.incarnation {
            self.release(news.clone(), now, outputs);
        }
    }

    fn release(&mut self, record: MemberRecord, now: Moment, outputs: &mut Vec<Output>) {
        let (name, state) = (record.name.clone(), record.state);
        self.doubted.remove(&name);
        self.gossip.remove(&name);
        self.members.insert(name.clone(), Member { record, since: now, held: false });
        outputs.push(Output::Changed { name, state });
    }
}
