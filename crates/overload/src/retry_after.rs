//! When a refused caller should come back.

use std::time::Duration;

/// Shortest time named.
const SHORTEST: Duration = Duration::from_millis(200);
/// Longest time named.
const LONGEST: Duration = Duration::from_secs(10);

/// The time to name when `admitted_fraction` of the class is let through: longer
/// when the overload is deeper, spread by `jitter` in `[0, 1)` over half to one and
/// a half times the base.
pub fn retry_after(admitted_fraction: f64, jitter: f64) -> Duration {
    let fraction = admitted_fraction.clamp(0.02, 1.0);
    let base = SHORTEST.as_secs_f64() / fraction;
    Duration::from_secs_f64(base * (0.5 + jitter)).clamp(SHORTEST / 2, LONGEST)
}
