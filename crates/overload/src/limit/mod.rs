//! Adaptive concurrency limit of one instance.
//!
//! The limit lies between one and the slots that the bundle gives. It falls when
//! the instance itself refuses or fails several times in a row, and rises by about one per
//! limit's worth of successes while it is in use. A cold instance starts at a
//! quarter of its slots. Latency alone doesn't lower it: with a fixed number of
//! slots a slow instance loses goodput when fewer of them are used (docs/DESIGN.md).

use std::time::Duration;

use olivegate_types::Moment;

use crate::pressure::ProcessPace;

/// Factor on a refusal by the instance.
const REFUSAL_FACTOR: f64 = 0.85;
/// Factor on a time-out or a broken connection.
const FAILURE_FACTOR: f64 = 0.7;
/// Failures in a row that count as a sign of overload; a single broken exchange is none.
const FAILURES_IN_A_ROW: u32 = 3;
/// Decreases closer together than this count once.
const DECREASE_INTERVAL: Duration = Duration::from_millis(100);
/// Part of the slots given to a cold instance.
const COLD_FRACTION: f64 = 0.25;
/// Factor on the calls in flight while the gate's process is late.
const LATE_FACTOR: f64 = 0.85;
/// Factor on the bound of the gate's process, each time it keeps up.
const IN_TIME_FACTOR: f64 = 1.06;
/// Part of the limit that must be in use for a success to raise it.
const IN_USE_FRACTION: f64 = 0.7;

/// A limit that follows the instance's own refusals.
#[derive(Debug, Clone)]
pub struct AdaptiveLimit {
    slots: f64,
    current: f64,
    /// What the gate's own process can carry.
    process_bound: f64,
    last_decrease: Option<Moment>,
    failures_in_a_row: u32,
}

impl AdaptiveLimit {
    /// A limit of `slots`, ramped from a quarter when `cold`.
    pub fn new(slots: u32, cold: bool) -> Self {
        let slots = f64::from(slots.max(1));
        let current = if cold { (slots * COLD_FRACTION).max(1.0) } else { slots };
        AdaptiveLimit { slots, current, process_bound: f64::INFINITY, last_decrease: None, failures_in_a_row: 0 }
    }

    /// Calls that may be in flight now.
    pub fn current(&self) -> u32 {
        self.current.min(self.process_bound).max(1.0) as u32
    }

    /// Follows the pace of the gate's process, with `in_flight` calls in flight: an instance may
    /// have more slots than the process beside it can feed.
    pub fn on_process_pace(&mut self, pace: ProcessPace, in_flight: u32) {
        match pace {
            ProcessPace::Late => self.process_bound = self.process_bound.min(f64::from(in_flight)) * LATE_FACTOR,
            ProcessPace::InTime => self.process_bound *= IN_TIME_FACTOR,
        }
        self.process_bound = self.process_bound.max(1.0);
        if self.process_bound > self.slots {
            self.process_bound = f64::INFINITY;
        }
    }

    /// Follows a change of the bundle's slots.
    pub fn set_slots(&mut self, slots: u32) {
        let at_top = self.current >= self.slots;
        self.slots = f64::from(slots.max(1));
        self.current = if at_top { self.slots } else { self.current.min(self.slots) };
    }

    /// Notes a success while `in_flight` calls were in flight.
    pub fn on_success(&mut self, in_flight: u32) {
        self.failures_in_a_row = 0;
        if f64::from(in_flight) >= self.current * IN_USE_FRACTION {
            self.current = (self.current + 1.0 / self.current).min(self.slots);
        }
    }

    /// Notes that the instance refused for lack of capacity.
    pub fn on_refused(&mut self, now: Moment) {
        self.decrease(REFUSAL_FACTOR, now);
    }

    /// Notes a time-out or a broken connection.
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
