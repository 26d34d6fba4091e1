//! A process that falls behind its load starts less work.

use std::time::Duration;

use olivegate_overload::pressure::{ProcessPace, ProcessPressure};
use olivegate_overload::{AdaptiveLimit, Admission, InstanceQueue, QueueSettings, SlotRequest};
use olivegate_types::{GroupName, Importance, Moment, SheddingRank};
use rstest::rstest;

const LATE: Duration = Duration::from_millis(80);
const IN_TIME: Duration = Duration::from_millis(3);

fn at(millis: u64) -> Moment {
    Moment::after_start(Duration::from_millis(millis))
}

/// Records `lateness` every 20 ms from `from` to `to`, in milliseconds.
fn sample(pressure: &mut ProcessPressure, lateness: Duration, from: u64, to: u64) -> Vec<ProcessPace> {
    (from..to).step_by(20).filter_map(|millis| pressure.on_lateness(lateness, at(millis))).collect()
}

#[rstest]
fn a_process_that_stays_late_admits_less_until_it_keeps_up_again() {
    let mut pressure = ProcessPressure::default();
    let paces = sample(&mut pressure, LATE, 1_000, 3_000);
    assert!(paces.iter().all(|pace| *pace == ProcessPace::Late), "{paces:?}");
    assert!(pressure.admitted_fraction() < 0.2, "{}", pressure.admitted_fraction());
    sample(&mut pressure, IN_TIME, 3_000, 8_000);
    assert!((pressure.admitted_fraction() - 1.0).abs() < 1e-9, "{}", pressure.admitted_fraction());
}

#[rstest]
fn single_pauses_do_not_reduce_admission() {
    let mut pressure = ProcessPressure::default();
    for second in 1..20 {
        pressure.on_lateness(Duration::from_millis(900), at(second * 1_000 + 5));
        sample(&mut pressure, IN_TIME, second * 1_000 + 20, second * 1_000 + 900);
    }
    assert!(pressure.admitted_fraction() > 0.99, "{}", pressure.admitted_fraction());
}

fn request() -> SlotRequest {
    SlotRequest {
        importance: Importance(1),
        group: GroupName::new("all"),
        weight: 1,
        hop: 0,
        rank: SheddingRank(0),
        deadline: at(60_000),
        expected: Duration::from_millis(100),
        max_wait: Some(Duration::ZERO),
    }
}

#[rstest]
fn the_gate_admits_no_more_than_the_process_can_handle() {
    let settings = QueueSettings { max_wait: Duration::from_millis(100), waiting_per_slot: 4 };
    let mut queue = InstanceQueue::new(settings, AdaptiveLimit::new(400, false));
    for _ in 0..100 {
        assert!(matches!(queue.submit(request(), at(1_000)), Admission::Dispatch(_)));
    }
    queue.on_process_pace(ProcessPace::Late);
    assert_eq!(queue.current_limit(), 85);
    assert!(matches!(queue.submit(request(), at(1_000)), Admission::Refuse(_)));
    for _ in 0..40 {
        queue.on_process_pace(ProcessPace::InTime);
    }
    assert_eq!(queue.current_limit(), 400);
}
