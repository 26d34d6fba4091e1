//! Failure detector: probes one member after another, in random order.

use std::net::SocketAddr;

use olivegate_types::{Moment, NodeName};
use rand::Rng;
use rand::seq::SliceRandom;

/// A probe that is not acknowledged yet.
#[derive(Debug, Clone)]
pub struct Probe {
    /// Member that is probed.
    pub target: NodeName,
    /// Sequence number of the probe.
    pub sequence: u64,
    /// Time at which it was sent.
    pub sent: Moment,
    /// True once other members were asked to probe the target too.
    pub indirect: bool,
}

/// A ping sent on behalf of another node.
#[derive(Debug, Clone)]
pub struct Relay {
    /// Sequence number of the ping that this node sent.
    pub sequence: u64,
    /// Sequence number of the requesting node's probe.
    pub requester_sequence: u64,
    /// Address that the acknowledgement is sent to.
    pub reply_to: SocketAddr,
    /// Time at which the ping was sent.
    pub since: Moment,
}

/// Probes in progress and the order of the next ones.
#[derive(Debug, Default)]
pub struct Detector {
    probe_order: Vec<NodeName>,
    next_sequence: u64,
    /// Own probes that are not acknowledged yet.
    pub probes: Vec<Probe>,
    /// Pings sent on behalf of other nodes that are not acknowledged yet.
    pub relays: Vec<Relay>,
}

impl Detector {
    /// Returns a sequence number that was not used before.
    pub fn allocate_sequence(&mut self) -> u64 {
        self.next_sequence += 1;
        self.next_sequence
    }

    /// Returns the next member to probe. Once each has had its turn, `members` are shuffled again.
    pub fn next_target(&mut self, members: impl Fn() -> Vec<NodeName>, random: &mut impl Rng) -> Option<NodeName> {
        if self.probe_order.is_empty() {
            self.probe_order = members();
            self.probe_order.shuffle(random);
        }
        self.probe_order.pop()
    }

    /// Starts a probe and returns its sequence number.
    pub fn start(&mut self, target: NodeName, now: Moment) -> u64 {
        let sequence = self.allocate_sequence();
        self.probes.push(Probe { target, sequence, sent: now, indirect: false });
        sequence
    }

    /// Ends the probe with this sequence number, which its target acknowledged.
    pub fn acknowledge(&mut self, sequence: u64) -> Option<NodeName> {
        let index = self.probes.iter().position(|probe| probe.sequence == sequence)?;
        Some(self.probes.swap_remove(index).target)
    }

    /// Discards all probes and relays in progress without a result.
    pub fn reset(&mut self) {
        self.probes.clear();
        self.relays.clear();
    }
}
