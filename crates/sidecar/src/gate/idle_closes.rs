//! Which closes of idle connections are a sign that the instance has ended. Pure.
//!
//! Servers close connections after an idle timeout, and a process that ends closes all of them. Where the
//! instance is seen to live after a close, closes after as long a rest are its idle timeout and no sign
//! any more.

use std::time::Duration;

/// The idle timeout over the rest after which a close was found: it was closed at some moment before.
const TIMEOUT_PART: f64 = 0.5;

/// What is known of the closes of one instance.
#[derive(Debug, Clone, Copy, Default)]
pub struct IdleCloses {
    /// Rest from which on the instance closes connections while it lives, at the least.
    idle_timeout: Option<Duration>,
    /// The shortest rest at a close that is not explained yet.
    unexplained: Option<Duration>,
}

impl IdleCloses {
    /// A connection was found closed after this rest. True when that is a sign of an end.
    pub fn on_closed(&mut self, rested: Duration) -> bool {
        if self.idle_timeout.is_some_and(|timeout| rested >= timeout) {
            return false;
        }
        self.unexplained = Some(self.unexplained.map_or(rested, |shorter| shorter.min(rested)));
        true
    }

    /// The instance was seen to live after the closes that were found until now.
    pub fn on_alive(&mut self) {
        let Some(rested) = self.unexplained.take() else { return };
        let timeout = rested.mul_f64(TIMEOUT_PART);
        self.idle_timeout = Some(self.idle_timeout.map_or(timeout, |shorter| shorter.min(timeout)));
    }

    /// The process has ended: the next one may have another idle timeout.
    pub fn on_ended(&mut self) {
        *self = IdleCloses::default();
    }
}
