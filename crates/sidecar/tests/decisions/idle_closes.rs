//! Which closes of idle connections are a sign that the instance has ended.

use std::time::Duration;

use olivegate_sidecar::gate::idle_closes::IdleCloses;
use rstest::rstest;

const IDLE_TIME: Duration = Duration::from_millis(400);

#[rstest]
fn a_close_is_a_sign_until_the_instance_is_seen_alive_after_it() {
    let mut closes = IdleCloses::default();
    assert!(closes.on_closed(IDLE_TIME));
    assert!(closes.on_closed(IDLE_TIME), "the instance was not seen alive since");
    closes.on_alive();
    assert!(!closes.on_closed(IDLE_TIME), "attributed to the idle timeout");
    assert!(!closes.on_closed(IDLE_TIME / 2), "it may have been closed long before that was found");
}

#[rstest]
fn a_close_after_a_shorter_idle_time_is_a_sign_again() {
    let mut closes = IdleCloses::default();
    closes.on_closed(IDLE_TIME);
    closes.on_alive();
    assert!(closes.on_closed(IDLE_TIME / 4));
    closes.on_alive();
    assert!(!closes.on_closed(IDLE_TIME / 8));
}

#[rstest]
fn an_idle_timeout_ends_with_its_process() {
    let mut closes = IdleCloses::default();
    closes.on_closed(IDLE_TIME);
    closes.on_alive();
    closes.on_ended();
    assert!(closes.on_closed(IDLE_TIME));
}

#[rstest]
fn an_instance_seen_alive_without_a_close_has_no_idle_timeout() {
    let mut closes = IdleCloses::default();
    closes.on_alive();
    assert!(closes.on_closed(Duration::from_secs(60)));
}
