//! What a node may let in that hears nobody: its part of the limit, one over the number of
//! nodes.
//!
//! Most tenants have less than one request a node to spare, so tokens are counted in fractions
//! and a request is let in with the probability that the tokens make: the sum over all nodes
//! keeps to the limit, though each of them sees few requests.

use olivegate_types::Moment;

use crate::limit::QuotaLimit;

/// Tokens of one tenant at one node.
#[derive(Debug, Clone, Copy)]
pub struct FixedPart {
    tokens: f64,
    at: Moment,
}

impl FixedPart {
    /// Tokens of a node that begins to keep to its part of `limit`, with the part `filled` of its
    /// burst.
    pub fn new(limit: QuotaLimit, nodes: u32, filled: f64, now: Moment) -> Self {
        FixedPart { tokens: limit.burst * filled / f64::from(nodes.max(1)), at: now }
    }

    /// True when a request is let in; `draw` is uniform in `[0, 1)`.
    pub fn admit(&mut self, limit: QuotaLimit, nodes: u32, draw: f64, now: Moment) -> bool {
        let nodes = f64::from(nodes.max(1));
        let refilled = self.tokens + limit.rate_per_s / nodes * now.since(self.at).as_secs_f64();
        self.tokens = refilled.min(limit.burst / nodes);
        self.at = now;
        let is_admitted = draw < self.tokens;
        if is_admitted {
            self.tokens -= 1.0;
        }
        is_admitted
    }
}
