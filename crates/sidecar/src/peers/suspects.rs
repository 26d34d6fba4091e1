//! Exchange of quarantine reports between the gates of a service.
//!
//! Only these gates need the reports, because each request reaches an instance through one of them. What a
//! gate observes or learns is sent to others at once. While reports are remembered, each gate also
//! periodically repeats some of them to a random other gate (anti-entropy), which makes up for lost
//! datagrams, partitions and restarts. A gate that has just started requests the reports of others before it
//! admits requests.

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

/// Reports that arise within this time are sent together: all requests that were in one instance when it
/// ended.
const BATCH_DELAY: Duration = Duration::from_millis(3);
/// Number of gates that are told at once what this gate observed; most services have no more.
const LOCAL_FAN_OUT: usize = 16;
/// Number of gates that each gate forwards a received report to.
const FORWARD_FAN_OUT: usize = 4;
/// Maximum size of the reports in a datagram in bytes. The rest of the message stays below the 512 bytes left
/// of [`MAX_DATAGRAM`].
const MAX_REPORT_BYTES: usize = MAX_DATAGRAM - 512;
/// Maximum number of request contents in one repeat.
const MAX_REPEATED_CONTENTS: usize = 24;
/// Interval of repeats. A gate that was partitioned hears of the contents that are held back from one of ten
/// others within about 100 ms.
const REPEAT_INTERVAL: Duration = Duration::from_millis(400);
/// One in this many repeats takes its contents from everything that is remembered, not only from what is held
/// back. Most of that is requests that were in an instance together with the one that ended it, about 100
/// bytes each.
const FULL_REPEAT_EVERY: u32 = 5;
/// Number of gates that a starting node requests reports from, and number of attempts.
const SYNC_FAN_OUT: usize = 4;
const SYNC_ROUNDS: u32 = 3;
/// Time that they have to respond.
const SYNC_TIMEOUT: Duration = Duration::from_millis(100);
/// Interval at which a starting node checks whether it knows its peers.
const PEER_POLL: Duration = Duration::from_millis(20);
/// How long a machine counts as one of the service after an instance was last listed there.
const MACHINE_MEMORY: Duration = Duration::from_secs(600);
/// Maximum number of machines of the service that are remembered.
const MAX_MACHINES: usize = 1_024;

/// Quarantine reports that a gate sends to another gate of its service.
#[derive(Debug, Clone, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct SuspectUpdate {
    /// The service.
    pub service: ServiceName,
    /// All or some of the sender's reports.
    pub reports: Vec<SuspectReport>,
    /// Why they are sent.
    pub purpose: Purpose,
}

/// Why a gate sends reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum Purpose {
    /// To inform the other gate.
    Notify,
    /// To request the other gate's reports after a start.
    Request,
    /// The last message in response to a request.
    Response {
        /// Whether the sender had itself received the reports of its peers.
        has_synced: bool,
    },
}

/// The machines with instances of this node's service, and when an instance was last listed there.
#[derive(Debug, Default)]
pub struct ServiceMachines(HashMap<IpAddr, Moment>);

impl ServiceMachines {
    /// Records the machines that are listed now.
    pub fn note(&mut self, listed: impl Iterator<Item = IpAddr>, now: Moment) {
        self.0.retain(|_, seen| now.since(*seen) < MACHINE_MEMORY);
        for machine in listed {
            if self.0.len() < MAX_MACHINES || self.0.contains_key(&machine) {
                self.0.insert(machine, now);
            }
        }
    }

    fn others(&self, own: IpAddr) -> impl Iterator<Item = IpAddr> {
        self.0.keys().copied().filter(move |machine| *machine != own)
    }
}

/// Picks other gates of this service at random. Those of instances that ended recently count, since their
/// gates are alive.
fn other_gates(node: &Node, max: usize) -> Vec<IpAddr> {
    let own = node.settings().ip();
    let machines = node.service_machines.borrow();
    node.random(|random| machines.others(own).sample(random, max))
}

/// Splits reports into parts that each fit into a datagram.
pub fn datagrams(reports: Vec<SuspectReport>) -> Vec<Vec<SuspectReport>> {
    let mut parts: Vec<Vec<SuspectReport>> = Vec::new();
    let mut bytes = MAX_REPORT_BYTES;
    for report in reports {
        let size = gate_protocol::encode(&report).len();
        if bytes + size > MAX_REPORT_BYTES {
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
    let update = SuspectUpdate { service, reports: reports.to_vec(), purpose };
    send_to(node, socket, machine, &PeerMessage::Suspects(update)).await;
}

/// Sends new reports and repeats old ones until the process ends.
pub async fn run(node: Rc<Node>, socket: Rc<UdpSocket>) {
    tokio::task::spawn_local(repeat(node.clone(), socket.clone()));
    tokio::task::spawn_local(sync_on_start(node.clone(), socket.clone()));
    loop {
        node.gate.quarantine.reports_changed.notified().await;
        tokio::time::sleep(BATCH_DELAY).await;
        send_changes(&node, &socket, ReportOrigin::Local, LOCAL_FAN_OUT).await;
        send_changes(&node, &socket, ReportOrigin::Peer, FORWARD_FAN_OUT).await;
    }
}

async fn send_changes(node: &Node, socket: &UdpSocket, origin: ReportOrigin, max: usize) {
    let gates = other_gates(node, max);
    for part in datagrams(node.gate.quarantine.take_changed_reports(origin)) {
        for gate in &gates {
            send(node, socket, *gate, &part, Purpose::Notify).await;
        }
    }
}

/// Position in a list that may change, which is traversed in chunks.
#[derive(Debug, Default)]
struct Cursor(usize);

impl Cursor {
    fn next<'a, Item>(&mut self, items: &'a [Item], max: usize) -> &'a [Item] {
        let begin = if self.0 < items.len() { self.0 } else { 0 };
        self.0 = items.len().min(begin + max);
        &items[begin..self.0]
    }
}

/// Repeats some of the remembered reports to one other gate at a time, those of held contents more often.
async fn repeat(node: Rc<Node>, socket: Rc<UdpSocket>) {
    let (mut held_cursor, mut full_cursor) = (Cursor::default(), Cursor::default());
    let mut repeats: u32 = 0;
    loop {
        tokio::time::sleep(REPEAT_INTERVAL).await;
        repeats = repeats.wrapping_add(1);
        let quarantine = &node.gate.quarantine;
        let contents = if repeats.is_multiple_of(FULL_REPEAT_EVERY) {
            full_cursor.next(&quarantine.contents(), MAX_REPEATED_CONTENTS).to_vec()
        } else {
            held_cursor.next(&quarantine.held_contents(&node), MAX_REPEATED_CONTENTS).to_vec()
        };
        if contents.is_empty() {
            continue;
        }
        let parts = datagrams(quarantine.reports(&contents));
        for gate in other_gates(&node, 1) {
            for part in &parts {
                send(&node, &socket, gate, part, Purpose::Notify).await;
            }
        }
    }
}

/// Requests the reports of other gates of the service as soon as any are known.
async fn sync_on_start(node: Rc<Node>, socket: Rc<UdpSocket>) {
    while node.routes().is_none() {
        tokio::time::sleep(PEER_POLL).await;
    }
    for _ in 0..SYNC_ROUNDS {
        let gates = other_gates(&node, SYNC_FAN_OUT);
        if gates.is_empty() || node.gate.quarantine.has_synced() {
            break;
        }
        node.pending_gates.borrow_mut().extend(&gates);
        for gate in gates {
            send(&node, &socket, gate, &[], Purpose::Request).await;
        }
        tokio::time::sleep(SYNC_TIMEOUT).await;
    }
    node.gate.quarantine.mark_synced();
}

/// Applies the reports of another gate, and responds if it requests some.
pub async fn on_update(node: &Node, socket: &UdpSocket, update: SuspectUpdate, sender: IpAddr) {
    if update.service != node.settings().service {
        return;
    }
    node.service_machines.borrow_mut().note(std::iter::once(sender), clock::now());
    node.gate.quarantine.merge(node, &update.reports);
    match update.purpose {
        Purpose::Notify => {}
        Purpose::Request => answer(node, socket, sender).await,
        Purpose::Response { has_synced } => {
            let mut pending = node.pending_gates.borrow_mut();
            pending.remove(&sender);
            if has_synced || pending.is_empty() {
                node.gate.quarantine.mark_synced();
            }
        }
    }
}

async fn answer(node: &Node, socket: &UdpSocket, sender: IpAddr) {
    let reports = node.gate.quarantine.reports(&node.gate.quarantine.contents());
    let has_synced = node.gate.quarantine.has_synced();
    let mut parts = datagrams(reports);
    // The last part is sent as the response, which marks the end.
    let last = parts.pop().unwrap_or_default();
    for part in parts {
        send(node, socket, sender, &part, Purpose::Notify).await;
    }
    send(node, socket, sender, &last, Purpose::Response { has_synced }).await;
}
