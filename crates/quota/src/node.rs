//! The decision at a node.

use std::collections::HashMap;
use std::time::Duration;

use borsh::{BorshDeserialize, BorshSerialize};
use olivegate_types::Moment;

use crate::TenantId;
use crate::bucket::FIRST_PART;
use crate::ledger::{UsageLedger, UsageReport};
use crate::limit::QuotaLimit;
use crate::static_share::FixedPart;

/// What a collector said holds for this long; it answers several times in it.
const TOLD_HOLDS: Duration = Duration::from_millis(1_000);
/// Part of its fixed part that a node keeps to which has lost its collector: what the fleet let in
/// too much just before is paid back by all nodes.
const CUT_OFF_PART: f64 = 0.7;
/// Shortest time to come back after a refusal.
const SHORTEST_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Time to come back where nearly nothing is let in.
const LONGEST_RETRY_AFTER: Duration = Duration::from_secs(3);

/// The part of a tenant's requests that may be let in, from 0 to 1.
#[derive(Debug, Clone, Copy, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct AdmittedFraction {
    /// The tenant.
    pub tenant: TenantId,
    /// The part.
    pub fraction: f32,
}

/// A request beyond its tenant's quota.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuotaExceeded {
    /// When the tenant has room again.
    pub retry_after: Duration,
}

/// Quotas at one node.
#[derive(Debug, Default)]
pub struct NodeQuotas {
    ledger: UsageLedger,
    told: HashMap<TenantId, f32>,
    told_at: Option<Moment>,
    fixed: HashMap<TenantId, FixedPart>,
}

impl NodeQuotas {
    /// Lets a request of `tenant` in, or not. `nodes` are listed; `draw` is uniform in `[0, 1)`.
    pub fn admit(
        &mut self,
        tenant: TenantId,
        limit: QuotaLimit,
        nodes: u32,
        draw: f64,
        now: Moment,
    ) -> Result<(), QuotaExceeded> {
        let part = self.told_part(tenant, now);
        let is_admitted = match part {
            Some(part) => draw < part,
            None => {
                // What a collector counted may have used up the burst of all nodes already, and more.
                let (filled, kept) = if self.told_at.is_some() { (0.0, CUT_OFF_PART) } else { (FIRST_PART, 1.0) };
                let begin = || FixedPart::new(limit, nodes, filled, now);
                let fixed = self.fixed.entry(tenant).or_insert_with(begin);
                fixed.admit(limit.times(kept), nodes, draw, now)
            }
        };
        self.ledger.add(tenant, 1, i32::from(is_admitted), now);
        if is_admitted {
            return Ok(());
        }
        Err(QuotaExceeded { retry_after: retry_after(part.unwrap_or_default(), draw) })
    }

    /// The request was not run: it counts as if it had not been asked for.
    pub fn refund(&mut self, tenant: TenantId, now: Moment) {
        self.ledger.add(tenant, -1, -1, now);
    }

    /// The part that a collector named lately; 1 for those it did not name.
    fn told_part(&self, tenant: TenantId, now: Moment) -> Option<f64> {
        let is_recent = self.has_recent_answer(now);
        is_recent.then(|| self.told.get(&tenant).map_or(1.0, |part| f64::from(*part)))
    }

    /// True while a collector's word holds.
    pub fn has_recent_answer(&self, now: Moment) -> bool {
        self.told_at.is_some_and(|at| now.since(at) <= TOLD_HOLDS)
    }

    /// A collector that was asked at `asked` named these parts.
    pub fn on_collector_answer(&mut self, parts: &[AdmittedFraction], asked: Moment) {
        if self.told_at.is_some_and(|at| at > asked) {
            return;
        }
        self.told_at = Some(asked);
        self.told = parts.iter().map(|told| (told.tenant, told.fraction)).collect();
        // Nobody keeps to fixed parts while collectors count.
        self.fixed.clear();
    }

    /// Another collector is told from now on.
    pub fn begin_generation(&mut self, generation: u32) {
        self.ledger.begin_generation(generation);
    }

    /// What the collector is to be told now.
    pub fn reports(&mut self, now: Moment) -> Vec<UsageReport> {
        self.ledger.reports(1, now)
    }
}

/// The less is let in, the later; spread by `draw`, which was at least `part`.
fn retry_after(part: f64, draw: f64) -> Duration {
    let spread = (draw - part) / (1.0 - part).max(f64::EPSILON);
    let longest = LONGEST_RETRY_AFTER.mul_f64((1.0 - part).clamp(0.0, 1.0));
    SHORTEST_RETRY_AFTER + longest.mul_f64(spread.clamp(0.0, 1.0))
}
