//! Points in monotonic time, which are passed as arguments to code that performs no I/O.

use std::ops::{Add, Sub};
use std::time::Duration;

/// A point in monotonic time, counted from an arbitrary start that is the same in the whole process.
///
/// Algorithms never read a clock; the I/O code that calls them passes the current `Moment`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct Moment(Duration);

impl Moment {
    /// The start of the time scale.
    pub const START: Moment = Moment(Duration::ZERO);

    /// The point `elapsed` after the start.
    pub fn after_start(elapsed: Duration) -> Self {
        Moment(elapsed)
    }

    /// Shorthand for tests and simulations: `millis` milliseconds after the start.
    pub fn from_millis(millis: u64) -> Self {
        Moment(Duration::from_millis(millis))
    }

    /// Time since the start.
    pub fn since_start(self) -> Duration {
        self.0
    }

    /// Time from `earlier` to `self`; zero if `earlier` is later.
    pub fn since(self, earlier: Moment) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// `self - span`, but not before the start.
    pub fn saturating_sub(self, span: Duration) -> Moment {
        Moment(self.0.saturating_sub(span))
    }
}

impl Add<Duration> for Moment {
    type Output = Moment;

    fn add(self, span: Duration) -> Moment {
        Moment(self.0.saturating_add(span))
    }
}

impl Sub<Moment> for Moment {
    type Output = Duration;

    fn sub(self, earlier: Moment) -> Duration {
        self.since(earlier)
    }
}
