//! Which instance is known to be there, and how long requests wait to learn it.

use std::time::Duration;

use olivegate_sidecar::gate::identity::{CheckResult, InstanceIdentity, max_check_wait_for};
use olivegate_types::InstanceName;
use rstest::rstest;

fn books() -> InstanceName {
    InstanceName::new("books-1")
}

#[rstest]
fn an_answer_confirms_its_instance_unless_it_was_sent_before_a_doubt() {
    let identity = InstanceIdentity::default();
    let before = identity.epoch();
    identity.invalidate();
    identity.confirm(&books(), before);
    assert!(!identity.is_confirmed(&books()), "sent before the doubt");
    identity.confirm(&books(), identity.epoch());
    assert!(identity.is_confirmed(&books()));
    identity.invalidate();
    assert!(!identity.is_confirmed(&books()));
}

#[rstest]
fn a_question_is_asked_once_and_anew_after_a_doubt() {
    let identity = InstanceIdentity::default();
    let (_, first) = identity.start_check(&books());
    let (_, second) = identity.start_check(&books());
    assert!(first.is_some() && second.is_none());
    identity.invalidate();
    let (_, third) = identity.start_check(&books());
    assert!(third.is_some());
    identity.complete(first.unwrap(), CheckResult::Expected);
    assert!(!identity.is_confirmed(&books()), "asked before the doubt");
    identity.complete(third.unwrap(), CheckResult::Expected);
    assert!(identity.is_confirmed(&books()));
}

#[rstest]
fn who_has_little_time_waits_little() {
    let seconds = Duration::from_secs;
    assert_eq!(max_check_wait_for(seconds(1), seconds(5)), Duration::from_millis(100));
    assert_eq!(max_check_wait_for(seconds(60), seconds(60)), Duration::from_millis(100), "at most");
    assert_eq!(max_check_wait_for(Duration::from_millis(300), seconds(5)), Duration::from_millis(30));
    assert_eq!(max_check_wait_for(seconds(1), Duration::from_millis(40)), Duration::from_millis(4));
}
