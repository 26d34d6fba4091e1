//! Counts the votes for one claim.

use crate::majority;
use crate::message::{Claimant, SeatIndex, Vote, VoteResult};
use crate::vector::IncarnationVector;

/// Outcome of a round of votes so far.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// More votes are needed.
    Pending,
    /// A consistent majority granted the claim: the request may be dispatched.
    Granted,
    /// No majority can be reached, and on some seat another claimant holds the key.
    Held(Option<Claimant>),
    /// No majority can be reached in this round, though no seat reports another holder.
    Unavailable,
}

/// One round of votes on one claim.
#[derive(Debug)]
pub struct ClaimRound {
    seats: usize,
    known: IncarnationVector,
    granted: Vec<(SeatIndex, IncarnationVector)>,
    settled: Vec<SeatIndex>,
    held_by: Option<Option<Claimant>>,
}

impl ClaimRound {
    /// Starts a round among the seats of `known`, the incarnations known so far.
    pub fn new(known: IncarnationVector) -> Self {
        ClaimRound { seats: known.len(), known, granted: Vec::new(), settled: Vec::new(), held_by: None }
    }

    /// Records a vote. Later votes of the same seat and vectors of another length are ignored.
    pub fn on_vote(&mut self, vote: Vote) {
        if self.settled.contains(&vote.seat) || vote.vector.len() != self.seats {
            return;
        }
        self.settled.push(vote.seat);
        self.known.merge(&vote.vector);
        match vote.result {
            VoteResult::Granted => self.granted.push((vote.seat, vote.vector)),
            VoteResult::Held(claimant) => self.held_by = Some(claimant),
            VoteResult::NotVoting => {}
        }
    }

    /// Records that a seat can't be reached.
    pub fn on_unreachable(&mut self, seat: SeatIndex) {
        if !self.settled.contains(&seat) {
            self.settled.push(seat);
        }
    }

    /// Number of grants that count: those given in the latest known incarnation of their seat.
    fn consistent_grants(&self) -> usize {
        let counts = |(seat, vector): &&(SeatIndex, IncarnationVector)| vector.get(*seat) == self.known.get(*seat);
        self.granted.iter().filter(counts).count()
    }

    /// Outcome of the votes so far.
    pub fn outcome(&self) -> ClaimOutcome {
        if self.consistent_grants() >= majority(self.seats) {
            return ClaimOutcome::Granted;
        }
        let outstanding = self.seats.saturating_sub(self.settled.len());
        if self.consistent_grants() + outstanding >= majority(self.seats) {
            return ClaimOutcome::Pending;
        }
        match &self.held_by {
            Some(holder) => ClaimOutcome::Held(holder.clone()),
            None => ClaimOutcome::Unavailable,
        }
    }

    /// Incarnations known so far, those learnt from the votes included.
    pub fn known(&self) -> &IncarnationVector {
        &self.known
    }
}
