//! Example-based tests of the queue and the concurrency limit of one instance.

use std::time::Duration;

use olivegate_overload::{AdaptiveLimit, Admission, InstanceQueue, QueueSettings, SlotRequest, TicketId};
use olivegate_types::{GroupName, Importance, Moment, RefusalReason, SheddingRank};
use rstest::rstest;

const SETTINGS: QueueSettings = QueueSettings { max_wait: Duration::from_millis(100), waiting_per_slot: 4 };

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

fn queue(slots: u32) -> InstanceQueue {
    InstanceQueue::new(SETTINGS, AdaptiveLimit::new(slots, false))
}

fn request(importance: u8, group: &str) -> SlotRequest {
    SlotRequest {
        importance: Importance(importance),
        group: GroupName::new(group),
        weight: 1,
        hop: 0,
        rank: SheddingRank(100),
        deadline: at(1_000),
        expected: Duration::from_millis(20),
        max_wait: None,
    }
}

fn ticket(admission: Admission) -> TicketId {
    match admission {
        Admission::Dispatch(ticket) | Admission::Wait { ticket, .. } => ticket,
        Admission::Refuse(refusal) => panic!("refused: {refusal:?}"),
    }
}

#[test]
fn a_free_slot_is_given_immediately() {
    let mut queue = queue(2);
    assert!(matches!(queue.submit(request(0, "a"), at(0)), Admission::Dispatch(_)));
    assert_eq!((queue.in_flight(), queue.waiting()), (1, 0));
}

#[test]
fn importance_goes_before_arrival_and_deeper_hops_before_roots() {
    let mut queue = queue(1);
    let running = ticket(queue.submit(request(1, "a"), at(0)));
    let root = ticket(queue.submit(request(1, "a"), at(1)));
    let deeper = ticket(queue.submit(SlotRequest { hop: 1, ..request(1, "a") }, at(2)));
    let important = ticket(queue.submit(request(3, "a"), at(3)));
    queue.finish(running, at(4));
    let mut order = Vec::new();
    while let Some(next) = queue.next(at(4)) {
        order.push(next);
        queue.finish(next, at(4));
    }
    assert_eq!(order, [important, deeper, root]);
}

#[rstest]
#[case::below_protected(2, Some(RefusalReason::PredictedWait))]
#[case::protected(3, None)]
fn the_objective_bounds_the_wait_below_the_protected_importance(
    #[case] importance: u8,
    #[case] expected: Option<RefusalReason>,
) {
    let mut queue = queue(1);
    for _ in 0..4 {
        queue.submit(SlotRequest { expected: Duration::from_millis(60), ..request(3, "a") }, at(0));
    }
    let reason = match queue.submit(request(importance, "a"), at(0)) {
        Admission::Refuse(refusal) => Some(refusal.reason),
        _ => None,
    };
    assert_eq!(reason, expected);
}

#[test]
fn a_request_that_cannot_be_answered_in_time_is_refused_immediately() {
    let mut queue = queue(4);
    let late = SlotRequest { deadline: at(5), ..request(3, "a") };
    let refused = queue.submit(late, at(0));
    assert!(matches!(refused, Admission::Refuse(refusal) if refusal.reason == RefusalReason::DeadlineExceeded));
}

#[test]
fn a_full_queue_displaces_the_last_in_shedding_order() {
    let mut queue = queue(1);
    queue.submit(SlotRequest { expected: Duration::from_millis(1), ..request(0, "a") }, at(0));
    let mut waiting = Vec::new();
    for rank in [5, 9, 1, 3] {
        let low = SlotRequest { rank: SheddingRank(rank), expected: Duration::from_millis(1), ..request(0, "a") };
        waiting.push(ticket(queue.submit(low, at(0))));
    }
    let admission = queue.submit(request(3, "a"), at(0));
    assert!(matches!(admission, Admission::Wait { displaced: Some(victim), .. } if victim == waiting[1]));
}

#[test]
fn a_greedy_group_cannot_take_a_modest_group_s_place() {
    let mut queue = queue(1);
    queue.submit(request(1, "greedy"), at(0));
    for _ in 0..3 {
        queue.submit(request(1, "greedy"), at(0));
    }
    let refused = queue.submit(request(1, "greedy"), at(1));
    assert!(matches!(refused, Admission::Wait { .. } | Admission::Refuse(_)));
    let modest = queue.submit(request(1, "modest"), at(1));
    assert!(matches!(modest, Admission::Wait { displaced: Some(_), .. }), "{modest:?}");
}

#[test]
fn backlogged_groups_share_by_weight() {
    let mut queue = InstanceQueue::new(
        QueueSettings { max_wait: Duration::from_secs(60), waiting_per_slot: 40 },
        AdaptiveLimit::new(1, false),
    );
    let mut owner = std::collections::HashMap::new();
    let mut now = at(0);
    let mut served = [0_u32; 2];
    let mut running = None;
    for _ in 0..3_000 {
        for (group, weight) in [("heavy", 3), ("light", 1)] {
            let request = SlotRequest { weight, deadline: now + Duration::from_secs(60), ..request(1, group) };
            match queue.submit(request, now) {
                Admission::Dispatch(ticket) => {
                    owner.insert(ticket, group);
                    running = Some(ticket);
                }
                Admission::Wait { ticket, .. } => drop(owner.insert(ticket, group)),
                Admission::Refuse(_) => {}
            }
        }
        now = now + Duration::from_millis(20);
        let ended = running.take().expect("the slot is always in use");
        served[usize::from(owner[&ended] == "light")] += 1;
        queue.finish(ended, now);
        running = queue.next(now);
    }
    let share = f64::from(served[0]) / f64::from(served[0] + served[1]);
    assert!((share - 0.75).abs() < 0.02, "heavy got {share}");
}

#[test]
fn unused_share_is_not_saved_up() {
    let mut queue = queue(1);
    for round in 0..50 {
        let ticket = ticket(queue.submit(request(1, "busy"), at(round * 20)));
        queue.finish(ticket, at(round * 20 + 20));
    }
    let running = ticket(queue.submit(request(1, "busy"), at(1_000 - 60)));
    let late = SlotRequest { deadline: at(5_000), ..request(1, "late") };
    let busy = SlotRequest { deadline: at(5_000), ..request(1, "busy") };
    let first_late = ticket(queue.submit(late.clone(), at(941)));
    let first_busy = ticket(queue.submit(busy, at(942)));
    let second_late = ticket(queue.submit(late, at(943)));
    queue.finish(running, at(960));
    let mut order = Vec::new();
    while let Some(next) = queue.next(at(960)) {
        order.push(next);
        queue.finish(next, at(980));
    }
    assert_eq!(order, [first_late, first_busy, second_late]);
}

#[test]
fn refusals_by_the_instance_lower_its_limit_and_successes_raise_it() {
    let mut limit = AdaptiveLimit::new(10, false);
    limit.on_refused(at(0));
    assert_eq!(limit.current(), 8);
    limit.on_refused(at(10));
    assert_eq!(limit.current(), 8, "decreases close together count once");
    for _ in 0..100 {
        limit.on_success(limit.current());
    }
    assert_eq!(limit.current(), 10);
}

#[test]
fn a_cold_instance_starts_at_a_quarter() {
    assert_eq!(AdaptiveLimit::new(12, true).current(), 3);
}

/// Guards against single failures lowering the limit: with 3% of the exchanges broken it shrank to a few
/// slots.
#[test]
fn single_broken_exchanges_leave_the_limit_alone_and_failures_in_a_row_do_not() {
    let mut limit = AdaptiveLimit::new(12, false);
    for round in 0..50 {
        limit.on_failure(at(round * 200));
        limit.on_success(6);
    }
    assert_eq!(limit.current(), 12);
    for round in 0..3 {
        limit.on_failure(at(20_000 + round * 200));
    }
    assert_eq!(limit.current(), 8);
}
