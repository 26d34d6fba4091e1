//! Which instance is known to be listening, and how long requests wait for an identity check.

use std::time::Duration;

use olivegate_sidecar::gate::identity::{CheckResult, InstanceIdentity, max_check_wait_for};
use olivegate_types::InstanceName;
use rstest::rstest;

fn books() -> InstanceName {
    InstanceName::new("books-1")
}

#[rstest]
fn a_response_confirms_its_instance_unless_its_request_is_older_than_an_invalidation() {
    let identity = InstanceIdentity::default();
    let before = identity.epoch();
    identity.invalidate();
    identity.confirm(&books(), before);
    assert!(!identity.is_confirmed(&books()), "sent before the invalidation");
    identity.confirm(&books(), identity.epoch());
    assert!(identity.is_confirmed(&books()));
    identity.invalidate();
    assert!(!identity.is_confirmed(&books()));
}

#[rstest]
fn a_check_is_shared_until_the_identity_is_invalidated() {
    let identity = InstanceIdentity::default();
    let (_, first) = identity.start_check(&books());
    let (_, second) = identity.start_check(&books());
    assert!(first.is_some() && second.is_none());
    identity.invalidate();
    let (_, third) = identity.start_check(&books());
    assert!(third.is_some());
    identity.complete(first.unwrap(), CheckResult::Expected);
    assert!(!identity.is_confirmed(&books()), "started before the invalidation");
    identity.complete(third.unwrap(), CheckResult::Expected);
    assert!(identity.is_confirmed(&books()));
}

#[rstest]
fn requests_with_little_time_wait_little() {
    let seconds = Duration::from_secs;
    assert_eq!(max_check_wait_for(seconds(1), seconds(5)), Duration::from_millis(100));
    assert_eq!(max_check_wait_for(seconds(60), seconds(60)), Duration::from_millis(100), "at most");
    assert_eq!(max_check_wait_for(Duration::from_millis(300), seconds(5)), Duration::from_millis(30));
    assert_eq!(max_check_wait_for(seconds(1), Duration::from_millis(40)), Duration::from_millis(4));
}
