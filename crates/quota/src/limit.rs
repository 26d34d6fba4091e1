//! Limit of a tenant, and the tolerance within which the fleet enforces it.

use std::time::Duration;

/// Fraction of the tolerated overshoot that is added to the enforced rate, so that requests within the
/// quota are not refused because of errors in the counts of other nodes. The rest is reserved for the
/// delay of those counts.
const OVERSHOOT_IN_RATE: f64 = 0.1;
/// Fraction of the tolerated slack that is added to the enforced burst, for the same reason.
const SLACK_IN_BURST: f64 = 0.25;

/// Limit on the requests of a tenant at all nodes together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaLimit {
    /// Requests per second.
    pub rate_per_s: f64,
    /// Requests above the rate that may be made at once.
    pub burst: f64,
}

/// By how much the admitted requests may exceed the limit. Any window admits at most
/// `(rate x window + burst) x (1 + overshoot) + slack`.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Tolerance {
    /// Length of the window.
    pub window: Duration,
    /// Tolerated excess, as a fraction of the limit.
    pub overshoot: f64,
    /// Tolerated excess, as a number of requests.
    pub slack: f64,
}

impl QuotaLimit {
    /// Limit that the nodes enforce: raised by a fraction of `tolerance`.
    pub fn enforced_with(self, tolerance: &Tolerance) -> QuotaLimit {
        QuotaLimit {
            rate_per_s: self.rate_per_s * (1.0 + tolerance.overshoot * OVERSHOOT_IN_RATE),
            burst: self.burst + tolerance.slack * SLACK_IN_BURST,
        }
    }

    /// Limit of a fraction of the fleet.
    pub fn scaled(self, fraction: f64) -> QuotaLimit {
        QuotaLimit { rate_per_s: self.rate_per_s * fraction, burst: self.burst * fraction }
    }

    /// Maximum number of requests that may be admitted in any window.
    pub fn max_in_window(self, tolerance: &Tolerance) -> f64 {
        let nominal = self.rate_per_s * tolerance.window.as_secs_f64() + self.burst;
        nominal * (1.0 + tolerance.overshoot) + tolerance.slack
    }
}
