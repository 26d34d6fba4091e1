//! Admission levels from measured demand, and slots reserved for lower classes.

use std::time::Duration;

use olivegate_overload::{
    AdaptiveLimit, Admission, ClassKey, DemandLevels, InstanceQueue, LevelTable, QueueSettings, SlotRequest,
    TicketId,
};
use olivegate_types::{GroupName, Importance, KindName, Moment, ServiceName, SheddingRank};
use proptest::prelude::*;
use rstest::rstest;

/// Fraction of the slots reserved for less important classes.
const MIN_SHARE: f64 = 0.2;
/// Slot time of one arrival.
const SLOT_TIME: Duration = Duration::from_millis(20);

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

fn class(name: &str, importance: u8) -> ClassKey {
    ClassKey { root_kind: KindName::new(name), group: GroupName::new("all"), importance: Importance(importance) }
}

/// A class whose requests would occupy `demand` slots if all were admitted.
struct Offered {
    class: ClassKey,
    demand: f64,
}

/// Offers the classes for `millis` from `from_ms` on, each reduced to its level of 200 ms ago, and returns
/// the levels at the end.
fn simulate(levels: &mut DemandLevels, offered: &[Offered], slots: f64, from_ms: u64, millis: u64) -> Vec<f64> {
    let mut levels_over_time: Vec<Vec<f64>> = vec![vec![1.0; 20]; offered.len()];
    let mut pending = vec![0.0; offered.len()];
    for now in (from_ms..from_ms + millis).step_by(10) {
        for (index, one) in offered.iter().enumerate() {
            let admitted = levels_over_time[index][levels_over_time[index].len() - 20].min(1.0);
            pending[index] += one.demand * admitted * 0.01 / SLOT_TIME.as_secs_f64();
            while pending[index] >= 1.0 {
                pending[index] -= 1.0;
                levels.record(&one.class, SLOT_TIME, admitted, at(now));
            }
            levels_over_time[index].push(levels.level(&one.class, slots, at(now)));
        }
    }
    levels_over_time.iter().filter_map(|levels| levels.last().copied()).collect()
}

#[rstest]
fn the_level_falls_to_what_fits_and_recovers_within_a_second_of_the_capacity() {
    let offered = [Offered { class: class("r", 1), demand: 40.0 }];
    let mut levels = DemandLevels::new(MIN_SHARE);
    let reduced = simulate(&mut levels, &offered, 16.0, 1_000, 1_500)[0];
    assert!((0.35..0.46).contains(&reduced), "{reduced}");
    let later = simulate(&mut levels, &offered, 16.0, 2_500, 5_000)[0];
    assert!((0.36..0.45).contains(&later), "{later}");
    let back = simulate(&mut levels, &offered, 60.0, 7_500, 1_000)[0];
    assert!(back >= 1.0, "{back}");
}

#[rstest]
fn demand_that_fits_is_fully_admitted() {
    let offered = [Offered { class: class("r", 1), demand: 14.0 }];
    let mut levels = DemandLevels::new(MIN_SHARE);
    assert!(simulate(&mut levels, &offered, 16.0, 0, 5_000)[0] >= 1.0);
    assert!(levels.level(&class("never seen", 1), 16.0, at(5_000)) >= 1.0);
}

#[rstest]
fn the_protected_importance_is_shed_last_and_the_others_keep_their_share() {
    let offered = [
        Offered { class: class("protected", Importance::PROTECTED.0), demand: 12.0 },
        Offered { class: class("other", 1), demand: 20.0 },
    ];
    let mut levels = DemandLevels::new(MIN_SHARE);
    let fits = simulate(&mut levels, &offered, 18.0, 0, 5_000);
    assert!(fits[0] >= 1.0 && (0.2..0.45).contains(&fits[1]), "{fits:?}");
    let mut levels = DemandLevels::new(MIN_SHARE);
    let reduced = simulate(&mut levels, &offered, 10.0, 0, 5_000);
    assert!(reduced[0] > 2.0 * reduced[1] && reduced[1] >= 0.08, "{reduced:?}");
}

#[rstest]
fn an_old_report_no_longer_limits_admission() {
    let mut table = LevelTable::with_hold(Duration::from_millis(500));
    table.on_report(&class("r", 1), &ServiceName::new("deep"), 1, 0.4, at(0));
    assert!(table.level(&class("r", 1), 0, at(400)) < 0.5);
    assert!(table.level(&class("r", 1), 0, at(10_000)) >= 1.0);
    assert!(table.level(&class("other", 1), 0, at(0)) >= 1.0);
}

#[rstest]
fn headroom_of_one_gate_compensates_for_lack_of_it_at_another() {
    let mut table = LevelTable::with_hold(Duration::from_millis(500));
    for step in 0..40 {
        let level = if step % 2 == 0 { 0.8 } else { 1.4 };
        table.on_report(&class("r", 1), &ServiceName::new("deep"), 1, level, at(step * 20));
    }
    assert!(table.level(&class("r", 1), 0, at(800)) >= 1.0);
    let mean = table.headroom(&class("r", 1), 0, at(800));
    assert!((1.0..1.25).contains(&mean), "{mean}");
}

proptest! {
    /// Whatever is offered, no more is admitted than the slots can serve, except for the shares reserved for
    /// classes and what the lowest level lets through; and demand that fits is fully admitted.
    #[test]
    fn admitted_demand_fits_the_slots(
        slots in 4.0..200.0_f64,
        demands in proptest::collection::vec((0_u8..4, 0.1..3.0_f64), 1..5),
    ) {
        let offered: Vec<Offered> = demands.iter().enumerate().map(|(index, (importance, part))| {
            Offered { class: class(&format!("c{index}"), *importance), demand: part * slots }
        }).collect();
        let mut levels = DemandLevels::new(MIN_SHARE);
        let levels = simulate(&mut levels, &offered, slots, 0, 6_000);
        let admitted: f64 = levels.iter().zip(&offered).map(|(level, one)| level.min(1.0) * one.demand).sum();
        let classes: std::collections::BTreeSet<u8> = demands.iter().map(|(importance, _)| *importance).collect();
        let reserved = (classes.len() as f64 - 1.0).max(0.0) * MIN_SHARE;
        prop_assert!(admitted <= slots * (1.15 + reserved) + 2.0, "{admitted} of {slots}: {levels:?}");
        let total: f64 = offered.iter().map(|one| one.demand).sum();
        if total < slots * 0.85 {
            prop_assert!(levels.iter().all(|level| *level >= 1.0), "{levels:?}");
        }
    }
}

fn request(importance: u8) -> SlotRequest {
    SlotRequest {
        importance: Importance(importance),
        group: GroupName::new("all"),
        weight: 1,
        hop: 0,
        rank: SheddingRank(100),
        deadline: at(100_000),
        expected: Duration::from_millis(20),
        max_wait: Some(Duration::from_secs(50)),
    }
}

/// Serves two classes that always have requests waiting, and returns how many of each were served.
fn serve(share: f64) -> (usize, usize) {
    let settings = QueueSettings { max_wait: Duration::from_secs(60), waiting_per_slot: 40 };
    let mut queue = InstanceQueue::new(settings, AdaptiveLimit::new(10, false)).with_min_share(share);
    let mut important: Vec<TicketId> = Vec::new();
    let (mut high, mut low) = (0, 0);
    let mut running = Vec::new();
    for number in 0..200_u8 {
        let importance = if number % 2 == 0 { 2 } else { 1 };
        match queue.submit(request(importance), at(0)) {
            Admission::Dispatch(ticket) => running.push(ticket),
            Admission::Wait { ticket, .. } if importance == 2 => important.push(ticket),
            _ => {}
        }
    }
    for step in 0..60 {
        let ended = running.remove(0);
        queue.finish(ended, at(step));
        while let Some(ticket) = queue.next(at(step)) {
            if important.contains(&ticket) {
                high += 1
            } else {
                low += 1
            }
            running.push(ticket);
        }
    }
    (high, low)
}

#[rstest]
fn a_lower_class_gets_the_slots_that_are_reserved_for_it() {
    assert_eq!(serve(0.0).1, 0);
    let (high, low) = serve(0.2);
    assert!(low >= 8 && high > 3 * low, "{high} and {low}");
}
