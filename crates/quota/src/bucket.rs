//! Tokens and demand of a tenant, as counted by a collector.
//!
//! A plain token bucket would oscillate between open and closed with the delay of the reports, and
//! admit a burst each time it opens. The admitted fraction is computed from the demand instead: the
//! rate of the limit, plus the remaining tokens or minus the debt, spread over a settling time.

use std::time::Duration;

use olivegate_types::Moment;

use crate::limit::QuotaLimit;

/// Time constant of the exponential moving average of the demand.
const DEMAND_TIME_CONSTANT: Duration = Duration::from_millis(250);
/// Minimum counting time: a shorter one is treated as this.
const MIN_COUNTED: Duration = Duration::from_millis(100);
/// Time over which remaining tokens are spent and a debt is paid back. It has to be more than twice the
/// time that a count takes to reach every node, or the admitted fraction oscillates.
const SETTLING_TIME: Duration = Duration::from_millis(1_200);
/// Fraction of the burst in a new bucket: the counting has just begun, and the requests admitted before
/// it are not known.
pub const INITIAL_FILL: f64 = 0.1;
/// Limits the debt to what the rate pays back in this time: older requests are outside of every
/// tolerance window.
const MAX_DEBT: Duration = Duration::from_secs(5);

/// Tokens and demand of one tenant.
#[derive(Debug, Clone, Copy)]
pub struct Bucket {
    /// Requests that may still be admitted, negative after too many; `None` until the first refill.
    tokens: Option<f64>,
    /// Time of the last refill.
    refilled_at: Moment,
    /// Number of requests made, weighted by an exponential decay over their age.
    demand: f64,
    /// Time to which `demand` is decayed.
    demand_updated_at: Moment,
}

impl Bucket {
    /// Bucket of a tenant without any counts yet.
    pub fn new(now: Moment) -> Self {
        Bucket { tokens: None, refilled_at: now, demand: 0.0, demand_updated_at: now }
    }

    /// Adds counts of requested and admitted requests.
    pub fn add(&mut self, requested: i32, admitted: i32, limit: QuotaLimit, now: Moment) {
        self.refill(limit, now);
        self.tokens = self.tokens.map(|tokens| tokens - f64::from(admitted));
        self.demand = (self.decayed_demand(now) + f64::from(requested)).max(0.0);
        self.demand_updated_at = now;
    }

    fn decayed_demand(&self, now: Moment) -> f64 {
        self.demand * (-now.since(self.demand_updated_at).as_secs_f64() / DEMAND_TIME_CONSTANT.as_secs_f64()).exp()
    }

    fn refill(&mut self, limit: QuotaLimit, now: Moment) {
        let tokens = match self.tokens {
            Some(tokens) => tokens + limit.rate_per_s * now.since(self.refilled_at).as_secs_f64(),
            None => limit.burst * INITIAL_FILL,
        };
        let max_debt = limit.rate_per_s * MAX_DEBT.as_secs_f64();
        self.tokens = Some(tokens.clamp(-max_debt, limit.burst));
        self.refilled_at = now;
    }

    /// Fraction of the tenant's requests to admit, from 0 to 1, after a counting time of `counted`.
    pub fn admitted_fraction(&mut self, limit: QuotaLimit, counted: Duration, now: Moment) -> f64 {
        self.refill(limit, now);
        let counted = counted.max(MIN_COUNTED).as_secs_f64() / DEMAND_TIME_CONSTANT.as_secs_f64();
        let coverage = 1.0 - (-counted).exp();
        let demand = self.decayed_demand(now) / DEMAND_TIME_CONSTANT.as_secs_f64() / coverage;
        let correction = self.tokens.unwrap_or_default() / SETTLING_TIME.as_secs_f64();
        let allowed = (limit.rate_per_s + correction).max(0.0);
        if demand <= allowed { 1.0 } else { allowed / demand }
    }
}
