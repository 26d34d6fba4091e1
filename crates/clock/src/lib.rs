//! Clocks of the process. Only I/O code reads them and passes the time to the code that makes decisions.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use olivegate_types::Moment;
use rustix::time::{ClockId, clock_gettime};
use tokio::time::Instant;

fn moment_of(clock: ClockId) -> Moment {
    let time = clock_gettime(clock);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanoseconds = u32::try_from(time.tv_nsec).unwrap_or_default();
    Moment::after_start(Duration::new(seconds, nanoseconds))
}

/// Current time since the machine started, on the clock that never goes back and continues while the machine
/// is suspended (`CLOCK_BOOTTIME`), so that suspension doesn't extend the validity of cached state.
pub fn now() -> Moment {
    moment_of(ClockId::Boottime)
}

/// Current time since the machine started, on the clock that stops while the machine is suspended
/// (`CLOCK_MONOTONIC`), as the runtime's timers do.
pub fn monotonic_now() -> Moment {
    moment_of(ClockId::Monotonic)
}

/// The runtime's instant that corresponds to `moment`, for timers. It is too late if the machine is suspended
/// before then.
pub fn instant_of(moment: Moment) -> Instant {
    let now = now();
    let instant = Instant::now();
    if moment >= now {
        return instant + moment.since(now);
    }
    instant.checked_sub(now.since(moment)).unwrap_or(instant)
}

/// Current Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
    since.as_millis() as u64
}
