//! How long a connection may have been idle to be reused.

use std::time::Duration;

use olivegate_sidecar::gate::idle_reuse::IdleReuseLimit;
use olivegate_sidecar::model::RetrySafety::{Safe, Unsafe};
use olivegate_types::Moment;
use rstest::rstest;

const IDLE_TIME: Duration = Duration::from_millis(400);

#[rstest]
fn a_broken_connection_limits_the_idle_time_until_the_limit_expires() {
    let mut reuse = IdleReuseLimit::default();
    assert_eq!(reuse.max_idle_time(Safe, Moment::from_millis(0)), Duration::MAX);
    reuse.on_broken(IDLE_TIME, Moment::from_millis(1_000));
    assert_eq!(reuse.max_idle_time(Safe, Moment::from_millis(2_000)), Duration::from_millis(100));
    reuse.on_broken(Duration::from_millis(200), Moment::from_millis(2_000));
    assert_eq!(reuse.max_idle_time(Safe, Moment::from_millis(11_000)), Duration::from_millis(100));
    assert_eq!(reuse.max_idle_time(Safe, Moment::from_millis(13_000)), Duration::MAX);
}

#[rstest]
fn a_break_after_a_short_idle_time_lowers_the_limit_to_a_fraction_of_it() {
    let mut reuse = IdleReuseLimit::default();
    reuse.on_broken(Duration::from_millis(100), Moment::from_millis(1_000));
    assert_eq!(reuse.max_idle_time(Safe, Moment::from_millis(2_000)), Duration::from_millis(60));
}

#[rstest]
fn a_break_after_a_longer_idle_time_does_not_raise_the_limit() {
    let mut reuse = IdleReuseLimit::default();
    reuse.on_broken(IDLE_TIME, Moment::from_millis(1_000));
    reuse.on_broken(IDLE_TIME * 5, Moment::from_millis(1_500));
    assert_eq!(reuse.max_idle_time(Safe, Moment::from_millis(2_000)), Duration::from_millis(100));
}

/// Guards against a first break after a long idle time that leaves the limit too high, so that connections
/// that the instance has dropped are still reused.
#[rstest]
#[case::short(300)]
#[case::long(600)]
#[case::longer(900)]
#[case::much_longer(6_000)]
fn one_break_is_enough_however_long_the_connection_was_idle(#[case] idle_ms: u64) {
    let mut reuse = IdleReuseLimit::default();
    reuse.on_broken(Duration::from_millis(idle_ms), Moment::from_millis(1_000));
    assert!(
        reuse.max_idle_time(Safe, Moment::from_millis(2_000)) <= Duration::from_millis(150),
        "connections are dropped after that"
    );
}

#[rstest]
fn requests_that_may_run_once_get_connections_that_were_hardly_idle() {
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
