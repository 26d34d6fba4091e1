//! The clocks of a process, read only by I/O code and passed to decisions.

use std::sync::OnceLock;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use olivegate_types::Moment;
use rustix::time::{ClockId, clock_gettime};
use tokio::time::Instant;

static START: OnceLock<Instant> = OnceLock::new();

/// Now, in monotonic time of this process.
pub fn now() -> Moment {
    let start = START.get_or_init(Instant::now);
    Moment::after_start(start.elapsed())
}

/// Now, by a clock that also counts while the machine is suspended, which [`now`] does not: for
/// ages of what must not be believed for longer than it is true. The two don't mix.
pub fn now_with_suspension() -> Moment {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanoseconds = u32::try_from(time.tv_nsec).unwrap_or_default();
    Moment::after_start(Duration::new(seconds, nanoseconds))
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
