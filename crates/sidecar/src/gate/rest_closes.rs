//! Which closes of connections that rested are a sign that the instance has ended. Pure.
//!
//! Servers close connections that rest, and a process that ends closes all of them. Where the instance
//! is seen to live after such a close, closes after as long a rest are its custom and no sign any more.

use std::time::Duration;

/// Part of the rest at which a close was found that counts as its custom: it was closed at some moment
/// before.
const CUSTOM_PART: f64 = 0.5;

/// What is known of the closes of one instance.
#[derive(Debug, Clone, Copy, Default)]
pub struct RestCloses {
    /// Rest from which on the instance closes connections while it lives.
    custom: Option<Duration>,
    /// The shortest rest at a close that is not explained yet.
    unexplained: Option<Duration>,
}

impl RestCloses {
    /// A connection was found closed after this rest. True when that is a sign of an end.
    pub fn on_closed(&mut self, rested: Duration) -> bool {
        if self.custom.is_some_and(|custom| rested >= custom) {
            return false;
        }
        self.unexplained = Some(self.unexplained.map_or(rested, |shorter| shorter.min(rested)));
        true
    }

    /// The instance was seen to live after the closes that were found until now.
    pub fn on_alive(&mut self) {
        let Some(rested) = self.unexplained.take() else { return };
        let custom = rested.mul_f64(CUSTOM_PART);
        self.custom = Some(self.custom.map_or(custom, |shorter| shorter.min(custom)));
    }

    /// The process has ended: the next one may have other customs.
    pub fn on_ended(&mut self) {
        *self = RestCloses::default();
    }
}
