//! Detects that the machine was suspended.
//!
//! Ages include the time of a suspension, so everything with a limited validity has aged on resume: readings,
//! proofs, retained entries, attestations, levels, deadlines. Timers do not advance during a suspension and
//! fire late by its length.

use std::time::Duration;

use olivegate_types::Moment;

/// Shortest suspension that is reported. The two clocks are read some microseconds apart, or more if another
/// thread is scheduled in between.
const MIN_SUSPENSION: Duration = Duration::from_millis(100);

/// Compares the clock that counts suspensions with the one that does not.
#[derive(Debug, Default)]
pub struct SuspensionDetector {
    /// By how much the first clock was ahead of the second.
    lead: Option<Duration>,
}

impl SuspensionDetector {
    /// Reads both clocks; returns the length of a suspension since the last call.
    pub fn check(&mut self, now: Moment, monotonic_now: Moment) -> Option<Duration> {
        let lead = now.since(monotonic_now);
        let before = self.lead.replace(lead)?;
        let suspended = lead.saturating_sub(before);
        (suspended >= MIN_SUSPENSION).then_some(suspended)
    }
}
