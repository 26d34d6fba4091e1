//! Which requests are calls of the instance beside this node.
//!
//! Clients and the instance use the same address, and a call carries no mark of its parent.
//! But a call ends with its parent's deadline, and this node knows the deadline of each
//! request that it gave the instance. A request whose deadline is that of a running one is a
//! call; a route where this is frequent is one of calls.
//!
//! A call that is refused makes its parent fail at once. So an instance's failure right
//! after such a refusal is a failure for want of capacity further down, and is passed on as
//! such: hop by hop this reaches the edge where the request began.
//!
//! A call of a run that was a repeat is a repeat at the called service. Which run made a call
//! is not known, but which part of the running requests are repeats.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use olivegate_types::Moment;
use slab::Slab;

/// A call's deadline may seem this much earlier than its parent's.
const EARLIER: Duration = Duration::from_millis(2);
/// A call's deadline may seem this much later than its parent's: time on the way.
const LATER: Duration = Duration::from_millis(10);
/// Weight of one request in a route's share of calls.
const SAMPLE_WEIGHT: f64 = 0.02;
/// Share of matching deadlines from which on a route is one of calls. Calls that have a
/// shorter limit of their own don't match.
const CALL_SHARE: f64 = 0.15;
/// Time within which an instance fails after a call that it needed.
const FAILS_WITHIN: Duration = Duration::from_millis(15);

/// A request that the instance runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunningKey(usize);

#[derive(Debug, Clone, Copy)]
struct Running {
    deadline: Moment,
    repeat: f64,
}

/// Deadlines of running requests, and what they tell of routes.
#[derive(Debug, Default)]
pub struct Lineage {
    running: Slab<Running>,
    /// Sum of their probabilities of being repeats.
    repeats: f64,
    /// Deadlines of the running requests, in order.
    deadlines: BTreeSet<(Moment, usize)>,
    call_share: HashMap<String, f64>,
    call_refused: Option<Moment>,
    call_failed: Option<Moment>,
}

impl Lineage {
    /// The instance was given a request with this deadline, which is a repeat with the
    /// probability `repeat`.
    pub fn begin(&mut self, deadline: Moment, repeat: f64) -> RunningKey {
        let key = self.running.insert(Running { deadline, repeat });
        self.repeats += repeat;
        self.deadlines.insert((deadline, key));
        RunningKey(key)
    }

    /// It no longer runs it.
    pub fn end(&mut self, key: RunningKey) {
        if let Some(running) = self.running.try_remove(key.0) {
            self.deadlines.remove(&(running.deadline, key.0));
            // Nothing runs, nothing repeats: no rounding is kept.
            self.repeats = if self.running.is_empty() { 0.0 } else { self.repeats - running.repeat };
        }
    }

    /// Probability that a call of the instance belongs to a run that is a repeat.
    pub fn repeat_part(&self) -> f64 {
        (self.repeats / self.running.len().max(1) as f64).clamp(0.0, 1.0)
    }

    /// A request of `route` with this deadline began on this machine.
    pub fn observe(&mut self, route: &str, deadline: Moment) {
        let first = (deadline.saturating_sub(LATER), 0);
        let last = (deadline + EARLIER, usize::MAX);
        let matches = self.deadlines.range(first..=last).next().is_some();
        let sample = f64::from(u8::from(matches));
        match self.call_share.get_mut(route) {
            Some(share) => *share += (sample - *share) * SAMPLE_WEIGHT,
            None => {
                self.call_share.insert(route.to_string(), sample);
            }
        }
    }

    /// True when the requests of `route` that begin here are calls of the instance.
    pub fn is_call_route(&self, route: &str) -> bool {
        self.call_share.get(route).is_some_and(|share| *share >= CALL_SHARE)
    }

    /// A request of `route` was not served for want of capacity.
    pub fn on_refused(&mut self, route: &str, now: Moment) {
        if self.is_call_route(route) {
            self.call_refused = Some(now);
        }
    }

    /// A request of `route` failed otherwise.
    pub fn on_call_failed(&mut self, route: &str, now: Moment) {
        if self.is_call_route(route) {
            self.call_failed = Some(now);
        }
    }

    /// True when a failure of the instance now follows from a call that was refused.
    pub fn explains_failure(&self, now: Moment) -> bool {
        self.call_refused.is_some_and(|at| now.since(at) <= FAILS_WITHIN)
    }

    /// True when a failure of the instance now follows from a call that failed otherwise.
    pub fn follows_failed_call(&self, now: Moment) -> bool {
        self.call_failed.is_some_and(|at| now.since(at) <= FAILS_WITHIN)
    }

    /// Forgets routes that are no longer configured.
    pub fn retain(&mut self, configured: impl Fn(&str) -> bool) {
        self.call_share.retain(|route, _| configured(route));
    }
}
