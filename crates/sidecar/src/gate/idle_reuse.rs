//! Limit of the time after which an idle connection to the instance may be reused. Pure.
//!
//! An instance may silently drop idle connections; a request sent on one is lost. A connection that breaks on
//! its first use after being idle shows that its idle time was too long, but not which time would have been
//! short enough: it may have been dropped long before.

use std::time::Duration;

use olivegate_types::Moment;

use crate::model::RetrySafety;

/// Limit used where a lost request is expensive: always for a request that may run at most once, because it
/// is unknown whether it ran, and for any request while the instance is known to drop idle connections.
const CAUTIOUS_IDLE_TIME: Duration = Duration::from_millis(100);
/// Fraction of an idle time that was too long to which the limit is lowered, if that is less than
/// [`CAUTIOUS_IDLE_TIME`].
const TRUSTED_FRACTION: f64 = 0.6;
/// Lower bound of the limit. A break after a shorter idle time isn't attributed to the idle time.
const MIN_LIMIT: Duration = Duration::from_millis(20);
/// Time after which a learned limit expires.
const LIMIT_LIFETIME: Duration = Duration::from_secs(10);

/// Limit of the idle time, learned from connections that broke.
#[derive(Debug, Clone, Copy, Default)]
pub struct IdleReuseLimit {
    learned: Option<LearnedLimit>,
}

#[derive(Debug, Clone, Copy)]
struct LearnedLimit {
    max_idle_time: Duration,
    learned_at: Moment,
}

impl IdleReuseLimit {
    /// Maximum idle time after which a connection may carry a request.
    pub fn max_idle_time(&self, safety: RetrySafety, now: Moment) -> Duration {
        let learned = self.learned.filter(|learned| now.since(learned.learned_at) < LIMIT_LIFETIME);
        let limit = learned.map_or(Duration::MAX, |learned| learned.max_idle_time);
        match safety {
            RetrySafety::Safe => limit,
            RetrySafety::Unsafe => limit.min(CAUTIOUS_IDLE_TIME),
        }
    }

    /// A connection broke on its first use after being idle for `idle_time`.
    pub fn on_broken(&mut self, idle_time: Duration, now: Moment) {
        if idle_time < MIN_LIMIT {
            return;
        }
        let known_limit = self.max_idle_time(RetrySafety::Safe, now);
        let max_idle_time =
            idle_time.mul_f64(TRUSTED_FRACTION).min(CAUTIOUS_IDLE_TIME).min(known_limit).max(MIN_LIMIT);
        self.learned = Some(LearnedLimit { max_idle_time, learned_at: now });
    }
}
