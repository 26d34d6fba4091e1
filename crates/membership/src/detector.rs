//! The periodic probing of one member after another.

use std::net::SocketAddr;

use olivegate_types::{Moment, NodeName};
use rand::Rng;
use rand::seq::SliceRandom;

/// A probe that has not been acknowledged.
#[derive(Debug, Clone)]
pub struct Probe {
    /// Whom.
    pub target: NodeName,
    /// Number of the probe.
    pub sequence: u64,
    /// When it was sent.
    pub sent: Moment,
    /// True once others were asked.
    pub indirect: bool,
}

/// A ping made in another node's place.
#[derive(Debug, Clone)]
pub struct Relay {
    /// Number of our ping.
    pub sequence: u64,
    /// Number of the asking node's probe.
    pub original: u64,
    /// Where the acknowledgement goes.
    pub reply_to: SocketAddr,
    /// When the ping was made.
    pub since: Moment,
}

/// State of the probing.
#[derive(Debug, Default)]
pub struct Detector {
    round: Vec<NodeName>,
    next_sequence: u64,
    /// Probes in progress.
    pub probes: Vec<Probe>,
    /// Pings in others' place.
    pub relays: Vec<Relay>,
}

impl Detector {
    /// A fresh probe number.
    pub fn sequence(&mut self) -> u64 {
        self.next_sequence += 1;
        self.next_sequence
    }

    /// The next member of the round; a new shuffled round starts when one is through.
    pub fn next_target(&mut self, members: impl Fn() -> Vec<NodeName>, random: &mut impl Rng) -> Option<NodeName> {
        if self.round.is_empty() {
            self.round = members();
            self.round.shuffle(random);
        }
        self.round.pop()
    }

    /// Starts a probe and returns its number.
    pub fn start(&mut self, target: NodeName, now: Moment) -> u64 {
        let sequence = self.sequence();
        self.probes.push(Probe { target, sequence, sent: now, indirect: false });
        sequence
    }

    /// Ends the probe of this number; its target answered.
    pub fn acknowledge(&mut self, sequence: u64) -> Option<NodeName> {
        let index = self.probes.iter().position(|probe| probe.sequence == sequence)?;
        Some(self.probes.swap_remove(index).target)
    }

    /// Forgets everything in progress, without a verdict.
    pub fn reset(&mut self) {
        self.probes.clear();
        self.relays.clear();
    }
}
