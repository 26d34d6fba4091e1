//! Incarnations of seats, and vectors of them.

use borsh::{BorshDeserialize, BorshSerialize};
use olivegate_types::NodeName;

use crate::message::SeatIndex;

/// Identity of a seat's memory: a seat that loses its memory or moves to another node gets a new
/// incarnation. Ordered by counter, then by holder.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, BorshSerialize, BorshDeserialize)]
pub struct Incarnation {
    /// Higher for a later incarnation.
    pub counter: u64,
    /// Node that holds the seat in this incarnation.
    pub holder: NodeName,
}

/// The latest known incarnation of each seat; `None` where none is known.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct IncarnationVector(Vec<Option<Incarnation>>);

impl IncarnationVector {
    /// A vector for `seats` seats without any known incarnation.
    pub fn unknown(seats: usize) -> Self {
        IncarnationVector(vec![None; seats])
    }

    /// Number of seats.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// True for a vector without seats.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Latest known incarnation of `seat`.
    pub fn get(&self, seat: SeatIndex) -> Option<&Incarnation> {
        self.0.get(usize::from(seat.0)).and_then(Option::as_ref)
    }

    /// Raises the entry of `seat` to `incarnation`, unless it is as high already.
    pub fn raise(&mut self, seat: SeatIndex, incarnation: &Incarnation) {
        if let Some(entry) = self.0.get_mut(usize::from(seat.0))
            && entry.as_ref() < Some(incarnation)
        {
            *entry = Some(incarnation.clone());
        }
    }

    /// Raises each entry to that of `other` where that is higher. A vector of another length is
    /// ignored.
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
