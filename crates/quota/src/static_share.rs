//! Static share of a limit, for a node without a collector: the limit divided by the number of nodes.
//!
//! For most tenants the share of one node is less than one request, so tokens are fractional and a
//! request is admitted with a probability equal to the tokens. The sum over all nodes stays within
//! the limit, although each node sees few requests.

use olivegate_types::Moment;

use crate::limit::QuotaLimit;

/// Token bucket of one tenant at one node.
#[derive(Debug, Clone, Copy)]
pub struct StaticShare {
    tokens: f64,
    refilled_at: Moment,
}

impl StaticShare {
    /// Share of `limit` for one of `nodes` nodes, filled to the fraction `initial_fill` of its burst.
    pub fn new(limit: QuotaLimit, nodes: u32, initial_fill: f64, now: Moment) -> Self {
        StaticShare { tokens: limit.burst * initial_fill / f64::from(nodes.max(1)), refilled_at: now }
    }

    /// True when a request is admitted; `draw` is uniform in `[0, 1)`.
    pub fn admit(&mut self, limit: QuotaLimit, nodes: u32, draw: f64, now: Moment) -> bool {
        let nodes = f64::from(nodes.max(1));
        let refilled = self.tokens + limit.rate_per_s / nodes * now.since(self.refilled_at).as_secs_f64();
        self.tokens = refilled.min(limit.burst / nodes);
        self.refilled_at = now;
        let is_admitted = draw < self.tokens;
        if is_admitted {
            self.tokens -= 1.0;
        }
        is_admitted
    }
}
