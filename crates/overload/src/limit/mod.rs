//! Adaptive concurrency limit of one instance.
//!
//! The limit lies between one and the number of slots in the bundle. It decreases when the instance itself
//! refuses or fails several times in a row, and increases by about one for each limit's worth of successes
//! while it is in use. A cold instance starts at a quarter of its slots. Latency alone doesn't lower the
//! limit: with a fixed number of slots a slow instance loses goodput when fewer of them are used
//! (docs/DESIGN.md).

use std::time::Duration;

use olivegate_types::Moment;

use crate::pressure::ProcessPace;

/// Decrease factor for a refusal by the instance.
const REFUSAL_FACTOR: f64 = 0.85;
/// Decrease factor for a time-out or a broken connection.
const FAILURE_FACTOR: f64 = 0.7;
/// Consecutive failures that count as a sign of overload; a single broken exchange is none.
const FAILURES_IN_A_ROW: u32 = 3;
/// Decreases closer together than this count as one.
const DECREASE_INTERVAL: Duration = Duration::from_millis(100);
/// Fraction of the slots that a cold instance starts with.
const COLD_FRACTION: f64 = 0.25;
/// Factor applied while the gate's process is late, to the calls in flight or to the process limit, whichever
/// is lower.
const LATE_FACTOR: f64 = 0.85;
/// Factor applied to the process limit for each step in which the gate's process keeps up.
const IN_TIME_FACTOR: f64 = 1.06;
/// Fraction of the limit that must be in use for a success to raise it.
const IN_USE_FRACTION: f64 = 0.7;

/// A concurrency limit that follows the refusals and failures of the instance.
#[derive(Debug, Clone)]
pub struct AdaptiveLimit {
    slots: f64,
    current: f64,
    /// Calls in flight that the gate's own process can handle; infinite when that is more than the slots.
    process_limit: f64,
    last_decrease: Option<Moment>,
    failures_in_a_row: u32,
}

impl AdaptiveLimit {
    /// A limit of `slots`, ramped up from a quarter of them when `cold`.
    pub fn new(slots: u32, cold: bool) -> Self {
        let slots = f64::from(slots.max(1));
        let current = if cold { (slots * COLD_FRACTION).max(1.0) } else { slots };
        AdaptiveLimit { slots, current, process_limit: f64::INFINITY, last_decrease: None, failures_in_a_row: 0 }
    }

    /// Calls that may be in flight now.
    pub fn current(&self) -> u32 {
        self.current.min(self.process_limit).max(1.0) as u32
    }

    /// Adapts to the pace of the gate's process while `in_flight` calls are in flight: an instance may have
    /// more slots than the process beside it can feed.
    pub fn on_process_pace(&mut self, pace: ProcessPace, in_flight: u32) {
        match pace {
            ProcessPace::Late => self.process_limit = self.process_limit.min(f64::from(in_flight)) * LATE_FACTOR,
            ProcessPace::InTime => self.process_limit *= IN_TIME_FACTOR,
        }
        self.process_limit = self.process_limit.max(1.0);
        if self.process_limit > self.slots {
            self.process_limit = f64::INFINITY;
        }
    }

    /// Sets the number of slots given by a new bundle.
    pub fn set_slots(&mut self, slots: u32) {
        let at_max = self.current >= self.slots;
        self.slots = f64::from(slots.max(1));
        self.current = if at_max { self.slots } else { self.current.min(self.slots) };
    }

    /// Records a success while `in_flight` calls were in flight.
    pub fn on_success(&mut self, in_flight: u32) {
        self.failures_in_a_row = 0;
        if f64::from(in_flight) >= self.current * IN_USE_FRACTION {
            self.current = (self.current + 1.0 / self.current).min(self.slots);
        }
    }

    /// Records that the instance refused for lack of capacity.
    pub fn on_refused(&mut self, now: Moment) {
        self.decrease(REFUSAL_FACTOR, now);
    }

    /// Records a time-out or a broken connection.
    pub fn on_failure(&mut self, now: Moment) {
        self.failures_in_a_row += 1;
        if self.failures_in_a_row >= FAILURES_IN_A_ROW {
            self.decrease(FAILURE_FACTOR, now);
        }
    }

    fn decrease(&mut self, factor: f64, now: Moment) {
        if self.last_decrease.is_some_and(|at| now.since(at) < DECREASE_INTERVAL) {
            return;
        }
        self.last_decrease = Some(now);
        self.current = (self.current * factor).max(1.0);
    }
}
