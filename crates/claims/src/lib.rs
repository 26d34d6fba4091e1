//! At-most-once claims, held in memory by a group of seats.
//!
//! Before a request that may not be repeated is dispatched, its edge takes a
//! write-once claim on the caller's key from a majority of the seats. Seats have no
//! disks: a seat that lost its memory, or moved to another node, gets a new
//! incarnation, votes only after a majority of the other seats has recorded that
//! incarnation and handed over its claims, and from then on no vote of an earlier
//! incarnation counts together with theirs (crash-consistent quorums by vectors of
//! incarnations). docs/DESIGN.md gives the argument; the tests fuzz it.
//!
//! - [`seat`]: one seat.
//! - [`claim_round`]: counts votes for one claim.
//! - [`response_cache`]: answers kept for repeats.

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
