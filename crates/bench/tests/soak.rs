//! Tests of the soak's plans and checks: plans repeat from their seed, and each broken promise is found.

use olivegate_bench::soak::BOUNDS;
use olivegate_bench::soak::checker::{Promise, check, last_run_after_leaving_s};
use olivegate_bench::soak::fault_kind::{FaultKind, InstanceFault, LinkFault};
use olivegate_bench::soak::plan::{FAULT_FREE_END_S, FAULT_FREE_START_S, Fault, Plan};
use olivegate_bench::soak::record::{
    Call, CallEnd, CallPurpose, Crash, Disturbance, InstanceLifetime, Leaving, Record, Run, Stop, TimerLag,
};
use olivegate_bench::soak::traces::lines_about;
use rstest::rstest;

const LENGTH_S: f64 = 60.0;

#[rstest]
fn a_plan_repeats_from_its_seed() {
    let plan = Plan::draw(7, LENGTH_S, 12, false);
    assert_eq!(plan, Plan::draw(7, LENGTH_S, 12, false));
    assert_ne!(plan, Plan::draw(8, LENGTH_S, 12, false));
    assert!(plan.faults.len() > 5, "{plan:?}");
    assert!(plan.faults.iter().all(|fault| fault.machine < 12 && fault.at_s >= FAULT_FREE_START_S));
    assert!(plan.faults.iter().all(|fault| fault.at_s + fault.for_s <= LENGTH_S - FAULT_FREE_END_S + 0.2));
}

#[rstest]
fn planned_work_can_be_drawn_alone() {
    let plan = Plan::draw(7, 300.0, 12, true);
    assert!(plan.faults.iter().all(|fault| fault.kind.is_planned()) && plan.faults.len() > 20);
}

#[rstest]
fn faults_of_some_kinds_can_be_drawn_alone() {
    let plan = Plan::draw_kinds(7, 300.0, 12, &["Pause".into(), "Link(Silent".into()], 2.0);
    let is_named = |fault: &Fault| matches!(fault.kind, FaultKind::Pause | FaultKind::Link(LinkFault::Silent));
    assert!(plan.faults.iter().all(is_named) && plan.faults.len() > 20, "{plan:?}");
    assert!(plan.faults.iter().any(|fault| fault.kind == FaultKind::Pause), "{plan:?}");
    let denser = Plan::draw_kinds(7, 300.0, 12, &["Pause".into()], 0.2);
    assert!(denser.faults.len() > 5 * plan.faults.len(), "{} faults", denser.faults.len());
    assert!(Plan::draw_kinds(7, 300.0, 12, &["Nothing".into()], 2.0).faults.is_empty());
}

/// Only the lines of the request that broke a promise are found, each with its machine.
#[rstest]
fn log_lines_about_a_broken_promise_are_found() {
    let directory = std::env::temp_dir().join(format!("olivegate-traces-{}", std::process::id()));
    std::fs::create_dir_all(&directory).unwrap();
    let lines = "event=offered request=r-1 route=a\nevent=offered request=r-11 route=a\n";
    std::fs::write(directory.join("node-2.log"), lines).unwrap();
    std::fs::write(directory.join("node-1.log"), "event=started request=r-1 instance=i\n").unwrap();
    std::fs::write(directory.join("plan.txt"), "request=r-1 \n").unwrap();
    let found = lines_about(&directory, &["r-1"]);
    std::fs::remove_dir_all(&directory).unwrap();
    assert_eq!(
        found,
        [
            "subject=r-1 log=node-1 event=started request=r-1 instance=i",
            "subject=r-1 log=node-2 event=offered request=r-1 route=a",
        ]
    );
}

#[rstest]
fn a_plan_can_be_made_smaller() {
    let plan = Plan::draw(7, LENGTH_S, 12, false);
    let smaller = plan.clone().only(&[1, 3]);
    assert_eq!(smaller.faults, [plan.faults[1], plan.faults[3]]);
}

/// Each plan restores the store from a backup, with instances that leave soon after, and has a time without
/// watch events in which an instance leaves.
#[rstest]
#[case(1)]
#[case(7)]
#[case(501)]
fn a_plan_has_store_restores_and_instances_that_leave(#[case] seed: u64) {
    let plan = Plan::draw(seed, LENGTH_S, 12, false);
    let leaves_in = |from_s: f64, until_s: f64| {
        let leavings = plan.faults.iter().filter(|fault| fault.kind == FaultKind::InstanceLeaves);
        leavings.filter(|fault| (from_s..=until_s).contains(&fault.at_s)).count()
    };
    let is_restored = |fault: &&Fault| matches!(fault.kind, FaultKind::StoreRestored { .. });
    let restored: Vec<&Fault> = plan.faults.iter().filter(is_restored).collect();
    assert!((1..=2).contains(&restored.len()), "{restored:?}");
    for fault in restored {
        let restored_s = fault.at_s + fault.for_s;
        assert!(leaves_in(restored_s, restored_s + 5.0) >= 3, "{plan:?}");
    }
    let store_deaf = plan.faults.iter().find(|fault| fault.kind == FaultKind::StoreDeaf).unwrap();
    assert!(leaves_in(store_deaf.at_s, store_deaf.at_s + store_deaf.for_s) >= 1, "{plan:?}");
}

/// Each plan has instances that refuse, that promise wrongly and that leave responses unsigned.
#[rstest]
fn a_plan_has_each_kind_of_odd_response(#[values(1, 7, 501)] seed: u64) {
    let plan = Plan::draw(seed, LENGTH_S, 12, false);
    for odd in [InstanceFault::PromisesWrongly, InstanceFault::LeavesUnsigned, InstanceFault::Refusing] {
        assert!(plan.faults.iter().any(|fault| fault.kind == FaultKind::Instance(odd)), "{odd:?}: {plan:?}");
    }
}

/// Counts runs that undisturbed machines forwarded after the instance's announcement.
#[rstest]
fn the_last_run_after_a_leaving_is_measured() {
    let mut record = sound();
    assert_eq!(last_run_after_leaving_s(&record, &BOUNDS), 0.0);
    let run_s = record.runs[0].at_s;
    record.leaving.push(Leaving { instance: "i-1".into(), acknowledged_s: run_s - 0.75 });
    assert!((last_run_after_leaving_s(&record, &BOUNDS) - 0.75).abs() < 1e-9);
    record.disturbances.push(Disturbance { machine: None, from_s: run_s - 0.5, until_s: run_s - 0.4 });
    assert_eq!(last_run_after_leaving_s(&record, &BOUNDS), 0.0);
}

/// A soak that stalls for two of its last four seconds lagged for half of them.
#[rstest]
fn the_fraction_of_the_time_in_which_the_soak_lagged_is_measured() {
    let mut record = sound();
    record.timer_lags = vec![
        TimerLag { due_s: LENGTH_S - 10.0, lag_s: 0.5 },
        TimerLag { due_s: LENGTH_S - 5.0, lag_s: 2.0 },
        TimerLag { due_s: LENGTH_S - 2.0, lag_s: 1.0 },
    ];
    assert!((record.late_fraction(LENGTH_S - 4.0) - 0.5).abs() < 1e-9);
    assert!((record.late_fraction(0.0) - 3.5 / LENGTH_S).abs() < 1e-9);
}

/// A transfer that every version allows must not be denied; one that is over the limits may be.
#[rstest]
#[case::proper(true, 1)]
#[case::over_the_limit(false, 0)]
fn only_proper_transfers_must_not_be_denied(#[case] is_proper: bool, #[case] expected: usize) {
    let mut record = sound();
    let end = CallEnd::NodeFailed { status: 413, names_return: false, lacks_instance: None };
    record.calls.push(Call { purpose: CallPurpose::Transfer { is_proper }, ..call("upload", 10.0, end) });
    let denied =
        check(&record, &BOUNDS).iter().filter(|violation| violation.promise == Promise::NotDenied).count();
    assert_eq!(denied, expected);
}

/// An instance ran an upload with a part of its body.
#[rstest]
fn a_shortened_upload_is_found() {
    let mut record = sound();
    let purpose = CallPurpose::Transfer { is_proper: false };
    record.calls.push(Call { purpose, ..call("upload", 10.0, CallEnd::Answered) });
    record.runs.push(Run { body_matches: false, ..run_of("upload", 10.05) });
    let found = check(&record, &BOUNDS);
    assert!(found.iter().any(|violation| violation.promise == Promise::OnlyWhatWasAsked));
}

fn call(id: &str, sent_s: f64, end: CallEnd) -> Call {
    Call {
        id: id.into(),
        purpose: CallPurpose::Client,
        machine: 0,
        generation: 1,
        request_line: "POST /books/".into(),
        service: "books".into(),
        retry_safe: false,
        max_attempts: 2,
        sent_s,
        ended_s: sent_s + 0.1,
        end,
    }
}

fn run_of(id: &str, at_s: f64) -> Run {
    Run {
        id: id.into(),
        machine: 1,
        instance: "i-1".into(),
        service: "books".into(),
        caller: "desk".into(),
        tenant: "members".into(),
        carries_credential: false,
        request_line: "POST /books/".into(),
        body_matches: true,
        at_s,
    }
}

fn probe(version: u64, sent_s: f64, end: CallEnd) -> Call {
    let purpose = CallPurpose::Probe { version };
    let id = format!("probe-{version}-{sent_s}");
    Call { purpose, retry_safe: true, ..call(&id, sent_s, end) }
}

/// Two machines, a request answered at 10 s and another one in the last seconds.
fn sound() -> Record {
    let mut record =
        Record { services: vec!["desk".into(), "books".into()], length_s: LENGTH_S, ..Record::default() };
    for (id, at_s) in [("r1", 10.0), ("last", LENGTH_S - 1.0)] {
        record.calls.push(call(id, at_s, CallEnd::Answered));
        record.runs.push(run_of(id, at_s + 0.01));
    }
    record.runs[1].instance = "i-2".into();
    record.versions.extend([(1, 1.0), (2, 20.0)]);
    record
}

const NOT_FOUND: CallEnd = CallEnd::NodeFailed { status: 404, names_return: false, lacks_instance: None };
const REFUSED: CallEnd = CallEnd::NodeFailed { status: 503, names_return: true, lacks_instance: None };
const NO_INSTANCE: CallEnd =
    CallEnd::NodeFailed { status: 503, names_return: true, lacks_instance: Some("no-instance") };

fn broken(change: impl FnOnce(&mut Record)) -> Vec<Promise> {
    let mut record = sound();
    change(&mut record);
    check(&record, &BOUNDS).into_iter().map(|violation| violation.promise).collect()
}

/// A request that runs with the key that version 2 withdrew at 20 s.
fn with_key_of_version_1(record: &mut Record, sent_s: f64) {
    let purpose = CallPurpose::Guest { version: 1 };
    record.calls.push(Call { purpose, ..call("guest", sent_s, CallEnd::Answered) });
    record.runs.push(Run { tenant: "guests".into(), ..run_of("guest", sent_s + 0.01) });
}

/// A deadly content that crashes an instance every 3 s, starting at 10 s.
fn deadly_runs(record: &mut Record, count: usize) {
    for index in 0..count {
        let (id, instance) = (format!("deadly-{index}"), format!("i-deadly-{index}"));
        let at_s = 10.0 + 3.0 * index as f64;
        let request_line = "POST /books/deadly-1/".to_string();
        let purpose = CallPurpose::Deadly;
        record.calls.push(Call { purpose, request_line: request_line.clone(), ..call(&id, at_s, CallEnd::Cut) });
        record.runs.push(Run { request_line, instance: instance.clone(), ..run_of(&id, at_s) });
        record.crashes.push(Crash { instance, at_s: at_s + 0.1 });
    }
}

fn limited_in_5_s(record: &mut Record, count: usize) {
    for index in 0..count {
        let id = format!("limited-{index}");
        let at_s = 30.0 + 4.9 * index as f64 / count as f64;
        record.calls.push(Call { purpose: CallPurpose::Limited, ..call(&id, at_s, CallEnd::Answered) });
        record.runs.push(Run { tenant: "limited".into(), ..run_of(&id, at_s + 0.01) });
    }
}

#[rstest]
fn a_sound_record_breaks_nothing() {
    assert_eq!(broken(|_| {}), []);
}

/// Records that are just within the bounds break no promise.
#[rstest]
#[case::withdrawn_lately(|record: &mut Record| with_key_of_version_1(record, 23.9))]
#[case::deadly_and_held(|record: &mut Record| deadly_runs(record, 3 + 3))]
#[case::quota_used_up(|record: &mut Record| limited_in_5_s(record, 170))]
fn what_is_allowed_breaks_nothing(#[case] change: impl FnOnce(&mut Record)) {
    assert_eq!(broken(change), []);
}

#[rstest]
#[case::wrong_answer(Promise::OwnWholeAnswer, |record: &mut Record| record.calls[0].end = CallEnd::WrongAnswer)]
#[case::ran_twice(Promise::AtMostOnce, |record: &mut Record| record.runs.push(run_of("r1", 10.2)))]
#[case::refused_and_ran(Promise::NotRunDidNotRun, |record: &mut Record| record.calls[0].end = REFUSED)]
#[case::instance_refused_and_ran(Promise::NotRunDidNotRun, |record: &mut Record| record.calls[0].end = CallEnd::InstanceFailed(429))]
#[case::too_many(Promise::AttemptsBounded, |record: &mut Record| {
    record.calls[0].retry_safe = true;
    record.runs.extend([run_of("r1", 10.1), run_of("r1", 10.2)]);
})]
#[case::unasked(Promise::OnlyWhatWasAsked, |record: &mut Record| record.runs.push(run_of("unknown", 11.0)))]
#[case::changed(Promise::OnlyWhatWasAsked, |record: &mut Record| record.runs[0].body_matches = false)]
#[case::other_caller(Promise::OnlyWhatWasAsked, |record: &mut Record| record.runs[0].caller = "books".into())]
#[case::left(Promise::LeavingGetsNothing, |record: &mut Record| {
    record.leaving.push(Leaving { instance: "i-1".into(), acknowledged_s: 7.0 });
})]
#[case::stop_says_cut(Promise::StopCutsNothing, |record: &mut Record| {
    record.stops.push(Stop { machine: 1, at_s: 9.0, ended_s: 12.0, clean: false });
})]
#[case::stop_cut(Promise::StopCutsNothing, |record: &mut Record| {
    record.stops.push(Stop { machine: 0, at_s: 10.05, ended_s: 12.0, clean: true });
    record.calls[0].end = CallEnd::Cut;
})]
#[case::version_late(Promise::VersionInForce, |record: &mut Record| record.calls.push(probe(2, 24.0, NOT_FOUND)))]
#[case::version_stays(Promise::VersionInForce, |record: &mut Record| record.calls.push(probe(1, 24.0, CallEnd::Answered)))]
#[case::key_passed_on(Promise::KeyStaysAtEdge, |record: &mut Record| record.runs[0].carries_credential = true)]
#[case::other_tenant(Promise::TenantIsTold, |record: &mut Record| record.runs[0].tenant = "forged".into())]
#[case::stranger(Promise::OnlyHeldKeysRun, |record: &mut Record| {
    record.calls[0].purpose = CallPurpose::Stranger;
    record.runs[0].tenant = String::new();
})]
#[case::withdrawn(Promise::OnlyHeldKeysRun, |record: &mut Record| with_key_of_version_1(record, 24.1))]
#[case::over_quota(Promise::QuotaKept, |record: &mut Record| limited_in_5_s(record, 171))]
#[case::version_back(Promise::VersionNeverBack, |record: &mut Record| {
    record.calls.extend([probe(2, 20.5, CallEnd::Answered), probe(1, 21.6, CallEnd::Answered)]);
})]
#[case::no_return(Promise::RefusalSaysWhen, |record: &mut Record| {
    record.runs.remove(0);
    record.calls[0].end = CallEnd::NodeFailed { status: 503, names_return: false, lacks_instance: None };
})]
#[case::denied(Promise::NotDenied, |record: &mut Record| record.calls[0].end = NOT_FOUND)]
#[case::not_recovered(Promise::Recovers, |record: &mut Record| record.calls[1].end = CallEnd::TimedOut)]
#[case::deadly(Promise::DeadlyContentHeld, |record: &mut Record| deadly_runs(record, 3 + 4))]
#[case::ended(Promise::ProcessLives, |record: &mut Record| record.unexpected_exits.push(1))]
fn a_broken_promise_is_found(#[case] promise: Promise, #[case] change: impl FnOnce(&mut Record)) {
    let runs_of_probes = |record: &mut Record| {
        let probes: Vec<Run> = record
            .calls
            .iter()
            .filter(|call| call.id.starts_with("probe"))
            .map(|call| Run { request_line: call.request_line.clone(), ..run_of(&call.id, call.sent_s) })
            .collect();
        record.runs.extend(probes);
    };
    let broken = broken(|record| {
        change(record);
        runs_of_probes(record);
    });
    assert_eq!(broken, [promise]);
}

/// A request at 10 s that is refused for lack of an instance, while one on machine 1 accepted requests from
/// `from_s` to `until_s`.
fn refuse_despite_instance(record: &mut Record, from_s: f64, until_s: Option<f64>) {
    record.calls[0].end = NO_INSTANCE;
    record.runs.remove(0);
    record.lifetimes.push(InstanceLifetime { machine: 1, service: "books".into(), from_s, until_s });
}

#[rstest]
#[case::sound_all_the_time(1.0, None, &[Promise::SoundInstanceTakes])]
#[case::ended_before(1.0, Some(9.9), &[])]
#[case::ended_meanwhile(1.0, Some(10.05), &[])]
#[case::ended_later(1.0, Some(10.2), &[Promise::SoundInstanceTakes])]
#[case::known_to_few(8.0, None, &[])]
fn a_refusal_despite_a_healthy_instance_is_found(
    #[case] from_s: f64,
    #[case] until_s: Option<f64>,
    #[case] promises: &[Promise],
) {
    assert_eq!(broken(|record| refuse_despite_instance(record, from_s, until_s)), promises);
}

/// A healthy instance counts only if neither its machine nor the caller's was disturbed: a disturbed machine
/// can't be expected to reach others or to be reached by them.
#[rstest]
#[case::of_the_instance(1)]
#[case::of_the_caller(0)]
fn a_refusal_is_no_violation_if_a_machine_was_disturbed(#[case] machine: usize) {
    let broken = broken(|record| {
        refuse_despite_instance(record, 1.0, None);
        record.disturbances.push(Disturbance { machine: Some(machine), from_s: 8.0, until_s: 9.0 });
    });
    assert_eq!(broken, []);
}

#[rstest]
#[case::of_the_machine(Some(1))]
#[case::of_all(None)]
fn time_bounds_do_not_apply_to_a_disturbed_machine(#[case] machine: Option<usize>) {
    let broken = broken(|record| {
        record.leaving.push(Leaving { instance: "i-1".into(), acknowledged_s: 7.0 });
        record.disturbances.push(Disturbance { machine, from_s: 8.0, until_s: 8.5 });
    });
    assert_eq!(broken, []);
}
