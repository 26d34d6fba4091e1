//! What nodes tell each other about configuration and instances.
//!
//! A node announces by UDP what it knows; whoever knows less fetches the rest by TCP from
//! the announcing node. Readers of the source announce at an interval, also how recent
//! their reading is; every node announces at once what it has just learnt. So a change is
//! everywhere within some round trips, and a node that the source does not answer learns
//! from those that it does.

pub mod freshness;

use std::collections::HashSet;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use borsh::{BorshDeserialize, BorshSerialize};
use futures::{SinkExt, StreamExt};
use olivegate_types::ZoneName;
use rand::seq::IteratorRandom;
use tokio::net::UdpSocket;

use crate::clock;
use crate::hop::{self, EdgeMessage, GateMessage, KnownState};
use crate::state::Node;
use crate::transport;

/// Interval of a reader's announcements.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(250);
/// Most nodes that one announcement goes to.
const FAN_OUT: usize = 32;
/// Time limit of a fetch.
const FETCH_LIMIT: Duration = Duration::from_millis(1_500);
/// Time limit of a connection to another node.
const CONNECT_LIMIT: Duration = Duration::from_millis(500);
/// Largest announcement in bytes.
const MAX_DATAGRAM: usize = 512;

/// What a node tells others by UDP.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Announcement {
    /// What it knows.
    pub known: KnownState,
    /// Its zone.
    pub zone: ZoneName,
    /// Age of its own last reading of the source in milliseconds; `None` when it does not
    /// read.
    pub reading_age_ms: Option<u32>,
}

/// Rank of this node among the machines of its zone; alike on all nodes that know the same
/// machines.
pub fn own_reader_rank(node: &Node) -> u32 {
    let settings = node.settings();
    let own = settings.ip();
    let knowledge = node.knowledge.borrow();
    let own_score = reader_score(own);
    let copy = knowledge.directory.machines_of_zone(&settings.zone);
    copy.into_iter().filter(|machine| *machine != own && reader_score(*machine) < own_score).count() as u32
}

/// Place of a machine in the order of readers.
fn reader_score(machine: IpAddr) -> (u64, IpAddr) {
    let bits = match machine {
        IpAddr::V4(address) => u64::from(address.to_bits()),
        IpAddr::V6(address) => address.to_bits() as u64,
    };
    (bits.wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(29), machine)
}

/// Announces and listens until the process ends.
pub async fn run(node: Rc<Node>, socket: UdpSocket) {
    let socket = Rc::new(socket);
    let fetching: Rc<std::cell::RefCell<HashSet<IpAddr>>> = Rc::default();
    tokio::task::spawn_local(announce_changes(node.clone(), socket.clone()));
    tokio::task::spawn_local(announce_readings(node.clone(), socket.clone()));
    let mut buffer = [0; MAX_DATAGRAM];
    loop {
        let Ok((length, sender)) = socket.recv_from(&mut buffer).await else {
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        match borsh::from_slice::<Announcement>(&buffer[..length]) {
            Ok(announcement) => on_announcement(&node, &fetching, announcement, sender),
            Err(error) => log::debug!("event=announcement_malformed from={sender} error={error}"),
        }
    }
}

fn on_announcement(
    node: &Rc<Node>,
    fetching: &Rc<std::cell::RefCell<HashSet<IpAddr>>>,
    announcement: Announcement,
    sender: SocketAddr,
) {
    let known = node.known_state();
    let news = announcement.known;
    if let Some(age) = announcement.reading_age_ms
        && announcement.zone == node.settings().zone
    {
        node.freshness.borrow_mut().on_announced(Duration::from_millis(u64::from(age)), clock::now());
    }
    let is_behind = news.configuration > known.configuration || news.directory > known.directory;
    if !is_behind || !fetching.borrow_mut().insert(sender.ip()) {
        return;
    }
    let (node, fetching) = (node.clone(), fetching.clone());
    tokio::task::spawn_local(async move {
        let peer = sender.ip();
        let fetched = tokio::time::timeout(FETCH_LIMIT, fetch(&node, peer)).await;
        fetching.borrow_mut().remove(&peer);
        if !matches!(fetched, Ok(Ok(()))) {
            log::debug!("event=fetch_failed peer={peer}");
        }
    });
}

/// Fetches from `peer` what this node lacks.
async fn fetch(node: &Node, peer: IpAddr) -> std::io::Result<()> {
    let address = node.settings().inbound_of(peer);
    let mut stream = hop::framed(transport::connect(address, CONNECT_LIMIT).await?);
    stream.send(hop::encode(&EdgeMessage::Fetch(node.known_state()))).await?;
    let frame = stream.next().await.ok_or(std::io::ErrorKind::UnexpectedEof)??;
    let GateMessage::Knowledge { configuration, directory } = hop::decode(&frame)? else {
        return Err(std::io::ErrorKind::InvalidData.into());
    };
    let from = peer.to_string();
    if let Some(configuration) = configuration {
        node.accept_configuration(configuration, &from);
    }
    if let Some(copy) = directory {
        let now = clock::now();
        node.update_directory(&from, |known| known.apply_copy(&copy, now));
    }
    Ok(())
}

/// The answer to another node's fetch.
pub fn knowledge_for(node: &Node, other: KnownState) -> GateMessage {
    let knowledge = node.knowledge.borrow();
    let newer = knowledge.configuration.as_ref().filter(|own| own.version > other.configuration);
    let directory = (knowledge.directory.revision() > other.directory).then(|| knowledge.directory.copy());
    GateMessage::Knowledge { configuration: newer.map(|own| own.as_ref().clone()), directory }
}

async fn announce_changes(node: Rc<Node>, socket: Rc<UdpSocket>) {
    loop {
        node.knowledge_changed.notified().await;
        announce(&node, &socket).await;
    }
}

async fn announce_readings(node: Rc<Node>, socket: Rc<UdpSocket>) {
    loop {
        tokio::time::sleep(ANNOUNCE_INTERVAL).await;
        let age = node.freshness.borrow().own_age(clock::now());
        let reads = age.is_some_and(|age| age < Duration::from_secs(30));
        if reads {
            announce(&node, &socket).await;
        }
    }
}

async fn announce(node: &Node, socket: &UdpSocket) {
    let settings = node.settings();
    let age = node.freshness.borrow().own_age(clock::now());
    let announcement = Announcement {
        known: node.known_state(),
        zone: settings.zone.clone(),
        reading_age_ms: age.map(|age| u32::try_from(age.as_millis()).unwrap_or(u32::MAX)),
    };
    let datagram = hop::encode(&announcement);
    let machines: Vec<IpAddr> = {
        let knowledge = node.knowledge.borrow();
        let others = knowledge.directory.machines().filter(|machine| *machine != settings.ip());
        node.random(|random| others.sample(random, FAN_OUT))
    };
    for machine in machines {
        // A datagram that can't be sent is lost like any other; the next one follows.
        let _ = socket.send_to(&datagram, settings.peers_of(machine)).await;
    }
}
