//! What nodes ask each other about keys and quotas.
//!
//! Each node asks the collector of its zone, the first machine of the zone's order that answers:
//! it tells what its tenants used, and is told the age of the collector's proof and which tenants
//! are over their quotas. The answer carries the asker's own time back, so that the way counts
//! as age. Collectors tell each other the sums of their zones.
//!
//! A collector has its proof from the readers of the source. A node whose proof ages because its
//! collector's does asks a reader and some nodes of other zones as well: one that reads is
//! enough.

use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use borsh::{BorshDeserialize, BorshSerialize};
use olivegate_quota::{AdmittedFraction, UsageReport};
use olivegate_types::Moment;
use rand::RngExt;
use rand::seq::IteratorRandom;
use tokio::net::UdpSocket;

use super::{PeerMessage, relay, send_to, zone_order};
use crate::model::{ConfigurationVersion, Millis};
use crate::state::Node;
use olivegate_clock as clock;

/// Interval at which a node asks its collector.
const ASK_INTERVAL: Duration = Duration::from_millis(200);
/// Interval at which collectors tell each other their sums: all counts are later by it.
const COLLECTOR_INTERVAL: Duration = Duration::from_millis(100);
/// Interval of questions while nothing is proven yet.
const FIRST_ASK_INTERVAL: Duration = Duration::from_millis(40);
/// Interval at which a node without tenants looks whether there are some.
const IDLE_INTERVAL: Duration = Duration::from_millis(500);
/// A collector that has not answered for this long is passed over.
const SILENT_AFTER: Duration = Duration::from_millis(650);
/// Time for which a silent one is passed over.
const PASSED_OVER_FOR: Duration = Duration::from_secs(3);
/// Age of the proof, as a part of the age up to which keys count, from which on it is not left
/// to the collector alone.
const PROOF_WANTED_PART: f64 = 0.3;
/// Nodes at random that are asked for a proof besides the reader.
const PROOF_FAN_OUT: usize = 2;
/// Machines of each zone that hear the sums of the others: its collector, and the next one.
const COLLECTORS_TOLD: usize = 2;
/// Parts of tenants that are told in one datagram.
const MOST_PARTS: usize = 110;

/// A question.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Question {
    /// When it was asked, by the asker's clock, in microseconds; comes back with the answer.
    pub asked_us: u64,
    /// What the asker's tenants used; a collector is asked which are over their quotas.
    pub usage: Option<UsageReport>,
}

/// An answer.
#[derive(Debug, Clone, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct Told {
    /// From the question.
    pub asked_us: u64,
    /// The configuration in force at the answering node.
    pub configuration: ConfigurationVersion,
    /// Age of its proof that there was none newer.
    pub proof_age: Option<Millis>,
    /// Tenants of whose requests only a part may be let in.
    pub parts: Option<Vec<AdmittedFraction>>,
}

/// The collector that a node asks.
#[derive(Debug, Default)]
struct Asked {
    collector: Option<IpAddr>,
    /// When it was chosen or last answered.
    heard: Moment,
    passed_over: HashMap<IpAddr, Moment>,
}

/// The asker's side of questions.
#[derive(Debug, Default)]
pub struct Asking(RefCell<Asked>);

impl Asking {
    /// The first machine of `order` that answers; the second value is true when it is another
    /// one than before.
    fn collector(&self, order: &[IpAddr], now: Moment) -> (Option<IpAddr>, bool) {
        let mut asked = self.0.borrow_mut();
        if let Some(silent) = asked.collector.filter(|_| now.since(asked.heard) > SILENT_AFTER) {
            asked.passed_over.insert(silent, now);
        }
        asked.passed_over.retain(|_, since| now.since(*since) <= PASSED_OVER_FOR);
        let chosen =
            order.iter().find(|machine| !asked.passed_over.contains_key(machine)).or(order.first()).copied();
        let is_other = chosen != asked.collector;
        if is_other {
            asked.collector = chosen;
            asked.heard = now;
        }
        (chosen, is_other)
    }

    fn on_answer(&self, from: IpAddr, now: Moment) {
        let mut asked = self.0.borrow_mut();
        if asked.collector == Some(from) {
            asked.heard = now;
        }
    }
}

/// Asks until the process ends.
pub async fn run(node: Rc<Node>, socket: Rc<UdpSocket>, asking: Rc<Asking>) {
    loop {
        let interval = interval(&node);
        let pause = node.random(|random| interval.mul_f64(random.random_range(0.9..1.1)));
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = node.access.proof_requested.notified() => {}
        }
        if node.access.has_tenants() {
            note_nodes(&node);
            ask_collector(&node, &socket, &asking).await;
            ask_for_proof(&node, &socket).await;
            tell_collectors(&node, &socket).await;
        }
    }
}

fn interval(node: &Node) -> Duration {
    if !node.access.has_tenants() {
        return IDLE_INTERVAL;
    }
    let needs_proof = node.settings().bounds.keys_proven_within.is_some();
    let is_unproven = needs_proof && node.access.proof_age(clock::now()).is_none();
    if is_unproven {
        FIRST_ASK_INTERVAL
    } else if node.access.collector.borrow().is_active(clock::now()) {
        COLLECTOR_INTERVAL
    } else {
        ASK_INTERVAL
    }
}

fn note_nodes(node: &Node) {
    let nodes = node.cluster.borrow().directory.machines().count();
    node.access.set_node_count(u32::try_from(nodes).unwrap_or(u32::MAX));
}

async fn ask_collector(node: &Node, socket: &UdpSocket, asking: &Asking) {
    let now = clock::now();
    let (collector, is_other) = asking.collector(&zone_order(node), now);
    let Some(collector) = collector else { return };
    if is_other {
        node.access.quota().begin_generation(node.random(|random| random.random()));
    }
    let reports = node.access.quota().reports(now);
    let own = node.settings().ip();
    if collector == own {
        asking.on_answer(own, now);
        let parts = reports.iter().map(|report| collected(node, own, report, now)).last();
        node.access.quota().on_collector_answer(&parts.unwrap_or_default(), now);
        return;
    }
    for usage in reports {
        ask(node, socket, collector, Some(usage)).await;
    }
}

async fn ask(node: &Node, socket: &UdpSocket, machine: IpAddr, usage: Option<UsageReport>) {
    let question = Question { asked_us: micros(clock::now()), usage };
    send_to(node, socket, machine, &PeerMessage::Question(question)).await;
}

/// Asks those that may have a younger proof where this node's ages.
async fn ask_for_proof(node: &Node, socket: &UdpSocket) {
    let Some(within) = node.settings().bounds.keys_proven_within else { return };
    let wanted = within.mul_f64(PROOF_WANTED_PART);
    if node.access.proof_age(clock::now()).is_some_and(|age| age <= wanted) {
        return;
    }
    let own = node.settings().ip();
    let reader = node.freshness.borrow().latest().map(|reading| reading.reader);
    let mut asked: HashSet<IpAddr> = {
        let cluster = node.cluster.borrow();
        node.random(|random| cluster.directory.machines().sample(random, PROOF_FAN_OUT)).into_iter().collect()
    };
    asked.extend(reader);
    asked.remove(&own);
    for machine in asked {
        ask(node, socket, machine, None).await;
    }
}

/// Tells the collectors of all zones what this one has counted.
async fn tell_collectors(node: &Node, socket: &UdpSocket) {
    let now = clock::now();
    if !node.access.collector.borrow().is_active(now) {
        return;
    }
    let reports = node.access.collector.borrow_mut().zone_reports(now);
    for machine in other_collectors(node) {
        for report in &reports {
            send_to(node, socket, machine, &PeerMessage::ZoneUsage(report.clone())).await;
        }
    }
}

fn other_collectors(node: &Node) -> Vec<IpAddr> {
    let own = node.settings().ip();
    let cluster = node.cluster.borrow();
    let zones = cluster.directory.zones();
    let first_of = |zone| {
        let order = relay::order_of(cluster.directory.machines_of_zone(zone), own);
        let others = order.into_iter().filter(|machine| *machine != own);
        others.take(COLLECTORS_TOLD).collect::<Vec<_>>()
    };
    zones.into_iter().flat_map(first_of).collect()
}

/// Counts what a node of the zone tells; the tenants over their quotas.
fn collected(node: &Node, from: IpAddr, usage: &UsageReport, now: Moment) -> Vec<AdmittedFraction> {
    let limits = node.access.limits();
    let mut collector = node.access.collector.borrow_mut();
    collector.on_node_report(from, usage, &limits, now);
    collector.admitted_fractions(&limits, node.access.node_count(), now).iter().copied().take(MOST_PARTS).collect()
}

/// Answers a question.
pub async fn answer(node: &Node, socket: &UdpSocket, question: &Question, from: SocketAddr) {
    let now = clock::now();
    let parts = question.usage.as_ref().map(|usage| collected(node, from.ip(), usage, now));
    let told = Told {
        asked_us: question.asked_us,
        configuration: node.known_state().configuration,
        // Rounded up: a proof is never told younger than it is.
        proof_age: node.access.proof_age(now).map(|age| Millis::from_duration(age + Duration::from_millis(1))),
        parts,
    };
    send_to(node, socket, from.ip(), &PeerMessage::Told(told)).await;
}

/// Takes an answer.
pub fn on_told(node: &Node, asking: &Asking, told: &Told, from: SocketAddr) {
    let now = clock::now();
    let asked = Moment::after_start(Duration::from_micros(told.asked_us));
    if asked > now {
        return;
    }
    if let Some(age) = told.proof_age
        && told.configuration <= node.known_state().configuration
    {
        node.access.on_peer_proof(asked, age.duration());
    }
    if let Some(parts) = &told.parts {
        asking.on_answer(from.ip(), now);
        node.access.quota().on_collector_answer(parts, asked);
    }
}

/// Takes the sums of another zone.
pub fn on_zone_usage(node: &Node, usage: &UsageReport, from: SocketAddr) {
    let limits = node.access.limits();
    node.access.collector.borrow_mut().on_collector_report(from.ip(), usage, &limits, clock::now());
}

fn micros(moment: Moment) -> u64 {
    u64::try_from(moment.since_start().as_micros()).unwrap_or(u64::MAX)
}
