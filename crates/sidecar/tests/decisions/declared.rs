//! What nodes know of the rate that an instance declares.

use olivegate_overload::DeclaredRate;
use olivegate_sidecar::declared::{DeclaredRates, RateRecord, RateWitness};
use olivegate_sidecar::model::Incarnation;
use olivegate_types::InstanceName;

fn rate(per_second: f64) -> Option<DeclaredRate> {
    Some(per_second.try_into().unwrap())
}

fn record(incarnation: u64, per_second: Option<DeclaredRate>, sequence: u64) -> RateRecord {
    RateRecord { incarnation: Incarnation(incarnation), rate: per_second, sequence }
}

#[test]
fn a_gate_that_has_heard_nothing_goes_by_what_edges_were_told() {
    let mut witness = RateWitness::default();
    assert!(witness.on_told(record(0, rate(13.0), 7)).is_some());
    assert_eq!(witness.record().rate, rate(13.0));
    assert!(witness.on_told(record(0, rate(20.0), 6)).is_none(), "that was known before");
    assert!(witness.on_answer(None).is_some());
    assert_eq!(witness.record(), record(0, None, 8));
}

#[test]
fn what_a_gate_has_read_goes_before_what_edges_were_told() {
    let mut witness = RateWitness::default();
    witness.on_answer(None);
    assert!(witness.on_told(record(0, rate(13.0), 7)).is_none());
    assert_eq!(witness.record().rate, None);
    let mut edge = DeclaredRates::default();
    let name = InstanceName::new("one");
    edge.note(&name, record(0, rate(13.0), 7));
    edge.note(&name, witness.record());
    assert_eq!(edge.rate_of(&name), None, "the edge learns that the need is over");
}

#[test]
fn the_word_of_one_start_holds_for_no_other() {
    let mut witness = RateWitness::default();
    witness.set_incarnation(Incarnation(2_000));
    assert!(witness.on_told(record(1_000, rate(0.0), 9)).is_none());
    let mut edge = DeclaredRates::default();
    let name = InstanceName::new("one");
    edge.note(&name, record(2_000, rate(5.0), 1));
    edge.note(&name, record(1_000, rate(0.0), 9));
    assert_eq!(edge.rate_of(&name), rate(5.0));
    edge.note(&name, record(3_000, None, 0));
    assert_eq!(edge.rate_of(&name), None);
}

#[test]
fn an_edge_reminds_only_of_rates_and_forgets_instances_that_are_gone() {
    let mut edge = DeclaredRates::default();
    let name = InstanceName::new("one");
    edge.note(&name, record(0, None, 0));
    assert_eq!(edge.reminder_for(&name), None);
    edge.note(&name, record(0, rate(5.0), 1));
    assert_eq!(edge.reminder_for(&name), Some(record(0, rate(5.0), 1)));
    edge.note(&name, record(0, None, 2));
    assert_eq!(edge.reminder_for(&name), None);
    edge.note(&name, record(0, rate(6.0), 3));
    edge.retain(|_| false);
    assert_eq!(edge.rate_of(&name), None);
}
