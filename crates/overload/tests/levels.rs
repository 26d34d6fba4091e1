//! Admission levels: measured at gates, reported with replies and applied at the root.

use std::time::Duration;

use olivegate_overload::{Arrival, ClassKey, GateLevels, LevelTable};
use olivegate_types::{GroupName, Importance, KindName, Moment, ServiceName, SheddingRank};

fn class() -> ClassKey {
    ClassKey { root_kind: KindName::new("search"), group: GroupName::new("all"), importance: Importance(1) }
}

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

const ACCEPTED: Arrival = Arrival::Accepted { wait_ratio: 0.0 };

#[test]
fn refusals_lower_the_level_and_free_slots_raise_it_within_half_a_second() {
    let mut levels = GateLevels::default();
    for millis in 0..500 {
        levels.record(&class(), Arrival::Refused, false, at(millis));
    }
    let lowest = levels.level(&class());
    assert!(lowest < 0.05, "{lowest}");
    for millis in (500..1_100).step_by(10) {
        levels.record(&class(), ACCEPTED, true, at(millis));
    }
    assert_eq!(levels.level(&class()), 1.0);
}

#[test]
fn one_refusal_among_few_arrivals_cuts_little() {
    let mut levels = GateLevels::default();
    levels.record(&class(), ACCEPTED, false, at(0));
    levels.record(&class(), Arrival::Refused, false, at(60));
    assert!(levels.level(&class()) > 0.75);
}

#[test]
fn long_waits_lower_the_level_before_anything_is_refused() {
    let mut levels = GateLevels::default();
    for millis in 0..400 {
        levels.record(&class(), Arrival::Accepted { wait_ratio: 0.9 }, false, at(millis));
    }
    assert!(levels.level(&class()) < 0.8);
}

#[test]
fn the_smallest_level_of_all_services_binds_the_root() {
    let mut table = LevelTable::default();
    for (service, hop, level) in [("catalogue", 0, 0.9), ("stockroom", 1, 0.2)] {
        for _ in 0..40 {
            table.on_report(&class(), &ServiceName::new(service), hop, level, at(10));
        }
    }
    let admitted = |rank| table.admits(&class(), SheddingRank(rank), at(20));
    assert!(admitted(10_000));
    assert!(!admitted(20_000));
}

#[test]
fn a_gate_passes_on_only_levels_of_calls_deeper_than_its_own() {
    let mut table = LevelTable::default();
    table.on_report(&class(), &ServiceName::new("catalogue"), 0, 0.3, at(0));
    assert!(table.level(&class(), 0, at(0)) < 1.0);
    assert_eq!(table.level(&class(), 1, at(0)), 1.0);
}

#[test]
fn an_unconfirmed_level_rises() {
    let mut table = LevelTable::default();
    table.on_report(&class(), &ServiceName::new("catalogue"), 0, 0.1, at(0));
    assert!(table.level(&class(), 0, at(50)) < 0.2);
    assert_eq!(table.level(&class(), 0, at(1_000)), 1.0);
}

#[test]
fn the_retry_delay_after_a_refusal_by_level_gives_levels_time_to_adapt() {
    use olivegate_overload::retry_after::{retry_after, retry_after_level};
    for level in [1.0, 0.5, 0.1] {
        for jitter in [0.0, 0.5, 0.99] {
            let delay = retry_after_level(level, jitter);
            assert!(delay >= Duration::from_millis(750) && delay <= Duration::from_secs(10), "{delay:?}");
            assert!(delay >= retry_after(level, jitter).min(Duration::from_secs(10)));
        }
    }
    assert!(retry_after_level(0.2, 0.5) > retry_after_level(0.8, 0.5));
}

/// The entry of a level that limits a class says which service reported it, how low it was and how long ago.
#[test]
fn the_report_that_binds_a_class_is_listed() {
    let mut table = LevelTable::with_hold(Duration::from_millis(100));
    table.on_report(&class(), &ServiceName::new("catalogue"), 0, 0.9, at(0));
    table.on_report(&class(), &ServiceName::new("stockroom"), 1, 0.2, at(0));
    let binding = table.binding_levels(at(200));
    let [lowest] = binding.as_slice() else { panic!("{binding:?}") };
    assert_eq!((lowest.service.as_str(), lowest.hop, lowest.held), ("stockroom", 1, 0.2));
    assert_eq!(lowest.age, Duration::from_millis(200));
    assert!((lowest.level - table.level(&class(), 0, at(200))).abs() < 1e-9);
    assert!(table.binding_levels(at(2_000)).is_empty(), "it has risen since");
}
