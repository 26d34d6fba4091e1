//! Decides which closes of idle connections are a sign that the instance has ended. Pure.
//!
//! Servers close connections after an idle timeout, and a process that ends closes all of them. If the
//! instance is seen alive after a close, later closes after the same or a longer idle time are attributed to
//! its idle timeout.

use std::time::Duration;

/// Assumed idle timeout as a fraction of the idle time at which a close was found: the connection was closed
/// some time before that.
const TIMEOUT_FRACTION: f64 = 0.5;

/// Closes of idle connections by one instance.
#[derive(Debug, Clone, Copy, Default)]
pub struct IdleCloses {
    /// Smallest idle time after which the instance is assumed to close connections while it is alive.
    idle_timeout: Option<Duration>,
    /// Shortest idle time at a close that isn't attributed to the idle timeout yet.
    unexplained: Option<Duration>,
}

impl IdleCloses {
    /// A connection was found closed after being idle for `idle_time`. Returns true if that is a sign that
    /// the instance has ended.
    pub fn on_closed(&mut self, idle_time: Duration) -> bool {
        if self.idle_timeout.is_some_and(|timeout| idle_time >= timeout) {
            return false;
        }
        self.unexplained = Some(self.unexplained.map_or(idle_time, |shorter| shorter.min(idle_time)));
        true
    }

    /// The instance was seen alive after all closes found so far.
    pub fn on_alive(&mut self) {
        let Some(idle_time) = self.unexplained.take() else { return };
        let timeout = idle_time.mul_f64(TIMEOUT_FRACTION);
        self.idle_timeout = Some(self.idle_timeout.map_or(timeout, |shorter| shorter.min(timeout)));
    }

    /// The process has ended; the next one may have another idle timeout.
    pub fn on_ended(&mut self) {
        *self = IdleCloses::default();
    }
}
