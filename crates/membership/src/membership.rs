//! The membership core.

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

/// Periods between two attempts to reach a seed that is not a member.
const STRANGER_PERIODS: u32 = 4;

/// What the core asks its surroundings to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Send a datagram.
    Send {
        /// Where to.
        to: SocketAddr,
        /// What.
        message: Message,
    },
    /// Fetch all records of a member (a control call) and pass them to [`Membership::merge`].
    Sync {
        /// Control address of the member.
        from: SocketAddr,
    },
    /// A member's state or addresses changed.
    Changed {
        /// The member.
        name: NodeName,
        /// Its state now.
        state: MemberState,
    },
}

#[derive(Debug)]
pub(crate) struct Member {
    pub(crate) record: MemberRecord,
    /// When its state changed.
    pub(crate) since: Moment,
    /// Suspected for long enough, but nothing was heard from its zone since: more likely
    /// the zone is cut off than the member dead. Known to this node only.
    pub(crate) held: bool,
}

/// What one node knows of all members.
#[derive(Debug)]
pub struct Membership {
    pub(crate) config: MembershipConfig,
    pub(crate) own: MemberRecord,
    pub(crate) members: BTreeMap<NodeName, Member>,
    /// Members that are suspected or held for dead: the only ones that each tick looks at.
    pub(crate) doubted: BTreeSet<NodeName>,
    pub(crate) seeds: Vec<SocketAddr>,
    pub(crate) detector: Detector,
    pub(crate) gossip: GossipQueue,
    pub(crate) random: StdRng,
    /// When something was last heard from each zone.
    pub(crate) zone_heard: BTreeMap<ZoneName, Moment>,
    pub(crate) next_probe: Moment,
    pub(crate) next_sync: Moment,
    pub(crate) last_tick: Option<Moment>,
    pub(crate) stale_since: Option<Moment>,
    pub(crate) freezes: u64,
}

impl Membership {
    /// A core that knows itself and the control addresses of some `seeds`.
    pub fn new(own: MemberRecord, seeds: Vec<SocketAddr>, config: MembershipConfig, seed: u64) -> Self {
        let mut gossip = GossipQueue::default();
        gossip.push(own.name.clone());
        Membership {
            config,
            own,
            members: BTreeMap::new(),
            doubted: BTreeSet::new(),
            seeds,
            detector: Detector::default(),
            gossip,
            random: StdRng::seed_from_u64(seed),
            zone_heard: BTreeMap::new(),
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

    /// All other members known, dead ones included.
    pub fn others(&self) -> impl Iterator<Item = &MemberRecord> {
        self.members.values().map(|member| &member.record)
    }

    /// This node and all others that may be given work.
    pub fn usable(&self) -> Vec<&MemberRecord> {
        let others = self.others().filter(|record| record.is_usable());
        std::iter::once(&self.own).filter(|own| own.is_usable()).chain(others).collect()
    }

    /// Usable members of one zone.
    pub fn usable_in(&self, zone: &ZoneName) -> Vec<&MemberRecord> {
        self.usable().into_iter().filter(|record| record.zone == *zone).collect()
    }

    /// The record of a member.
    pub fn get(&self, name: &NodeName) -> Option<&MemberRecord> {
        if *name == self.own.name { Some(&self.own) } else { self.members.get(name).map(|member| &member.record) }
    }

    /// All records but those of held members, this node's included: the answer to a
    /// [`Output::Sync`].
    pub fn snapshot(&self) -> Vec<MemberRecord> {
        let others = self.members.values().filter(|member| !member.held).map(|member| &member.record);
        std::iter::once(&self.own).chain(others).cloned().collect()
    }

    /// Number of times this process was found to have been stopped.
    pub fn freezes(&self) -> u64 {
        self.freezes
    }

    /// True unless this process was stopped and has not heard from any member since.
    pub fn is_view_fresh(&self, now: Moment) -> bool {
        let ticked = self.last_tick.is_none_or(|last| now.since(last) < self.config.freeze_threshold);
        ticked && self.stale_since.is_none()
    }

    /// Replaces the list of seeds: control addresses tried while no member is known.
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

    /// Announces that this node is stopping; the messages go out at once.
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

    /// A late tick shows a stop: verdicts in progress are void, the view is stale.
    fn detect_freeze(&mut self, now: Moment) {
        let frozen = self.last_tick.is_some_and(|last| now.since(last) >= self.config.freeze_threshold);
        if !frozen {
            return;
        }
        self.freezes += 1;
        self.detector.reset();
        self.next_sync = now;
        let alone = !self.others().any(MemberRecord::is_answering);
        self.stale_since = (!alone).then_some(now);
        for name in &self.doubted {
            if let Some(member) = self.members.get_mut(name) {
                member.since = now;
            }
        }
        self.announce();
    }

    /// Full exchange with a seed that is not a member yet, else with a random member.
    /// Seeds go first: two groups that each know themselves only would never meet.
    fn schedule_sync(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        let known: Vec<SocketAddr> =
            self.others().filter(|record| record.is_answering()).map(|record| record.control).collect();
        let own = self.own.control;
        let is_unknown = |address: &SocketAddr| *address != own && !known.contains(address);
        let strangers: Vec<SocketAddr> = self.seeds.iter().copied().filter(is_unknown).collect();
        let wait = match (known.is_empty(), strangers.is_empty()) {
            (true, _) => self.config.period * 2,
            (false, false) => self.config.period * STRANGER_PERIODS,
            (false, true) => self.config.sync_interval_for(known.len()),
        };
        self.next_sync = now + wait.mul_f64(self.random.random_range(0.75..1.25));
        let candidates = if strangers.is_empty() { &known } else { &strangers };
        if let Some(&from) = candidates.choose(&mut self.random) {
            outputs.push(Output::Sync { from });
        }
    }

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
            .doubted
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

    /// A call to this member failed: probe it now instead of in its turn.
    pub fn on_contact_failure(&mut self, target: &NodeName, now: Moment) -> Vec<Output> {
        let mut outputs = Vec::new();
        if !self.detector.probes.iter().any(|probe| probe.target == *target) {
            self.probe(target, now, &mut outputs);
        }
        outputs
    }

    fn ping(&mut self, to: SocketAddr, about: Option<&NodeName>) -> Output {
        let sequence = self.detector.sequence();
        Output::Send { to, message: self.message(Purpose::Ping { sequence }, about) }
    }

    /// Builds a message; what is known of the receiver comes first when it is not
    /// plainly alive, so that the receiver can refute it.
    fn message(&mut self, purpose: Purpose, receiver: Option<&NodeName>) -> Message {
        let members = self.members.len() + 1;
        let transmissions = self.config.transmissions(members);
        let (own, known) = (&self.own, &self.members);
        let record = |name: &NodeName| {
            if *name == own.name { Some(own.clone()) } else { known.get(name).map(|member| member.record.clone()) }
        };
        let mut changes = self.gossip.take(self.config.gossip_bytes, transmissions, record);
        let doubted = receiver.and_then(|name| self.members.get(name)).filter(|member| !member.held);
        if let Some(doubted) = doubted.map(|member| &member.record).filter(|record| !record.is_answering()) {
            changes.retain(|change| change.name != doubted.name);
            changes.insert(0, doubted.clone());
        }
        Message { from: self.own.name.clone(), incarnation: self.own.incarnation, purpose, changes }
    }

    fn check_probes(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        let mut failed = Vec::new();
        let mut to_ask = Vec::new();
        for probe in &mut self.detector.probes {
            let age = now.since(probe.sent);
            if age >= self.config.period {
                failed.push(probe.target.clone());
            } else if age >= self.config.direct_timeout && !probe.indirect {
                probe.indirect = true;
                to_ask.push((probe.target.clone(), probe.sequence));
            }
        }
        let period = self.config.period;
        self.detector.probes.retain(|probe| now.since(probe.sent) < period);
        self.detector.relays.retain(|relay| now.since(relay.since) < period);
        for (target, sequence) in to_ask {
            self.ask_others(&target, sequence, outputs);
        }
        for target in failed {
            self.suspect(&target, now, outputs);
        }
    }

    fn ask_others(&mut self, target: &NodeName, sequence: u64, outputs: &mut Vec<Output>) {
        let Some(address) = self.members.get(target).map(|member| member.record.control) else {
            return;
        };
        let helpers: Vec<SocketAddr> = self
            .others()
            .filter(|record| record.is_answering() && record.name != *target)
            .map(|record| record.control)
            .collect();
        let count = self.config.indirect_probes;
        let chosen: Vec<SocketAddr> = helpers.sample(&mut self.random, count).copied().collect();
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

    /// Takes in one piece of news.
    pub(crate) fn apply(&mut self, news: MemberRecord, now: Moment, outputs: &mut Vec<Output>) {
        if news.name == self.own.name {
            self.refute(&news);
            return;
        }
        let known = self.members.get(&news.name).map(|member| &member.record);
        if known.is_some_and(|known| !news.replaces(known)) || (known.is_none() && news.state == MemberState::Dead)
        {
            return;
        }
        let changed = known.is_none_or(|known| known.state != news.state);
        let moved = known.is_some_and(|known| known.data != news.data || known.control != news.control);
        let (name, state) = (news.name.clone(), news.state);
        let since = match self.members.get(&name) {
            Some(member) if !changed => member.since,
            _ => now,
        };
        if news.is_answering() {
            self.doubted.remove(&name);
        } else {
            self.doubted.insert(name.clone());
        }
        self.members.insert(name.clone(), Member { record: news, since, held: false });
        self.gossip.push(name.clone());
        if changed || moved {
            outputs.push(Output::Changed { name, state });
        }
    }

    /// Someone holds this node for worse than it is: announce a later incarnation.
    fn refute(&mut self, news: &MemberRecord) {
        let doubted = (news.incarnation, news.state) > (self.own.incarnation, self.own.state);
        if doubted {
            self.own.incarnation = self.own.incarnation.max(news.incarnation);
            self.announce();
        }
    }

    /// A datagram arrives from `address`.
    pub fn on_message(&mut self, message: Message, address: SocketAddr, now: Moment) -> Vec<Output> {
        let mut outputs = Vec::new();
        for change in message.changes {
            self.apply(change, now, &mut outputs);
        }
        self.note_contact(&message.from, now, &mut outputs);
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
                let own_sequence = self.detector.sequence();
                let relay = Relay { sequence: own_sequence, original: sequence, reply_to, since: now };
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
            let message = self.message(Purpose::Ack { sequence: relay.original }, None);
            outputs.push(Output::Send { to: relay.reply_to, message });
            return;
        }
        self.detector.acknowledge(sequence);
    }

    /// Takes in all records of another member.
    pub fn merge(&mut self, records: Vec<MemberRecord>, now: Moment) -> Vec<Output> {
        let mut outputs = Vec::new();
        for record in records {
            self.release_suspect(&record, now, &mut outputs);
            self.apply(record, now, &mut outputs);
        }
        self.stale_since = None;
        outputs
    }

    /// Drops changes that still have to be passed on; for fleets that start settled in a simulation.
    pub fn clear_gossip(&mut self) {
        self.gossip = GossipQueue::default();
    }

    /// Changes that still have to be passed on.
    pub fn gossip_backlog(&self) -> usize {
        self.gossip.len()
    }
}
