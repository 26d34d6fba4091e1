//! Budget of retries over a sliding window, enforced by the gate where the requests arrive.
//!
//! The budget of a window is a ratio of the requests in that window, in the window before or in the one half
//! a window earlier, whichever has the most: while a service sheds load its callers send fewer requests, just
//! when it needs retries.
//!
//! All nodes together may retry a fraction of a service's requests, plus a fixed slack. Each gate of the
//! service allows that fraction of its own arrivals, plus its part of the slack, so that the sum keeps the
//! bound without communication between the gates.
//!
//! The calls that a retried run makes are retries at the called service, whose gates can't refuse them
//! without failing work that is already done. Such *inherited* retries use up the gate's budget. They never
//! exceed the fraction that the callers may retry: retries are bounded by the first arrivals that were
//! answered or refused before they ran, retries are refused as often as first arrivals, and only runs that
//! are answered make all their calls. So the bound holds at any depth of a call graph.

use std::time::Duration;

use olivegate_types::Moment;

/// Buckets of a window; counts older than a window are dropped one bucket at a time.
const BUCKETS: u64 = 10;
/// Buckets over which retries are counted: at least a window.
const RETRY_BUCKETS: u64 = BUCKETS + 1;
/// Buckets that are stored: two windows.
const STORED_BUCKETS: u64 = 2 * BUCKETS + 1;
/// How many buckets before now the windows end whose requests count.
const WINDOW_OFFSETS: [u64; 3] = [0, BUCKETS / 2, BUCKETS];

/// Bounds on the retries at one gate.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryPolicy {
    /// Retries allowed per answered first arrival of the window.
    pub ratio: f64,
    /// Retries allowed in each window in addition.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
}

#[derive(Debug, Clone, Copy, Default)]
struct Bucket {
    number: u64,
    answered: f64,
    retries: f64,
}

/// Counts the first arrivals and retries of one gate.
#[derive(Debug, Clone, Default)]
pub struct WindowRetryBudget {
    buckets: [Bucket; STORED_BUCKETS as usize],
}

impl WindowRetryBudget {
    fn bucket(&mut self, policy: &RetryPolicy, now: Moment) -> &mut Bucket {
        let number = bucket_number(policy, now);
        let bucket = &mut self.buckets[(number % STORED_BUCKETS) as usize];
        if bucket.number != number {
            *bucket = Bucket { number, ..Bucket::default() };
        }
        bucket
    }

    /// Records a first arrival that was answered, or that the instance refused before it ran: a request that
    /// does not run makes no calls. `probability` is the probability that it was not an inherited retry.
    pub fn on_answered(&mut self, policy: &RetryPolicy, probability: f64, now: Moment) {
        self.bucket(policy, now).answered += probability;
    }

    /// Records an arrival that is an inherited retry with the given `probability`.
    pub fn on_inherited(&mut self, policy: &RetryPolicy, probability: f64, now: Moment) {
        if probability > 0.0 {
            self.bucket(policy, now).retries += probability;
        }
    }

    /// Requests from which the budget of the window that ends now is computed.
    fn answered(&self, current: u64) -> f64 {
        let answered_in = |earlier: u64| -> f64 {
            let window = earlier..earlier + BUCKETS;
            let in_window = |bucket: &&Bucket| window.contains(&current.saturating_sub(bucket.number));
            self.buckets.iter().filter(in_window).map(|bucket| bucket.answered).sum()
        };
        WINDOW_OFFSETS.map(answered_in).into_iter().fold(0.0, f64::max)
    }

    /// True if one more retry fits into the given `fraction` of the window's budget.
    pub fn allows(&self, policy: &RetryPolicy, fraction: f64, now: Moment) -> bool {
        let current = bucket_number(policy, now);
        let in_window = |bucket: &&Bucket| current.saturating_sub(bucket.number) < RETRY_BUCKETS;
        let retries: f64 = self.buckets.iter().filter(in_window).map(|bucket| bucket.retries).sum();
        retries + 1.0 <= (self.answered(current) * policy.ratio + policy.slack) * fraction
    }

    /// The window's budget in retries per second.
    pub fn rate(&self, policy: &RetryPolicy, now: Moment) -> f64 {
        let budget = self.answered(bucket_number(policy, now)) * policy.ratio + policy.slack;
        budget / policy.window.as_secs_f64()
    }

    /// Takes one retry from the given `fraction` of the window's budget; false if that is used up.
    pub fn try_retry(&mut self, policy: &RetryPolicy, fraction: f64, now: Moment) -> bool {
        let allowed = self.allows(policy, fraction, now);
        if allowed {
            self.bucket(policy, now).retries += 1.0;
        }
        allowed
    }
}

/// Number of the bucket that contains `now`.
fn bucket_number(policy: &RetryPolicy, now: Moment) -> u64 {
    let length = policy.window.div_f64(BUCKETS as f64).max(Duration::from_millis(1));
    (now.since_start().as_nanos() / length.as_nanos()) as u64
}
