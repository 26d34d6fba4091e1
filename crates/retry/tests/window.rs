//! The windowed budget of repeats against a simple count.

use std::time::Duration;

use olivegate_retry::{RepeatBudget, RepeatPolicy};
use olivegate_types::Moment;
use proptest::prelude::*;
use rstest::rstest;

const POLICY: RepeatPolicy = RepeatPolicy { ratio: 0.2, slack: 3.0, window: Duration::from_secs(10) };

#[rstest]
fn repeats_follow_requests() {
    let mut budget = RepeatBudget::default();
    let now = Moment::from_millis(50_000);
    for _ in 0..10 {
        budget.on_request(&POLICY, now);
    }
    let granted = (0..20).filter(|_| budget.try_repeat(&POLICY, now)).count();
    assert_eq!(granted, 5, "a fifth of ten, and three");
    assert!(!budget.try_repeat(&POLICY, now + Duration::from_secs(5)));
    assert!(budget.try_repeat(&POLICY, now + Duration::from_secs(11)), "the window has passed");
}

proptest! {
    /// In any window the repeats stay within the ratio of the requests of that window and one
    /// part more, plus the slack.
    #[test]
    fn no_window_holds_more_than_its_share(events in proptest::collection::vec((0_u64..400, any::<bool>()), 0..300)) {
        let mut budget = RepeatBudget::default();
        let mut time = 0;
        let (mut requests, mut repeats) = (Vec::new(), Vec::new());
        for (pause, is_repeat) in events {
            time += pause;
            let now = Moment::from_millis(time);
            if !is_repeat {
                budget.on_request(&POLICY, now);
                requests.push(time);
            } else if budget.try_repeat(&POLICY, now) {
                repeats.push(time);
                let since = |times: &[u64], window: u64| times.iter().filter(|at| **at + window > time).count() as f64;
                let allowed = since(&requests, 10_000) * POLICY.ratio + POLICY.slack;
                prop_assert!(since(&repeats, 9_000) <= allowed, "{} of {allowed}", since(&repeats, 9_000));
            }
        }
    }
}
