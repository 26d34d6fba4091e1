//! Checks that no request is refused for lack of an instance while a healthy one is available. Pure.

use super::checker::{IndexedRecord, Promise, Violation, call_violation};
use super::record::{Call, CallEnd, CallPurpose, InstanceLifetime};

impl IndexedRecord<'_> {
    /// Requests of clients and instances that were refused for lack of an instance despite a healthy one.
    pub(super) fn check_no_instance_refusals(&self) -> Vec<Violation> {
        let is_checked = |call: &&Call| matches!(call.purpose, CallPurpose::Client | CallPurpose::OnBehalf);
        let is_refused = |call: &&Call| matches!(call.end, CallEnd::NodeFailed { lacks_instance: Some(_), .. });
        let refused = self.record.calls.iter().filter(is_checked).filter(is_refused);
        refused.filter_map(|call| self.healthy_instance_violation(call)).collect()
    }

    fn healthy_instance_violation(&self, call: &Call) -> Option<Violation> {
        if !self.record.is_undisturbed(call.machine, call.sent_s, call.ended_s, self.bounds) {
            return None;
        }
        let healthy = self.record.lifetimes.iter().filter(|lifetime| self.is_healthy(lifetime, call));
        let machines: Vec<usize> = healthy.map(|lifetime| lifetime.machine).collect();
        if machines.is_empty() {
            return None;
        }
        let since_end = match self.last_end_before(call) {
            Some(end_s) => format!("{:.3} s after the last instance ended", call.sent_s - end_s),
            None => "before any instance ended".into(),
        };
        let detail = format!("no instance, {since_end}, while healthy instances were on machines {machines:?}");
        Some(call_violation(Promise::SoundInstanceTakes, call, detail))
    }

    /// True if the instance accepted requests during the whole call and all nodes could know of it before.
    fn is_healthy(&self, lifetime: &InstanceLifetime, call: &Call) -> bool {
        let known_since_s = lifetime.from_s + self.bounds.apply_s + self.bounds.slack_s;
        lifetime.service == call.service
            && known_since_s <= call.sent_s
            && lifetime.until_s.is_none_or(|until_s| until_s > call.ended_s)
            && self.record.is_undisturbed(lifetime.machine, call.sent_s, call.ended_s, self.bounds)
    }

    /// When the last instance of the call's service ended before the call.
    fn last_end_before(&self, call: &Call) -> Option<f64> {
        let of_service = self.record.lifetimes.iter().filter(|lifetime| lifetime.service == call.service);
        let ends = of_service.filter_map(|lifetime| lifetime.until_s).filter(|until_s| *until_s <= call.sent_s);
        ends.max_by(f64::total_cmp)
    }
}
