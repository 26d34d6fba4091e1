//! Declared rates as gates and edges know them.

use olivegate_overload::DeclaredRate;
use olivegate_sidecar::declared::{DeclaredRates, RateRecord, RateTracker};
use olivegate_sidecar::model::Incarnation;
use olivegate_types::InstanceName;
use proptest::prelude::*;

fn rate(per_second: f64) -> Option<DeclaredRate> {
    Some(per_second.try_into().unwrap())
}

fn record(incarnation: u64, per_second: Option<DeclaredRate>, sequence: u64) -> RateRecord {
    RateRecord { incarnation: Incarnation(incarnation), rate: per_second, sequence }
}

#[test]
fn a_gate_that_has_read_no_response_uses_what_edges_report() {
    let mut tracker = RateTracker::default();
    assert!(tracker.on_edge_report(record(0, rate(13.0), 7)).is_some());
    assert_eq!(tracker.record().rate, rate(13.0));
    assert!(tracker.on_edge_report(record(0, rate(20.0), 6)).is_none(), "an older record");
    assert!(tracker.on_response(None).is_some());
    assert_eq!(tracker.record(), record(0, None, 8));
}

#[test]
fn what_a_gate_has_read_supersedes_what_edges_report() {
    let mut tracker = RateTracker::default();
    tracker.on_response(None);
    assert!(tracker.on_edge_report(record(0, rate(13.0), 7)).is_none());
    assert_eq!(tracker.record().rate, None);
    let mut edge = DeclaredRates::default();
    let name = InstanceName::new("one");
    edge.note(&name, record(0, rate(13.0), 7));
    edge.note(&name, tracker.record());
    assert_eq!(edge.rate_of(&name), None, "the edge learns that the limit has ended");
}

#[test]
fn the_rate_of_one_incarnation_does_not_apply_to_another() {
    let mut tracker = RateTracker::default();
    tracker.set_incarnation(Incarnation(2_000));
    assert!(tracker.on_edge_report(record(1_000, rate(0.0), 9)).is_none());
    let mut edge = DeclaredRates::default();
    let name = InstanceName::new("one");
    edge.note(&name, record(2_000, rate(5.0), 1));
    edge.note(&name, record(1_000, rate(0.0), 9));
    assert_eq!(edge.rate_of(&name), rate(5.0));
    edge.note(&name, record(3_000, None, 0));
    assert_eq!(edge.rate_of(&name), None);
}

#[test]
fn an_edge_keeps_records_of_instances_that_have_declared_rates_until_they_are_gone() {
    let mut edge = DeclaredRates::default();
    let name = InstanceName::new("one");
    edge.note(&name, record(0, None, 0));
    assert_eq!(edge.record_for(&name), None);
    edge.note(&name, record(0, rate(5.0), 1));
    assert_eq!(edge.record_for(&name), Some(record(0, rate(5.0), 1)));
    edge.note(&name, record(0, None, 2));
    assert_eq!(edge.record_for(&name), Some(record(0, None, 2)));
    edge.note(&name, record(0, rate(6.0), 3));
    edge.retain(|_| false);
    assert_eq!(edge.rate_of(&name), None);
}

/// What happens to an instance, its gate and the edges.
#[derive(Debug, Clone)]
enum Step {
    /// From now on, the instance declares another rate, in tenths per second; no limit if it is 0.
    Names(u8),
    /// The gate reads a response.
    Answers,
    /// The gate's process restarts.
    Restarts,
    /// An edge offers a request and gets the gate's reply.
    Offers(usize),
    /// An edge receives the gate's reply before the last one.
    LateReply(usize),
}

const EDGES: usize = 3;

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        2 => (0..4_u8).prop_map(Step::Names),
        4 => Just(Step::Answers),
        2 => Just(Step::Restarts),
        6 => (0..EDGES).prop_map(Step::Offers),
        1 => (0..EDGES).prop_map(Step::LateReply),
    ];
    prop::collection::vec(step, 1..120)
}

proptest! {
    /// Whatever restarts and in whatever order replies arrive: an edge that has just received a reply knows
    /// what its gate knows, a gate that has read a response knows the rate declared there, and a restarted
    /// gate has a rate as soon as an edge that has received one reports it.
    #[test]
    fn a_gate_and_its_edges_agree(steps in steps()) {
        let name = InstanceName::new("one");
        let mut declared: Option<DeclaredRate> = None;
        let mut gate = RateTracker::default();
        let mut has_read_response = false;
        let mut edges: [DeclaredRates; EDGES] = Default::default();
        let mut replies = vec![gate.record()];
        for step in steps {
            match step {
                Step::Names(tenths) => {
                    declared = if tenths == 0 { None } else { rate(f64::from(tenths) / 10.0) }
                }
                Step::Answers => {
                    gate.on_response(declared);
                    has_read_response = true;
                    prop_assert_eq!(gate.record().rate, declared);
                }
                Step::Restarts => {
                    gate = RateTracker::default();
                    has_read_response = false;
                }
                Step::Offers(edge) => {
                    let reported = edges[edge].record_for(&name);
                    let known = gate.record();
                    if let Some(reported) = reported {
                        gate.on_edge_report(reported);
                    }
                    if has_read_response {
                        prop_assert_eq!(gate.record().rate, known.rate, "a rate read from a response stays");
                    } else if reported.is_some_and(|reported| reported.is_later_than(&known)) {
                        prop_assert_eq!(gate.record(), reported.unwrap_or_default(), "a report was not applied");
                    }
                    replies.push(gate.record());
                    edges[edge].note(&name, gate.record());
                    if has_read_response {
                        prop_assert_eq!(edges[edge].rate_of(&name), gate.record().rate, "{:?}", reported);
                    }
                }
                Step::LateReply(edge) => edges[edge].note(&name, replies[replies.len().saturating_sub(2)]),
            }
        }
    }
}
