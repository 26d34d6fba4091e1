//! Tests of the checks of what instances report only in responses: each broken promise is found, and what is
//! excused or just within the bounds is not reported.

use olivegate_bench::soak::BOUNDS;
use olivegate_bench::soak::checker::{Promise, check};
use olivegate_bench::soak::fault_kind::FaultKind;
use olivegate_bench::soak::plan::Plan;
use olivegate_bench::soak::record::{
    Arrival, Call, CallEnd, CallPurpose, DeclaredRate, Outage, OutageKind, Record, Run, SelfReport,
};
use rstest::rstest;

const LENGTH_S: f64 = 60.0;
const INSTANCE: &str = "i-1";
/// When the instance reports something about itself for the first time.
const REPORTED_S: f64 = 10.0;
/// The machine through which all requests are sent, and the number of starts of its process.
const EDGE: (usize, u32) = (0, 1);

/// A request through the machine [`EDGE`] that reaches the instance and is answered.
fn serve(record: &mut Record, sent_s: f64, generation: u32) -> String {
    let id = format!("r-{}", record.calls.len());
    record.calls.push(Call {
        id: id.clone(),
        purpose: CallPurpose::Client,
        machine: EDGE.0,
        generation,
        request_line: "GET /books/".into(),
        service: "books".into(),
        retry_safe: true,
        max_attempts: 2,
        sent_s,
        ended_s: sent_s + 0.1,
        end: CallEnd::Answered,
    });
    let at_s = sent_s + 0.01;
    record.arrivals.push(Arrival { request: id.clone(), instance: INSTANCE.into(), at_s });
    record.runs.push(Run {
        id: id.clone(),
        machine: 1,
        instance: INSTANCE.into(),
        service: "books".into(),
        caller: "desk".into(),
        tenant: "members".into(),
        carries_credential: false,
        request_line: "GET /books/".into(),
        body_matches: true,
        at_s,
    });
    id
}

/// A record in which a machine relayed a response with this report of the instance, and nothing else
/// happened.
fn record_with_report(rate: Option<f64>, is_leaving: bool) -> Record {
    let services = vec!["desk".into(), "books".into()];
    let mut record = Record { services, length_s: LENGTH_S, ..Record::default() };
    serve(&mut record, LENGTH_S - 1.0, EDGE.1);
    record.arrivals.clear();
    let request = serve(&mut record, REPORTED_S, EDGE.1);
    record.self_reports.push(SelfReport { request, instance: INSTANCE.into(), rate, is_leaving });
    record.declared_rates.extend(rate.map(|rate| DeclaredRate {
        instance: INSTANCE.into(),
        rate: Some(rate),
        at_s: REPORTED_S,
    }));
    record
}

fn promises(record: &Record) -> Vec<Promise> {
    check(record, &BOUNDS).into_iter().map(|violation| violation.promise).collect()
}

/// Sends `count` requests within four seconds, once the rate has to be followed.
fn serve_in_a_window(record: &mut Record, count: u32, generation: u32) {
    let from_s = REPORTED_S + BOUNDS.contact_s + 0.5;
    (0..count)
        .for_each(|number| drop(serve(record, from_s + f64::from(number) * 3.9 / f64::from(count), generation)));
}

#[rstest]
#[case::just_so(13.0, 83, &[])]
#[case::one_more(13.0, 84, &[Promise::DeclaredRateKept])]
#[case::none(0.0, 5, &[])]
#[case::none_and_more(0.0, 6, &[Promise::DeclaredRateKept])]
fn a_window_allows_one_and_a_half_times_the_rate_plus_five(
    #[case] rate: f64,
    #[case] count: u32,
    #[case] expected: &[Promise],
) {
    let mut record = record_with_report(Some(rate), false);
    serve_in_a_window(&mut record, count, EDGE.1);
    assert_eq!(promises(&record), expected);
}

#[rstest]
fn a_rate_that_is_no_longer_declared_is_not_checked() {
    let mut record = record_with_report(Some(0.0), false);
    record.declared_rates.push(DeclaredRate { instance: INSTANCE.into(), rate: None, at_s: REPORTED_S + 0.5 });
    serve_in_a_window(&mut record, 50, EDGE.1);
    assert_eq!(promises(&record), []);
}

/// A request is excused if its machine's process was restarted, frozen or cut off since the report. A cut
/// doesn't excuse requests to a leaving instance.
#[rstest]
#[case::restart(None, EDGE.1 + 1, &[], &[])]
#[case::freeze(Some(OutageKind::Frozen), EDGE.1, &[], &[])]
#[case::cut(Some(OutageKind::Cut), EDGE.1, &[], &[Promise::SaidLeavingGetsNothing])]
#[case::nothing(None, EDGE.1, &[Promise::DeclaredRateKept], &[Promise::SaidLeavingGetsNothing])]
fn a_restart_or_outage_of_the_machine_of_a_request_excuses_it(
    #[case] outage: Option<OutageKind>,
    #[case] generation: u32,
    #[case] of_rate: &[Promise],
    #[case] of_leaving: &[Promise],
) {
    let apply_outage = |record: &mut Record| {
        let (from_s, until_s) = (REPORTED_S + 0.5, REPORTED_S + 0.7);
        record.outages.extend(outage.map(|kind| Outage { machine: EDGE.0, kind, from_s, until_s }));
    };
    let mut record = record_with_report(Some(0.0), false);
    apply_outage(&mut record);
    serve_in_a_window(&mut record, 6, generation);
    assert_eq!(promises(&record), of_rate);
    let mut record = record_with_report(None, true);
    apply_outage(&mut record);
    serve(&mut record, REPORTED_S + 5.0, generation);
    assert_eq!(promises(&record), of_leaving);
}

/// A request may arrive if it was sent in time, or by a machine that didn't relay the report.
#[rstest]
fn a_request_sent_in_time_may_reach_a_leaving_instance() {
    let mut record = record_with_report(None, true);
    serve(&mut record, REPORTED_S + BOUNDS.drain_s, EDGE.1);
    assert_eq!(promises(&record), []);
    record.self_reports.clear();
    serve(&mut record, REPORTED_S + 20.0, EDGE.1);
    assert_eq!(promises(&record), []);
}

/// Each plan has instances that report something about themselves, most of them with concurrent faults of
/// their machines' processes.
#[rstest]
#[case(1)]
#[case(7)]
#[case(501)]
fn a_plan_has_instances_that_report_about_themselves(#[case] seed: u64) {
    let plan = Plan::draw(seed, LENGTH_S, 12, false);
    let is_self_report = |kind: FaultKind| matches!(kind, FaultKind::NamesRate { .. } | FaultKind::SaysLeaving);
    let self_reports = plan.faults.iter().filter(|fault| is_self_report(fault.kind)).count();
    assert!((2..=5).contains(&self_reports), "{plan:?}");
}
