//! Exchange of configuration and instances between nodes.
//!
//! A node announces by UDP how recent its state is; nodes that are behind fetch the difference from it by
//! TCP. Nodes that read the source announce periodically, including how recent their reading is; every node
//! announces what it has just learned at once. So a change reaches all nodes within a few round trips, and a
//! node that the source does not answer learns it from others.

pub mod access;
pub mod attestation;
pub mod fetch;
pub mod freshness;
pub mod relay;
pub mod suspects;

use std::cell::RefCell;
use std::collections::HashSet;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

use borsh::{BorshDeserialize, BorshSerialize};
use olivegate_quota::UsageReport;
use olivegate_types::ZoneName;
use rand::seq::IteratorRandom;
use tokio::net::UdpSocket;

use crate::gate_protocol::{self, KnownState};
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
    let follower =
        Rc::new(AnnouncementFollower { node: node.clone(), socket: socket.clone(), fetching: RefCell::default() });
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
                follower.on_announcement(announcement, sender.ip()).await;
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

/// Follows announcements: fetches what this node lacks, and relies on a reading only once it has the state
/// that was announced with it.
struct AnnouncementFollower {
    node: Rc<Node>,
    socket: Rc<UdpSocket>,
    /// The peers from which a fetch is in progress.
    fetching: RefCell<HashSet<IpAddr>>,
}

impl AnnouncementFollower {
    async fn on_announcement(self: &Rc<Self>, announcement: Announcement, sender: IpAddr) {
        let reading = announcement.reading.map(AnnouncedReading::to_reading);
        if let Some(reading) = reading {
            self.note_source_answered(reading);
        }
        if !is_newer(&self.node, announcement.known) {
            self.rely_on(reading, &announcement.zone).await;
            return;
        }
        let has_room = self.fetching.borrow().len() < MAX_FETCHES;
        if !has_room || !self.fetching.borrow_mut().insert(sender) {
            return;
        }
        let follower = self.clone();
        tokio::task::spawn_local(async move {
            fetch::fetch(&follower.node, sender).await;
            follower.fetching.borrow_mut().remove(&sender);
            // A node that still lacks the announced state must not take the reading for its own: it would
            // neither read the source itself nor pass on anything that its zone could use.
            if !is_newer(&follower.node, announcement.known) {
                follower.rely_on(reading, &announcement.zone).await;
            }
        });
    }

    fn note_source_answered(&self, reading: Reading) {
        if self.node.source_unreachable_since.get().is_some_and(|since| reading.at > since) {
            self.node.cluster.borrow_mut().directory.note_source_answered_peer(reading.at);
        }
    }

    /// Counts a reading whose result this node has, and forwards it within its zone.
    async fn rely_on(&self, reading: Option<Reading>, zone: &ZoneName) {
        let Some(reading) = reading else { return };
        if *zone != self.node.settings().zone {
            self.node.freshness.borrow_mut().on_other_zone_reading(reading);
            return;
        }
        let is_forwarded = self.node.freshness.borrow_mut().on_announced(reading);
        if is_forwarded {
            announce(&self.node, &self.socket, Recipients::Children).await;
        }
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
