//! Budget of repeats over a sliding window, kept where requests arrive.
//!
//! What a window may repeat follows from the requests of that window, the one before or the one
//! half a window earlier, whichever holds most: a service whose callers are held back while it
//! sheds has few requests just when it needs repeats.
//!
//! All nodes together may repeat a fraction of a service's requests, plus some. Each gate of
//! the service keeps to that fraction of what arrived at it, plus its part of the rest, so the
//! sum keeps the bound without a word between the gates.
//!
//! What a repeated run calls is a repeat at the called service, whose gates can't refuse it
//! without failing work that is done. Such *inherited* repeats use up the gate's budget. They
//! are never more than the fraction that the callers keep to: repeats are bounded by the first
//! arrivals that were answered or refused unrun, repeats are refused as often as those, and only
//! runs that are answered make all their calls. So the
//! bound holds at any depth of a call graph.

use std::time::Duration;

use olivegate_types::Moment;

/// Parts of a window; counts older than a window are dropped a part at a time.
const PARTS: u64 = 10;
/// Parts over which repeats are counted: at least a window.
const REPEAT_PARTS: u64 = PARTS + 1;
/// Parts that are kept: two windows.
const KEPT_PARTS: u64 = 2 * PARTS + 1;
/// How many parts earlier the windows end whose requests count.
const EARLIER: [u64; 3] = [0, PARTS / 2, PARTS];

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
    parts: [Part; KEPT_PARTS as usize],
}

impl RepeatBudget {
    fn part(&mut self, policy: &RepeatPolicy, now: Moment) -> &mut Part {
        let number = part_number(policy, now);
        let part = &mut self.parts[(number % KEPT_PARTS) as usize];
        if part.number != number {
            *part = Part { number, ..Part::default() };
        }
        part
    }

    /// Notes that a first arrival was answered, or refused unrun by the instance: work that is not
    /// run makes no calls. `share` is the probability that it was no
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

    /// Requests that count for the window that ends now.
    fn answered(&self, current: u64) -> f64 {
        let answered_in = |earlier: u64| -> f64 {
            let window = earlier..earlier + PARTS;
            let in_window = |part: &&Part| window.contains(&current.saturating_sub(part.number));
            self.parts.iter().filter(in_window).map(|part| part.answered).sum()
        };
        EARLIER.map(answered_in).into_iter().fold(0.0, f64::max)
    }

    /// True when one more repeat fits into `part` of the window's budget.
    pub fn allows(&self, policy: &RepeatPolicy, part: f64, now: Moment) -> bool {
        let current = part_number(policy, now);
        let in_window = |part: &&Part| current.saturating_sub(part.number) < REPEAT_PARTS;
        let repeats: f64 = self.parts.iter().filter(in_window).map(|part| part.repeats).sum();
        repeats + 1.0 <= (self.answered(current) * policy.ratio + policy.slack) * part
    }

    /// Repeats a second that the window's budget comes to.
    pub fn rate(&self, policy: &RepeatPolicy, now: Moment) -> f64 {
        let budget = self.answered(part_number(policy, now)) * policy.ratio + policy.slack;
        budget / policy.window.as_secs_f64()
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
