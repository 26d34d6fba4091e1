//! Levels measured where calls are dispatched.

use std::collections::HashMap;
use std::time::Duration;

use olivegate_types::Moment;

use super::ClassKey;

/// Length of a measuring window.
const WINDOW: Duration = Duration::from_millis(50);
/// A level aims this much above the fraction served, so that slots stay busy.
const OVERSUBSCRIPTION: f64 = 1.05;
/// Growth of a level in a window without refusals: the factor.
const GROWTH_FACTOR: f64 = 1.08;
/// Growth of a level in a window without refusals: the summand.
const GROWTH_STEP: f64 = 0.01;
/// Lowest level; keeps probing.
const LOWEST_LEVEL: f64 = 0.01;
/// Arrivals below which a window says too little and is extended.
const FEWEST_ARRIVALS: u32 = 4;

#[derive(Debug, Clone)]
struct ClassWindow {
    level: f64,
    served: u32,
    refused: u32,
    since: Moment,
}

/// Levels of one instance's gate, by class.
#[derive(Debug, Default)]
pub struct GateLevels {
    classes: HashMap<ClassKey, ClassWindow>,
}

impl GateLevels {
    /// Notes an arrival that was served (or waits), or was refused for lack of capacity.
    pub fn note(&mut self, class: &ClassKey, served: bool, now: Moment) {
        let window = self.classes.entry(class.clone()).or_insert_with(|| ClassWindow {
            level: 1.0,
            served: 0,
            refused: 0,
            since: now,
        });
        if served {
            window.served += 1;
        } else {
            window.refused += 1;
        }
        window.roll(now);
    }

    /// The level of a class; 1 when nothing of it was refused.
    pub fn level(&self, class: &ClassKey) -> f64 {
        self.classes.get(class).map_or(1.0, |window| window.level)
    }
}

impl ClassWindow {
    fn roll(&mut self, now: Moment) {
        let arrivals = self.served + self.refused;
        if now.since(self.since) < WINDOW || arrivals < FEWEST_ARRIVALS {
            return;
        }
        self.level = if self.refused == 0 {
            self.level * GROWTH_FACTOR + GROWTH_STEP
        } else {
            self.level * OVERSUBSCRIPTION * f64::from(self.served) / f64::from(arrivals)
        };
        self.level = self.level.clamp(LOWEST_LEVEL, 1.0);
        self.served = 0;
        self.refused = 0;
        self.since = now;
    }
}
