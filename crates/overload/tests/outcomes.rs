//! Admission levels from outcomes, and slots kept for lower classes.

use std::time::Duration;

use olivegate_overload::{
    AdaptiveLimit, Admission, Demand, InstanceQueue, OutcomeLevels, ReportedLevels, Settings, TicketId,
};
use olivegate_types::{GroupName, Importance, Moment, SheddingRank};
use rstest::rstest;

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

/// Lets `per_second` requests of 200 ms begin, of which those beyond `capacity` fail, and
/// returns the level after each second.
fn simulate(levels: &mut OutcomeLevels, from_ms: u64, seconds: u64, per_second: u64, capacity: f64) -> Vec<f64> {
    let mut trace = Vec::new();
    for second in 0..seconds {
        for number in 0..per_second {
            let now = from_ms + second * 1_000 + number * 1_000 / per_second;
            let admitted = levels.level("r") * per_second as f64;
            let spread = (number as f64 * 0.618).fract();
            let fails = spread < 1.0 - capacity / admitted.max(1.0);
            levels.on_outcome("r", Importance(1), at(now.saturating_sub(200)), fails, at(now));
        }
        trace.push(levels.level("r"));
    }
    trace
}

#[rstest]
fn the_level_falls_to_what_fits_and_rises_when_capacity_is_back() {
    let mut levels = OutcomeLevels::default();
    let short = simulate(&mut levels, 1_000, 20, 100, 40.0);
    let mean = short[8..].iter().sum::<f64>() / 12.0;
    assert!((0.3..0.55).contains(&mean), "{short:?}");
    assert!(short[8..].iter().all(|level| *level < 0.7), "no large swings: {short:?}");
    let back = simulate(&mut levels, 30_000, 4, 100, 1_000.0);
    assert!(back[3] >= 1.0, "{back:?}");
}

#[rstest]
fn some_failures_that_are_no_overload_change_nothing() {
    let mut levels = OutcomeLevels::default();
    for number in 0..1_000_u64 {
        let overloaded = number % 50 == 0;
        levels.on_outcome("r", Importance(1), at(number * 10), overloaded, at(number * 10 + 100));
    }
    assert_eq!(levels.level("r"), 1.0);
}

#[rstest]
fn the_protected_importance_is_shed_less() {
    let level_at = |importance| {
        let mut levels = OutcomeLevels::default();
        for number in 0..20_u64 {
            levels.on_outcome("r", importance, at(1_000 + number * 50), true, at(1_000 + number * 50));
        }
        levels.level("r")
    };
    assert!(level_at(Importance::PROTECTED) > level_at(Importance(1)));
}

#[rstest]
fn a_report_that_is_old_holds_nothing_back() {
    let mut reported = ReportedLevels::default();
    reported.on_report("r", 0.4, at(0));
    assert!(reported.level("r", at(1_000)) < 0.5);
    assert_eq!(reported.level("r", at(10_000)), 1.0);
    assert_eq!(reported.level("other", at(0)), 1.0);
}

fn demand(importance: u8) -> Demand {
    Demand {
        importance: Importance(importance),
        group: GroupName::new("all"),
        weight: 1,
        hop: 0,
        rank: SheddingRank(100),
        deadline: at(100_000),
        expected: Duration::from_millis(20),
        longest_wait: Some(Duration::from_secs(50)),
    }
}

/// Serves two classes that always wait, and returns how many of each were served.
fn serve(share: f64) -> (usize, usize) {
    let settings = Settings { max_wait: Duration::from_secs(60), waiting_per_slot: 40 };
    let mut queue = InstanceQueue::new(settings, AdaptiveLimit::new(10, false)).with_least_share(share);
    let mut important: Vec<TicketId> = Vec::new();
    let (mut high, mut low) = (0, 0);
    let mut running = Vec::new();
    for number in 0..200_u8 {
        let importance = if number % 2 == 0 { 2 } else { 1 };
        match queue.arrive(demand(importance), at(0)) {
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
fn a_lower_class_gets_the_slots_that_are_kept_for_it() {
    assert_eq!(serve(0.0).1, 0);
    let (high, low) = serve(0.2);
    assert!(low >= 8 && high > 3 * low, "{high} and {low}");
}
