//! Levels measured where calls are dispatched.
//!
//! Per class and window: refusals cut the level to the fraction served; waits above a
//! part of what the objective allows lower it gently, so that roots are held back
//! before deeper hops of admitted work have to be refused; otherwise it rises, quickly
//! while the instance has free slots, slowly while it is busy.

use std::collections::HashMap;
use std::time::Duration;

use olivegate_types::Moment;

use super::ClassKey;

/// Length of a measuring window.
const WINDOW: Duration = Duration::from_millis(50);
/// A level is cut at most to this part in one window.
const LARGEST_CUT: f64 = 0.5;
/// Accepted arrivals assumed besides the counted ones, so that one refusal among few
/// arrivals doesn't cut the level deeply.
const ASSUMED_ACCEPTED: f64 = 4.0;
/// Part of the longest accepted wait above which the level is lowered.
const LONG_WAIT: f64 = 0.3;
/// Factor per window while waits are long.
const LONG_WAIT_FACTOR: f64 = 0.93;
/// Factor per window while the instance is busy but waits are short.
const BUSY_GROWTH: f64 = 1.03;
/// Part of the longest accepted wait below which the instance counts as free.
const SHORT_WAIT: f64 = 0.15;
/// Factor per window while the instance has free slots.
const FREE_GROWTH: f64 = 1.7;
/// Lowest level; keeps probing.
const LOWEST_LEVEL: f64 = 0.01;
/// Most windows for which one step makes up.
const MOST_WINDOWS: f64 = 20.0;

/// One arrival at a gate.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Arrival {
    /// It was refused for lack of capacity.
    Refused,
    /// It got a slot or waits.
    Accepted {
        /// Predicted wait over the longest wait that the objective accepts.
        wait_ratio: f64,
    },
}

#[derive(Debug, Clone)]
struct ClassWindow {
    level: f64,
    accepted: u32,
    refused: u32,
    wait_ratios: f64,
    since: Moment,
}

/// Levels of one instance's gate, by class.
#[derive(Debug, Default)]
pub struct GateLevels {
    classes: HashMap<ClassKey, ClassWindow>,
}

impl GateLevels {
    /// Notes an arrival; `has_free_slots` describes the instance at that time.
    pub fn record(&mut self, class: &ClassKey, arrival: Arrival, has_free_slots: bool, now: Moment) {
        let window = self.classes.entry(class.clone()).or_insert_with(|| ClassWindow {
            level: 1.0,
            accepted: 0,
            refused: 0,
            wait_ratios: 0.0,
            since: now,
        });
        match arrival {
            Arrival::Refused => window.refused += 1,
            Arrival::Accepted { wait_ratio } => {
                window.accepted += 1;
                window.wait_ratios += wait_ratio;
            }
        }
        window.roll(has_free_slots, now);
    }

    /// The level of a class; 1 when nothing of it was refused or waited long.
    pub fn level(&self, class: &ClassKey) -> f64 {
        self.classes.get(class).map_or(1.0, |window| window.level)
    }
}

impl ClassWindow {
    fn roll(&mut self, has_free_slots: bool, now: Moment) {
        let length = now.since(self.since);
        if length < WINDOW {
            return;
        }
        let windows = (length.as_secs_f64() / WINDOW.as_secs_f64()).min(MOST_WINDOWS);
        self.level = (self.level * self.factor(has_free_slots, windows)).clamp(LOWEST_LEVEL, 1.0);
        self.accepted = 0;
        self.refused = 0;
        self.wait_ratios = 0.0;
        self.since = now;
    }

    fn factor(&self, has_free_slots: bool, windows: f64) -> f64 {
        let arrivals = f64::from(self.accepted + self.refused);
        if self.refused > 0 {
            let served = (f64::from(self.accepted) + ASSUMED_ACCEPTED) / (arrivals + ASSUMED_ACCEPTED);
            return served.max(LARGEST_CUT);
        }
        let wait_ratio = self.wait_ratios / arrivals.max(1.0);
        if has_free_slots || wait_ratio < SHORT_WAIT {
            return FREE_GROWTH.powf(windows);
        }
        if wait_ratio > LONG_WAIT {
            return LONG_WAIT_FACTOR;
        }
        BUSY_GROWTH.powf(windows)
    }
}
