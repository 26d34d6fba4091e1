//! The declared rate of one incarnation of an instance.

use borsh::{BorshDeserialize, BorshSerialize};
use olivegate_overload::DeclaredRate;

use crate::model::Incarnation;

/// The declared rate of one incarnation of an instance, as nodes exchange it.
#[derive(Debug, Clone, Copy, PartialEq, Default, BorshSerialize, BorshDeserialize)]
pub struct RateRecord {
    /// Incarnation of the instance.
    pub incarnation: Incarnation,
    /// The rate; `None` if no limit is declared.
    pub rate: Option<DeclaredRate>,
    /// Sequence number of the change that led to this rate, increasing with each change; 0 if no rate was
    /// ever declared.
    pub sequence: u64,
}

impl RateRecord {
    /// True when this record is more recent than `other`.
    pub fn is_later_than(&self, other: &RateRecord) -> bool {
        if self.incarnation.differs_from(other.incarnation) {
            return other.incarnation.is_before(self.incarnation);
        }
        self.sequence > other.sequence
    }

    /// True when the instance has declared a rate in this incarnation.
    pub fn was_ever_limited(&self) -> bool {
        self.sequence > 0
    }
}

/// A change of the declared rate.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateChange {
    /// The rate before the change; `None` if no limit was declared.
    pub before: Option<DeclaredRate>,
    /// The rate after the change.
    pub now: Option<DeclaredRate>,
}

/// Tracks the declared rate at the gate of the instance, which reads its responses.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct RateTracker {
    record: RateRecord,
    /// True once the gate has read a response itself. Until then it uses the records that edges report back.
    has_read_response: bool,
}

impl RateTracker {
    /// The record to send to edges.
    pub fn record(&self) -> RateRecord {
        self.record
    }

    /// Sets the known incarnation of the instance.
    pub fn set_incarnation(&mut self, incarnation: Incarnation) {
        self.record.incarnation = incarnation;
    }

    /// Applies a record that an edge has received from this gate, possibly from an earlier process of it.
    /// Returns the resulting change, if any.
    pub fn on_edge_report(&mut self, reported: RateRecord) -> Option<RateChange> {
        if reported.incarnation.differs_from(self.record.incarnation) {
            return None;
        }
        if self.has_read_response {
            self.supersede(reported);
            return None;
        }
        let before = self.record.rate;
        if reported.is_later_than(&self.record) || self.is_stricter(reported) {
            self.record = RateRecord { incarnation: self.record.incarnation, ..reported };
        }
        let now = self.record.rate;
        (before != now).then_some(RateChange { before, now })
    }

    /// Advances the sequence number beyond that of a different rate that an edge reports, so that the edge
    /// takes the rate read here for the more recent one.
    fn supersede(&mut self, reported: RateRecord) {
        if reported.rate != self.record.rate && reported.sequence >= self.record.sequence {
            self.record.sequence = reported.sequence + 1;
        }
    }

    /// True when `reported` has the same sequence number but a lower rate: two processes of the gate that
    /// didn't know of each other may have assigned the same number.
    fn is_stricter(&self, reported: RateRecord) -> bool {
        let known = self.record;
        reported.sequence == known.sequence
            && known.rate.zip(reported.rate).is_some_and(|(known, rate)| rate < known)
    }

    /// Applies the rate that a response declares, or `None` for no limit. Returns the resulting change, if
    /// any.
    pub fn on_response(&mut self, rate: Option<DeclaredRate>) -> Option<RateChange> {
        self.has_read_response = true;
        let before = self.record.rate;
        if before == rate {
            return None;
        }
        self.record.rate = rate;
        self.record.sequence += 1;
        Some(RateChange { before, now: rate })
    }
}
