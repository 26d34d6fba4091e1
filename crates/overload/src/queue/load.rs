//! Share of the slots that each class has been taking lately.

use std::time::Duration;

use olivegate_types::{Importance, Moment};

/// Time constant of the average.
const MEMORY: Duration = Duration::from_millis(300);

/// Class of a demand: larger is served first.
pub(super) type Class = (Importance, bool);

#[derive(Debug, Clone, Copy)]
struct Rate {
    /// Decaying sum of slot-seconds.
    sum: f64,
    at: Moment,
}

/// Decaying averages of dispatched work by class.
#[derive(Debug, Default)]
pub(super) struct ClassLoad {
    rates: Vec<(Class, Rate)>,
}

impl Rate {
    fn decayed(&self, now: Moment) -> f64 {
        self.sum * (-now.since(self.at).as_secs_f64() / MEMORY.as_secs_f64()).exp()
    }
}

impl ClassLoad {
    /// Notes work of a class that got a slot.
    pub(super) fn note(&mut self, class: Class, expected: Duration, now: Moment) {
        let work = expected.as_secs_f64();
        match self.rates.iter_mut().find(|(other, _)| *other == class) {
            Some((_, rate)) => *rate = Rate { sum: rate.decayed(now) + work, at: now },
            None => self.rates.push((class, Rate { sum: work, at: now })),
        }
    }

    /// Slots that classes above `class` have been using, on average.
    pub(super) fn slots_above(&self, class: Class, now: Moment) -> f64 {
        let above = self.rates.iter().filter(|(other, _)| *other > class);
        above.map(|(_, rate)| rate.decayed(now)).sum::<f64>() / MEMORY.as_secs_f64()
    }
}
