//! How long a connection may have rested.

use std::time::Duration;

use olivegate_sidecar::gate::idle_reuse::IdleReuseLimit;
use olivegate_sidecar::model::RetrySafety::{Safe, Unsafe};
use olivegate_types::Moment;
use rstest::rstest;

const IDLE_TIME: Duration = Duration::from_millis(400);

#[rstest]
fn a_lesson_bounds_the_rest_and_is_forgotten() {
    let mut reuse = IdleReuseLimit::default();
    assert_eq!(reuse.max_idle_time(Safe, Moment::from_millis(0)), Duration::MAX);
    reuse.on_broken(IDLE_TIME, Moment::from_millis(1_000));
    assert_eq!(reuse.max_idle_time(Safe, Moment::from_millis(2_000)), Duration::from_millis(100));
    reuse.on_broken(Duration::from_millis(200), Moment::from_millis(2_000));
    assert_eq!(reuse.max_idle_time(Safe, Moment::from_millis(11_000)), Duration::from_millis(100));
    assert_eq!(reuse.max_idle_time(Safe, Moment::from_millis(13_000)), Duration::MAX);
}

#[rstest]
fn a_lesson_of_a_short_rest_trusts_a_part_of_it() {
    let mut reuse = IdleReuseLimit::default();
    reuse.on_broken(Duration::from_millis(100), Moment::from_millis(1_000));
    assert_eq!(reuse.max_idle_time(Safe, Moment::from_millis(2_000)), Duration::from_millis(60));
}

#[rstest]
fn a_longer_rest_teaches_nothing_that_a_shorter_one_did_not() {
    let mut reuse = IdleReuseLimit::default();
    reuse.on_broken(IDLE_TIME, Moment::from_millis(1_000));
    reuse.on_broken(IDLE_TIME * 5, Moment::from_millis(1_500));
    assert_eq!(reuse.max_idle_time(Safe, Moment::from_millis(2_000)), Duration::from_millis(100));
}

/// Guards against a long first rest that teaches to trust rests which are forgotten, too.
#[rstest]
#[case::short(300)]
#[case::long(600)]
#[case::longer(900)]
#[case::much_longer(6_000)]
fn however_long_the_rest_that_was_lost_one_lesson_is_enough(#[case] rested_ms: u64) {
    let mut reuse = IdleReuseLimit::default();
    reuse.on_broken(Duration::from_millis(rested_ms), Moment::from_millis(1_000));
    assert!(
        reuse.max_idle_time(Safe, Moment::from_millis(2_000)) <= Duration::from_millis(150),
        "forgotten after that"
    );
}

#[rstest]
fn what_may_run_once_gets_connections_that_hardly_rested() {
    let mut reuse = IdleReuseLimit::default();
    assert_eq!(reuse.max_idle_time(Unsafe, Moment::from_millis(0)), Duration::from_millis(100));
    reuse.on_broken(Duration::from_millis(100), Moment::from_millis(0));
    assert_eq!(reuse.max_idle_time(Unsafe, Moment::from_millis(0)), Duration::from_millis(60));
    reuse.on_broken(Duration::from_millis(5), Moment::from_millis(0));
    assert_eq!(
        reuse.max_idle_time(Unsafe, Moment::from_millis(0)),
        Duration::from_millis(60),
        "too short to tell"
    );
}
