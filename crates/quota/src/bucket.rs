//! A tenant's tokens and demand, as a collector sees them.
//!
//! A token bucket alone would open and shut with the delay of the reports, and let in a burst
//! each time. The part that is let in follows from demand instead: as much as the rate gives,
//! and what is left or owed of tokens over some time.

use std::time::Duration;

use olivegate_types::Moment;

use crate::limit::QuotaLimit;

/// Time constant of the mean demand.
const DEMAND_MEMORY: Duration = Duration::from_millis(250);
/// A count of a shorter time is taken for one of this.
const SHORTEST_COUNT: Duration = Duration::from_millis(100);
/// Time over which tokens left are given out and tokens owed are paid back: over twice the time
/// that a count needs to every node, or the part let in would swing.
const SETTLED_WITHIN: Duration = Duration::from_millis(1_200);
/// Part of the burst that a tenant has at first: whoever counts has just begun, and what was let
/// in before is not known.
pub const FIRST_PART: f64 = 0.1;
/// Debt is forgotten beyond what the rate pays back in this time: older requests are in no
/// window any more.
const LONGEST_DEBT: Duration = Duration::from_secs(5);

/// Tokens and demand of one tenant.
#[derive(Debug, Clone, Copy)]
pub struct Bucket {
    /// Requests that may still be let in, below 0 when too many were; `None` until the first count.
    tokens: Option<f64>,
    /// When tokens were last refilled.
    at: Moment,
    /// Requests asked for, older ones with less weight.
    demand: f64,
    /// When that was last noted.
    demand_at: Moment,
}

impl Bucket {
    /// The bucket of a tenant that was not heard of before.
    pub fn new(now: Moment) -> Self {
        Bucket { tokens: None, at: now, demand: 0.0, demand_at: now }
    }

    /// Notes what was asked for and let in.
    pub fn add(&mut self, asked: i32, admitted: i32, limit: QuotaLimit, now: Moment) {
        self.refill(limit, now);
        self.tokens = self.tokens.map(|tokens| tokens - f64::from(admitted));
        self.demand = (self.decayed_demand(now) + f64::from(asked)).max(0.0);
        self.demand_at = now;
    }

    fn decayed_demand(&self, now: Moment) -> f64 {
        self.demand * (-now.since(self.demand_at).as_secs_f64() / DEMAND_MEMORY.as_secs_f64()).exp()
    }

    fn refill(&mut self, limit: QuotaLimit, now: Moment) {
        let tokens = match self.tokens {
            Some(tokens) => tokens + limit.rate_per_s * now.since(self.at).as_secs_f64(),
            None => limit.burst * FIRST_PART,
        };
        let most_owed = limit.rate_per_s * LONGEST_DEBT.as_secs_f64();
        self.tokens = Some(tokens.clamp(-most_owed, limit.burst));
        self.at = now;
    }

    /// Part of the tenant's requests that may be let in, from 0 to 1, by one who has counted for
    /// `counted`.
    pub fn part(&mut self, limit: QuotaLimit, counted: Duration, now: Moment) -> f64 {
        self.refill(limit, now);
        let counted = counted.max(SHORTEST_COUNT).as_secs_f64() / DEMAND_MEMORY.as_secs_f64();
        let known = 1.0 - (-counted).exp();
        let demand = self.decayed_demand(now) / DEMAND_MEMORY.as_secs_f64() / known;
        let settled = self.tokens.unwrap_or_default() / SETTLED_WITHIN.as_secs_f64();
        let allowed = (limit.rate_per_s + settled).max(0.0);
        if demand <= allowed { 1.0 } else { allowed / demand }
    }
}
