//! Notices that the machine was suspended.
//!
//! Ages are counted through a suspension, so whatever must not be believed for longer than it is true
//! has aged on waking: readings, proofs, holds, attestations, levels, deadlines. Timers stand still
//! meanwhile and come late by it.

use std::time::Duration;

use olivegate_types::Moment;

/// Shortest suspension that is told: two readings of clocks lie some microseconds apart, or a turn of
/// another thread.
const SHORTEST: Duration = Duration::from_millis(100);

/// Compares the clock that counts suspension with the one that does not.
#[derive(Debug, Default)]
pub struct SuspensionWatch {
    /// By how much the one was ahead of the other.
    ahead: Option<Duration>,
}

impl SuspensionWatch {
    /// Looks at both clocks; the time of a suspension since the last look.
    pub fn look(&mut self, now: Moment, awake: Moment) -> Option<Duration> {
        let ahead = now.since(awake);
        let before = self.ahead.replace(ahead)?;
        let suspended = ahead.saturating_sub(before);
        (suspended >= SHORTEST).then_some(suspended)
    }
}
