//! What nodes know of the rate that an instance declares.

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
fn a_gate_that_has_heard_nothing_goes_by_what_edges_were_told() {
    let mut witness = RateTracker::default();
    assert!(witness.on_edge_report(record(0, rate(13.0), 7)).is_some());
    assert_eq!(witness.record().rate, rate(13.0));
    assert!(witness.on_edge_report(record(0, rate(20.0), 6)).is_none(), "that was known before");
    assert!(witness.on_response(None).is_some());
    assert_eq!(witness.record(), record(0, None, 8));
}

#[test]
fn what_a_gate_has_read_goes_before_what_edges_were_told() {
    let mut witness = RateTracker::default();
    witness.on_response(None);
    assert!(witness.on_edge_report(record(0, rate(13.0), 7)).is_none());
    assert_eq!(witness.record().rate, None);
    let mut edge = DeclaredRates::default();
    let name = InstanceName::new("one");
    edge.note(&name, record(0, rate(13.0), 7));
    edge.note(&name, witness.record());
    assert_eq!(edge.rate_of(&name), None, "the edge learns that the need is over");
}

#[test]
fn the_word_of_one_start_holds_for_no_other() {
    let mut witness = RateTracker::default();
    witness.set_incarnation(Incarnation(2_000));
    assert!(witness.on_edge_report(record(1_000, rate(0.0), 9)).is_none());
    let mut edge = DeclaredRates::default();
    let name = InstanceName::new("one");
    edge.note(&name, record(2_000, rate(5.0), 1));
    edge.note(&name, record(1_000, rate(0.0), 9));
    assert_eq!(edge.rate_of(&name), rate(5.0));
    edge.note(&name, record(3_000, None, 0));
    assert_eq!(edge.rate_of(&name), None);
}

#[test]
fn an_edge_reminds_of_instances_that_have_declared_rates_and_forgets_instances_that_are_gone() {
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
    /// The instance names another rate from now on, in tenths; none where it is 0.
    Names(u8),
    /// The gate reads an answer.
    Answers,
    /// The gate's process starts again.
    Restarts,
    /// An edge offers a request and gets the gate's reply.
    Offers(usize),
    /// An edge gets the reply that the gate gave before the last one.
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
    /// Whatever starts again and in whatever order replies come: an edge that has just had a reply knows
    /// what its gate knows, a gate that has read an answer knows what it said, and one that has started
    /// again has a rate as soon as an edge that was told one reminds it.
    #[test]
    fn a_gate_and_its_edges_agree(steps in steps()) {
        let name = InstanceName::new("one");
        let mut named: Option<DeclaredRate> = None;
        let mut gate = RateTracker::default();
        let mut has_read = false;
        let mut edges: [DeclaredRates; EDGES] = Default::default();
        let mut replies = vec![gate.record()];
        for step in steps {
            match step {
                Step::Names(tenths) => named = if tenths == 0 { None } else { rate(f64::from(tenths) / 10.0) },
                Step::Answers => {
                    gate.on_response(named);
                    has_read = true;
                    prop_assert_eq!(gate.record().rate, named);
                }
                Step::Restarts => {
                    gate = RateTracker::default();
                    has_read = false;
                }
                Step::Offers(edge) => {
                    let reminder = edges[edge].record_for(&name);
                    let known = gate.record();
                    if let Some(reported) = reminder {
                        gate.on_edge_report(reported);
                    }
                    if has_read {
                        prop_assert_eq!(gate.record().rate, known.rate, "what it has read itself stands");
                    } else if reminder.is_some_and(|reported| reported.is_later_than(&known)) {
                        prop_assert_eq!(gate.record(), reminder.unwrap_or_default(), "a reminder was not heeded");
                    }
                    replies.push(gate.record());
                    edges[edge].note(&name, gate.record());
                    if has_read {
                        prop_assert_eq!(edges[edge].rate_of(&name), gate.record().rate, "{:?}", reminder);
                    }
                }
                Step::LateReply(edge) => edges[edge].note(&name, replies[replies.len().saturating_sub(2)]),
            }
        }
    }
}
