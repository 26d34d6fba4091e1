//! Simulated time, network and hollow nodes.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::time::Duration;

use olivegate_bundle::spread::{self, FANOUT, SpreadAction};
use olivegate_bundle::{BundleStore, SignOff, SignedBundle};
use olivegate_control::Datagram;
use olivegate_membership::{MemberRecord, MemberState, Membership, MembershipConfig, Output};
use olivegate_types::{DeploymentKey, Moment, NodeName, ZoneName};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};

/// Zones and regions of the target.
pub const ZONES: usize = 29;
pub const REGIONS: usize = 10;
/// Time between two ticks of a node.
const TICK: Duration = Duration::from_millis(100);
/// One way delay within a zone, within a region, between regions.
const ZONE_DELAY: Duration = Duration::from_micros(250);
const REGION_DELAY: Duration = Duration::from_millis(1);
const FAR_DELAY: Duration = Duration::from_millis(40);
/// Part of the datagrams that is lost.
const LOSS: f64 = 0.001;
/// Bytes of TCP and frame around a control call, both ways.
const CALL_OVERHEAD: usize = 200;

/// A hollow node: the cores without traffic.
pub struct HollowNode {
    pub membership: Membership,
    pub store: BundleStore,
    pub alive: bool,
    zone: usize,
    life: u64,
}

enum Event {
    Tick { node: usize, life: u64 },
    Datagram { from: usize, to: usize, bytes: Vec<u8> },
    Records { to: usize, records: Vec<MemberRecord> },
    Bundle { to: usize, signed: Box<SignedBundle> },
}

struct Due {
    at: Moment,
    sequence: u64,
    event: Event,
}

impl PartialEq for Due {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.sequence) == (other.at, other.sequence)
    }
}

impl Eq for Due {}

impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Due {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

/// What is cut.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Cut {
    None,
    Zone(usize),
    Region(usize),
}

/// All hollow nodes and the network between them.
pub struct World {
    pub now: Moment,
    pub nodes: Vec<HollowNode>,
    pub cut: Cut,
    pub datagram_bytes: u64,
    pub sync_bytes: u64,
    /// Versions that each node accepted, and when.
    pub accepted: Vec<Vec<(u64, Moment)>>,
    /// First and latest news of a member's state: filled while `watched` is set.
    pub watched: Option<usize>,
    pub first_suspected: Option<Moment>,
    events: BinaryHeap<Reverse<Due>>,
    sequence: u64,
    random: StdRng,
    key: DeploymentKey,
    config: MembershipConfig,
}

/// Zone of a node.
pub fn zone_of(index: usize) -> usize {
    index % ZONES
}

fn region_of_zone(zone: usize) -> usize {
    zone % REGIONS
}

fn address(index: usize) -> SocketAddr {
    let [_, high, middle, low] = (index as u32).to_be_bytes();
    SocketAddr::from(([10, high, middle, low], 7000))
}

fn index_of(address: SocketAddr) -> usize {
    match address.ip() {
        std::net::IpAddr::V4(ip) => (u32::from(ip) & 0x00ff_ffff) as usize,
        std::net::IpAddr::V6(_) => 0,
    }
}

fn record(index: usize, incarnation: u64) -> MemberRecord {
    MemberRecord {
        name: NodeName::new(format!("node-{index:06}")),
        zone: ZoneName::new(format!("zone-{:02}", zone_of(index))),
        control: address(index),
        data: address(index),
        incarnation,
        state: MemberState::Alive,
        seats: Vec::new(),
    }
}

impl World {
    /// A fleet in which everybody knows everybody and `signed` is in force.
    pub fn settled(count: usize, sign_off: SignOff, signed: &SignedBundle, seed: u64) -> Self {
        let mut world = World {
            now: Moment::from_millis(1),
            nodes: Vec::new(),
            cut: Cut::None,
            datagram_bytes: 0,
            sync_bytes: 0,
            accepted: vec![Vec::new(); count],
            watched: None,
            first_suspected: None,
            events: BinaryHeap::new(),
            sequence: 0,
            random: StdRng::seed_from_u64(seed),
            key: DeploymentKey::from_secret("secret of the scale run"),
            config: MembershipConfig::large_fleet(),
        };
        let everybody: Vec<MemberRecord> = (0..count).map(|index| record(index, 1)).collect();
        for own in &everybody {
            let mut node = world.hollow(world.nodes.len(), own.clone(), sign_off.clone());
            let others = everybody.iter().filter(|other| other.name != own.name).cloned().collect();
            node.membership.merge(others, world.now);
            node.membership.forget_gossip();
            let _ = node.store.offer(signed.clone());
            world.nodes.push(node);
        }
        for node in 0..count {
            let offset = TICK.mul_f64(world.random.random());
            world.schedule(offset, Event::Tick { node, life: 0 });
        }
        world
    }

    fn hollow(&mut self, index: usize, own: MemberRecord, sign_off: SignOff) -> HollowNode {
        let seeds = vec![address(0), address(index / 2)];
        HollowNode {
            membership: Membership::new(own, seeds, self.config, self.random.random()),
            store: BundleStore::new("scale", sign_off),
            alive: true,
            zone: zone_of(index),
            life: 0,
        }
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse(Due { at: self.now + after, sequence: self.sequence, event }));
    }

    /// Runs for a span of simulated time.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.events.peek().is_some_and(|Reverse(due)| due.at <= end) {
            let Some(Reverse(due)) = self.events.pop() else {
                break;
            };
            self.now = due.at;
            self.handle(due.event);
        }
        self.now = end;
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick { node, life } => {
                if self.nodes[node].alive && self.nodes[node].life == life {
                    let outputs = self.nodes[node].membership.tick(self.now);
                    self.carry_out(node, outputs);
                    self.schedule(TICK, Event::Tick { node, life });
                }
            }
            Event::Datagram { from, to, bytes } => self.on_datagram(from, to, &bytes),
            Event::Records { to, records } => {
                let outputs = self.nodes[to].membership.merge(records, self.now);
                self.carry_out(to, outputs);
            }
            Event::Bundle { to, signed } => {
                if matches!(self.nodes[to].store.offer(*signed), Ok(offer) if offer != olivegate_bundle::Offer::Same)
                {
                    self.accept(to);
                }
            }
        }
    }

    fn on_datagram(&mut self, from: usize, to: usize, bytes: &[u8]) {
        if !self.nodes[to].alive {
            return;
        }
        match Datagram::from_bytes(bytes, &self.key) {
            Ok(Datagram::Membership { message, bundle }) => {
                let outputs = self.nodes[to].membership.on_message(message, address(from), self.now);
                self.carry_out(to, outputs);
                let action = spread::on_version(&self.nodes[to].store, bundle);
                self.spread(from, to, action);
            }
            Ok(Datagram::Delta { delta, .. }) => {
                let action = spread::on_delta(&mut self.nodes[to].store, &delta);
                self.spread(from, to, action);
            }
            Ok(Datagram::Version { stamp, .. }) => {
                let action = spread::on_version(&self.nodes[to].store, stamp);
                self.spread(from, to, action);
            }
            Err(_) => {}
        }
    }

    fn spread(&mut self, from: usize, to: usize, action: SpreadAction) {
        match action {
            SpreadAction::PassOn(_) => self.accept(to),
            SpreadAction::Fetch => {
                let current = self.nodes[from].store.current();
                if let (Some(signed), Some(delay)) = (current, self.delay(from, to)) {
                    self.sync_bytes += (signed.to_bytes().len() + CALL_OVERHEAD) as u64;
                    self.schedule(delay * 4, Event::Bundle { to, signed: Box::new((*signed).clone()) });
                }
            }
            SpreadAction::Nothing | SpreadAction::Refuse(_) => {}
        }
    }

    /// A node has a new version in force: it passes it on.
    fn accept(&mut self, node: usize) {
        let version = self.nodes[node].store.stamp().version;
        self.accepted[node].push((version, self.now));
        let Some(delta) = self.nodes[node].store.latest_delta() else {
            return;
        };
        let others: Vec<SocketAddr> = {
            let answering = self.nodes[node].membership.others().filter(|record| record.is_answering());
            answering.map(|record| record.control).collect()
        };
        let from = self.nodes[node].membership.own().name.clone();
        let bytes = Datagram::Delta { from, delta: (*delta).clone() }.to_bytes(&self.key);
        let chosen: Vec<SocketAddr> = others.sample(&mut self.random, FANOUT).copied().collect();
        for to in chosen {
            self.send(node, index_of(to), bytes.clone());
        }
    }

    /// A node reads a new version from the configuration service.
    pub fn publish(&mut self, node: usize, signed: SignedBundle) {
        if self.nodes[node].store.offer(signed).is_ok() {
            self.accept(node);
        }
    }

    fn carry_out(&mut self, node: usize, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Send { to, message } => {
                    let bundle = self.nodes[node].store.stamp();
                    let bytes = Datagram::Membership { message, bundle }.to_bytes(&self.key);
                    self.send(node, index_of(to), bytes);
                }
                Output::Sync { from } => self.sync(node, index_of(from)),
                Output::Changed { name, state } => self.note_change(&name, state),
            }
        }
    }

    fn note_change(&mut self, name: &NodeName, state: MemberState) {
        let watched = self.watched.map(|index| record(index, 0).name);
        if watched.as_ref() == Some(name) && state >= MemberState::Suspect && self.first_suspected.is_none() {
            self.first_suspected = Some(self.now);
        }
    }

    fn sync(&mut self, node: usize, from: usize) {
        let (Some(delay), true) = (self.delay(node, from), self.nodes[from].alive) else {
            return;
        };
        let records = self.nodes[from].membership.snapshot();
        self.sync_bytes += (borsh::object_length(&records).unwrap_or(0) + CALL_OVERHEAD) as u64;
        self.schedule(delay * 4, Event::Records { to: node, records });
    }

    fn send(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        self.datagram_bytes += bytes.len() as u64;
        if self.random.random::<f64>() < LOSS {
            return;
        }
        if let Some(delay) = self.delay(from, to) {
            self.schedule(delay, Event::Datagram { from, to, bytes });
        }
    }

    /// One way delay; `None` when the link is cut.
    fn delay(&self, from: usize, to: usize) -> Option<Duration> {
        let (left, right) = (self.nodes[from].zone, self.nodes[to].zone);
        let (left_region, right_region) = (region_of_zone(left), region_of_zone(right));
        let is_cut = match self.cut {
            Cut::None => false,
            Cut::Zone(zone) => (left == zone) != (right == zone),
            Cut::Region(region) => (left_region == region) != (right_region == region),
        };
        let delay = match (left == right, left_region == right_region) {
            (true, _) => ZONE_DELAY,
            (false, true) => REGION_DELAY,
            (false, false) => FAR_DELAY,
        };
        (!is_cut).then_some(delay)
    }

    /// A node dies.
    pub fn kill(&mut self, node: usize) {
        self.nodes[node].alive = false;
        self.watched = Some(node);
        self.first_suspected = None;
    }

    /// A node is replaced: empty memory, a later incarnation.
    pub fn restart(&mut self, node: usize, sign_off: SignOff) {
        let life = self.nodes[node].life + 1;
        let fresh = self.hollow(node, record(node, 1 + life), sign_off);
        self.nodes[node] = HollowNode { life, ..fresh };
        self.schedule(TICK, Event::Tick { node, life });
    }

    /// Pairs (live node, live member) in which the member is not seen as alive.
    pub fn unseen(&self) -> u64 {
        let dead: std::collections::HashSet<NodeName> = (0..self.nodes.len())
            .filter(|index| !self.nodes[*index].alive)
            .map(|index| record(index, 0).name)
            .collect();
        let live = self.nodes.iter().filter(|node| node.alive);
        let expected = self.nodes.len() - dead.len() - 1;
        live.map(|node| {
            let seen = node.membership.others().filter(|r| r.is_answering() && !dead.contains(&r.name)).count();
            (expected - seen.min(expected)) as u64
        })
        .sum()
    }

    /// True when every live node holds `member` for dead or has forgotten it.
    pub fn all_hold_dead(&self, member: usize) -> bool {
        let name = record(member, 0).name;
        let live = self.nodes.iter().filter(|node| node.alive);
        live.into_iter().all(|node| node.membership.get(&name).is_none_or(|r| r.state == MemberState::Dead))
    }
}
