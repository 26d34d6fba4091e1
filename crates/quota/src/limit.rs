//! A tenant's limit, and by how much the fleet may be off it.

use std::time::Duration;

/// Part of the tolerated overshoot that is given away as a higher rate, so that requests inside
/// the quota are not refused for what counts of other nodes miss; the rest is kept for what
/// those counts tell late.
const RATE_PART: f64 = 0.1;
/// Part of the tolerated slack that is given away as a larger burst, for the same end.
const BURST_PART: f64 = 0.25;

/// What a tenant may ask for over all nodes together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaLimit {
    /// Requests a second.
    pub rate_per_s: f64,
    /// Requests on top of that.
    pub burst: f64,
}

/// By how much the requests let in may exceed the limit: in any window at most
/// `(rate x window + burst) x (1 + overshoot) + slack`.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Tolerance {
    /// The window.
    pub window: Duration,
    /// Fraction on top.
    pub overshoot: f64,
    /// Requests on top.
    pub slack: f64,
}

impl QuotaLimit {
    /// The limit that nodes aim at, inside what `tolerance` allows.
    pub fn enforced_with(self, tolerance: &Tolerance) -> QuotaLimit {
        QuotaLimit {
            rate_per_s: self.rate_per_s * (1.0 + tolerance.overshoot * RATE_PART),
            burst: self.burst + tolerance.slack * BURST_PART,
        }
    }

    /// The same limit for a part of the fleet.
    pub fn times(self, part: f64) -> QuotaLimit {
        QuotaLimit { rate_per_s: self.rate_per_s * part, burst: self.burst * part }
    }

    /// Most requests that may be let in within any window.
    pub fn max_in_window(self, tolerance: &Tolerance) -> f64 {
        let owed = self.rate_per_s * tolerance.window.as_secs_f64() + self.burst;
        owed * (1.0 + tolerance.overshoot) + tolerance.slack
    }
}
