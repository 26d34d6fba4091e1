//! What is known of the rate that one start of an instance declares.

use borsh::{BorshDeserialize, BorshSerialize};
use olivegate_overload::DeclaredRate;

use crate::model::Incarnation;

/// The declared rate of one start of an instance, as nodes tell each other.
#[derive(Debug, Clone, Copy, PartialEq, Default, BorshSerialize, BorshDeserialize)]
pub struct RateRecord {
    /// Start of the instance.
    pub incarnation: Incarnation,
    /// The rate; `None` where none is declared.
    pub rate: Option<DeclaredRate>,
    /// Number of the change that led to it; later ones are larger, 0 where none was ever declared.
    pub sequence: u64,
}

impl RateRecord {
    /// True when this was known later than `other`.
    pub fn is_later_than(&self, other: &RateRecord) -> bool {
        if self.incarnation.differs_from(other.incarnation) {
            return other.incarnation.is_before(self.incarnation);
        }
        self.sequence > other.sequence
    }

    /// True when the instance has declared a rate in this start.
    pub fn was_ever_limited(&self) -> bool {
        self.sequence > 0
    }
}

/// A change of the declared rate.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateChange {
    /// The rate before; `None` where none was declared.
    pub before: Option<DeclaredRate>,
    /// The rate now.
    pub now: Option<DeclaredRate>,
}

/// What the node beside an instance knows, which reads its answers.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct RateWitness {
    record: RateRecord,
    /// It has read an answer itself; before that it goes by what others were told.
    has_heard: bool,
}

impl RateWitness {
    /// What it knows, to be told to others.
    pub fn record(&self) -> RateRecord {
        self.record
    }

    /// The start that the instance is known to have.
    pub fn set_incarnation(&mut self, incarnation: Incarnation) {
        self.record.incarnation = incarnation;
    }

    /// An edge was told `told` by the gate, perhaps by the process before this one. The change that this
    /// makes, if it does.
    pub fn on_told(&mut self, told: RateRecord) -> Option<RateChange> {
        if told.incarnation.differs_from(self.record.incarnation) {
            return None;
        }
        if self.has_heard {
            self.go_before(told);
            return None;
        }
        let before = self.record.rate;
        if told.is_later_than(&self.record) || self.is_stricter(told) {
            self.record = RateRecord { incarnation: self.record.incarnation, ..told };
        }
        let now = self.record.rate;
        (before != now).then_some(RateChange { before, now })
    }

    /// What was read here is news to an edge that was told something else: it has to count as later.
    fn go_before(&mut self, told: RateRecord) {
        if told.rate != self.record.rate && told.sequence >= self.record.sequence {
            self.record.sequence = told.sequence + 1;
        }
    }

    /// Two processes that did not know of each other may have given out the same number.
    fn is_stricter(&self, told: RateRecord) -> bool {
        let known = self.record;
        told.sequence == known.sequence && known.rate.zip(told.rate).is_some_and(|(known, told)| told < known)
    }

    /// An answer declared `rate`, or none. The change that this makes, if it does.
    pub fn on_answer(&mut self, rate: Option<DeclaredRate>) -> Option<RateChange> {
        self.has_heard = true;
        let before = self.record.rate;
        if before == rate {
            return None;
        }
        self.record.rate = rate;
        self.record.sequence += 1;
        Some(RateChange { before, now: rate })
    }
}
