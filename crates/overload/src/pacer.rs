//! Paces what is sent to an instance by the rate that it declares: a token bucket.
//!
//! It holds little more than a moment's worth, so that an instance in need gets no bursts, and begins
//! empty: what was sent just before the rate was declared has used it up. An instance that declares
//! next to nothing still gets a request now and then, since only an answer can tell that its need is
//! over.

use std::time::Duration;

use olivegate_types::Moment;

use crate::declared_rate::DeclaredRate;

/// Time whose worth of requests may be sent at once.
const BURST: Duration = Duration::from_millis(500);
/// Requests that may be sent at once at the least: what nobody came for in time is not lost at once.
const LEAST_BURST: f64 = 2.0;
/// Requests a second at the least, to hear whether the instance declares a higher rate by now.
const PROBE_RATE: f64 = 0.5;
/// Those that were turned away are asked to return at a rate this much above the one that is paced:
/// some of them find another instance meanwhile.
const RETURN_FACTOR: f64 = 1.25;
/// Longest time for which one is asked to stay away, so that the end of a limit is noticed.
const LONGEST_AWAY: Duration = Duration::from_millis(500);
/// Most that is owed, as a time: what was sent beside the pace.
const LONGEST_DEBT: Duration = Duration::from_secs(4);

/// Paces one instance. It lets everything through until a rate is declared.
#[derive(Debug, Clone, Copy, Default)]
pub struct Pacer {
    rate: Option<DeclaredRate>,
    /// Requests that may be sent at once; below 0 where more were sent.
    tokens: f64,
    /// When tokens were last refilled.
    at: Moment,
    /// When the one that was turned away last was asked to return.
    last_return: Moment,
}

impl Pacer {
    /// Follows what the instance declares; `None` where it takes what comes.
    pub fn set_rate(&mut self, rate: Option<DeclaredRate>, now: Moment) {
        self.refill(now);
        let was_limited = self.rate.is_some();
        self.rate = rate;
        self.tokens = if was_limited { self.tokens.min(self.burst()) } else { 0.0 };
        self.at = now;
    }

    /// The declared rate.
    pub fn rate(&self) -> Option<DeclaredRate> {
        self.rate
    }

    /// Requests a second that are let through; `None` where that is not limited.
    pub fn requests_per_second(&self) -> Option<f64> {
        self.rate.map(|rate| rate.per_second().max(PROBE_RATE))
    }

    /// Takes a token for a request that is about to be sent; false where there is none.
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

    /// Gives back the token of a request that was not sent.
    pub fn refund(&mut self, now: Moment) {
        self.refill(now);
        self.tokens = (self.tokens + 1.0).min(self.burst());
    }

    /// Counts what was sent beside the pace.
    pub fn debit(&mut self, now: Moment) {
        self.refill(now);
        self.tokens -= 1.0;
    }

    /// Time until there is a token for a request behind `ahead` others.
    pub fn wait_behind(&self, ahead: usize, now: Moment) -> Duration {
        let Some(per_second) = self.requests_per_second() else { return Duration::ZERO };
        let missing = ahead as f64 + 1.0 - self.tokens_at(now);
        Duration::from_secs_f64(missing.max(0.0) / per_second)
    }

    /// Time after which the caller of a request that had to be turned away may send another one here:
    /// such callers return one after the other, about as fast as requests are let through.
    pub fn retry_after(&mut self, now: Moment) -> Duration {
        let Some(per_second) = self.requests_per_second() else { return Duration::ZERO };
        let spacing = Duration::from_secs_f64(1.0 / (per_second * RETURN_FACTOR));
        let earliest = now + self.wait_behind(0, now);
        let latest = now + LONGEST_AWAY;
        self.last_return = (self.last_return + spacing).clamp(earliest.min(latest), latest);
        self.last_return.since(now)
    }

    fn burst(&self) -> f64 {
        self.requests_per_second().map_or(0.0, |per_second| (per_second * BURST.as_secs_f64()).max(LEAST_BURST))
    }

    fn tokens_at(&self, now: Moment) -> f64 {
        let per_second = self.requests_per_second().unwrap_or_default();
        let most_owed = per_second * LONGEST_DEBT.as_secs_f64();
        let refilled = self.tokens + per_second * now.since(self.at).as_secs_f64();
        refilled.clamp(-most_owed, self.burst())
    }

    fn refill(&mut self, now: Moment) {
        self.tokens = self.tokens_at(now);
        self.at = now;
    }
}
