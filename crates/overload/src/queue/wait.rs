//! How long a request may wait for a slot, and how long it is predicted to wait.

use std::time::Duration;

use super::{InstanceQueue, SlotRequest, class_of};
use olivegate_types::{GroupName, Moment};

/// Factor by which a deeper hop may wait longer than a root request.
const DEEPER_HOP_WAIT_FACTOR: u32 = 3;

/// Smallest fraction of the slots assumed to be left over by higher classes.
const MIN_SLOTS_LEFT: f64 = 0.02;

impl InstanceQueue {
    /// Longest wait after which the request may still be served. It is bounded by the deadline and, below the
    /// protected importance, by the objective, which is wider for deeper hops since work has already been
    /// done for them.
    pub fn max_wait(&self, request: &SlotRequest, now: Moment) -> Duration {
        let by_deadline = request.deadline.since(now).saturating_sub(request.expected);
        if let Some(max_wait) = request.max_wait {
            return by_deadline.min(max_wait);
        }
        if request.importance.is_protected() {
            return by_deadline;
        }
        let factor = if request.hop > 0 { DEEPER_HOP_WAIT_FACTOR } else { 1 };
        by_deadline.min(self.settings.max_wait * factor)
    }

    /// Wait predicted from the work ahead of `request` and the slots that higher classes have been leaving
    /// free; at least as long as the request's own group and class has been waiting already.
    pub fn predicted_wait(&self, request: &SlotRequest, now: Moment) -> Duration {
        let mut ahead = Duration::ZERO;
        let mut own_group = Duration::ZERO;
        let mut same_class = Duration::ZERO;
        let mut oldest_wait = Duration::ZERO;
        let mut weights: Vec<(&GroupName, u32)> = vec![(&request.group, request.weight)];
        for other in &self.waiting {
            if other.class() > class_of(request) {
                ahead += other.request.expected;
            } else if other.class() == class_of(request) {
                same_class += other.request.expected;
                if other.request.group == request.group {
                    own_group += other.request.expected;
                    oldest_wait = oldest_wait.max(now.since(other.since));
                } else if !weights.iter().any(|(group, _)| **group == other.request.group) {
                    weights.push((&other.request.group, other.request.weight));
                }
            }
        }
        let total_weight: u32 = weights.iter().map(|(_, weight)| weight).sum();
        let share = f64::from(total_weight) / f64::from(request.weight.max(1));
        ahead += own_group.mul_f64(share).min(same_class);
        let service = if self.mean_service_time.is_zero() { request.expected } else { self.mean_service_time };
        let limit = f64::from(self.limit.current());
        let left = (limit - self.load.slots_above(class_of(request), now)).max(limit * MIN_SLOTS_LEFT);
        let in_order = (ahead + service).div_f64(left);
        let in_min_share = if self.min_share > 0.0 {
            (same_class + service).div_f64((limit * self.min_share).max(1.0))
        } else {
            Duration::MAX
        };
        in_order.min(in_min_share).max(oldest_wait)
    }

    /// Time until the declared rate lets `request` through, after the waiting requests that are served before
    /// it.
    pub(super) fn rate_limit_wait(&self, request: &SlotRequest, now: Moment) -> Duration {
        let ahead = self.waiting.iter().filter(|other| other.class() >= class_of(request)).count();
        self.pacer.wait_behind(ahead, now)
    }
}
