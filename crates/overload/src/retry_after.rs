//! How long a refused caller should wait before it retries.

use std::time::Duration;

/// Base of [`retry_after`] at full admission, and the shortest delay that [`retry_after_wait`] returns.
const MIN_DELAY: Duration = Duration::from_millis(200);
/// Longest retry delay.
const MAX_DELAY: Duration = Duration::from_secs(10);

/// Shortest base delay while admission levels hold requests back. Levels need about this long to follow a
/// change, so a caller that retries sooner meets the same overload.
const MIN_LEVEL_DELAY: Duration = Duration::from_millis(1_500);

/// Retry delay of a request refused by its class's admission level, where `level` is the fraction of the
/// class that is admitted. `jitter` in `[0, 1)` spreads the retries.
pub fn retry_after_level(level: f64, jitter: f64) -> Duration {
    let base = MIN_LEVEL_DELAY.as_secs_f64() / level.clamp(0.02, 1.0);
    Duration::from_secs_f64(base * (0.5 + jitter)).min(MAX_DELAY)
}

/// Retry delay of a request for which capacity is available after `wait`; `jitter` as above.
pub fn retry_after_wait(wait: Duration, jitter: f64) -> Duration {
    wait.mul_f64(0.5 + jitter).clamp(MIN_DELAY, MAX_DELAY)
}

/// Retry delay while `admitted_fraction` of the class is let through: the deeper the overload, the longer.
/// `jitter` in `[0, 1)` spreads the delay from half to one and a half times the base.
pub fn retry_after(admitted_fraction: f64, jitter: f64) -> Duration {
    let fraction = admitted_fraction.clamp(0.02, 1.0);
    let base = MIN_DELAY.as_secs_f64() / fraction;
    Duration::from_secs_f64(base * (0.5 + jitter)).clamp(MIN_DELAY / 2, MAX_DELAY)
}
