//! How long readers wait for changes in one call.

use std::time::Duration;

use olivegate_quota::Tolerance;
use olivegate_sidecar::follow::watch::{check_interval, wait_range};
use olivegate_sidecar::settings::Bounds;
use rstest::rstest;

/// A source that drops its history tells waiting calls nothing for so long.
const DEAF: Duration = Duration::from_secs(1);
/// From the end of a call to the gates of all zones: its answer, what is gathered, the way.
const PASSED_ON: Duration = Duration::from_millis(300);

/// Three calls of the source: a look, what crosses it, a reading.
const THREE_CALLS: Duration = Duration::from_millis(150);

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
fn a_change_that_no_waiting_call_is_told_is_known_in_time(#[case] contact_ms: u64, #[case] drain_ms: u64) {
    let bounds = bounds(contact_ms, drain_ms);
    // Written as the call before ended, told to nobody, found when the next call ends.
    assert!(DEAF + wait_range(&bounds).end + PASSED_ON <= bounds.drain, "{:?}", wait_range(&bounds));
}

/// Half of the time that is allowed stays for nodes that are late.
#[rstest]
#[case::small(3_000, 2_000)]
#[case::large(3_000, 2_500)]
#[case::larger(4_000, 3_000)]
#[case::much_larger(15_000, 15_000)]
fn a_change_on_a_silent_connection_is_known_by_a_look_in_half_of_the_time(
    #[case] contact_ms: u64,
    #[case] drain_ms: u64,
) {
    let bounds = bounds(contact_ms, drain_ms);
    assert!(
        check_interval(&bounds) + THREE_CALLS + PASSED_ON <= bounds.drain / 2,
        "{:?}",
        check_interval(&bounds)
    );
}

/// Calls that end before a look is due need none.
#[rstest]
#[case::small(3_000, 2_000)]
#[case::large(3_000, 2_500)]
#[case::larger(4_000, 3_000)]
fn a_call_that_ends_in_time_costs_no_look(#[case] contact_ms: u64, #[case] drain_ms: u64) {
    let bounds = bounds(contact_ms, drain_ms);
    assert!(wait_range(&bounds).end < check_interval(&bounds), "{:?}", wait_range(&bounds));
}
