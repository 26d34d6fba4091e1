//! The monotonic clock, read only by I/O code and passed to the decisions.

use std::sync::OnceLock;

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
