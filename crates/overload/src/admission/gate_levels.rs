//! Admission levels measured where calls are dispatched.
//!
//! Per class and window: refusals cut the level to the fraction served. Waits above a fraction of what the
//! objective allows lower it slightly, so that new root requests are refused before deeper hops of admitted
//! requests have to be. Otherwise it rises, quickly while the instance has free slots, slowly while it is
//! busy.

use std::collections::HashMap;
use std::time::Duration;

use olivegate_types::Moment;

use super::ClassKey;

/// Length of a measurement window.
const WINDOW: Duration = Duration::from_millis(50);
/// Smallest factor by which refusals in one window cut a level.
const MIN_CUT_FACTOR: f64 = 0.5;
/// Accepted arrivals assumed in addition to the counted ones, so that one refusal among few arrivals doesn't
/// cut the level deeply.
const ASSUMED_ACCEPTED: f64 = 4.0;
/// Fraction of the longest accepted wait above which the level is lowered.
const LONG_WAIT_RATIO: f64 = 0.3;
/// Factor applied to the level while waits are long, once per update however many windows have passed.
const LONG_WAIT_FACTOR: f64 = 0.93;
/// Factor applied to the level per window while the instance is busy but waits are short.
const BUSY_GROWTH: f64 = 1.03;
/// Fraction of the longest accepted wait below which the instance counts as free.
const SHORT_WAIT_RATIO: f64 = 0.15;
/// Factor applied to the level per window while the instance has free slots.
const FREE_GROWTH: f64 = 1.7;
/// Lowest level, so that some requests still probe the instance.
const MIN_LEVEL: f64 = 0.01;
/// Largest number of elapsed windows that one update accounts for.
const MAX_WINDOWS: f64 = 20.0;

/// One arrival at a gate.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Arrival {
    /// Refused for lack of capacity.
    Refused,
    /// Got a slot or waits for one.
    Accepted {
        /// Predicted wait divided by the longest wait that the objective allows.
        wait_ratio: f64,
    },
}

#[derive(Debug, Clone)]
struct ClassWindow {
    level: f64,
    accepted: u32,
    refused: u32,
    wait_ratio_sum: f64,
    start: Moment,
}

/// Levels at the gate of one instance, by class.
#[derive(Debug, Default)]
pub struct GateLevels {
    classes: HashMap<ClassKey, ClassWindow>,
}

impl GateLevels {
    /// Records an arrival; `has_free_slots` describes the instance at that time.
    pub fn record(&mut self, class: &ClassKey, arrival: Arrival, has_free_slots: bool, now: Moment) {
        let window = self.classes.entry(class.clone()).or_insert_with(|| ClassWindow {
            level: 1.0,
            accepted: 0,
            refused: 0,
            wait_ratio_sum: 0.0,
            start: now,
        });
        match arrival {
            Arrival::Refused => window.refused += 1,
            Arrival::Accepted { wait_ratio } => {
                window.accepted += 1;
                window.wait_ratio_sum += wait_ratio;
            }
        }
        window.update(has_free_slots, now);
    }

    /// The level of a class; 1 if none of its requests was refused or waited long.
    pub fn level(&self, class: &ClassKey) -> f64 {
        self.classes.get(class).map_or(1.0, |window| window.level)
    }
}

impl ClassWindow {
    fn update(&mut self, has_free_slots: bool, now: Moment) {
        let length = now.since(self.start);
        if length < WINDOW {
            return;
        }
        let windows = (length.as_secs_f64() / WINDOW.as_secs_f64()).min(MAX_WINDOWS);
        self.level = (self.level * self.factor(has_free_slots, windows)).clamp(MIN_LEVEL, 1.0);
        self.accepted = 0;
        self.refused = 0;
        self.wait_ratio_sum = 0.0;
        self.start = now;
    }

    fn factor(&self, has_free_slots: bool, windows: f64) -> f64 {
        let arrivals = f64::from(self.accepted + self.refused);
        if self.refused > 0 {
            let served = (f64::from(self.accepted) + ASSUMED_ACCEPTED) / (arrivals + ASSUMED_ACCEPTED);
            return served.max(MIN_CUT_FACTOR);
        }
        let wait_ratio = self.wait_ratio_sum / arrivals.max(1.0);
        if has_free_slots || wait_ratio < SHORT_WAIT_RATIO {
            return FREE_GROWTH.powf(windows);
        }
        if wait_ratio > LONG_WAIT_RATIO {
            return LONG_WAIT_FACTOR;
        }
        BUSY_GROWTH.powf(windows)
    }
}
