//! Expected service times, and probes of routes that were slow.

use std::time::Duration;

use olivegate_overload::ExpectedTimes;
use olivegate_types::Moment;

const ROUTE: &str = "search";
const DEFAULT: Duration = Duration::from_millis(100);
const SLOW: Duration = Duration::from_millis(3_000);
const TIME_LEFT: Duration = Duration::from_millis(600);

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

/// Times expected for requests with little time left, one every 50 ms for three seconds.
fn expected_over_time(times: &mut ExpectedTimes) -> Vec<Duration> {
    (1..=60).map(|step| times.for_request(ROUTE, DEFAULT, TIME_LEFT, at(step * 50))).collect()
}

#[test]
fn a_route_without_samples_has_the_default_time() {
    assert_eq!(ExpectedTimes::default().get(ROUTE, DEFAULT), DEFAULT);
}

#[test]
fn a_slow_route_is_probed_once_every_half_second() {
    let mut times = ExpectedTimes::default();
    times.record(ROUTE, SLOW, at(0));
    let probes = expected_over_time(&mut times).into_iter().filter(|expected| *expected <= TIME_LEFT / 2).count();
    assert_eq!(probes, 6);
}

#[test]
fn a_probe_that_is_answered_quickly_ends_the_refusals() {
    let mut times = ExpectedTimes::default();
    times.record(ROUTE, SLOW, at(0));
    let mut now_ms = 0;
    while times.get(ROUTE, DEFAULT) > TIME_LEFT && now_ms < 3_000 {
        now_ms += 50;
        if times.for_request(ROUTE, DEFAULT, TIME_LEFT, at(now_ms)) <= TIME_LEFT {
            times.record(ROUTE, Duration::from_millis(20), at(now_ms));
        }
    }
    assert!(now_ms <= 1_600, "{now_ms} ms");
}

#[test]
fn a_slow_probe_leaves_the_route_slow() {
    let mut times = ExpectedTimes::default();
    times.record(ROUTE, SLOW, at(0));
    times.for_request(ROUTE, DEFAULT, TIME_LEFT, at(600));
    times.record(ROUTE, SLOW, at(700));
    assert_eq!(times.get(ROUTE, DEFAULT), SLOW);
    assert_eq!(times.for_request(ROUTE, DEFAULT, TIME_LEFT, at(800)), SLOW, "the next probe is not due");
}

#[test]
fn requests_with_enough_time_are_not_probes() {
    let mut times = ExpectedTimes::default();
    times.record(ROUTE, SLOW, at(0));
    assert_eq!(times.for_request(ROUTE, DEFAULT, SLOW * 2, at(5_000)), SLOW);
}

#[test]
fn a_rare_sample_weighs_more_than_one_of_many() {
    let mut often = ExpectedTimes::default();
    let mut rarely = ExpectedTimes::default();
    for (times, next_ms) in [(&mut often, 10), (&mut rarely, 1_000)] {
        times.record(ROUTE, SLOW, at(0));
        times.record(ROUTE, Duration::ZERO, at(next_ms));
    }
    assert_eq!(often.get(ROUTE, DEFAULT), SLOW.mul_f64(0.9));
    assert_eq!(rarely.get(ROUTE, DEFAULT), SLOW.mul_f64(0.5));
}
