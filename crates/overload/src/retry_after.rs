//! When a refused caller should come back.

use std::time::Duration;

/// Shortest time named.
const SHORTEST: Duration = Duration::from_millis(200);
/// Longest time named.
const LONGEST: Duration = Duration::from_secs(10);

/// Shortest time named while levels hold requests back: they need about this long to follow a
/// change, so who comes back sooner meets the same overload.
const SHORTEST_OF_LEVELS: Duration = Duration::from_millis(1_500);

/// The time to name to a request that its class's level held back: at most `level` of its kind
/// are let begin. `jitter` in `[0, 1)` spreads those who come back.
pub fn retry_after_level(level: f64, jitter: f64) -> Duration {
    let base = SHORTEST_OF_LEVELS.as_secs_f64() / level.clamp(0.02, 1.0);
    Duration::from_secs_f64(base * (0.5 + jitter)).min(LONGEST)
}

/// The time to name when there is room for the request after `wait`; `jitter` as above.
pub fn retry_after_wait(wait: Duration, jitter: f64) -> Duration {
    wait.mul_f64(0.5 + jitter).clamp(SHORTEST, LONGEST)
}

/// The time to name when `admitted_fraction` of the class is let through: longer
/// when the overload is deeper, spread by `jitter` in `[0, 1)` over half to one and
/// a half times the base.
pub fn retry_after(admitted_fraction: f64, jitter: f64) -> Duration {
    let fraction = admitted_fraction.clamp(0.02, 1.0);
    let base = SHORTEST.as_secs_f64() / fraction;
    Duration::from_secs_f64(base * (0.5 + jitter)).clamp(SHORTEST / 2, LONGEST)
}
