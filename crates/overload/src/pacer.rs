//! Token bucket that limits requests to an instance to the rate that the instance declares.
//!
//! The bucket holds only a fraction of a second's worth of tokens, so that an overloaded instance gets no
//! bursts. It starts empty, because the requests sent just before the rate was declared have used it up. An
//! instance that declares a rate near zero still gets an occasional request, since only a response can tell
//! that the limit is over.

use std::time::Duration;

use olivegate_types::Moment;

use crate::declared_rate::DeclaredRate;

/// Capacity of the bucket, as time at the rate that is let through.
const BURST: Duration = Duration::from_millis(500);
/// Smallest capacity of the bucket, in requests, so that a token that is not used at once is not lost.
const MIN_BURST: f64 = 2.0;
/// Lowest rate in requests per second, to learn whether the instance declares a higher rate by now.
const PROBE_RATE: f64 = 0.5;
/// Refused callers are told to retry at this multiple of the rate that is let through, because some of them
/// find another instance in the meantime.
const RETRY_RATE_FACTOR: f64 = 1.25;
/// Longest retry delay, so that callers notice the end of a limit.
const MAX_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Largest token debt, as time at the rate that is let through, from requests that were sent without a token.
const MAX_DEBT: Duration = Duration::from_secs(4);

/// Token bucket of one instance. Lets everything through until a rate is declared.
#[derive(Debug, Clone, Copy, Default)]
pub struct Pacer {
    rate: Option<DeclaredRate>,
    /// Requests that may be sent at once; negative if more were sent than allowed.
    tokens: f64,
    refilled_at: Moment,
    /// Time from which the most recently refused caller may retry.
    last_retry: Moment,
}

impl Pacer {
    /// Sets the rate that the instance declares; `None` removes the limit.
    pub fn set_rate(&mut self, rate: Option<DeclaredRate>, now: Moment) {
        self.refill(now);
        let was_limited = self.rate.is_some();
        self.rate = rate;
        self.tokens = if was_limited { self.tokens.min(self.burst()) } else { 0.0 };
        self.refilled_at = now;
    }

    /// The declared rate.
    pub fn rate(&self) -> Option<DeclaredRate> {
        self.rate
    }

    /// Requests per second that are let through; `None` if unlimited.
    pub fn requests_per_second(&self) -> Option<f64> {
        self.rate.map(|rate| rate.per_second().max(PROBE_RATE))
    }

    /// Takes a token for a request that is about to be sent; false if there is none.
    pub fn take(&mut self, now: Moment) -> bool {
        if self.rate.is_none() {
            return true;
        }
        self.refill(now);
        let has_token = self.tokens >= 1.0;
        if has_token {
            self.tokens -= 1.0;
        }
        has_token
    }

    /// Returns the token of a request that was not sent.
    pub fn refund(&mut self, now: Moment) {
        self.refill(now);
        self.tokens = (self.tokens + 1.0).min(self.burst());
    }

    /// Charges a request that was sent without taking a token.
    pub fn debit(&mut self, now: Moment) {
        self.refill(now);
        self.tokens -= 1.0;
    }

    /// Time until there is a token for a request with `ahead` others before it.
    pub fn wait_behind(&self, ahead: usize, now: Moment) -> Duration {
        let Some(per_second) = self.requests_per_second() else { return Duration::ZERO };
        let missing = ahead as f64 + 1.0 - self.tokens_at(now);
        Duration::from_secs_f64(missing.max(0.0) / per_second)
    }

    /// Time after which the caller of a refused request may send another one to this instance. Successive
    /// calls return spaced times, so that callers retry about as fast as requests are let through.
    pub fn retry_after(&mut self, now: Moment) -> Duration {
        let Some(per_second) = self.requests_per_second() else { return Duration::ZERO };
        let spacing = Duration::from_secs_f64(1.0 / (per_second * RETRY_RATE_FACTOR));
        let earliest = now + self.wait_behind(0, now);
        let latest = now + MAX_RETRY_AFTER;
        self.last_retry = (self.last_retry + spacing).clamp(earliest.min(latest), latest);
        self.last_retry.since(now)
    }

    fn burst(&self) -> f64 {
        self.requests_per_second().map_or(0.0, |per_second| (per_second * BURST.as_secs_f64()).max(MIN_BURST))
    }

    fn tokens_at(&self, now: Moment) -> f64 {
        let per_second = self.requests_per_second().unwrap_or_default();
        let max_debt = per_second * MAX_DEBT.as_secs_f64();
        let refilled = self.tokens + per_second * now.since(self.refilled_at).as_secs_f64();
        refilled.clamp(-max_debt, self.burst())
    }

    fn refill(&mut self, now: Moment) {
        self.tokens = self.tokens_at(now);
        self.refilled_at = now;
    }
}
