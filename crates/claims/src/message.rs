//! Messages between claimants and seats.

use std::time::Duration;

use borsh::{BorshDeserialize, BorshSerialize};
use olivegate_types::{Digest, NodeName, RequestId};

use crate::vector::IncarnationVector;

/// Position of a seat in the group, from 0.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, BorshSerialize, BorshDeserialize)]
pub struct SeatIndex(pub u8);

/// Digest of group, kind and idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, BorshSerialize, BorshDeserialize)]
pub struct ClaimKey(pub Digest);

/// One attempt to run the request of a key: unique, never reused.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, BorshSerialize, BorshDeserialize)]
pub struct Claimant {
    /// Edge node that would dispatch the request; holds the answer afterwards.
    pub node: NodeName,
    /// The root request.
    pub request: RequestId,
}

/// Asks a seat for its vote.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Claim {
    /// What is claimed.
    pub key: ClaimKey,
    /// By whom.
    pub claimant: Claimant,
    /// Time to remember it, in milliseconds.
    pub memory_ms: u32,
    /// Incarnations that the claimant knows.
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
    /// The seat.
    pub seat: SeatIndex,
    /// Incarnations known to the seat at the vote, its own included.
    pub vector: IncarnationVector,
    /// The vote.
    pub result: VoteResult,
}

/// Content of a vote.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum VoteResult {
    /// The claim is recorded for this claimant.
    Granted,
    /// Another claimant holds the key; `None` when seats disagreed on which.
    Held(Option<Claimant>),
    /// The seat doesn't vote: it is recovering or was replaced.
    NotVoting,
}

/// A claim as handed over to a recovering seat.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct ClaimRecord {
    /// The key.
    pub key: ClaimKey,
    /// Its holder; `None` when seats disagreed.
    pub claimant: Option<Claimant>,
    /// Time for which it is still remembered, in milliseconds.
    pub remaining_ms: u32,
}

/// A seat's answer to another seat's new incarnation.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum RecoveryReply {
    /// The incarnation is recorded; these are all claims the seat remembers.
    Recorded {
        /// The answering seat.
        seat: SeatIndex,
        /// Incarnations known to it, its own included.
        vector: IncarnationVector,
        /// Its claims.
        claims: Vec<ClaimRecord>,
    },
    /// A later incarnation is known already.
    Superseded {
        /// Incarnations known to the answering seat.
        vector: IncarnationVector,
    },
    /// The seat is recovering itself and its memory is not complete yet.
    NotReady,
}
