//! How long readers wait for changes in one long poll.

use std::time::Duration;

use olivegate_quota::Tolerance;
use olivegate_sidecar::follow::watch::{check_interval, wait_range};
use olivegate_sidecar::settings::Bounds;
use rstest::rstest;

/// How long waiting calls are not notified of changes when the source has compacted its history.
const NO_NOTIFICATIONS: Duration = Duration::from_secs(1);
/// From the end of a call until the gates of all zones know: its response, batching and propagation.
const PROPAGATION: Duration = Duration::from_millis(300);

/// Three calls to the source: a check, the time in which the waiting call may still report the change, and a
/// read.
const THREE_SOURCE_CALLS: Duration = Duration::from_millis(150);

fn bounds(contact_ms: u64, drain_ms: u64) -> Bounds {
    Bounds {
        contact: Duration::from_millis(contact_ms),
        grace_period: Duration::from_secs(6),
        drain: Duration::from_millis(drain_ms),
        repeat_ratio: 0.2,
        repeat_slack: 50.0,
        repeat_window: Duration::from_secs(10),
        keys_proven_within: None,
        quota: Tolerance { window: Duration::from_secs(5), overshoot: 0.25, slack: 20.0 },
    }
}

#[rstest]
#[case::small(3_000, 2_000)]
#[case::large(3_000, 2_500)]
fn a_change_that_no_waiting_call_reports_is_known_in_time(#[case] contact_ms: u64, #[case] drain_ms: u64) {
    let bounds = bounds(contact_ms, drain_ms);
    // The change is written when one call ends, is reported to no waiting call, and is found when the next
    // call ends.
    assert!(NO_NOTIFICATIONS + wait_range(&bounds).end + PROPAGATION <= bounds.drain, "{:?}", wait_range(&bounds));
}

/// Half of the allowed time is left for nodes that are late.
#[rstest]
#[case::small(3_000, 2_000)]
#[case::large(3_000, 2_500)]
#[case::larger(4_000, 3_000)]
#[case::much_larger(15_000, 15_000)]
fn a_change_on_a_silent_connection_is_found_by_a_check_in_half_of_the_time(
    #[case] contact_ms: u64,
    #[case] drain_ms: u64,
) {
    let bounds = bounds(contact_ms, drain_ms);
    assert!(
        check_interval(&bounds) + THREE_SOURCE_CALLS + PROPAGATION <= bounds.drain / 2,
        "{:?}",
        check_interval(&bounds)
    );
}

/// Calls that end before a check is due need none.
#[rstest]
#[case::small(3_000, 2_000)]
#[case::large(3_000, 2_500)]
#[case::larger(4_000, 3_000)]
fn a_call_that_ends_in_time_needs_no_check(#[case] contact_ms: u64, #[case] drain_ms: u64) {
    let bounds = bounds(contact_ms, drain_ms);
    assert!(wait_range(&bounds).end < check_interval(&bounds), "{:?}", wait_range(&bounds));
}
