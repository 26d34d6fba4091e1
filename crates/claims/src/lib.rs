//! At-most-once claims, held in memory by a group of seats.
//!
//! A seat is a voting replica that runs on one of the nodes. Before an edge dispatches a
//! request that may not run twice, it takes a write-once claim on the caller's idempotency
//! key from a majority of the seats.
//!
//! Seats don't write to disk. A seat that lost its memory, or moved to another node, gets a
//! new incarnation. It votes only after a majority of the group, itself not counted, has
//! recorded that incarnation and handed over its claims. From then on no vote of an earlier
//! incarnation counts together with votes of those seats: crash-consistent quorums by
//! vectors of incarnations. docs/DESIGN.md gives the argument; the tests fuzz it.
//!
//! - [`seat`]: state and recovery of one seat.
//! - [`claim_round`]: counts the votes on one claim.
//! - [`response_cache`]: responses for retries with a claimed key.
//! - [`vector`]: incarnations of seats.
//! - [`message`]: messages between claimants and seats.

pub mod claim_round;
pub mod message;
pub mod response_cache;
pub mod seat;
pub mod vector;

pub use claim_round::{ClaimOutcome, ClaimRound};
pub use message::{Claim, ClaimKey, ClaimRecord, Claimant, RecoveryReply, SeatIndex, Vote, VoteResult};
pub use response_cache::ResponseCache;
pub use seat::{Seat, SeatMode};
pub use vector::{Incarnation, IncarnationVector};

/// Smallest majority of `seats` seats.
pub fn majority(seats: usize) -> usize {
    seats / 2 + 1
}
