//! What the gates of a service tell each other of requests with which instances end.
//!
//! Only they need it: each request reaches an instance through one of them. What a gate has seen or
//! learnt goes to others at once; while something is remembered, each also repeats a part of it to
//! another one now and then, which makes up for lost datagrams, cuts and restarts. A gate that has just
//! started asks before it lets requests through.

use std::collections::HashMap;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

use borsh::{BorshDeserialize, BorshSerialize};
use olivegate_quarantine::SuspectReport;
use olivegate_types::{Moment, ServiceName};
use rand::seq::IteratorRandom;
use tokio::net::UdpSocket;

use super::{MAX_DATAGRAM, PeerMessage, send_to};
use crate::gate::quarantine::ReportOrigin;
use crate::gate_protocol;
use crate::state::Node;
use olivegate_clock as clock;

/// News that comes within this time goes out together: the requests that were in one instance.
const GATHER: Duration = Duration::from_millis(3);
/// Gates that are told at once what this one has seen: all of most services.
const TOLD_OF_SEEN: usize = 16;
/// Gates that each gate passes on to what it was told.
const TOLD_ON: usize = 4;
/// Bytes of reports in a datagram, at most: with what goes around them they stay below
/// [`MAX_DATAGRAM`].
const MOST_REPORT_BYTES: usize = MAX_DATAGRAM - 512;
/// Contents that one repeat tells of, at most.
const MOST_REPEATED: usize = 24;
/// Pause between two repeats of what is held: a gate that was cut off hears of it from one of ten others
/// within some 100 ms.
const REPEAT_PAUSE: Duration = Duration::from_millis(400);
/// Of so many repeats one tells of everything that is remembered: mostly requests that were beside
/// a guilty one, some 100 bytes each.
const REPEATS_OF_ALL: u32 = 5;
/// Gates that a node asks when it starts, and how often.
const ASKED: usize = 4;
const ASK_ROUNDS: u32 = 3;
/// Time that they have to answer.
const ASK_PAUSE: Duration = Duration::from_millis(100);
/// Pause until a node that has just started looks again whether it knows its peers.
const LOOK_AGAIN: Duration = Duration::from_millis(20);
/// Time for which a machine counts as one of the service after an instance was listed there.
const MACHINE_MEMORY: Duration = Duration::from_secs(600);
/// Machines of the service that are remembered, at most.
const MOST_MACHINES: usize = 1_024;

/// What a gate tells another one of its service.
#[derive(Debug, Clone, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct SuspectNews {
    /// The service.
    pub service: ServiceName,
    /// What it knows, or a part of it.
    pub reports: Vec<SuspectReport>,
    /// Why it tells.
    pub purpose: Purpose,
}

/// Why a gate tells another one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum Purpose {
    /// So that the other one knows.
    Tell,
    /// It has just started and asks.
    Ask,
    /// It was asked.
    Answer {
        /// False when it has just started itself.
        has_heard: bool,
    },
}

/// The machines beside instances of this node's service, with the time when one was last listed there.
#[derive(Debug, Default)]
pub struct ServiceMachines(HashMap<IpAddr, Moment>);

impl ServiceMachines {
    /// Notes the machines that are listed now.
    pub fn note(&mut self, listed: impl Iterator<Item = IpAddr>, now: Moment) {
        self.0.retain(|_, seen| now.since(*seen) < MACHINE_MEMORY);
        for machine in listed {
            if self.0.len() < MOST_MACHINES || self.0.contains_key(&machine) {
                self.0.insert(machine, now);
            }
        }
    }

    fn others(&self, own: IpAddr) -> impl Iterator<Item = IpAddr> {
        self.0.keys().copied().filter(move |machine| *machine != own)
    }
}

/// The other gates of this service; instances that have ended lately count, since their gates live.
fn other_gates(node: &Node, most: usize) -> Vec<IpAddr> {
    let own = node.settings().ip();
    let machines = node.service_machines.borrow();
    node.random(|random| machines.others(own).sample(random, most))
}

/// The reports in parts that fit into a datagram each.
pub fn datagrams(reports: Vec<SuspectReport>) -> Vec<Vec<SuspectReport>> {
    let mut parts: Vec<Vec<SuspectReport>> = Vec::new();
    let mut bytes = MOST_REPORT_BYTES;
    for report in reports {
        let size = gate_protocol::encode(&report).len();
        if bytes + size > MOST_REPORT_BYTES {
            parts.push(Vec::new());
            bytes = 0;
        }
        bytes += size;
        parts.last_mut().into_iter().for_each(|part| part.push(report.clone()));
    }
    parts
}

async fn send(node: &Node, socket: &UdpSocket, machine: IpAddr, reports: &[SuspectReport], purpose: Purpose) {
    let service = node.settings().service.clone();
    let news = SuspectNews { service, reports: reports.to_vec(), purpose };
    send_to(node, socket, machine, &PeerMessage::Suspects(news)).await;
}

/// Tells and repeats until the process ends.
pub async fn run(node: Rc<Node>, socket: Rc<UdpSocket>) {
    tokio::task::spawn_local(repeat(node.clone(), socket.clone()));
    tokio::task::spawn_local(ask_when_started(node.clone(), socket.clone()));
    loop {
        node.gate.quarantine.reports_changed.notified().await;
        tokio::time::sleep(GATHER).await;
        tell_news(&node, &socket, ReportOrigin::Local, TOLD_OF_SEEN).await;
        tell_news(&node, &socket, ReportOrigin::Peer, TOLD_ON).await;
    }
}

async fn tell_news(node: &Node, socket: &UdpSocket, origin: ReportOrigin, most: usize) {
    let gates = other_gates(node, most);
    for part in datagrams(node.gate.quarantine.take_changed_reports(origin)) {
        for gate in &gates {
            send(node, socket, *gate, &part, Purpose::Tell).await;
        }
    }
}

/// Goes through a list that changes, a part at a time.
#[derive(Debug, Default)]
struct Turns(usize);

impl Turns {
    fn next<'a, Item>(&mut self, items: &'a [Item], most: usize) -> &'a [Item] {
        let begin = if self.0 < items.len() { self.0 } else { 0 };
        self.0 = items.len().min(begin + most);
        &items[begin..self.0]
    }
}

/// Tells one other gate a part of what is remembered, by turns; what is held more often.
async fn repeat(node: Rc<Node>, socket: Rc<UdpSocket>) {
    let (mut turns_of_held, mut turns_of_all) = (Turns::default(), Turns::default());
    let mut repeats: u32 = 0;
    loop {
        tokio::time::sleep(REPEAT_PAUSE).await;
        repeats = repeats.wrapping_add(1);
        let quarantine = &node.gate.quarantine;
        let contents = if repeats.is_multiple_of(REPEATS_OF_ALL) {
            turns_of_all.next(&quarantine.contents(), MOST_REPEATED).to_vec()
        } else {
            turns_of_held.next(&quarantine.held_contents(&node), MOST_REPEATED).to_vec()
        };
        if contents.is_empty() {
            continue;
        }
        let parts = datagrams(quarantine.reports(&contents));
        for gate in other_gates(&node, 1) {
            for part in &parts {
                send(&node, &socket, gate, part, Purpose::Tell).await;
            }
        }
    }
}

/// Asks other gates of the service what they know, as soon as any are known.
async fn ask_when_started(node: Rc<Node>, socket: Rc<UdpSocket>) {
    while node.routes().is_none() {
        tokio::time::sleep(LOOK_AGAIN).await;
    }
    for _ in 0..ASK_ROUNDS {
        let gates = other_gates(&node, ASKED);
        if gates.is_empty() || node.gate.quarantine.has_synced() {
            break;
        }
        node.unheard_gates.borrow_mut().extend(&gates);
        for gate in gates {
            send(&node, &socket, gate, &[], Purpose::Ask).await;
        }
        tokio::time::sleep(ASK_PAUSE).await;
    }
    node.gate.quarantine.mark_synced();
}

/// Takes what another gate tells, and answers what it asks.
pub async fn take(node: &Node, socket: &UdpSocket, news: SuspectNews, sender: IpAddr) {
    if news.service != node.settings().service {
        return;
    }
    node.service_machines.borrow_mut().note(std::iter::once(sender), clock::now());
    node.gate.quarantine.merge(node, &news.reports);
    match news.purpose {
        Purpose::Tell => {}
        Purpose::Ask => answer(node, socket, sender).await,
        Purpose::Answer { has_heard } => {
            let mut unheard = node.unheard_gates.borrow_mut();
            unheard.remove(&sender);
            if has_heard || unheard.is_empty() {
                node.gate.quarantine.mark_synced();
            }
        }
    }
}

async fn answer(node: &Node, socket: &UdpSocket, sender: IpAddr) {
    let reports = node.gate.quarantine.reports(&node.gate.quarantine.contents());
    let has_heard = node.gate.quarantine.has_synced();
    let mut parts = datagrams(reports);
    // The last part says that it is all.
    let last = parts.pop().unwrap_or_default();
    for part in parts {
        send(node, socket, sender, &part, Purpose::Tell).await;
    }
    send(node, socket, sender, &last, Purpose::Answer { has_heard }).await;
}
