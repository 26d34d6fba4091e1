//! Counts the votes for one claim.

use crate::majority;
use crate::message::{Claimant, SeatIndex, Vote, VoteResult};
use crate::vector::IncarnationVector;

/// What a round of votes says so far.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// More votes are needed.
    Pending,
    /// A consistent majority granted the claim: the request may be dispatched.
    Granted,
    /// Another claimant holds the key on some seat.
    Held(Option<Claimant>),
    /// No majority can be reached in this round.
    Unavailable,
}

/// One round of votes on one claim.
#[derive(Debug)]
pub struct ClaimRound {
    seats: usize,
    known: IncarnationVector,
    granted: Vec<(SeatIndex, IncarnationVector)>,
    answered: Vec<SeatIndex>,
    held_by: Option<Option<Claimant>>,
}

impl ClaimRound {
    /// A round among the seats of `known`, the incarnations known so far.
    pub fn new(known: IncarnationVector) -> Self {
        ClaimRound { seats: known.len(), known, granted: Vec::new(), answered: Vec::new(), held_by: None }
    }

    /// Notes a vote.
    pub fn on_vote(&mut self, vote: Vote) {
        if self.answered.contains(&vote.seat) || vote.vector.len() != self.seats {
            return;
        }
        self.answered.push(vote.seat);
        self.known.merge(&vote.vector);
        match vote.result {
            VoteResult::Granted => self.granted.push((vote.seat, vote.vector)),
            VoteResult::Held(claimant) => self.held_by = Some(claimant),
            VoteResult::NotVoting => {}
        }
    }

    /// Notes that a seat can't be reached.
    pub fn on_unreachable(&mut self, seat: SeatIndex) {
        if !self.answered.contains(&seat) {
            self.answered.push(seat);
        }
    }

    /// Votes that count: given in the latest known incarnation of their seat.
    fn consistent_grants(&self) -> usize {
        let counts = |(seat, vector): &&(SeatIndex, IncarnationVector)| vector.get(*seat) == self.known.get(*seat);
        self.granted.iter().filter(counts).count()
    }

    /// What the votes say.
    pub fn outcome(&self) -> ClaimOutcome {
        if self.consistent_grants() >= majority(self.seats) {
            return ClaimOutcome::Granted;
        }
        let open = self.seats.saturating_sub(self.answered.len());
        if self.consistent_grants() + open >= majority(self.seats) {
            return ClaimOutcome::Pending;
        }
        match &self.held_by {
            Some(holder) => ClaimOutcome::Held(holder.clone()),
            None => ClaimOutcome::Unavailable,
        }
    }

    /// Incarnations known after the votes.
    pub fn known(&self) -> &IncarnationVector {
        &self.known
    }
}
