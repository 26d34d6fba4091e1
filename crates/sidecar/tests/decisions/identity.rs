//! Which instance is known to be there, and how long requests wait to learn it.

use std::time::Duration;

use olivegate_sidecar::gate::identity::{Found, InstanceIdentity, patience_within};
use olivegate_types::InstanceName;
use rstest::rstest;

fn books() -> InstanceName {
    InstanceName::new("books-1")
}

#[rstest]
fn an_answer_confirms_its_instance_unless_it_was_sent_before_a_doubt() {
    let identity = InstanceIdentity::default();
    let before = identity.doubts();
    identity.doubt();
    identity.confirm(&books(), before);
    assert!(!identity.is_confirmed(&books()), "sent before the doubt");
    identity.confirm(&books(), identity.doubts());
    assert!(identity.is_confirmed(&books()));
    identity.doubt();
    assert!(!identity.is_confirmed(&books()));
}

#[rstest]
fn a_question_is_asked_once_and_anew_after_a_doubt() {
    let identity = InstanceIdentity::default();
    let (_, first) = identity.question(&books());
    let (_, second) = identity.question(&books());
    assert!(first.is_some() && second.is_none());
    identity.doubt();
    let (_, third) = identity.question(&books());
    assert!(third.is_some());
    identity.learn(first.unwrap(), Found::Expected);
    assert!(!identity.is_confirmed(&books()), "asked before the doubt");
    identity.learn(third.unwrap(), Found::Expected);
    assert!(identity.is_confirmed(&books()));
}

#[rstest]
fn who_has_little_time_waits_little() {
    let seconds = Duration::from_secs;
    assert_eq!(patience_within(seconds(1), seconds(5)), Duration::from_millis(100));
    assert_eq!(patience_within(seconds(60), seconds(60)), Duration::from_millis(100), "at most");
    assert_eq!(patience_within(Duration::from_millis(300), seconds(5)), Duration::from_millis(30));
    assert_eq!(patience_within(seconds(1), Duration::from_millis(40)), Duration::from_millis(4));
}
