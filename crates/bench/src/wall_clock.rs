//! Wall clock, which all processes of an experiment share.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Unix time in microseconds.
pub fn unix_us() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO).as_micros() as u64
}
