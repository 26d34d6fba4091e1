//! How long requests are expected to take, and trials of what was slow.

use std::time::Duration;

use olivegate_overload::ExpectedTimes;
use olivegate_types::Moment;

const ROUTE: &str = "search";
const UNSEEN: Duration = Duration::from_millis(100);
const SLOW: Duration = Duration::from_millis(3_000);
const SHORT: Duration = Duration::from_millis(600);

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

/// Times expected for requests with little time, asked every 50 ms in three seconds.
fn asked(times: &mut ExpectedTimes) -> Vec<Duration> {
    (1..=60).map(|step| times.for_request(ROUTE, UNSEEN, SHORT, at(step * 50))).collect()
}

#[test]
fn what_was_never_seen_is_expected_to_take_what_the_caller_says() {
    assert_eq!(ExpectedTimes::default().get(ROUTE, UNSEEN), UNSEEN);
}

#[test]
fn one_request_in_half_a_second_tries_what_was_slow() {
    let mut times = ExpectedTimes::default();
    times.record(ROUTE, SLOW, at(0));
    let trials = asked(&mut times).into_iter().filter(|expected| *expected <= SHORT / 2).count();
    assert_eq!(trials, 6);
}

#[test]
fn a_trial_that_is_answered_soon_ends_the_refusals() {
    let mut times = ExpectedTimes::default();
    times.record(ROUTE, SLOW, at(0));
    let mut now_ms = 0;
    while times.get(ROUTE, UNSEEN) > SHORT && now_ms < 3_000 {
        now_ms += 50;
        if times.for_request(ROUTE, UNSEEN, SHORT, at(now_ms)) <= SHORT {
            times.record(ROUTE, Duration::from_millis(20), at(now_ms));
        }
    }
    assert!(now_ms <= 1_600, "{now_ms} ms");
}

#[test]
fn a_trial_that_takes_long_leaves_the_route_slow() {
    let mut times = ExpectedTimes::default();
    times.record(ROUTE, SLOW, at(0));
    times.for_request(ROUTE, UNSEEN, SHORT, at(600));
    times.record(ROUTE, SLOW, at(700));
    assert_eq!(times.get(ROUTE, UNSEEN), SLOW);
    assert_eq!(times.for_request(ROUTE, UNSEEN, SHORT, at(800)), SLOW, "the next trial is not due");
}

#[test]
fn requests_with_time_enough_are_no_trials() {
    let mut times = ExpectedTimes::default();
    times.record(ROUTE, SLOW, at(0));
    assert_eq!(times.for_request(ROUTE, UNSEEN, SLOW * 2, at(5_000)), SLOW);
}

#[test]
fn a_rare_sample_weighs_more_than_one_of_many() {
    let mut often = ExpectedTimes::default();
    let mut rarely = ExpectedTimes::default();
    for (times, next_ms) in [(&mut often, 10), (&mut rarely, 1_000)] {
        times.record(ROUTE, SLOW, at(0));
        times.record(ROUTE, Duration::ZERO, at(next_ms));
    }
    assert_eq!(often.get(ROUTE, UNSEEN), SLOW.mul_f64(0.9));
    assert_eq!(rarely.get(ROUTE, UNSEEN), SLOW.mul_f64(0.5));
}
