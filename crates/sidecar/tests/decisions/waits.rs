//! How long readers wait for changes in one call.

use std::time::Duration;

use olivegate_quota::Tolerance;
use olivegate_sidecar::follow::watch::waits;
use olivegate_sidecar::settings::Bounds;
use rstest::rstest;

/// A source that drops its history tells waiting calls nothing for so long.
const DEAF: Duration = Duration::from_secs(1);
/// From the end of a call to the gates of all zones: its answer, what is gathered, the way.
const PASSED_ON: Duration = Duration::from_millis(300);

#[rstest]
#[case::small(3_000, 2_000)]
#[case::large(3_000, 2_500)]
fn a_change_that_no_waiting_call_is_told_is_known_in_time(#[case] contact_ms: u64, #[case] drain_ms: u64) {
    let bounds = Bounds {
        contact: Duration::from_millis(contact_ms),
        grace_period: Duration::from_secs(6),
        drain: Duration::from_millis(drain_ms),
        repeat_ratio: 0.2,
        repeat_slack: 50.0,
        repeat_window: Duration::from_secs(10),
        keys_proven_within: None,
        quota: Tolerance { window: Duration::from_secs(5), overshoot: 0.25, slack: 20.0 },
    };
    // Written as the call before ended, told to nobody, found when the next call ends.
    assert!(DEAF + waits(&bounds).end + PASSED_ON <= bounds.drain, "{:?}", waits(&bounds));
}
