//! The clocks of a process, read only by I/O code and passed to decisions.

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

/// Now, since the machine's start, in time that never goes back and counts on while the machine is
/// suspended: what is dated by it is never believed for longer than it is true.
pub fn now() -> Moment {
    moment_of(ClockId::Boottime)
}

/// Now, since the machine's start, in time that stands still while the machine is suspended, as the
/// runtime's timers do.
pub fn monotonic_now() -> Moment {
    moment_of(ClockId::Monotonic)
}

/// The runtime's instant at which `moment` comes, for timers, unless the machine is suspended before.
pub fn instant_of(moment: Moment) -> Instant {
    let now = now();
    let instant = Instant::now();
    if moment >= now {
        return instant + moment.since(now);
    }
    instant.checked_sub(now.since(moment)).unwrap_or(instant)
}

/// Now, in milliseconds of Unix time.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
    since.as_millis() as u64
}
