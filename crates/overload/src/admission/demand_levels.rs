//! Admission levels from measured demand and capacity.
//!
//! A gate knows the slot time that each arrival asks for and the fraction of its class that the root edge
//! admitted, and so the demand before admission control: an arrival admitted at a level of one half stands
//! for two. The level is capacity over demand, without a search: it falls within one time constant of the
//! average when demand rises or slots are lost, and recovers as fast when they return. Slots are assigned to
//! classes in order of importance; a minimum share is reserved for the less important ones.

use std::collections::HashMap;
use std::time::Duration;

use olivegate_types::{Importance, Moment};

use super::ClassKey;

/// Time constant of the averages: long compared with the time between calls, short compared with the time
/// within which a level has to follow.
const TIME_CONSTANT: Duration = Duration::from_millis(400);
/// Lowest level: some requests always go through, so that demand can still be measured.
const MIN_LEVEL: f64 = 0.03;
/// Highest level reported; headroom for twice the demand is enough.
const MAX_LEVEL: f64 = 2.0;
/// Smallest admitted fraction that an arrival is scaled by, so that one stray request does not count as
/// hundreds.
const MIN_ADMITTED: f64 = 0.03;
/// Demand up to this fraction of the slots is never overload, whatever the class, because averages of few
/// arrivals are imprecise.
const MINOR_DEMAND: f64 = 0.02;

/// Exponentially decaying sum of requested slot time.
#[derive(Debug, Clone, Copy)]
struct Demand {
    slot_seconds: f64,
    updated_at: Moment,
}

impl Demand {
    /// Average number of slots that the demand would keep busy.
    fn slots(&self, now: Moment) -> f64 {
        self.decayed(now) / TIME_CONSTANT.as_secs_f64()
    }

    fn decayed(&self, now: Moment) -> f64 {
        self.slot_seconds * (-now.since(self.updated_at).as_secs_f64() / TIME_CONSTANT.as_secs_f64()).exp()
    }
}

/// Levels at the gate of one instance, by class.
#[derive(Debug)]
pub struct DemandLevels {
    min_share: f64,
    classes: HashMap<ClassKey, Demand>,
}

impl DemandLevels {
    /// Levels that reserve `min_share` of the slots, from 0 to 1, for less important classes.
    pub fn new(min_share: f64) -> Self {
        DemandLevels { min_share: min_share.clamp(0.0, 1.0), classes: HashMap::new() }
    }

    /// Records an arrival, refused or not, that asks for `slot_time`. `admitted` is the admitted fraction of
    /// its class when its root was admitted.
    pub fn record(&mut self, class: &ClassKey, slot_time: Duration, admitted: f64, now: Moment) {
        let demanded = slot_time.as_secs_f64() / admitted.clamp(MIN_ADMITTED, 1.0);
        match self.classes.get_mut(class) {
            Some(demand) => *demand = Demand { slot_seconds: demand.decayed(now) + demanded, updated_at: now },
            None => {
                self.classes.insert(class.clone(), Demand { slot_seconds: demanded, updated_at: now });
            }
        }
    }

    /// Fraction of a class's requests that may start when `slots` can be kept busy; above 1 if there is
    /// capacity for more than the demand.
    pub fn level(&self, class: &ClassKey, slots: f64, now: Moment) -> f64 {
        let demand_where = |choose: &dyn Fn(Importance) -> bool| -> f64 {
            let chosen = self.classes.iter().filter(|(key, _)| choose(key.importance));
            chosen.map(|(_, demand)| demand.slots(now)).sum()
        };
        let own = demand_where(&|importance| importance == class.importance);
        if own <= slots * MINOR_DEMAND {
            return MAX_LEVEL;
        }
        let above = demand_where(&|importance| importance > class.importance);
        let below = demand_where(&|importance| importance < class.importance);
        let reserved = slots * self.min_share;
        let available = (slots - above).max(reserved.min(slots));
        let available = available.min(slots - reserved.min(below));
        (available / own).clamp(MIN_LEVEL, MAX_LEVEL)
    }
}
