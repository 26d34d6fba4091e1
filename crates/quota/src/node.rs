//! Quota decisions at one node.

use std::collections::HashMap;
use std::time::Duration;

use borsh::{BorshDeserialize, BorshSerialize};
use olivegate_types::Moment;

use crate::TenantId;
use crate::bucket::INITIAL_FILL;
use crate::ledger::{UsageLedger, UsageReport};
use crate::limit::QuotaLimit;
use crate::static_share::StaticShare;

/// Validity of a collector's answer, counted from the sending of the report that it answers. Several answers
/// arrive within it, so that a few may be lost.
const ANSWER_VALID_FOR: Duration = Duration::from_millis(1_000);
/// Fraction of its static share that a node uses after it has lost its collector: with the rest, all
/// nodes pay back what the fleet may have admitted in excess just before.
const DISCONNECTED_FRACTION: f64 = 0.7;
/// Minimum `retry_after` of a refusal.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Added to the minimum, at most, for a tenant of whose requests almost none are admitted.
const MAX_RETRY_AFTER_SPREAD: Duration = Duration::from_secs(3);

/// Fraction of a tenant's requests to admit, from 0 to 1.
#[derive(Debug, Clone, Copy, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct AdmittedFraction {
    /// The tenant.
    pub tenant: TenantId,
    /// The fraction.
    pub fraction: f32,
}

/// Refusal of a request that exceeds the quota of its tenant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuotaExceeded {
    /// Delay after which the tenant is expected to have quota again.
    pub retry_after: Duration,
}

/// Quota state of one node: its usage counts, the last answer of its collector and its static shares.
#[derive(Debug, Default)]
pub struct NodeQuotas {
    usage: UsageLedger,
    fractions: HashMap<TenantId, f32>,
    /// Send time of the report whose answer is stored in `fractions`.
    answer_requested_at: Option<Moment>,
    static_shares: HashMap<TenantId, StaticShare>,
}

impl NodeQuotas {
    /// Admits or refuses a request of `tenant`. `nodes` is the number of nodes in the directory; `draw` is
    /// uniform in `[0, 1)`.
    pub fn admit(
        &mut self,
        tenant: TenantId,
        limit: QuotaLimit,
        nodes: u32,
        draw: f64,
        now: Moment,
    ) -> Result<(), QuotaExceeded> {
        let fraction = self.current_fraction(tenant, now);
        let is_admitted = match fraction {
            Some(fraction) => draw < fraction,
            None => {
                // After a collector has answered, the fleet may already have used its whole burst and more,
                // so the share starts empty.
                let (initial_fill, limit_fraction) = if self.answer_requested_at.is_some() {
                    (0.0, DISCONNECTED_FRACTION)
                } else {
                    (INITIAL_FILL, 1.0)
                };
                let new_share = || StaticShare::new(limit, nodes, initial_fill, now);
                let share = self.static_shares.entry(tenant).or_insert_with(new_share);
                share.admit(limit.scaled(limit_fraction), nodes, draw, now)
            }
        };
        self.usage.add(tenant, 1, i32::from(is_admitted), now);
        if is_admitted {
            return Ok(());
        }
        Err(QuotaExceeded { retry_after: retry_after(fraction.unwrap_or_default(), draw) })
    }

    /// Takes a request that was not executed out of the counts.
    pub fn refund(&mut self, tenant: TenantId, now: Moment) {
        self.usage.add(tenant, -1, -1, now);
    }

    /// Fraction from the collector's recent answer, 1 for a tenant that is not in it; `None` without a
    /// recent answer.
    fn current_fraction(&self, tenant: TenantId, now: Moment) -> Option<f64> {
        let is_recent = self.has_recent_answer(now);
        is_recent.then(|| self.fractions.get(&tenant).map_or(1.0, |fraction| f64::from(*fraction)))
    }

    /// True while the last answer of a collector is valid.
    pub fn has_recent_answer(&self, now: Moment) -> bool {
        self.answer_requested_at.is_some_and(|at| now.since(at) <= ANSWER_VALID_FOR)
    }

    /// Stores the answer of a collector to the report sent at `requested_at`, unless a newer one is known.
    pub fn on_collector_answer(&mut self, fractions: &[AdmittedFraction], requested_at: Moment) {
        if self.answer_requested_at.is_some_and(|at| at > requested_at) {
            return;
        }
        self.answer_requested_at = Some(requested_at);
        self.fractions = fractions.iter().map(|entry| (entry.tenant, entry.fraction)).collect();
        // Static shares apply only while no collector answers.
        self.static_shares.clear();
    }

    /// Starts a new generation of counts, for reports to another collector.
    pub fn begin_generation(&mut self, generation: u32) {
        self.usage.begin_generation(generation);
    }

    /// Reports to send to the collector now.
    pub fn reports(&mut self, now: Moment) -> Vec<UsageReport> {
        self.usage.reports(1, now)
    }
}

/// Grows as `fraction` falls, and is spread by `draw`, which is at least `fraction`, so that refused clients
/// don't return all at once.
fn retry_after(fraction: f64, draw: f64) -> Duration {
    let position = (draw - fraction) / (1.0 - fraction).max(f64::EPSILON);
    let max_spread = MAX_RETRY_AFTER_SPREAD.mul_f64((1.0 - fraction).clamp(0.0, 1.0));
    MIN_RETRY_AFTER + max_spread.mul_f64(position.clamp(0.0, 1.0))
}
