//! Whether the process itself keeps up with its work.
//!
//! A node may run out of processor time before the instances behind it run out of slots. It
//! then falls behind: timers fire late, and requests wait unseen in sockets. How late a timer
//! fires tells it. A node that stays late begins less: its gate lets fewer requests into the
//! instance, and its edge refuses a part of the new requests at once.

use std::time::Duration;

use olivegate_types::Moment;

/// Lateness that is usual on a machine that keeps up.
const USUAL_LATENESS: Duration = Duration::from_millis(25);
/// Shortest time between two steps; lateness that lasts less than this is no sign.
const STEP_INTERVAL: Duration = Duration::from_millis(100);
/// Factor on the part that is begun, with each step in which the process stays late.
const FALL_FACTOR: f64 = 0.85;
/// Growth of that part, with each step in which it does not.
const RISE_FACTOR: f64 = 1.06;
/// Least part of the new requests that is begun.
const LEAST_PART: f64 = 0.1;

/// What a step says about the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessPace {
    /// It falls behind: begin less.
    Late,
    /// It keeps up: more may be begun.
    InTime,
}

/// Follows the lateness of the process.
#[derive(Debug, Clone, Copy)]
pub struct ProcessPressure {
    part: f64,
    step_began: Moment,
    least_lateness: Duration,
}

impl Default for ProcessPressure {
    fn default() -> Self {
        ProcessPressure { part: 1.0, step_began: Moment::START, least_lateness: Duration::MAX }
    }
}

impl ProcessPressure {
    /// Part of the new requests that may begin, from just above 0 to 1.
    pub fn admitted_fraction(&self) -> f64 {
        self.part
    }

    /// Notes that a timer fired this late. Says how the process fares at the end of each step.
    /// A step counts as late when its least lateness is: a single long pause, such as a frozen
    /// process, does not say that there is too much work.
    pub fn on_lateness(&mut self, lateness: Duration, now: Moment) -> Option<ProcessPace> {
        self.least_lateness = self.least_lateness.min(lateness);
        if now.since(self.step_began) < STEP_INTERVAL {
            return None;
        }
        let is_late = self.least_lateness > USUAL_LATENESS;
        self.step_began = now;
        self.least_lateness = Duration::MAX;
        if is_late {
            self.part = (self.part * FALL_FACTOR).max(LEAST_PART);
            Some(ProcessPace::Late)
        } else {
            self.part = (self.part * RISE_FACTOR).min(1.0);
            Some(ProcessPace::InTime)
        }
    }
}
