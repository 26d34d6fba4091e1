//! Levels from measured demand and capacity.
//!
//! A gate knows the slot time that each arrival asks for and, with the part of its class that
//! its root edge let begin, how much was wanted before that: an arrival let in at one half
//! stands for two. What is wanted, over what the slots can give, is the level, without search:
//! it falls within the time of one average when demand rises or slots are lost, and is back as
//! soon when they return. Slots are given to classes in the order of their importance; a share
//! is kept for those at the end.

use std::collections::HashMap;
use std::time::Duration;

use olivegate_types::{Importance, Moment};

use super::ClassKey;

/// Time constant of the averages: long against the time between calls, short against the time
/// within which a level has to follow.
const MEMORY: Duration = Duration::from_millis(400);
/// Lowest level: some requests always go through, to see what is wanted.
const LOWEST: f64 = 0.03;
/// Largest level told: room for twice as much is room enough.
const LARGEST: f64 = 2.0;
/// Least part of a class that an arrival is taken to stand for, so that one stray request does
/// not count as hundreds.
const LEAST_ADMITTED: f64 = 0.03;
/// Demand below this part of the slots is no overload, whatever the class: averages of few
/// arrivals are rough.
const MINOR_PART: f64 = 0.02;

/// Decaying sum of slot time.
#[derive(Debug, Clone, Copy)]
struct Demand {
    slot_seconds: f64,
    at: Moment,
}

impl Demand {
    /// Slots that it would keep busy.
    fn slots(&self, now: Moment) -> f64 {
        self.decayed(now) / MEMORY.as_secs_f64()
    }

    fn decayed(&self, now: Moment) -> f64 {
        self.slot_seconds * (-now.since(self.at).as_secs_f64() / MEMORY.as_secs_f64()).exp()
    }
}

/// Levels of one instance's gate, by class.
#[derive(Debug)]
pub struct DemandLevels {
    least_share: f64,
    classes: HashMap<ClassKey, Demand>,
}

impl DemandLevels {
    /// Levels that keep `least_share` of the slots, from 0 to 1, for less important classes.
    pub fn new(least_share: f64) -> Self {
        DemandLevels { least_share: least_share.clamp(0.0, 1.0), classes: HashMap::new() }
    }

    /// Notes an arrival, refused or not, that asks for `slot_time` and whose root began with the
    /// part `admitted` of its class.
    pub fn record(&mut self, class: &ClassKey, slot_time: Duration, admitted: f64, now: Moment) {
        let wanted = slot_time.as_secs_f64() / admitted.clamp(LEAST_ADMITTED, 1.0);
        match self.classes.get_mut(class) {
            Some(demand) => *demand = Demand { slot_seconds: demand.decayed(now) + wanted, at: now },
            None => {
                self.classes.insert(class.clone(), Demand { slot_seconds: wanted, at: now });
            }
        }
    }

    /// Part of a class's requests that may begin when `slots` can be busy at a time; above 1
    /// where there is room for more.
    pub fn level(&self, class: &ClassKey, slots: f64, now: Moment) -> f64 {
        let wanted = |choose: &dyn Fn(Importance) -> bool| -> f64 {
            let chosen = self.classes.iter().filter(|(key, _)| choose(key.importance));
            chosen.map(|(_, demand)| demand.slots(now)).sum()
        };
        let own = wanted(&|importance| importance == class.importance);
        if own <= slots * MINOR_PART {
            return LARGEST;
        }
        let above = wanted(&|importance| importance > class.importance);
        let below = wanted(&|importance| importance < class.importance);
        let kept = slots * self.least_share;
        let left = (slots - above).max(kept.min(slots));
        let left = left.min(slots - kept.min(below));
        (left / own).clamp(LOWEST, LARGEST)
    }
}
