//! The token bucket of an instance: examples, and a property over the requests that it lets through.

use std::time::Duration;

use olivegate_overload::{
    AdaptiveLimit, Admission, DeclaredRate, InstanceQueue, Pacer, QueueSettings, RateError, SlotRequest,
};
use olivegate_types::{GroupName, Importance, Moment, RefusalReason, SheddingRank};
use proptest::prelude::*;
use rstest::rstest;

/// Length of the windows over which the declared rate is checked.
const WINDOW: Duration = Duration::from_secs(4);

fn rate(per_second: f64) -> DeclaredRate {
    per_second.try_into().unwrap()
}

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

#[rstest]
#[case("13", Some(13.0))]
#[case(" 2.8 ", Some(2.8))]
#[case("0", Some(0.0))]
#[case("-0", Some(0.0))]
fn a_rate_is_parsed(#[case] text: &str, #[case] per_second: Option<f64>) {
    assert_eq!(text.parse().ok().map(DeclaredRate::per_second), per_second);
}

#[rstest]
#[case("-1", RateError::Negative)]
#[case("NaN", RateError::NotANumber)]
#[case("1e400", RateError::Infinite)]
#[case("", RateError::NotANumber)]
#[case("1, 2", RateError::NotANumber)]
fn invalid_rates_are_rejected_with_the_reason(#[case] text: &str, #[case] error: RateError) {
    assert_eq!(text.parse::<DeclaredRate>(), Err(error));
}

#[test]
fn nothing_is_limited_until_a_rate_is_declared() {
    let mut pacer = Pacer::default();
    assert!((0..1_000).all(|_| pacer.take(at(0))));
    assert_eq!(pacer.wait_behind(1_000, at(0)), Duration::ZERO);
}

#[test]
fn the_wait_behind_others_follows_from_the_rate() {
    let mut pacer = Pacer::default();
    pacer.set_rate(Some(rate(2.0)), at(0));
    assert_eq!(pacer.wait_behind(0, at(0)), Duration::from_millis(500));
    assert_eq!(pacer.wait_behind(19, at(0)), Duration::from_secs(10));
    assert!(!pacer.take(at(499)) && pacer.take(at(500)) && !pacer.take(at(501)));
}

/// Guards against a burst after an idle or frozen minute: the bucket holds no more tokens than usual.
#[test]
fn an_idle_minute_accumulates_no_burst() {
    let mut pacer = Pacer::default();
    pacer.set_rate(Some(rate(8.0)), at(0));
    let let_through = (0..1_000).filter(|_| pacer.take(at(60_000))).count();
    assert_eq!(let_through, 4);
}

#[test]
fn refused_callers_retry_one_after_the_other() {
    let mut pacer = Pacer::default();
    pacer.set_rate(Some(rate(8.0)), at(0));
    let delays: Vec<u128> = (0..8).map(|_| pacer.retry_after(at(0)).as_millis()).collect();
    assert_eq!(delays, [125, 225, 325, 425, 500, 500, 500, 500]);
}

#[test]
fn a_request_that_would_wait_too_long_for_a_token_is_told_when_to_retry() {
    let settings = QueueSettings { max_wait: Duration::from_millis(100), waiting_per_slot: 4 };
    let mut queue = InstanceQueue::new(settings, AdaptiveLimit::new(10, false));
    queue.pacer_mut().set_rate(Some(rate(2.0)), at(0));
    let request = SlotRequest {
        importance: Importance(1),
        group: GroupName::new("all"),
        weight: 1,
        hop: 0,
        rank: SheddingRank(u16::MAX / 2),
        deadline: at(60_000),
        expected: Duration::from_millis(20),
        max_wait: Some(Duration::from_millis(400)),
    };
    let Admission::Refuse(refusal) = queue.submit(request, at(0)) else { panic!("it was not refused") };
    assert_eq!(refusal.reason, RefusalReason::RateLimited);
    assert!(refusal.retry_after.abs_diff(Duration::from_millis(500)) < Duration::from_millis(1));
}

#[derive(Debug, Clone)]
enum Step {
    Declare(u16),
    Pass(u16),
    Take(u8),
    GiveBack,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        1 => (0..400_u16).prop_map(Step::Declare),
        6 => (0..700_u16).prop_map(Step::Pass),
        6 => any::<u8>().prop_map(Step::Take),
        1 => Just(Step::GiveBack),
    ];
    prop::collection::vec(step, 1..200)
}

proptest! {
    /// No window gets more than one and a half times the largest rate declared in it, plus five requests.
    #[test]
    fn no_window_gets_more_than_the_declared_rate_allows(steps in steps()) {
        let mut pacer = Pacer::default();
        let mut now = at(0);
        let mut largest: Vec<(Moment, f64)> = vec![(now, 40.0)];
        pacer.set_rate(Some(rate(40.0)), now);
        let mut taken: Vec<Moment> = Vec::new();
        for step in steps {
            match step {
                Step::Declare(tenths) => {
                    pacer.set_rate(Some(rate(f64::from(tenths) / 10.0)), now);
                    largest.push((now, f64::from(tenths) / 10.0));
                }
                Step::Pass(millis) => now = now + Duration::from_millis(millis.into()),
                Step::Take(most) => taken.extend((0..most).filter(|_| pacer.take(now)).map(|_| now)),
                Step::GiveBack => if taken.pop().is_some() { pacer.refund(now) },
            }
        }
        for begin in &taken {
            let end = *begin + WINDOW;
            let count = taken.iter().filter(|at| *begin <= **at && **at < end).count();
            let before = largest.iter().rfind(|(at, _)| at < begin).map_or(0.0, |(_, rate)| *rate);
            let within = largest.iter().filter(|(at, _)| *begin <= *at && *at < end).map(|(_, rate)| *rate);
            let rate = within.fold(before, f64::max);
            prop_assert!(count as f64 <= 1.5 * rate * WINDOW.as_secs_f64() + 5.0, "{count} at {rate}");
        }
    }
}
