//! The clocks of a process, read only by I/O code and passed to decisions.

use std::sync::OnceLock;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use olivegate_types::Moment;
use tokio::time::Instant;

static START: OnceLock<Instant> = OnceLock::new();

/// Now, in monotonic time of this process.
pub fn now() -> Moment {
    let start = START.get_or_init(Instant::now);
    Moment::after_start(start.elapsed())
}

/// The runtime's instant of `moment`, for timers.
pub fn instant_of(moment: Moment) -> Instant {
    let start = START.get_or_init(Instant::now);
    *start + moment.since_start()
}

/// Now, in milliseconds of Unix time.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
    since.as_millis() as u64
}
