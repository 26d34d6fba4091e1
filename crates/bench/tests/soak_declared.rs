//! The soak's judge of what instances say in their answers alone: each promise can be seen broken, and
//! what is excused or allowed just so is not.

use olivegate_bench::soak::PROMISED;
use olivegate_bench::soak::checker::{Promise, judge};
use olivegate_bench::soak::plan::{FaultKind, Plan};
use olivegate_bench::soak::record::{
    Arrival, Call, CallEnd, CallPurpose, NamedRate, Notice, Outage, OutageKind, Record, Run,
};
use rstest::rstest;

const LENGTH_S: f64 = 60.0;
const INSTANCE: &str = "i-1";
/// When the instance says something of itself for the first time.
const SAID_S: f64 = 10.0;
/// The machine on which all requests begin, and the life of the process there.
const EDGE: (usize, u32) = (0, 1);

/// A request of the machine [`EDGE`] that comes to the instance and is answered.
fn serve(record: &mut Record, sent_s: f64, life: u32) -> String {
    let id = format!("r-{}", record.calls.len());
    record.calls.push(Call {
        id: id.clone(),
        purpose: CallPurpose::Client,
        machine: EDGE.0,
        life,
        asked: "GET /books/".into(),
        service: "books".into(),
        repeatable: true,
        attempts: 2,
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
        shows_key: false,
        asked: "GET /books/".into(),
        body_is_whole: true,
        at_s,
    });
    id
}

/// A machine that passed on an answer that says this of the instance; nothing else happens.
fn told(rate: Option<f64>, is_leaving: bool) -> Record {
    let services = vec!["desk".into(), "books".into()];
    let mut record = Record { services, length_s: LENGTH_S, ..Record::default() };
    serve(&mut record, LENGTH_S - 1.0, EDGE.1);
    record.arrivals.clear();
    let request = serve(&mut record, SAID_S, EDGE.1);
    record.notices.push(Notice { request, instance: INSTANCE.into(), rate, is_leaving });
    record.rates.extend(rate.map(|rate| NamedRate { instance: INSTANCE.into(), rate: Some(rate), at_s: SAID_S }));
    record
}

fn promises(record: &Record) -> Vec<Promise> {
    judge(record, &PROMISED).into_iter().map(|violation| violation.promise).collect()
}

/// So many requests come within four seconds, once the rate has to be followed.
fn serve_in_a_window(record: &mut Record, count: u32, life: u32) {
    let from_s = SAID_S + PROMISED.contact_s + 0.5;
    (0..count).for_each(|number| drop(serve(record, from_s + f64::from(number) * 3.9 / f64::from(count), life)));
}

#[rstest]
#[case::just_so(13.0, 83, &[])]
#[case::one_more(13.0, 84, &[Promise::DeclaredRateKept])]
#[case::none(0.0, 5, &[])]
#[case::none_and_more(0.0, 6, &[Promise::DeclaredRateKept])]
fn a_window_holds_half_as_much_again_as_the_rate_and_five(
    #[case] rate: f64,
    #[case] count: u32,
    #[case] expected: &[Promise],
) {
    let mut record = told(Some(rate), false);
    serve_in_a_window(&mut record, count, EDGE.1);
    assert_eq!(promises(&record), expected);
}

#[rstest]
fn a_rate_that_is_not_named_any_more_binds_nobody() {
    let mut record = told(Some(0.0), false);
    record.rates.push(NamedRate { instance: INSTANCE.into(), rate: None, at_s: SAID_S + 0.5 });
    serve_in_a_window(&mut record, 50, EDGE.1);
    assert_eq!(promises(&record), []);
}

/// Its process has started again, stood still or was cut off since; a cut excuses no leaving.
#[rstest]
#[case::restart(None, EDGE.1 + 1, &[], &[])]
#[case::freeze(Some(OutageKind::Frozen), EDGE.1, &[], &[])]
#[case::cut(Some(OutageKind::Cut), EDGE.1, &[], &[Promise::SaidLeavingGetsNothing])]
#[case::nothing(None, EDGE.1, &[Promise::DeclaredRateKept], &[Promise::SaidLeavingGetsNothing])]
fn what_happened_to_the_machine_of_a_request_excuses_it(
    #[case] outage: Option<OutageKind>,
    #[case] life: u32,
    #[case] of_rate: &[Promise],
    #[case] of_leaving: &[Promise],
) {
    let strike = |record: &mut Record| {
        let (from_s, until_s) = (SAID_S + 0.5, SAID_S + 0.7);
        record.outages.extend(outage.map(|kind| Outage { machine: EDGE.0, kind, from_s, until_s }));
    };
    let mut record = told(Some(0.0), false);
    strike(&mut record);
    serve_in_a_window(&mut record, 6, life);
    assert_eq!(promises(&record), of_rate);
    let mut record = told(None, true);
    strike(&mut record);
    serve(&mut record, SAID_S + 5.0, life);
    assert_eq!(promises(&record), of_leaving);
}

/// A request that was sent in time may come, and one of a machine that was not told.
#[rstest]
fn what_was_sent_in_time_may_reach_an_instance_that_leaves() {
    let mut record = told(None, true);
    serve(&mut record, SAID_S + PROMISED.drain_s, EDGE.1);
    assert_eq!(promises(&record), []);
    record.notices.clear();
    serve(&mut record, SAID_S + 20.0, EDGE.1);
    assert_eq!(promises(&record), []);
}

/// Each plan has instances that say something, most of them beside processes that are disturbed.
#[rstest]
#[case(1)]
#[case(7)]
#[case(501)]
fn a_plan_has_instances_that_say_something_of_themselves(#[case] seed: u64) {
    let plan = Plan::draw(seed, LENGTH_S, 12, false);
    let says = |kind: FaultKind| matches!(kind, FaultKind::NamesRate { .. } | FaultKind::SaysLeaving);
    let said = plan.faults.iter().filter(|fault| says(fault.kind)).count();
    assert!((2..=5).contains(&said), "{plan:?}");
}
