//! Budget of repeats over a sliding window, kept where requests arrive.
//!
//! All nodes together may repeat a fraction of a service's requests, plus some. Each gate of
//! the service keeps to that fraction of what arrived at it, plus its part of the rest, so the
//! sum keeps the bound without a word between the gates.
//!
//! What a repeated run calls is a repeat at the called service, whose gates can't refuse it
//! without failing work that is done. Such *inherited* repeats use up the gate's budget. They
//! are never more than the fraction that the callers keep to: repeats are bounded by the first
//! arrivals that were answered, and only runs that are answered make all their calls. So the
//! bound holds at any depth of a call graph.

use std::time::Duration;

use olivegate_types::Moment;

/// Parts of a window; counts older than a window are dropped a part at a time.
const PARTS: u64 = 10;
/// Parts over which repeats are counted: at least a window.
const REPEAT_PARTS: u64 = PARTS + 1;

/// What one gate may repeat.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RepeatPolicy {
    /// Repeats allowed per answered first arrival of the window.
    pub ratio: f64,
    /// Repeats allowed beyond that in each window.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
}

#[derive(Debug, Clone, Copy, Default)]
struct Part {
    number: u64,
    answered: f64,
    repeats: f64,
}

/// Counts the first arrivals and repeats of one gate.
#[derive(Debug, Clone, Default)]
pub struct RepeatBudget {
    parts: [Part; REPEAT_PARTS as usize],
}

impl RepeatBudget {
    fn part(&mut self, policy: &RepeatPolicy, now: Moment) -> &mut Part {
        let number = part_number(policy, now);
        let part = &mut self.parts[(number % REPEAT_PARTS) as usize];
        if part.number != number {
            *part = Part { number, ..Part::default() };
        }
        part
    }

    /// Notes that a first arrival was answered. `share` is the probability that it was no
    /// inherited repeat.
    pub fn on_answered(&mut self, policy: &RepeatPolicy, share: f64, now: Moment) {
        self.part(policy, now).answered += share;
    }

    /// Notes an arrival that is an inherited repeat with the probability `share`.
    pub fn on_inherited(&mut self, policy: &RepeatPolicy, share: f64, now: Moment) {
        if share > 0.0 {
            self.part(policy, now).repeats += share;
        }
    }

    /// True when one more repeat fits into `part` of the window's budget.
    pub fn allows(&self, policy: &RepeatPolicy, part: f64, now: Moment) -> bool {
        let current = part_number(policy, now);
        let within = |parts: u64| self.parts.iter().filter(move |part| part.number + parts > current);
        let answered: f64 = within(PARTS).map(|part| part.answered).sum();
        let repeats: f64 = within(REPEAT_PARTS).map(|part| part.repeats).sum();
        repeats + 1.0 <= (answered * policy.ratio + policy.slack) * part
    }

    /// Takes one repeat from `part` of the window's budget; false when that is used up.
    pub fn try_repeat(&mut self, policy: &RepeatPolicy, part: f64, now: Moment) -> bool {
        let allowed = self.allows(policy, part, now);
        if allowed {
            self.part(policy, now).repeats += 1.0;
        }
        allowed
    }
}

/// Number of the part of the window that `now` lies in.
fn part_number(policy: &RepeatPolicy, now: Moment) -> u64 {
    let length = policy.window.div_f64(PARTS as f64).max(Duration::from_millis(1));
    (now.since_start().as_nanos() / length.as_nanos()) as u64
}
