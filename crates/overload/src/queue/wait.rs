//! How long a demand may wait, and how long it would.

use std::time::Duration;

use super::{InstanceQueue, SlotRequest, class_of};
use olivegate_types::{GroupName, Moment};

/// A deeper hop may wait this much longer than a root request.
const DEEPER_HOP_WAITS: u32 = 3;

/// Part of the slots assumed to be left by higher classes at the least.
const LEAST_LEFT: f64 = 0.02;

impl InstanceQueue {
    /// Longest wait after which the demand may still be served: bound by its deadline,
    /// and below the protected importance by the objective, which is wider for deeper
    /// hops since work has been done for them.
    pub fn max_wait(&self, demand: &SlotRequest, now: Moment) -> Duration {
        let by_deadline = demand.deadline.since(now).saturating_sub(demand.expected);
        if let Some(longest) = demand.max_wait {
            return by_deadline.min(longest);
        }
        if demand.importance.is_protected() {
            return by_deadline;
        }
        let factor = if demand.hop > 0 { DEEPER_HOP_WAITS } else { 1 };
        by_deadline.min(self.settings.max_wait * factor)
    }

    /// Wait predicted from the work in front of `demand`, served by the slots that
    /// higher classes have been leaving; at least as long as the demand's own group and
    /// class has been waiting already.
    pub fn predicted_wait(&self, demand: &SlotRequest, now: Moment) -> Duration {
        let mut ahead = Duration::ZERO;
        let mut own_group = Duration::ZERO;
        let mut same_class = Duration::ZERO;
        let mut oldest_wait = Duration::ZERO;
        let mut weights: Vec<(&GroupName, u32)> = vec![(&demand.group, demand.weight)];
        for other in &self.waiting {
            if other.class() > class_of(demand) {
                ahead += other.demand.expected;
            } else if other.class() == class_of(demand) {
                same_class += other.demand.expected;
                if other.demand.group == demand.group {
                    own_group += other.demand.expected;
                    oldest_wait = oldest_wait.max(now.since(other.since));
                } else if !weights.iter().any(|(group, _)| **group == other.demand.group) {
                    weights.push((&other.demand.group, other.demand.weight));
                }
            }
        }
        let total_weight: u32 = weights.iter().map(|(_, weight)| weight).sum();
        let share = f64::from(total_weight) / f64::from(demand.weight.max(1));
        ahead += own_group.mul_f64(share).min(same_class);
        let service = if self.mean_service.is_zero() { demand.expected } else { self.mean_service };
        let limit = f64::from(self.limit.current());
        let left = (limit - self.load.slots_above(class_of(demand), now)).max(limit * LEAST_LEFT);
        let in_order = (ahead + service).div_f64(left);
        let in_own_share = if self.least_share > 0.0 {
            (same_class + service).div_f64((limit * self.least_share).max(1.0))
        } else {
            Duration::MAX
        };
        in_order.min(in_own_share).max(oldest_wait)
    }

    /// Time until the pace of the instance lets `demand` through, behind those that go before it.
    pub(super) fn paced_wait(&self, demand: &SlotRequest, now: Moment) -> Duration {
        let ahead = self.waiting.iter().filter(|other| other.class() >= class_of(demand)).count();
        self.pacer.wait_behind(ahead, now)
    }
}
