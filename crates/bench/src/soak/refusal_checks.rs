//! Judges who was refused for want of an instance although a sound one lived. Pure.

use super::checker::{Case, Promise, Violation, of_call};
use super::record::{Call, CallEnd, CallPurpose, Life};

impl Case<'_> {
    /// Requests of clients and instances that were refused for want of an instance beside a sound one.
    pub(super) fn refused_beside_sound_instances(&self) -> Vec<Violation> {
        let is_judged = |call: &&Call| matches!(call.purpose, CallPurpose::Client | CallPurpose::OnBehalf);
        let is_refused = |call: &&Call| matches!(call.end, CallEnd::NodeFailed { lacks_instance: true, .. });
        let refused = self.record.calls.iter().filter(is_judged).filter(is_refused);
        refused.filter_map(|call| self.beside_sound_instances(call)).collect()
    }

    fn beside_sound_instances(&self, call: &Call) -> Option<Violation> {
        if !self.record.is_in_touch(call.machine, call.sent_s, call.ended_s, self.promised) {
            return None;
        }
        let sound = self.record.lives.iter().filter(|life| self.is_sound(life, call));
        let machines: Vec<usize> = sound.map(|life| life.machine).collect();
        if machines.is_empty() {
            return None;
        }
        let since_end = match self.last_end_before(call) {
            Some(end_s) => format!("{:.3} s after the last end of one", call.sent_s - end_s),
            None => "before any end of one".into(),
        };
        let detail = format!("no instance, {since_end}, while sound ones lived on machines {machines:?}");
        Some(of_call(Promise::SoundInstanceTakes, call, detail))
    }

    /// True when the instance took requests all the time and all nodes could know it.
    fn is_sound(&self, life: &Life, call: &Call) -> bool {
        let known_s = life.from_s + self.promised.apply_s + self.promised.slack_s;
        life.service == call.service
            && known_s <= call.sent_s
            && life.until_s.is_none_or(|until_s| until_s > call.ended_s)
            && self.record.is_in_touch(life.machine, call.sent_s, call.ended_s, self.promised)
    }

    /// When an instance of the call's service ended last before it.
    fn last_end_before(&self, call: &Call) -> Option<f64> {
        let of_service = self.record.lives.iter().filter(|life| life.service == call.service);
        let ends = of_service.filter_map(|life| life.until_s).filter(|until_s| *until_s <= call.sent_s);
        ends.max_by(f64::total_cmp)
    }
}
