//! Detects whether the process itself keeps up with its load.
//!
//! A node may run out of processor time before the instances behind it run out of slots. It then falls
//! behind: timers fire late, and requests wait in socket buffers where the node can't see them. Overload is
//! detected by how late a timer fires. A node that stays late starts less work: its gate lets fewer requests
//! into the instance, and its edge refuses a fraction of the new requests immediately.

use std::time::Duration;

use olivegate_types::Moment;

/// Timer lateness up to which the process counts as keeping up.
const MAX_USUAL_LATENESS: Duration = Duration::from_millis(25);
/// Shortest time between two steps; shorter periods of lateness are ignored.
const STEP_INTERVAL: Duration = Duration::from_millis(100);
/// Factor applied to the admitted fraction for each step in which the process is late.
const DECREASE_FACTOR: f64 = 0.85;
/// Factor applied to the admitted fraction for each step in which it is not.
const INCREASE_FACTOR: f64 = 1.06;
/// Smallest admitted fraction of new requests.
const MIN_ADMITTED_FRACTION: f64 = 0.1;

/// Result of one step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessPace {
    /// The process falls behind: start less work.
    Late,
    /// The process keeps up: more work may be started.
    InTime,
}

/// Adapts the fraction of new requests that may start to the timer lateness of the process.
#[derive(Debug, Clone, Copy)]
pub struct ProcessPressure {
    admitted_fraction: f64,
    step_start: Moment,
    min_lateness: Duration,
}

impl Default for ProcessPressure {
    fn default() -> Self {
        ProcessPressure { admitted_fraction: 1.0, step_start: Moment::START, min_lateness: Duration::MAX }
    }
}

impl ProcessPressure {
    /// Fraction of new requests that may start, above 0 and at most 1.
    pub fn admitted_fraction(&self) -> f64 {
        self.admitted_fraction
    }

    /// Records how late a timer fired; returns the pace of the process at the end of each step. A step is
    /// late only if its smallest lateness is: a single long pause, such as a frozen process, doesn't mean
    /// that there is too much work.
    pub fn on_lateness(&mut self, lateness: Duration, now: Moment) -> Option<ProcessPace> {
        self.min_lateness = self.min_lateness.min(lateness);
        if now.since(self.step_start) < STEP_INTERVAL {
            return None;
        }
        let is_late = self.min_lateness > MAX_USUAL_LATENESS;
        self.step_start = now;
        self.min_lateness = Duration::MAX;
        if is_late {
            self.admitted_fraction = (self.admitted_fraction * DECREASE_FACTOR).max(MIN_ADMITTED_FRACTION);
            Some(ProcessPace::Late)
        } else {
            self.admitted_fraction = (self.admitted_fraction * INCREASE_FACTOR).min(1.0);
            Some(ProcessPace::InTime)
        }
    }
}
