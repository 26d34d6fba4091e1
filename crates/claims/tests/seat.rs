//! Single seats: write-once claims, hand-over, fencing of replaced holders, total loss of memory.

use std::time::Duration;

use olivegate_claims::{
    Claim, ClaimKey, ClaimOutcome, ClaimRound, Claimant, Incarnation, IncarnationVector, RecoveryReply, Seat,
    SeatIndex, SeatMode, VoteResult,
};
use olivegate_types::{Digest, Moment, NodeName, RequestId};

const MEMORY: Duration = Duration::from_millis(1_000);

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

fn seat(position: u8, counter: u64, new_deployment: bool, now: Moment) -> Seat {
    let incarnation = Incarnation { counter, holder: NodeName::new(format!("holder-{position}-{counter}")) };
    Seat::recovering(SeatIndex(position), 3, incarnation, MEMORY, new_deployment, now)
}

/// Lets `recovering` announce itself to `others`.
fn recover(recovering: &mut Seat, others: &mut [&mut Seat], now: Moment) {
    for other in others {
        let reply = other.on_recover(recovering.index(), &recovering.incarnation().clone(), now);
        recovering.on_recovery_reply(reply, now);
    }
}

fn group() -> [Seat; 3] {
    let [mut a, mut b, mut c] = [0, 1, 2].map(|position| seat(position, 1, true, at(0)));
    recover(&mut a, &mut [&mut b, &mut c], at(0));
    recover(&mut b, &mut [&mut a, &mut c], at(0));
    recover(&mut c, &mut [&mut a, &mut b], at(0));
    [a, b, c]
}

fn claim(request: u128) -> Claim {
    Claim {
        key: ClaimKey(Digest::of(b"first edition")),
        claimant: Claimant { node: NodeName::new("edge"), request: RequestId(request) },
        memory_ms: MEMORY.as_millis() as u32,
        known: IncarnationVector::unknown(3),
    }
}

fn outcome(claim: &Claim, seats: &mut [&mut Seat], now: Moment) -> ClaimOutcome {
    let mut round = ClaimRound::new(claim.known.clone());
    for seat in seats {
        round.on_vote(seat.on_claim(claim, now));
    }
    round.outcome()
}

#[test]
fn a_new_deployment_votes_at_once() {
    assert!(group().iter().all(|seat| seat.mode() == SeatMode::Voting));
}

#[test]
fn the_first_claimant_gets_the_key_and_the_second_learns_who_holds_it() {
    let [mut a, mut b, mut c] = group();
    assert_eq!(outcome(&claim(1), &mut [&mut a, &mut b, &mut c], at(1)), ClaimOutcome::Granted);
    let second = outcome(&claim(2), &mut [&mut a, &mut b, &mut c], at(2));
    assert_eq!(second, ClaimOutcome::Held(Some(claim(1).claimant)));
}

#[test]
fn one_seat_is_no_majority() {
    let [mut a, _, _] = group();
    assert_eq!(outcome(&claim(1), &mut [&mut a], at(1)), ClaimOutcome::Pending);
}

#[test]
fn a_restarted_seat_does_not_vote_before_the_others_handed_over() {
    let [mut a, mut b, c] = group();
    drop(c);
    assert_eq!(outcome(&claim(1), &mut [&mut a, &mut b], at(1)), ClaimOutcome::Granted);
    let mut restarted = seat(2, 2, false, at(2));
    assert_eq!(restarted.on_claim(&claim(2), at(2)).result, VoteResult::NotVoting);
    recover(&mut restarted, &mut [&mut a, &mut b], at(3));
    assert_eq!(restarted.mode(), SeatMode::Voting);
    assert_eq!(restarted.on_claim(&claim(2), at(4)).result, VoteResult::Held(Some(claim(1).claimant)));
}

#[test]
fn votes_of_a_replaced_holder_do_not_count_once_its_successor_is_known() {
    let [mut a, mut b, mut c] = group();
    let mut successor = seat(0, 2, false, at(1));
    recover(&mut successor, &mut [&mut b, &mut c], at(1));
    assert_eq!(successor.mode(), SeatMode::Voting);
    let old_holder = outcome(&claim(1), &mut [&mut a, &mut b], at(2));
    assert_eq!(old_holder, ClaimOutcome::Pending);
    let mut informed_claim = claim(3);
    informed_claim.known = successor.vector().clone();
    assert_eq!(a.on_claim(&informed_claim, at(3)).result, VoteResult::NotVoting);
    assert_eq!(a.mode(), SeatMode::Retired);
}

#[test]
fn after_a_total_loss_of_memory_nothing_is_granted_until_all_claims_have_expired() {
    let [mut a, mut b, mut c] = [0, 1, 2].map(|position| seat(position, 5, false, at(0)));
    recover(&mut a, &mut [&mut b, &mut c], at(999));
    assert_eq!(a.mode(), SeatMode::Recovering);
    recover(&mut a, &mut [&mut b, &mut c], at(1_001));
    assert_eq!(a.mode(), SeatMode::Voting);
}

#[test]
fn two_of_three_seats_lost_wait_too() {
    let [mut a, _, _] = group();
    let [mut b, mut c] = [1, 2].map(|position| seat(position, 5, false, at(10)));
    recover(&mut b, &mut [&mut a, &mut c], at(20));
    assert_eq!(b.mode(), SeatMode::Recovering);
}

#[test]
fn seats_that_disagree_hand_over_a_claim_that_nobody_holds() {
    let [mut a, mut b, _] = group();
    a.on_claim(&claim(1), at(1));
    b.on_claim(&claim(2), at(1));
    let mut c = seat(2, 2, false, at(2));
    recover(&mut c, &mut [&mut a, &mut b], at(2));
    assert_eq!(c.on_claim(&claim(1), at(3)).result, VoteResult::Held(None));
}

#[test]
fn an_abandoned_claim_frees_the_key_and_only_for_its_owner() {
    let [mut a, ..] = group();
    a.on_claim(&claim(1), at(1));
    a.on_abandon(claim(1).key, &claim(2).claimant);
    assert_eq!(a.on_claim(&claim(2), at(2)).result, VoteResult::Held(Some(claim(1).claimant)));
    a.on_abandon(claim(1).key, &claim(1).claimant);
    assert_eq!(a.on_claim(&claim(2), at(3)).result, VoteResult::Granted);
}

#[test]
fn a_seat_superseded_while_recovering_retires() {
    let [_, mut b, _] = group();
    let mut later = seat(0, 9, false, at(1));
    recover(&mut later, &mut [&mut b], at(1));
    let mut earlier = seat(0, 8, false, at(1));
    let reply = b.on_recover(SeatIndex(0), &earlier.incarnation().clone(), at(2));
    assert!(matches!(reply, RecoveryReply::Superseded { .. }));
    earlier.on_recovery_reply(reply, at(2));
    assert_eq!(earlier.mode(), SeatMode::Retired);
}
