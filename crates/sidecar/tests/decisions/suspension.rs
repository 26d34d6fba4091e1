//! Tests of detecting a suspension by two clocks, one of which counts it.

use std::net::IpAddr;
use std::time::Duration;

use olivegate_sidecar::peers::freshness::{Freshness, Reading};
use olivegate_sidecar::suspension::SuspensionDetector;
use olivegate_types::Moment;
use rstest::rstest;

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

#[rstest]
#[case::awake(250, None)]
#[case::readings_apart(260, None)]
#[case::suspended(30_250, Some(30_000))]
fn a_suspension_is_detected_once(#[case] now_ms: u64, #[case] suspended_ms: Option<u64>) {
    let mut detector = SuspensionDetector::default();
    assert_eq!(detector.check(at(5_000), at(1_000)), None, "a suspension before the first call does not count");
    let suspended = detector.check(at(5_000 + now_ms), at(1_250));
    assert_eq!(suspended, suspended_ms.map(Duration::from_millis));
    assert_eq!(detector.check(at(5_250 + now_ms), at(1_500)), None);
}

/// A reading from before a suspension has aged by its length on resume.
#[rstest]
fn a_reading_ages_while_the_machine_is_suspended() {
    let own: IpAddr = "10.0.0.2".parse().unwrap();
    let mut freshness = Freshness::new(own);
    freshness.on_announced(Reading { reader: own, at: at(1_000) });
    assert!(!freshness.should_read(0, at(1_250)));
    let (now, awake) = (at(31_250), at(1_250));
    assert!(freshness.should_read(0, now) && !freshness.should_read(0, awake));
}

/// The process clock advances while the machine is suspended, and is never behind the monotonic clock.
#[rstest]
fn the_clock_used_for_ages_counts_suspensions() {
    let awake = olivegate_clock::monotonic_now();
    let now = olivegate_clock::now();
    assert!(now >= awake);
    let until = now + Duration::from_secs(3);
    let left = olivegate_clock::instant_of(until).duration_since(tokio::time::Instant::now());
    assert!(left <= Duration::from_secs(3) && left > Duration::from_secs(2));
}
