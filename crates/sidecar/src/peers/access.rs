//! Queries between nodes about keys and quotas.
//!
//! Each node queries the collector of its zone, the first machine in the zone's order that answers. The query
//! reports what the node's tenants used; the reply carries the age of the collector's proof and the tenants
//! that are over their quotas. The reply echoes the time of the query, so that the round trip counts toward
//! the age. Collectors send each other the totals of their zones.
//!
//! A collector gets its proof from the nodes that read the source. A node whose proof grows old because its
//! collector's does also queries a reader and some random nodes, which may be in other zones: one node with
//! access to the source is enough.

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

/// Interval of queries to the collector.
const QUERY_INTERVAL: Duration = Duration::from_millis(200);
/// Interval at which collectors exchange their totals. All counts lag by it.
const COLLECTOR_INTERVAL: Duration = Duration::from_millis(100);
/// Interval of queries while nothing is proven yet.
const UNPROVEN_QUERY_INTERVAL: Duration = Duration::from_millis(40);
/// Interval at which a node that requires no keys checks whether some are required.
const IDLE_INTERVAL: Duration = Duration::from_millis(500);
/// A collector that has not answered for this long is skipped.
const COLLECTOR_TIMEOUT: Duration = Duration::from_millis(650);
/// How long an unresponsive collector is skipped.
const SKIP_DURATION: Duration = Duration::from_secs(3);
/// Age of the proof above which other nodes than the collector are queried too, as a fraction of the age up
/// to which keys are accepted.
const PROOF_QUERY_FRACTION: f64 = 0.3;
/// Number of random nodes that are queried for a proof in addition to the reader.
const PROOF_FAN_OUT: usize = 2;
/// Machines of each zone that receive the totals of the others: its collector and the next one in order.
const COLLECTORS_PER_ZONE: usize = 2;
/// Maximum number of tenants in one reply, which has to fit into a datagram.
const MAX_FRACTIONS: usize = 110;

/// A query to another node.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct AccessQuery {
    /// When it was sent, in microseconds of the sender's clock; echoed in the reply.
    pub sent_us: u64,
    /// What the sender's tenants used. If set, the reply names the tenants that are over their quotas.
    pub usage: Option<UsageReport>,
}

/// The reply to an [`AccessQuery`].
#[derive(Debug, Clone, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct AccessReply {
    /// Echoed from the query.
    pub sent_us: u64,
    /// The configuration in force at the replying node.
    pub configuration: ConfigurationVersion,
    /// Age of its proof that there was no newer configuration.
    pub proof_age: Option<Millis>,
    /// The tenants whose requests are admitted only in part.
    pub fractions: Option<Vec<AdmittedFraction>>,
}

/// The collector that a node queries.
#[derive(Debug, Default)]
struct CollectorState {
    collector: Option<IpAddr>,
    /// When it was selected or last answered.
    last_answer: Moment,
    skipped: HashMap<IpAddr, Moment>,
}

/// Selects the collector of the zone and skips unresponsive ones.
#[derive(Debug, Default)]
pub struct CollectorClient(RefCell<CollectorState>);

impl CollectorClient {
    /// Returns the first machine of `order` that is not skipped, and whether it differs from the one before.
    fn select(&self, order: &[IpAddr], now: Moment) -> (Option<IpAddr>, bool) {
        let mut state = self.0.borrow_mut();
        if let Some(unresponsive) = state.collector.filter(|_| now.since(state.last_answer) > COLLECTOR_TIMEOUT) {
            state.skipped.insert(unresponsive, now);
        }
        state.skipped.retain(|_, since| now.since(*since) <= SKIP_DURATION);
        let chosen = order.iter().find(|machine| !state.skipped.contains_key(machine)).or(order.first()).copied();
        let has_changed = chosen != state.collector;
        if has_changed {
            state.collector = chosen;
            state.last_answer = now;
        }
        (chosen, has_changed)
    }

    fn on_answer(&self, from: IpAddr, now: Moment) {
        let mut state = self.0.borrow_mut();
        if state.collector == Some(from) {
            state.last_answer = now;
        }
    }
}

/// Sends queries until the process ends.
pub async fn run(node: Rc<Node>, socket: Rc<UdpSocket>, collector_client: Rc<CollectorClient>) {
    loop {
        let interval = interval(&node);
        let pause = node.random(|random| interval.mul_f64(random.random_range(0.9..1.1)));
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = node.access.proof_requested.notified() => {}
        }
        if node.access.requires_keys() {
            update_node_count(&node);
            query_collector(&node, &socket, &collector_client).await;
            query_proof(&node, &socket).await;
            send_zone_usage(&node, &socket).await;
        }
    }
}

fn interval(node: &Node) -> Duration {
    if !node.access.requires_keys() {
        return IDLE_INTERVAL;
    }
    let needs_proof = node.settings().bounds.keys_proven_within.is_some();
    let is_unproven = needs_proof && node.access.proof_age(clock::now()).is_none();
    if is_unproven {
        UNPROVEN_QUERY_INTERVAL
    } else if node.access.collector.borrow().is_active(clock::now()) {
        COLLECTOR_INTERVAL
    } else {
        QUERY_INTERVAL
    }
}

fn update_node_count(node: &Node) {
    let nodes = node.cluster.borrow().directory.machines().count();
    node.access.set_node_count(u32::try_from(nodes).unwrap_or(u32::MAX));
}

async fn query_collector(node: &Node, socket: &UdpSocket, collector_client: &CollectorClient) {
    let now = clock::now();
    let (collector, has_changed) = collector_client.select(&zone_order(node), now);
    let Some(collector) = collector else { return };
    if has_changed {
        node.access.quota().begin_generation(node.random(|random| random.random()));
    }
    let reports = node.access.quota().reports(now);
    let own = node.settings().ip();
    if collector == own {
        collector_client.on_answer(own, now);
        let fractions = reports.iter().map(|report| record_usage(node, own, report, now)).last();
        node.access.quota().on_collector_answer(&fractions.unwrap_or_default(), now);
        return;
    }
    for usage in reports {
        send_query(node, socket, collector, Some(usage)).await;
    }
}

async fn send_query(node: &Node, socket: &UdpSocket, machine: IpAddr, usage: Option<UsageReport>) {
    let query = AccessQuery { sent_us: micros(clock::now()), usage };
    send_to(node, socket, machine, &PeerMessage::AccessQuery(query)).await;
}

/// Queries nodes that may have a fresher proof, if this node's grows old.
async fn query_proof(node: &Node, socket: &UdpSocket) {
    let Some(within) = node.settings().bounds.keys_proven_within else { return };
    let wanted = within.mul_f64(PROOF_QUERY_FRACTION);
    if node.access.proof_age(clock::now()).is_some_and(|age| age <= wanted) {
        return;
    }
    let own = node.settings().ip();
    let reader = node.freshness.borrow().latest().map(|reading| reading.reader);
    let mut machines: HashSet<IpAddr> = {
        let cluster = node.cluster.borrow();
        node.random(|random| cluster.directory.machines().sample(random, PROOF_FAN_OUT)).into_iter().collect()
    };
    machines.extend(reader);
    machines.remove(&own);
    for machine in machines {
        send_query(node, socket, machine, None).await;
    }
}

/// Sends the totals of this zone to the collectors of all zones.
async fn send_zone_usage(node: &Node, socket: &UdpSocket) {
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
    let targets_of = |zone| {
        let order = relay::order_of(cluster.directory.machines_of_zone(zone), own);
        let others = order.into_iter().filter(|machine| *machine != own);
        others.take(COLLECTORS_PER_ZONE).collect::<Vec<_>>()
    };
    zones.into_iter().flat_map(targets_of).collect()
}

/// Records the usage that a node of the zone reported, and returns the tenants that are over their quotas.
fn record_usage(node: &Node, from: IpAddr, usage: &UsageReport, now: Moment) -> Vec<AdmittedFraction> {
    let limits = node.access.limits();
    let mut collector = node.access.collector.borrow_mut();
    collector.on_node_report(from, usage, &limits, now);
    collector
        .admitted_fractions(&limits, node.access.node_count(), now)
        .iter()
        .copied()
        .take(MAX_FRACTIONS)
        .collect()
}

/// Replies to a query.
pub async fn answer(node: &Node, socket: &UdpSocket, query: &AccessQuery, from: SocketAddr) {
    let now = clock::now();
    let fractions = query.usage.as_ref().map(|usage| record_usage(node, from.ip(), usage, now));
    let reply = AccessReply {
        sent_us: query.sent_us,
        configuration: node.known_state().configuration,
        // Rounded up, so that a proof never appears younger than it is.
        proof_age: node.access.proof_age(now).map(|age| Millis::from_duration(age + Duration::from_millis(1))),
        fractions,
    };
    send_to(node, socket, from.ip(), &PeerMessage::AccessReply(reply)).await;
}

/// Applies a reply.
pub fn on_reply(node: &Node, collector_client: &CollectorClient, reply: &AccessReply, from: SocketAddr) {
    let now = clock::now();
    let sent = Moment::after_start(Duration::from_micros(reply.sent_us));
    if sent > now {
        return;
    }
    if let Some(age) = reply.proof_age
        && reply.configuration <= node.known_state().configuration
    {
        node.access.on_peer_proof(sent, age.duration());
    }
    if let Some(fractions) = &reply.fractions {
        collector_client.on_answer(from.ip(), now);
        node.access.quota().on_collector_answer(fractions, sent);
    }
}

/// Applies the totals of another zone.
pub fn on_zone_usage(node: &Node, usage: &UsageReport, from: SocketAddr) {
    let limits = node.access.limits();
    node.access.collector.borrow_mut().on_collector_report(from.ip(), usage, &limits, clock::now());
}

fn micros(moment: Moment) -> u64 {
    u64::try_from(moment.since_start().as_micros()).unwrap_or(u64::MAX)
}
