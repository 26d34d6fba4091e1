//! The membership protocol, without I/O.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use olivegate_types::{Moment, NodeName, ZoneName};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};

use crate::config::MembershipConfig;
use crate::detector::{Detector, Relay};
use crate::gossip::GossipQueue;
use crate::message::{Message, Purpose};
use crate::record::{HeldSeat, MemberRecord, MemberState};

/// Periods between two attempts to sync with a seed that is not known as a live member.
const UNKNOWN_SEED_PERIODS: u32 = 4;

/// Action that the caller has to carry out, or a change it has to know of.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Send a datagram.
    Send {
        /// Destination.
        to: SocketAddr,
        /// Content.
        message: Message,
    },
    /// Fetch all records of a member with a control call and pass them to [`Membership::merge`].
    Sync {
        /// Control address of the member.
        from: SocketAddr,
    },
    /// The state or an address of a member changed.
    Changed {
        /// The member.
        name: NodeName,
        /// Its new state.
        state: MemberState,
    },
}

#[derive(Debug)]
pub(crate) struct Member {
    pub(crate) record: MemberRecord,
    /// Time of its last change of state.
    pub(crate) since: Moment,
    /// True for a suspect whose zone is or was silent too: more likely the zone is partitioned
    /// than the member dead. Such a member isn't declared dead and its record isn't shared.
    /// The flag is local to this node.
    pub(crate) unconfirmed: bool,
}

/// One node's view of all members.
#[derive(Debug)]
pub struct Membership {
    pub(crate) config: MembershipConfig,
    pub(crate) own: MemberRecord,
    pub(crate) members: BTreeMap<NodeName, Member>,
    /// Members that are suspected or dead. Each tick checks only these.
    pub(crate) suspected_or_dead: BTreeSet<NodeName>,
    pub(crate) seeds: Vec<SocketAddr>,
    pub(crate) detector: Detector,
    pub(crate) gossip: GossipQueue,
    pub(crate) random: StdRng,
    /// Time of the last message from each zone.
    pub(crate) zone_last_heard: BTreeMap<ZoneName, Moment>,
    pub(crate) next_probe: Moment,
    pub(crate) next_sync: Moment,
    pub(crate) last_tick: Option<Moment>,
    pub(crate) stale_since: Option<Moment>,
    pub(crate) freezes: u64,
}

impl Membership {
    /// Creates a view that contains only this node. `seeds` are the control addresses to join
    /// through, `seed` initialises the random number generator.
    pub fn new(own: MemberRecord, seeds: Vec<SocketAddr>, config: MembershipConfig, seed: u64) -> Self {
        let mut gossip = GossipQueue::default();
        gossip.push(own.name.clone());
        Membership {
            config,
            own,
            members: BTreeMap::new(),
            suspected_or_dead: BTreeSet::new(),
            seeds,
            detector: Detector::default(),
            gossip,
            random: StdRng::seed_from_u64(seed),
            zone_last_heard: BTreeMap::new(),
            next_probe: Moment::START,
            next_sync: Moment::START,
            last_tick: None,
            stale_since: None,
            freezes: 0,
        }
    }

    /// This node's own record.
    pub fn own(&self) -> &MemberRecord {
        &self.own
    }

    /// All other known members, including dead ones.
    pub fn others(&self) -> impl Iterator<Item = &MemberRecord> {
        self.members.values().map(|member| &member.record)
    }

    /// All members that may be given work, including this node.
    pub fn usable(&self) -> Vec<&MemberRecord> {
        let others = self.others().filter(|record| record.is_usable());
        std::iter::once(&self.own).filter(|own| own.is_usable()).chain(others).collect()
    }

    /// Usable members of one zone.
    pub fn usable_in(&self, zone: &ZoneName) -> Vec<&MemberRecord> {
        self.usable().into_iter().filter(|record| record.zone == *zone).collect()
    }

    /// The record of a member, or of this node.
    pub fn get(&self, name: &NodeName) -> Option<&MemberRecord> {
        if *name == self.own.name { Some(&self.own) } else { self.members.get(name).map(|member| &member.record) }
    }

    /// The records with which a node answers an [`Output::Sync`]: its own and those of all
    /// members except unconfirmed suspects.
    pub fn snapshot(&self) -> Vec<MemberRecord> {
        let others = self.members.values().filter(|member| !member.unconfirmed).map(|member| &member.record);
        std::iter::once(&self.own).chain(others).cloned().collect()
    }

    /// Number of times that this process was found to have been frozen.
    pub fn freezes(&self) -> u64 {
        self.freezes
    }

    /// False when this process was frozen and hasn't heard from any member since.
    pub fn is_view_fresh(&self, now: Moment) -> bool {
        let ticked = self.last_tick.is_none_or(|last| now.since(last) < self.config.freeze_threshold);
        ticked && self.stale_since.is_none()
    }

    /// Replaces the seeds: control addresses that full syncs prefer while they are not known as
    /// addresses of live members.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
    }

    /// Announces the seats held by this node.
    pub fn set_seats(&mut self, seats: Vec<HeldSeat>) {
        if self.own.seats != seats {
            self.own.seats = seats;
            self.announce();
        }
    }

    /// Announces that this node is stopping, with messages that the caller sends at once.
    pub fn leave(&mut self) -> Vec<Output> {
        self.own.state = MemberState::Leaving;
        self.announce();
        let targets: Vec<SocketAddr> =
            self.others().filter(|record| record.is_answering()).map(|record| record.control).collect();
        let chosen: Vec<SocketAddr> = targets.sample(&mut self.random, 8).copied().collect();
        chosen.into_iter().map(|to| self.ping(to, None)).collect()
    }

    fn announce(&mut self) {
        self.own.incarnation += 1;
        self.gossip.push(self.own.name.clone());
    }

    /// Periodic work; call at least every 50 ms or once per period.
    pub fn tick(&mut self, now: Moment) -> Vec<Output> {
        let mut outputs = Vec::new();
        self.detect_freeze(now);
        self.check_probes(now, &mut outputs);
        self.check_suspicions(now, &mut outputs);
        if now >= self.next_probe {
            self.next_probe = now + self.config.period;
            self.probe_next(now, &mut outputs);
        }
        if now >= self.next_sync {
            self.schedule_sync(now, &mut outputs);
        }
        self.last_tick = Some(now);
        outputs
    }

    /// A long gap between ticks means that the process was frozen. Probes in progress prove
    /// nothing then and are discarded, suspicions start over, and the view counts as stale.
    fn detect_freeze(&mut self, now: Moment) {
        let frozen = self.last_tick.is_some_and(|last| now.since(last) >= self.config.freeze_threshold);
        if !frozen {
            return;
        }
        self.freezes += 1;
        self.detector.reset();
        self.next_sync = now;
        let no_live_peers = !self.others().any(MemberRecord::is_answering);
        self.stale_since = (!no_live_peers).then_some(now);
        for name in &self.suspected_or_dead {
            if let Some(member) = self.members.get_mut(name) {
                member.since = now;
            }
        }
        self.announce();
    }

    /// Starts a full sync with a seed that is not known as a live member, else with a random
    /// member. Seeds go first: otherwise two groups that know only their own members would
    /// never merge.
    fn schedule_sync(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        let known: Vec<SocketAddr> =
            self.others().filter(|record| record.is_answering()).map(|record| record.control).collect();
        let own = self.own.control;
        let is_unknown = |address: &SocketAddr| *address != own && !known.contains(address);
        let unknown_seeds: Vec<SocketAddr> = self.seeds.iter().copied().filter(is_unknown).collect();
        let wait = match (known.is_empty(), unknown_seeds.is_empty()) {
            (true, _) => self.config.period * 2,
            (false, false) => self.config.period * UNKNOWN_SEED_PERIODS,
            (false, true) => self.config.sync_interval_for(known.len()),
        };
        self.next_sync = now + wait.mul_f64(self.random.random_range(0.75..1.25));
        let candidates = if unknown_seeds.is_empty() { &known } else { &unknown_seeds };
        if let Some(&from) = candidates.choose(&mut self.random) {
            outputs.push(Output::Sync { from });
        }
    }

    /// Probes the next member, and pings one random dead member in case it is back.
    fn probe_next(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        let members = &self.members;
        let live = || {
            let live = members.values().filter(|member| member.record.state != MemberState::Dead);
            live.map(|member| member.record.name.clone()).collect()
        };
        if let Some(target) = self.detector.next_target(live, &mut self.random) {
            self.probe(&target, now, outputs);
        }
        let dead: Vec<SocketAddr> = self
            .suspected_or_dead
            .iter()
            .filter_map(|name| self.members.get(name).map(|member| &member.record))
            .filter(|record| record.state == MemberState::Dead)
            .map(|record| record.control)
            .collect();
        if let Some(&address) = dead.choose(&mut self.random) {
            let ping = self.ping(address, None);
            outputs.push(ping);
        }
    }

    fn probe(&mut self, target: &NodeName, now: Moment, outputs: &mut Vec<Output>) {
        let Some(record) = self.members.get(target).map(|member| &member.record) else {
            return;
        };
        if record.state == MemberState::Dead {
            return;
        }
        let address = record.control;
        let sequence = self.detector.start(target.clone(), now);
        let ping = self.message(Purpose::Ping { sequence }, Some(target));
        outputs.push(Output::Send { to: address, message: ping });
    }

    /// Probes a member at once, out of turn, because a call to it failed.
    pub fn on_contact_failure(&mut self, target: &NodeName, now: Moment) -> Vec<Output> {
        let mut outputs = Vec::new();
        if !self.detector.probes.iter().any(|probe| probe.target == *target) {
            self.probe(target, now, &mut outputs);
        }
        outputs
    }

    fn ping(&mut self, to: SocketAddr, receiver: Option<&NodeName>) -> Output {
        let sequence = self.detector.allocate_sequence();
        Output::Send { to, message: self.message(Purpose::Ping { sequence }, receiver) }
    }

    /// Builds a message. If this node holds the receiver for suspected or dead, that record
    /// comes first so that the receiver can refute it.
    fn message(&mut self, purpose: Purpose, receiver: Option<&NodeName>) -> Message {
        let members = self.members.len() + 1;
        let transmissions = self.config.transmissions(members);
        let (own, known) = (&self.own, &self.members);
        let record = |name: &NodeName| {
            if *name == own.name { Some(own.clone()) } else { known.get(name).map(|member| member.record.clone()) }
        };
        let mut changes = self.gossip.take(self.config.gossip_bytes, transmissions, record);
        let receiver = receiver.and_then(|name| self.members.get(name)).filter(|member| !member.unconfirmed);
        if let Some(receiver) = receiver.map(|member| &member.record).filter(|record| !record.is_answering()) {
            changes.retain(|change| change.name != receiver.name);
            changes.insert(0, receiver.clone());
        }
        Message { from: self.own.name.clone(), incarnation: self.own.incarnation, purpose, changes }
    }

    fn check_probes(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        let mut failed = Vec::new();
        let mut unacknowledged = Vec::new();
        for probe in &mut self.detector.probes {
            let age = now.since(probe.sent);
            if age >= self.config.period {
                failed.push(probe.target.clone());
            } else if age >= self.config.direct_timeout && !probe.indirect {
                probe.indirect = true;
                unacknowledged.push((probe.target.clone(), probe.sequence));
            }
        }
        let period = self.config.period;
        self.detector.probes.retain(|probe| now.since(probe.sent) < period);
        self.detector.relays.retain(|relay| now.since(relay.since) < period);
        for (target, sequence) in unacknowledged {
            self.send_ping_requests(&target, sequence, outputs);
        }
        for target in failed {
            self.suspect(&target, now, outputs);
        }
    }

    fn send_ping_requests(&mut self, target: &NodeName, sequence: u64, outputs: &mut Vec<Output>) {
        let Some(address) = self.members.get(target).map(|member| member.record.control) else {
            return;
        };
        let candidates: Vec<SocketAddr> = self
            .others()
            .filter(|record| record.is_answering() && record.name != *target)
            .map(|record| record.control)
            .collect();
        let count = self.config.indirect_probes;
        let chosen: Vec<SocketAddr> = candidates.sample(&mut self.random, count).copied().collect();
        for to in chosen {
            let purpose = Purpose::PingRequest { sequence, target: target.clone(), address };
            let message = self.message(purpose, None);
            outputs.push(Output::Send { to, message });
        }
    }

    fn suspect(&mut self, target: &NodeName, now: Moment, outputs: &mut Vec<Output>) {
        let Some(record) = self.members.get(target).map(|member| member.record.clone()) else {
            return;
        };
        if record.is_answering() {
            self.apply(MemberRecord { state: MemberState::Suspect, ..record }, now, outputs);
        }
    }

    /// Applies a received record if it supersedes the known one.
    pub(crate) fn apply(&mut self, update: MemberRecord, now: Moment, outputs: &mut Vec<Output>) {
        if update.name == self.own.name {
            self.refute(&update);
            return;
        }
        let known = self.members.get(&update.name).map(|member| &member.record);
        if known.is_some_and(|known| !update.replaces(known))
            || (known.is_none() && update.state == MemberState::Dead)
        {
            return;
        }
        let changed = known.is_none_or(|known| known.state != update.state);
        let moved = known.is_some_and(|known| known.data != update.data || known.control != update.control);
        let (name, state) = (update.name.clone(), update.state);
        let since = match self.members.get(&name) {
            Some(member) if !changed => member.since,
            _ => now,
        };
        if update.is_answering() {
            self.suspected_or_dead.remove(&name);
        } else {
            self.suspected_or_dead.insert(name.clone());
        }
        self.members.insert(name.clone(), Member { record: update, since, unconfirmed: false });
        self.gossip.push(name.clone());
        if changed || moved {
            outputs.push(Output::Changed { name, state });
        }
    }

    /// Announces a higher incarnation when a received record shows this node in a worse state
    /// than its own, or in a later incarnation.
    fn refute(&mut self, update: &MemberRecord) {
        let supersedes_own = (update.incarnation, update.state) > (self.own.incarnation, self.own.state);
        if supersedes_own {
            self.own.incarnation = self.own.incarnation.max(update.incarnation);
            self.announce();
        }
    }

    /// Handles a message that arrived from `address`.
    pub fn on_message(&mut self, message: Message, address: SocketAddr, now: Moment) -> Vec<Output> {
        let mut outputs = Vec::new();
        for change in message.changes {
            self.apply(change, now, &mut outputs);
        }
        self.record_contact(&message.from, now, &mut outputs);
        self.stale_since = None;
        let known = self.members.get(&message.from).map(|member| member.record.control);
        let reply_to = known.unwrap_or(address);
        match message.purpose {
            Purpose::Ping { sequence } => {
                let ack = self.message(Purpose::Ack { sequence }, Some(&message.from));
                outputs.push(Output::Send { to: reply_to, message: ack });
            }
            Purpose::Ack { sequence } => self.on_ack(sequence, &mut outputs),
            Purpose::PingRequest { sequence, target, address } => {
                let own_sequence = self.detector.allocate_sequence();
                let relay = Relay { sequence: own_sequence, requester_sequence: sequence, reply_to, since: now };
                self.detector.relays.push(relay);
                let ping = self.message(Purpose::Ping { sequence: own_sequence }, Some(&target));
                outputs.push(Output::Send { to: address, message: ping });
            }
        }
        outputs
    }

    fn on_ack(&mut self, sequence: u64, outputs: &mut Vec<Output>) {
        if let Some(index) = self.detector.relays.iter().position(|relay| relay.sequence == sequence) {
            let relay = self.detector.relays.swap_remove(index);
            let message = self.message(Purpose::Ack { sequence: relay.requester_sequence }, None);
            outputs.push(Output::Send { to: relay.reply_to, message });
            return;
        }
        self.detector.acknowledge(sequence);
    }

    /// Merges the records that a full sync returned.
    pub fn merge(&mut self, records: Vec<MemberRecord>, now: Moment) -> Vec<Output> {
        let mut outputs = Vec::new();
        for record in records {
            self.clear_suspicion_by_peer(&record, now, &mut outputs);
            self.apply(record, now, &mut outputs);
        }
        self.stale_since = None;
        outputs
    }

    /// Discards the changes that still have to be sent. For simulations that start with a
    /// converged fleet.
    pub fn clear_gossip(&mut self) {
        self.gossip = GossipQueue::default();
    }

    /// Number of changes that still have to be sent.
    pub fn gossip_backlog(&self) -> usize {
        self.gossip.len()
    }
}
