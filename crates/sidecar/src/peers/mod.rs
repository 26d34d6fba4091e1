//! Exchange of configuration and instances between nodes.
//!
//! A node announces by UDP how recent its state is; nodes that are behind fetch the difference from it by
//! TCP. Nodes that read the source announce periodically, including how recent their reading is; every node
//! announces what it has just learned at once. So a change reaches all nodes within a few round trips, and a
//! node that the source does not answer learns it from others.

pub mod access;
pub mod attestation;
pub mod freshness;
pub mod relay;
pub mod suspects;

use std::collections::HashSet;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use borsh::{BorshDeserialize, BorshSerialize};
use futures::{SinkExt, StreamExt};
use olivegate_quota::UsageReport;
use olivegate_types::ZoneName;
use rand::seq::IteratorRandom;
use tokio::net::UdpSocket;

use crate::gate_protocol::{self, EdgeMessage, GateMessage, KnownState};
use crate::model::Millis;
use crate::state::Node;
use attestation::Attestation;
use freshness::Reading;
use olivegate_clock as clock;

/// Interval of a reader's announcements.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(250);
/// Minimum time between two announcements of changes.
const MIN_CHANGE_INTERVAL: Duration = Duration::from_millis(20);
/// Number of random nodes of any zone that an announcement is also sent to.
const FAN_OUT: usize = 4;
/// Maximum number of concurrent fetches. More than one, so that an unresponsive peer does not block the
/// others.
const MAX_FETCHES: usize = 2;
/// Time limit of a fetch.
const FETCH_TIMEOUT: Duration = Duration::from_millis(600);
/// Maximum size of a datagram in bytes.
pub const MAX_DATAGRAM: usize = 4_096;

/// A message between nodes, sent by UDP.
#[derive(Debug, Clone, PartialEq, BorshSerialize, BorshDeserialize)]
pub enum PeerMessage {
    /// How recent the sender's state is.
    Announcement(Announcement),
    /// Instances that are alive although the source does not list them.
    Attestations(Vec<Attestation>),
    /// Asks about keys and quotas.
    AccessQuery(access::AccessQuery),
    /// Answers an [`access::AccessQuery`].
    AccessReply(access::AccessReply),
    /// Usage that a collector has totalled for its zone.
    ZoneUsage(UsageReport),
    /// Requests suspected of ending instances.
    Suspects(suspects::SuspectUpdate),
}

/// How recent a node's state is.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Announcement {
    /// The versions of its configuration and directory.
    pub known: KnownState,
    /// Its zone.
    pub zone: ZoneName,
    /// The latest reading of the source that it knows of.
    pub reading: Option<AnnouncedReading>,
}

/// A reading of the source as nodes announce it, with an age because their clocks differ.
#[derive(Debug, Clone, Copy, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct AnnouncedReading {
    /// The machine that read.
    pub reader: IpAddr,
    /// Time since the read.
    pub age: Millis,
}

impl AnnouncedReading {
    fn to_reading(self) -> Reading {
        Reading { reader: self.reader, at: clock::now().saturating_sub(self.age.duration()) }
    }
}

fn latest_reading(node: &Node) -> Option<AnnouncedReading> {
    let latest = node.freshness.borrow().announced(node.stop.is_stopping())?;
    Some(AnnouncedReading { reader: latest.reader, age: Millis::from_duration(clock::now().since(latest.at)) })
}

/// Returns the rank of this node in its zone, which is the same on all nodes that know the same machines.
pub fn own_reader_rank(node: &Node) -> u32 {
    let own = node.settings().ip();
    relay::rank_of(&zone_order(node), own)
}

fn zone_order(node: &Node) -> Vec<IpAddr> {
    let settings = node.settings();
    let machines = node.cluster.borrow().directory.machines_of_zone(&settings.zone);
    relay::order_of(machines, settings.ip())
}

/// Sends and receives messages until the process ends.
pub async fn run(node: Rc<Node>, socket: UdpSocket) {
    let socket = Rc::new(socket);
    let fetching: Rc<std::cell::RefCell<HashSet<IpAddr>>> = Rc::default();
    tokio::task::spawn_local(announce_changes(node.clone(), socket.clone()));
    tokio::task::spawn_local(announce_readings(node.clone(), socket.clone()));
    tokio::task::spawn_local(attestation::forward(node.clone(), socket.clone()));
    tokio::task::spawn_local(suspects::run(node.clone(), socket.clone()));
    let collector_client: Rc<access::CollectorClient> = Rc::default();
    tokio::task::spawn_local(access::run(node.clone(), socket.clone(), collector_client.clone()));
    let mut buffer = [0; MAX_DATAGRAM];
    loop {
        let Ok((length, sender)) = socket.recv_from(&mut buffer).await else {
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        match borsh::from_slice::<PeerMessage>(&buffer[..length]) {
            Ok(PeerMessage::Attestations(attestations)) => attestation::accept(&node, attestations),
            Ok(PeerMessage::AccessQuery(query)) => access::answer(&node, &socket, &query, sender).await,
            Ok(PeerMessage::AccessReply(reply)) => access::on_reply(&node, &collector_client, &reply, sender),
            Ok(PeerMessage::Suspects(update)) => suspects::on_update(&node, &socket, update, sender.ip()).await,
            Ok(PeerMessage::ZoneUsage(usage)) => access::on_zone_usage(&node, &usage, sender),
            Ok(PeerMessage::Announcement(announcement)) => {
                if on_reading(&node, &announcement) {
                    announce(&node, &socket, Recipients::Children).await;
                }
                on_announcement(&node, &fetching, &announcement, sender);
            }
            Err(error) => log::debug!("event=announcement_malformed from={sender} error={error}"),
        }
    }
}

/// Returns true if `other` is ahead of this node's state.
fn is_newer(node: &Node, other: KnownState) -> bool {
    let known = node.known_state();
    other.configuration > known.configuration || other.directory > known.directory
}

/// Records an announced reading. Returns true if it is one of this zone that is to be forwarded.
fn on_reading(node: &Node, announcement: &Announcement) -> bool {
    let Some(reading) = announcement.reading.map(AnnouncedReading::to_reading) else { return false };
    if node.source_unreachable_since.get().is_some_and(|since| reading.at > since) {
        node.cluster.borrow_mut().directory.note_source_answered_peer(reading.at);
    }
    if announcement.zone == node.settings().zone {
        return node.freshness.borrow_mut().on_announced(reading);
    }
    if !is_newer(node, announcement.known) {
        node.freshness.borrow_mut().on_other_zone_reading(reading);
    }
    false
}

fn on_announcement(
    node: &Rc<Node>,
    fetching: &Rc<std::cell::RefCell<HashSet<IpAddr>>>,
    announcement: &Announcement,
    sender: SocketAddr,
) {
    let is_behind = is_newer(node, announcement.known);
    let has_room = fetching.borrow().len() < MAX_FETCHES;
    if !is_behind || !has_room || !fetching.borrow_mut().insert(sender.ip()) {
        return;
    }
    let (node, fetching) = (node.clone(), fetching.clone());
    tokio::task::spawn_local(async move {
        let peer = sender.ip();
        fetch(&node, peer).await;
        fetching.borrow_mut().remove(&peer);
    });
}

/// Fetches from `peer` what this node lacks. A failure is logged and counted; later announcements cause
/// further fetches.
pub async fn fetch(node: &Node, peer: IpAddr) {
    let began = clock::now();
    let mut connection_origin = "none";
    let fetching = fetch_from(node, peer, &mut connection_origin);
    let fetched = tokio::time::timeout(FETCH_TIMEOUT, fetching).await;
    let result = match fetched.unwrap_or_else(|_| Err(std::io::ErrorKind::TimedOut.into())) {
        Ok(()) => "ok",
        Err(error) => {
            let after = clock::now().since(began).as_millis();
            log::info!(
                "event=fetch_failed peer={peer} connection={connection_origin} after_ms={after} error={:?}",
                error.to_string()
            );
            "failed"
        }
    };
    node.metrics.fetches.with_label_values(&[connection_origin, result]).inc();
}

/// Fetches from `peer` and reports the origin of the connection once there is one.
async fn fetch_from(node: &Node, peer: IpAddr, connection_origin: &mut &'static str) -> std::io::Result<()> {
    let address = node.settings().inbound_of(peer);
    let connection = node.gate_connections.connection(address).await?;
    *connection_origin = connection.origin();
    let mut stream = connection.stream;
    stream.send(gate_protocol::encode(&EdgeMessage::Fetch(node.known_state()))).await?;
    let frame = stream.next().await.ok_or(std::io::ErrorKind::UnexpectedEof)??;
    let GateMessage::ClusterUpdate { configuration, directory, reading } = gate_protocol::decode(&frame)? else {
        return Err(std::io::ErrorKind::InvalidData.into());
    };
    node.gate_connections.keep(address, stream);
    let from = peer.to_string();
    if let Some(configuration) = configuration {
        node.accept_configuration(configuration, &from);
    }
    if let Some(copy) = directory {
        let now = clock::now();
        node.update_directory(&from, |known| known.apply_update(&copy, now));
    }
    if let Some(reading) = reading {
        node.freshness.borrow_mut().on_other_zone_reading(reading.to_reading());
    }
    Ok(())
}

/// Returns the answer to another node's fetch.
pub fn cluster_update_for(node: &Node, other: KnownState) -> GateMessage {
    let cluster = node.cluster.borrow();
    let newer = cluster.configuration.as_ref().filter(|own| own.version > other.configuration);
    let is_behind = cluster.directory.revision() > other.directory;
    let directory = is_behind.then(|| cluster.directory.update_since(other.directory, clock::now()));
    GateMessage::ClusterUpdate {
        configuration: newer.map(|own| own.as_ref().clone()),
        directory,
        reading: latest_reading(node),
    }
}

async fn announce_changes(node: Rc<Node>, socket: Rc<UdpSocket>) {
    loop {
        node.cluster_changed.notified().await;
        announce(&node, &socket, Recipients::ChildrenAndRandom).await;
        tokio::time::sleep(MIN_CHANGE_INTERVAL).await;
    }
}

async fn announce_readings(node: Rc<Node>, socket: Rc<UdpSocket>) {
    loop {
        tokio::time::sleep(ANNOUNCE_INTERVAL).await;
        if node.freshness.borrow().is_reader() {
            announce(&node, &socket, Recipients::ChildrenAndRandom).await;
        }
    }
}

/// The recipients of a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Recipients {
    /// The nodes that this node forwards readings of its zone to.
    Children,
    /// These and some random nodes.
    ChildrenAndRandom,
}

fn recipients(node: &Node, recipients: Recipients) -> HashSet<IpAddr> {
    let own = node.settings().ip();
    let order = zone_order(node);
    let mut chosen: HashSet<IpAddr> =
        relay::children(&order, relay::rank_of(&order, own)).iter().copied().collect();
    if node.freshness.borrow().is_reader() {
        // The reader starts the tree even if it is not the first of the zone.
        chosen.extend(relay::children(&order, 0));
        chosen.extend(order.first());
    }
    if recipients == Recipients::ChildrenAndRandom {
        let cluster = node.cluster.borrow();
        chosen.extend(node.random(|random| cluster.directory.machines().sample(random, FAN_OUT)));
    }
    chosen.remove(&own);
    chosen
}

async fn announce(node: &Node, socket: &UdpSocket, to: Recipients) {
    let settings = node.settings();
    let announcement =
        Announcement { known: node.known_state(), zone: settings.zone.clone(), reading: latest_reading(node) };
    send(node, socket, to, &PeerMessage::Announcement(announcement)).await;
}

async fn send(node: &Node, socket: &UdpSocket, to: Recipients, message: &PeerMessage) {
    for machine in recipients(node, to) {
        send_to(node, socket, machine, message).await;
    }
}

async fn send_to(node: &Node, socket: &UdpSocket, machine: IpAddr, message: &PeerMessage) {
    // A datagram that cannot be sent counts as lost; later messages make up for it.
    let _ = socket.send_to(&gate_protocol::encode(message), node.settings().peers_of(machine)).await;
}
