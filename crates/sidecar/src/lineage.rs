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

use std::collections::HashMap;
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

/// Deadlines of running requests, and what they tell of routes.
#[derive(Debug, Default)]
pub struct Lineage {
    running: Slab<Moment>,
    call_share: HashMap<String, f64>,
    call_refused: Option<Moment>,
    call_failed: Option<Moment>,
}

impl Lineage {
    /// The instance was given a request with this deadline.
    pub fn begin(&mut self, deadline: Moment) -> RunningKey {
        RunningKey(self.running.insert(deadline))
    }

    /// It no longer runs it.
    pub fn end(&mut self, key: RunningKey) {
        self.running.try_remove(key.0);
    }

    /// A request of `route` with this deadline began on this machine.
    pub fn observe(&mut self, route: &str, deadline: Moment) {
        let matches =
            self.running.iter().any(|(_, parent)| deadline + EARLIER >= *parent && deadline <= *parent + LATER);
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
