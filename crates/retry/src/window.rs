//! Budget of repeats over a sliding window.
//!
//! All nodes together may repeat a fraction of a service's requests, plus some. Each node
//! keeps to its own share: the fraction of the requests that it sent itself, plus its part
//! of the rest. The sum over the nodes then keeps the bound without a word between them.

use std::time::Duration;

use olivegate_types::Moment;

/// Parts of a window; counts older than a window are dropped a part at a time.
const PARTS: usize = 10;

/// What one node may repeat towards one service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RepeatPolicy {
    /// Repeats allowed per request of the window.
    pub ratio: f64,
    /// Repeats allowed beyond that in each window.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
}

#[derive(Debug, Clone, Copy, Default)]
struct Part {
    number: u64,
    requests: u32,
    repeats: u32,
}

/// Counts the requests and repeats of one node towards one service.
#[derive(Debug, Clone, Default)]
pub struct RepeatBudget {
    parts: [Part; PARTS],
}

impl RepeatBudget {
    fn part(&mut self, policy: &RepeatPolicy, now: Moment) -> &mut Part {
        let number = part_number(policy, now);
        let part = &mut self.parts[(number % PARTS as u64) as usize];
        if part.number != number {
            *part = Part { number, ..Part::default() };
        }
        part
    }

    /// Notes a request.
    pub fn on_request(&mut self, policy: &RepeatPolicy, now: Moment) {
        self.part(policy, now).requests += 1;
    }

    /// Takes one repeat; false when the window's share is used up.
    pub fn try_repeat(&mut self, policy: &RepeatPolicy, now: Moment) -> bool {
        let current = part_number(policy, now);
        let live = self.parts.iter().filter(|part| part.number + PARTS as u64 > current);
        let (requests, repeats) =
            live.fold((0, 0), |(requests, repeats), part| (requests + part.requests, repeats + part.repeats));
        let allowed = f64::from(requests) * policy.ratio + policy.slack;
        if f64::from(repeats) + 1.0 > allowed {
            return false;
        }
        self.part(policy, now).repeats += 1;
        true
    }
}

/// Number of the part of the window that `now` lies in.
fn part_number(policy: &RepeatPolicy, now: Moment) -> u64 {
    let length = (policy.window / PARTS as u32).max(Duration::from_millis(1));
    (now.since_start().as_nanos() / length.as_nanos()) as u64
}
