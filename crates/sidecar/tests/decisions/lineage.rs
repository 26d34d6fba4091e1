//! Calls told from clients' requests by deadlines.

use std::time::Duration;

use olivegate_sidecar::lineage::Lineage;
use olivegate_types::Moment;
use rstest::rstest;

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

/// Requests of 800 ms that begin every 40 ms and make one call after 120 ms; clients ask on
/// a route of their own.
fn observed() -> Lineage {
    let mut lineage = Lineage::default();
    let mut running = Vec::new();
    for step in 0..200 {
        let now = 40 * step;
        running.push((now, lineage.begin(at(now + 785), 0.0)));
        if now >= 120 {
            lineage.observe("call", at(now - 120 + 785 + 3));
        }
        lineage.observe("client", at(now + 5_000));
        if let Some(index) = running.iter().position(|(began, _)| now - began > 300) {
            lineage.end(running.remove(index).1);
        }
    }
    lineage
}

#[rstest]
fn a_route_whose_deadlines_are_those_of_running_requests_is_one_of_calls() {
    let lineage = observed();
    assert!(lineage.is_call_route("call"));
    assert!(!lineage.is_call_route("client"));
    assert!(!lineage.is_call_route("never seen"));
}

#[rstest]
fn a_failure_right_after_a_refused_call_is_explained_by_it() {
    let mut lineage = observed();
    lineage.on_refused("client", at(10_000));
    assert!(!lineage.explains_failure(at(10_001)));
    lineage.on_refused("call", at(10_000));
    assert!(lineage.explains_failure(at(10_002)));
    assert!(!lineage.explains_failure(at(10_000) + Duration::from_millis(100)));
}

#[rstest]
fn ended_requests_are_no_parents() {
    let mut lineage = Lineage::default();
    let key = lineage.begin(at(500), 0.0);
    lineage.end(key);
    lineage.observe("route", at(500));
    assert!(!lineage.is_call_route("route"));
}

#[rstest]
fn a_failure_right_after_a_failed_call_is_not_the_instances_own() {
    let mut lineage = observed();
    assert!(!lineage.follows_failed_call(at(10_000)));
    lineage.on_call_failed("call", at(10_000));
    assert!(lineage.follows_failed_call(at(10_002)));
    assert!(!lineage.explains_failure(at(10_002)), "a failed call is no want of capacity");
    assert!(!lineage.follows_failed_call(at(10_000) + Duration::from_millis(100)));
}

#[rstest]
fn a_call_is_a_repeat_as_probably_as_what_runs() {
    let mut lineage = Lineage::default();
    assert_eq!(lineage.repeat_part(), 0.0);
    let repeat = lineage.begin(at(100), 1.0);
    lineage.begin(at(100), 0.0);
    lineage.begin(at(200), 0.5);
    assert_eq!(lineage.repeat_part(), 0.5);
    lineage.end(repeat);
    assert_eq!(lineage.repeat_part(), 0.25);
}
