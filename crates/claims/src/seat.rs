//! One seat: votes on claims, hands over to recovering seats, recovers itself.

use std::collections::HashMap;
use std::time::Duration;

use olivegate_types::Moment;

use crate::majority;
use crate::message::{Claim, ClaimKey, ClaimRecord, Claimant, RecoveryReply, SeatIndex, Vote, VoteResult};
use crate::vector::{Incarnation, IncarnationVector};

/// State of a seat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SeatMode {
    /// Collecting claims from the other seats; doesn't vote.
    Recovering,
    /// Votes.
    Voting,
    /// A later incarnation took over; never votes again.
    Retired,
}

#[derive(Debug, Clone)]
struct Held {
    claimant: Option<Claimant>,
    expires: Moment,
}

/// A seat in one incarnation.
#[derive(Debug)]
pub struct Seat {
    index: SeatIndex,
    incarnation: Incarnation,
    vector: IncarnationVector,
    mode: SeatMode,
    started: Moment,
    claim_memory: Duration,
    new_deployment: bool,
    claims: HashMap<ClaimKey, Held>,
    replies: HashMap<SeatIndex, (IncarnationVector, Vec<ClaimRecord>)>,
}

impl Seat {
    /// A seat of a group of `seats`, in a new incarnation, recovering.
    ///
    /// `claim_memory` is the longest time for which any claim is remembered.
    /// `new_deployment` states that no request was ever served before, so that an
    /// empty memory is complete.
    pub fn recovering(
        index: SeatIndex,
        seats: usize,
        incarnation: Incarnation,
        claim_memory: Duration,
        new_deployment: bool,
        now: Moment,
    ) -> Self {
        let mut vector = IncarnationVector::unknown(seats);
        vector.raise(index, &incarnation);
        Seat {
            index,
            incarnation,
            vector,
            mode: SeatMode::Recovering,
            started: now,
            claim_memory,
            new_deployment,
            claims: HashMap::new(),
            replies: HashMap::new(),
        }
    }

    /// Position in the group.
    pub fn index(&self) -> SeatIndex {
        self.index
    }

    /// State.
    pub fn mode(&self) -> SeatMode {
        self.mode
    }

    /// This life of the seat.
    pub fn incarnation(&self) -> &Incarnation {
        &self.incarnation
    }

    /// Incarnations known to the seat.
    pub fn vector(&self) -> &IncarnationVector {
        &self.vector
    }

    /// Number of claims remembered.
    pub fn claim_count(&self) -> usize {
        self.claims.len()
    }

    fn learn(&mut self, vector: &IncarnationVector) {
        self.vector.merge(vector);
        if self.vector.get(self.index) > Some(&self.incarnation) {
            self.mode = SeatMode::Retired;
            self.claims.clear();
        }
    }

    /// Votes on a claim. The first claimant of a key gets it for the claim's memory time.
    pub fn on_claim(&mut self, claim: &Claim, now: Moment) -> Vote {
        self.learn(&claim.known);
        let result = if self.mode == SeatMode::Voting { self.decide(claim, now) } else { VoteResult::NotVoting };
        Vote { seat: self.index, vector: self.vector.clone(), result }
    }

    fn decide(&mut self, claim: &Claim, now: Moment) -> VoteResult {
        if let Some(held) = self.claims.get(&claim.key)
            && held.expires > now
        {
            return match &held.claimant {
                Some(holder) if *holder == claim.claimant => VoteResult::Granted,
                holder => VoteResult::Held(holder.clone()),
            };
        }
        let expires = now + claim.memory().min(self.claim_memory);
        self.claims.insert(claim.key, Held { claimant: Some(claim.claimant.clone()), expires });
        VoteResult::Granted
    }

    /// Drops a claim whose claimant has not dispatched and never will.
    pub fn on_abandon(&mut self, key: ClaimKey, claimant: &Claimant) {
        if self.claims.get(&key).is_some_and(|held| held.claimant.as_ref() == Some(claimant)) {
            self.claims.remove(&key);
        }
    }

    /// True when the memory holds every claim that this seat position may have granted:
    /// it votes, or it has lived longer than any claim is remembered.
    fn has_complete_memory(&self, now: Moment) -> bool {
        match self.mode {
            SeatMode::Voting => true,
            SeatMode::Recovering => self.new_deployment || now.since(self.started) > self.claim_memory,
            SeatMode::Retired => false,
        }
    }

    /// Another seat announces its new incarnation and asks for the claims.
    pub fn on_recover(&mut self, seat: SeatIndex, incarnation: &Incarnation, now: Moment) -> RecoveryReply {
        if !self.has_complete_memory(now) || seat == self.index {
            return RecoveryReply::NotReady;
        }
        if self.vector.get(seat) > Some(incarnation) {
            return RecoveryReply::Superseded { vector: self.vector.clone() };
        }
        self.vector.raise(seat, incarnation);
        RecoveryReply::Recorded { seat: self.index, vector: self.vector.clone(), claims: self.records(now) }
    }

    fn records(&self, now: Moment) -> Vec<ClaimRecord> {
        let live = self.claims.iter().filter(|(_, held)| held.expires > now);
        let record = |(key, held): (&ClaimKey, &Held)| ClaimRecord {
            key: *key,
            claimant: held.claimant.clone(),
            remaining_ms: held.expires.since(now).as_millis() as u32 + 1,
        };
        live.map(record).collect()
    }

    /// An answer to this seat's announcement; the seat votes once a majority of the
    /// group, itself not counted, has recorded it and handed over.
    pub fn on_recovery_reply(&mut self, reply: RecoveryReply, now: Moment) {
        if self.mode != SeatMode::Recovering {
            return;
        }
        match reply {
            RecoveryReply::NotReady => {}
            RecoveryReply::Superseded { vector } => self.learn(&vector),
            RecoveryReply::Recorded { seat, vector, claims } => {
                self.learn(&vector);
                self.replies.insert(seat, (vector, claims));
                self.try_to_vote(now);
            }
        }
    }

    fn try_to_vote(&mut self, now: Moment) {
        let vector = &self.vector;
        self.replies.retain(|seat, (theirs, _)| theirs.get(*seat) == vector.get(*seat));
        if self.mode != SeatMode::Recovering || self.replies.len() < majority(self.vector.len()) {
            return;
        }
        let replies = std::mem::take(&mut self.replies);
        for (_, claims) in replies.into_values() {
            for record in claims {
                self.take_over(record, now);
            }
        }
        self.mode = SeatMode::Voting;
    }

    fn take_over(&mut self, record: ClaimRecord, now: Moment) {
        let expires = now + Duration::from_millis(u64::from(record.remaining_ms));
        match self.claims.get_mut(&record.key) {
            None => {
                self.claims.insert(record.key, Held { claimant: record.claimant, expires });
            }
            Some(held) => {
                held.expires = held.expires.max(expires);
                if held.claimant != record.claimant {
                    held.claimant = None;
                }
            }
        }
    }

    /// Forgets expired claims.
    pub fn expire(&mut self, now: Moment) {
        self.claims.retain(|_, held| held.expires > now);
    }
}
