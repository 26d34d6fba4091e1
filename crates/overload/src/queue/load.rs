//! Slots that each class has been using recently.

use std::time::Duration;

use olivegate_types::{Importance, Moment};

/// Time constant of the average.
const TIME_CONSTANT: Duration = Duration::from_millis(300);

/// Class of a request: a larger one is served first.
pub(super) type Class = (Importance, bool);

#[derive(Debug, Clone, Copy)]
struct DecayingSum {
    slot_seconds: f64,
    updated_at: Moment,
}

/// Exponentially decaying sums of dispatched work, by class.
#[derive(Debug, Default)]
pub(super) struct ClassLoad {
    sums: Vec<(Class, DecayingSum)>,
}

impl DecayingSum {
    fn decayed(&self, now: Moment) -> f64 {
        self.slot_seconds * (-now.since(self.updated_at).as_secs_f64() / TIME_CONSTANT.as_secs_f64()).exp()
    }
}

impl ClassLoad {
    /// Records work of a class that got a slot.
    pub(super) fn record(&mut self, class: Class, expected: Duration, now: Moment) {
        let work = expected.as_secs_f64();
        match self.sums.iter_mut().find(|(other, _)| *other == class) {
            Some((_, sum)) => *sum = DecayingSum { slot_seconds: sum.decayed(now) + work, updated_at: now },
            None => self.sums.push((class, DecayingSum { slot_seconds: work, updated_at: now })),
        }
    }

    /// Average number of slots that classes above `class` have been using.
    pub(super) fn slots_above(&self, class: Class, now: Moment) -> f64 {
        let above = self.sums.iter().filter(|(other, _)| *other > class);
        above.map(|(_, sum)| sum.decayed(now)).sum::<f64>() / TIME_CONSTANT.as_secs_f64()
    }
}
