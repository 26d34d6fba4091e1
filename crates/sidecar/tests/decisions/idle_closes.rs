//! Which closes of idle connections are a sign of an end.

use std::time::Duration;

use olivegate_sidecar::gate::idle_closes::IdleCloses;
use rstest::rstest;

const REST: Duration = Duration::from_millis(400);

#[rstest]
fn a_close_is_a_sign_until_the_instance_was_seen_to_live_after_it() {
    let mut closes = IdleCloses::default();
    assert!(closes.on_closed(REST));
    assert!(closes.on_closed(REST), "nothing has been seen since");
    closes.on_alive();
    assert!(!closes.on_closed(REST), "its idle timeout");
    assert!(!closes.on_closed(REST / 2), "it may have been closed long before it was found");
}

#[rstest]
fn a_close_after_a_shorter_rest_is_a_sign_again() {
    let mut closes = IdleCloses::default();
    closes.on_closed(REST);
    closes.on_alive();
    assert!(closes.on_closed(REST / 4));
    closes.on_alive();
    assert!(!closes.on_closed(REST / 8));
}

#[rstest]
fn an_idle_timeout_ends_with_its_process() {
    let mut closes = IdleCloses::default();
    closes.on_closed(REST);
    closes.on_alive();
    closes.on_ended();
    assert!(closes.on_closed(REST));
}

#[rstest]
fn an_instance_that_lives_without_a_close_has_no_idle_timeout() {
    let mut closes = IdleCloses::default();
    closes.on_alive();
    assert!(closes.on_closed(Duration::from_secs(60)));
}
