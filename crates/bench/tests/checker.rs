//! The checker finds a planted fault of each kind, and nothing in a sound history.

use olivegate_bench::checker::{Promise, check};
use olivegate_bench::history::{CallEnd, ClientCall, Event, EventKind, Execution, History, VersionSample};
use rstest::rstest;

const SECOND: u64 = 1_000_000;

fn call(token: &str) -> ClientCall {
    ClientCall {
        token: token.into(),
        logical: 1,
        attempt: 0,
        call: "POST /loans".into(),
        importance: 3,
        group: "readers".into(),
        key: Some("k1".into()),
        target: "node-a".into(),
        start_us: SECOND,
        end_us: 2 * SECOND,
        end: CallEnd::Answered,
        status: 200,
        outcome: "ok".into(),
        request: "r1".into(),
        retry_after: false,
        own_us: 100,
        work_us: 1_000,
    }
}

fn execution(token: &str) -> Execution {
    Execution {
        token: token.into(),
        request: "r1".into(),
        call: "POST /loans".into(),
        instance: "loans-0".into(),
        key: Some("k1".into()),
        attempt: 0,
        start_us: SECOND,
        end_us: 2 * SECOND,
        completed: true,
    }
}

fn sample(node: &str, at_us: u64, version: u64, digest: &str) -> VersionSample {
    VersionSample { at_us, node: node.into(), version, digest: digest.into() }
}

fn event(at_us: u64, what: EventKind) -> Event {
    Event { at_us, what }
}

fn sound() -> History {
    History {
        calls: vec![call("t1")],
        executions: vec![execution("t1")],
        events: Vec::new(),
        versions: vec![sample("node-a#1", SECOND, 1, "aa"), sample("node-a#1", 9 * SECOND, 2, "bb")],
        retry_bound: 3,
        judged: true,
    }
}

#[test]
fn a_sound_history_has_no_violation() {
    assert!(check(&sound()).is_empty());
}

#[rstest]
#[case::wrong_answer(Promise::OwnWholeAnswer, |h: &mut History| h.calls[0].end = CallEnd::WrongAnswer)]
#[case::not_run_that_ran(Promise::NotRunDidNotRun, |h: &mut History| {
    h.calls[0].status = 503;
    h.calls[0].outcome = "not-run".into();
    h.calls[0].retry_after = true;
})]
#[case::key_run_twice(Promise::AtMostOnce, |h: &mut History| h.executions.push(execution("t2")))]
#[case::too_many_retries(Promise::RetryBound, |h: &mut History| {
    for _ in 0..4 {
        h.executions.push(Execution { attempt: 1, key: None, ..execution("t1/0") });
    }
})]
#[case::work_to_a_leaving_instance(Promise::LeavingGetsNoWork, |h: &mut History| {
    h.events.push(event(SECOND, EventKind::Leaving("loans-0".into())));
    h.executions.push(Execution { start_us: 4 * SECOND, key: None, ..execution("t2") });
})]
#[case::cut_off_by_a_planned_stop(Promise::PlannedStopCutsNothing, |h: &mut History| {
    h.events.push(event(SECOND, EventKind::PlannedStop("node-a".into())));
    h.calls[0].end = CallEnd::Broken;
})]
#[case::node_says_it_cut_off(Promise::PlannedStopCutsNothing, |h: &mut History| {
    h.events.push(event(SECOND, EventKind::StopCutOff("node-a".into())));
})]
#[case::version_went_back(Promise::VersionNeverReverts, |h: &mut History| {
    h.versions.push(sample("node-a#1", 9 * SECOND + 1, 1, "aa"));
})]
#[case::restarted_on_an_older_version(Promise::VersionNeverReverts, |h: &mut History| {
    h.versions.push(sample("node-a#2", 9 * SECOND + 1, 1, "aa"));
})]
#[case::late_in_force(Promise::VersionInForceInTime, |h: &mut History| {
    h.events.push(event(10 * SECOND, EventKind::Publish(3, "cc".into())));
    h.versions.push(sample("node-a#1", 13 * SECOND, 2, "bb"));
    h.versions.push(sample("node-a#1", 14 * SECOND, 3, "cc"));
})]
#[case::nodes_on_different_versions(Promise::VersionsConverge, |h: &mut History| {
    h.versions.push(sample("node-b#1", 9 * SECOND, 2, "cc"));
})]
#[case::refusal_without_a_time(Promise::RefusalSaysWhen, |h: &mut History| {
    h.calls[0].status = 503;
    h.calls[0].outcome = "failed".into();
})]
fn a_planted_fault_is_found(#[case] promise: Promise, #[case] plant: fn(&mut History)) {
    let mut history = sound();
    plant(&mut history);
    let found: Vec<Promise> = check(&history).into_iter().map(|violation| violation.promise).collect();
    assert!(!found.is_empty() && found.iter().all(|other| *other == promise), "{found:?}");
}

#[test]
fn arms_without_nodes_are_checked_by_their_responses_only() {
    let mut history = History { judged: false, ..sound() };
    history.executions.push(execution("t2"));
    assert!(check(&history).is_empty());
}
