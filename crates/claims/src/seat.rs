//! One seat: votes on claims, hands claims over to recovering seats and recovers its own.

use std::collections::HashMap;
use std::time::Duration;

use olivegate_types::Moment;

use crate::majority;
use crate::message::{Claim, ClaimKey, ClaimRecord, Claimant, RecoveryReply, SeatIndex, Vote, VoteResult};
use crate::vector::{Incarnation, IncarnationVector};

/// State of a seat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SeatMode {
    /// Collects claims from the other seats; doesn't vote.
    Recovering,
    /// Votes.
    Voting,
    /// Replaced by a later incarnation; never votes again.
    Retired,
}

#[derive(Debug, Clone)]
struct StoredClaim {
    claimant: Option<Claimant>,
    expires: Moment,
}

/// One incarnation of a seat.
#[derive(Debug)]
pub struct Seat {
    index: SeatIndex,
    incarnation: Incarnation,
    vector: IncarnationVector,
    mode: SeatMode,
    started: Moment,
    claim_memory: Duration,
    new_deployment: bool,
    claims: HashMap<ClaimKey, StoredClaim>,
    replies: HashMap<SeatIndex, (IncarnationVector, Vec<ClaimRecord>)>,
}

impl Seat {
    /// Creates a new incarnation of a seat in a group of `seats`. It starts in recovery.
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

    /// Index in the group.
    pub fn index(&self) -> SeatIndex {
        self.index
    }

    /// Current state.
    pub fn mode(&self) -> SeatMode {
        self.mode
    }

    /// Incarnation of this seat.
    pub fn incarnation(&self) -> &Incarnation {
        &self.incarnation
    }

    /// Incarnations known to this seat, its own included.
    pub fn vector(&self) -> &IncarnationVector {
        &self.vector
    }

    /// Number of remembered claims.
    pub fn claim_count(&self) -> usize {
        self.claims.len()
    }

    /// Merges known incarnations. Retires this seat when one of them replaces it.
    fn merge_vector(&mut self, vector: &IncarnationVector) {
        self.vector.merge(vector);
        if self.vector.get(self.index) > Some(&self.incarnation) {
            self.mode = SeatMode::Retired;
            self.claims.clear();
        }
    }

    /// Votes on a claim. The first claimant of a key holds it until the claim expires.
    pub fn on_claim(&mut self, claim: &Claim, now: Moment) -> Vote {
        self.merge_vector(&claim.known);
        let result = if self.mode == SeatMode::Voting { self.decide(claim, now) } else { VoteResult::NotVoting };
        Vote { seat: self.index, vector: self.vector.clone(), result }
    }

    fn decide(&mut self, claim: &Claim, now: Moment) -> VoteResult {
        if let Some(stored) = self.claims.get(&claim.key)
            && stored.expires > now
        {
            return match &stored.claimant {
                Some(holder) if *holder == claim.claimant => VoteResult::Granted,
                holder => VoteResult::Held(holder.clone()),
            };
        }
        let expires = now + claim.memory().min(self.claim_memory);
        self.claims.insert(claim.key, StoredClaim { claimant: Some(claim.claimant.clone()), expires });
        VoteResult::Granted
    }

    /// Removes a claim whose claimant has not dispatched the request and never will.
    pub fn on_abandon(&mut self, key: ClaimKey, claimant: &Claimant) {
        if self.claims.get(&key).is_some_and(|stored| stored.claimant.as_ref() == Some(claimant)) {
            self.claims.remove(&key);
        }
    }

    /// True when this seat remembers every unexpired claim that it or an earlier incarnation may
    /// have granted: it votes, the deployment is new, or it has run for longer than any claim is
    /// remembered.
    fn has_complete_memory(&self, now: Moment) -> bool {
        match self.mode {
            SeatMode::Voting => true,
            SeatMode::Recovering => self.new_deployment || now.since(self.started) > self.claim_memory,
            SeatMode::Retired => false,
        }
    }

    /// Handles the announcement of another seat's new incarnation, which asks for the claims.
    pub fn on_recover(&mut self, seat: SeatIndex, incarnation: &Incarnation, now: Moment) -> RecoveryReply {
        if !self.has_complete_memory(now) || seat == self.index {
            return RecoveryReply::NotReady;
        }
        if self.vector.get(seat) > Some(incarnation) {
            return RecoveryReply::Superseded { vector: self.vector.clone() };
        }
        self.vector.raise(seat, incarnation);
        RecoveryReply::Recorded { seat: self.index, vector: self.vector.clone(), claims: self.live_claims(now) }
    }

    fn live_claims(&self, now: Moment) -> Vec<ClaimRecord> {
        let live = self.claims.iter().filter(|(_, stored)| stored.expires > now);
        let record = |(key, stored): (&ClaimKey, &StoredClaim)| ClaimRecord {
            key: *key,
            claimant: stored.claimant.clone(),
            remaining_ms: stored.expires.since(now).as_millis() as u32 + 1,
        };
        live.map(record).collect()
    }

    /// Handles a reply to this seat's announcement. The seat votes once a majority of the
    /// group, itself not counted, has recorded its incarnation and handed over claims.
    pub fn on_recovery_reply(&mut self, reply: RecoveryReply, now: Moment) {
        if self.mode != SeatMode::Recovering {
            return;
        }
        match reply {
            RecoveryReply::NotReady => {}
            RecoveryReply::Superseded { vector } => self.merge_vector(&vector),
            RecoveryReply::Recorded { seat, vector, claims } => {
                self.merge_vector(&vector);
                self.replies.insert(seat, (vector, claims));
                self.try_finish_recovery(now);
            }
        }
    }

    /// Starts voting when enough replies are in. Replies of seats that have been replaced since
    /// are dropped.
    fn try_finish_recovery(&mut self, now: Moment) {
        let vector = &self.vector;
        self.replies.retain(|seat, (theirs, _)| theirs.get(*seat) == vector.get(*seat));
        if self.mode != SeatMode::Recovering || self.replies.len() < majority(self.vector.len()) {
            return;
        }
        let replies = std::mem::take(&mut self.replies);
        for (_, claims) in replies.into_values() {
            for record in claims {
                self.merge_claim(record, now);
            }
        }
        self.mode = SeatMode::Voting;
    }

    /// Merges a claim that was handed over. When seats disagree on the holder, the key stays
    /// claimed without one.
    fn merge_claim(&mut self, record: ClaimRecord, now: Moment) {
        let expires = now + Duration::from_millis(u64::from(record.remaining_ms));
        match self.claims.get_mut(&record.key) {
            None => {
                self.claims.insert(record.key, StoredClaim { claimant: record.claimant, expires });
            }
            Some(stored) => {
                stored.expires = stored.expires.max(expires);
                if stored.claimant != record.claimant {
                    stored.claimant = None;
                }
            }
        }
    }

    /// Removes expired claims.
    pub fn expire(&mut self, now: Moment) {
        self.claims.retain(|_, stored| stored.expires > now);
    }
}
