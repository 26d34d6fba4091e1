//! Messages between claimants and seats.

use std::time::Duration;

use borsh::{BorshDeserialize, BorshSerialize};
use olivegate_types::{Digest, NodeName, RequestId};

use crate::vector::IncarnationVector;

/// Index of a seat in the group, from 0.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, BorshSerialize, BorshDeserialize)]
pub struct SeatIndex(pub u8);

/// Digest of the caller's group, the kind of request and the idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, BorshSerialize, BorshDeserialize)]
pub struct ClaimKey(pub Digest);

/// One attempt to run the request of a key. Unique and never reused.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, BorshSerialize, BorshDeserialize)]
pub struct Claimant {
    /// Edge node that will dispatch the request and then cache its response.
    pub node: NodeName,
    /// Id of the root request.
    pub request: RequestId,
}

/// Asks a seat for its vote on a claim.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Claim {
    /// Key that is claimed.
    pub key: ClaimKey,
    /// Who claims it.
    pub claimant: Claimant,
    /// Time for which the seat remembers the claim, in milliseconds.
    pub memory_ms: u32,
    /// Incarnations known to the claimant.
    pub known: IncarnationVector,
}

impl Claim {
    /// [`Claim::memory_ms`] as a duration.
    pub fn memory(&self) -> Duration {
        Duration::from_millis(u64::from(self.memory_ms))
    }
}

/// A seat's answer to a claim.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Vote {
    /// Seat that votes.
    pub seat: SeatIndex,
    /// Incarnations known to the seat at the time of the vote, its own included.
    pub vector: IncarnationVector,
    /// Result of the vote.
    pub result: VoteResult,
}

/// Result of a vote.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum VoteResult {
    /// The claim is recorded for this claimant.
    Granted,
    /// Another claimant holds the key; `None` when seats disagreed on which.
    Held(Option<Claimant>),
    /// The seat doesn't vote: it is recovering or was replaced.
    NotVoting,
}

/// A claim as it is handed over to a recovering seat.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct ClaimRecord {
    /// Key that is claimed.
    pub key: ClaimKey,
    /// Holder of the key; `None` when seats disagreed on which.
    pub claimant: Option<Claimant>,
    /// Time until the claim expires, in milliseconds.
    pub remaining_ms: u32,
}

/// A seat's reply to the announcement of another seat's new incarnation.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum RecoveryReply {
    /// The incarnation is recorded, and all claims that the seat remembers are handed over.
    Recorded {
        /// Seat that replies.
        seat: SeatIndex,
        /// Incarnations known to it, its own included.
        vector: IncarnationVector,
        /// Claims that have not expired.
        claims: Vec<ClaimRecord>,
    },
    /// A later incarnation of the announced seat is known already.
    Superseded {
        /// Incarnations known to the seat that replies.
        vector: IncarnationVector,
    },
    /// The seat can't hand over claims: its own memory is not complete.
    NotReady,
}
