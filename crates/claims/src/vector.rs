//! Incarnations of seats, and vectors of them.

use borsh::{BorshDeserialize, BorshSerialize};
use olivegate_types::NodeName;

use crate::message::SeatIndex;

/// One life of a seat's memory. Ordered by counter, then by holder.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, BorshSerialize, BorshDeserialize)]
pub struct Incarnation {
    /// Larger for a later life.
    pub counter: u64,
    /// Node that holds the seat in this life.
    pub holder: NodeName,
}

/// The latest known incarnation of each seat; `None` where none is known.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct IncarnationVector(Vec<Option<Incarnation>>);

impl IncarnationVector {
    /// A vector of `seats` seats that knows nothing.
    pub fn unknown(seats: usize) -> Self {
        IncarnationVector(vec![None; seats])
    }

    /// Number of seats.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// True for a vector of no seats.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Latest known incarnation of `seat`.
    pub fn get(&self, seat: SeatIndex) -> Option<&Incarnation> {
        self.0.get(usize::from(seat.0)).and_then(Option::as_ref)
    }

    /// Raises the entry of `seat`; lower incarnations change nothing.
    pub fn raise(&mut self, seat: SeatIndex, incarnation: &Incarnation) {
        if let Some(entry) = self.0.get_mut(usize::from(seat.0))
            && entry.as_ref() < Some(incarnation)
        {
            *entry = Some(incarnation.clone());
        }
    }

    /// Raises each entry to that of `other`. Vectors of another length are ignored.
    pub fn merge(&mut self, other: &IncarnationVector) {
        if self.len() != other.len() {
            return;
        }
        for (entry, theirs) in self.0.iter_mut().zip(&other.0) {
            if *entry < *theirs {
                entry.clone_from(theirs);
            }
        }
    }
}
