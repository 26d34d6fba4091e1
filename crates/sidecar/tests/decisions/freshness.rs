//! Tests of which nodes read the source.

use std::net::{IpAddr, Ipv4Addr};

use olivegate_sidecar::peers::freshness::{Freshness, Reading};
use olivegate_sidecar::peers::relay;
use olivegate_types::Moment;
use rstest::rstest;

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

/// The machines of a zone in order.
fn zone() -> Vec<IpAddr> {
    let machines: Vec<IpAddr> = (1..=5).map(|last| IpAddr::V4(Ipv4Addr::new(10, 1, 0, last))).collect();
    relay::order_of(machines.clone(), machines[0])
}

fn reading(reader: IpAddr, millis: u64) -> Reading {
    Reading { reader, at: at(millis) }
}

#[rstest]
#[case::the_first(0)]
#[case::another(2)]
fn no_node_starts_to_read_while_another_reads(#[case] rank: u32) {
    let zone = zone();
    let mut freshness = Freshness::new(zone[rank as usize]);
    for millis in (0..5_000).step_by(250) {
        freshness.on_announced(reading(zone[4], millis));
        assert!(!freshness.should_read(rank, at(millis + 200)));
    }
}

#[rstest]
fn a_reader_continues_until_one_of_lower_rank_reads() {
    let zone = zone();
    let mut freshness = Freshness::new(zone[2]);
    freshness.on_announced(reading(zone[0], 800));
    assert!(!freshness.should_read(2, at(1_500)));
    assert!(freshness.should_read(2, at(2_300)), "the reader stopped announcing");
    freshness.set_reader(true);
    freshness.on_announced(reading(zone[3], 2_400));
    assert!(freshness.should_read(2, at(2_500)), "the other reader has a higher rank");
    freshness.on_read(at(9_000));
    assert!(freshness.should_read(2, at(9_100)), "nobody else reads");
    freshness.on_announced(reading(zone[1], 9_200));
    assert!(!freshness.should_read(2, at(9_300)));
}

#[rstest]
fn of_two_readers_that_hear_each_other_one_is_left() {
    let zone = zone();
    let (mut first, mut second) = (Freshness::new(zone[0]), Freshness::new(zone[1]));
    assert!(first.should_read(0, at(0)) && second.should_read(1, at(0)), "no reader is known");
    first.set_reader(true);
    second.set_reader(true);
    first.on_announced(reading(zone[1], 10));
    second.on_announced(reading(zone[0], 10));
    assert!(first.should_read(0, at(20)) && !second.should_read(1, at(20)));
}

#[rstest]
fn an_old_reading_does_not_count_as_fresh() {
    let zone = zone();
    let mut freshness = Freshness::new(zone[1]);
    freshness.on_announced(reading(zone[0], 0));
    assert!(freshness.should_read(1, at(9_000)));
}

#[rstest]
fn a_node_that_starts_reads_once_and_then_waits_for_a_reader() {
    let mut freshness = Freshness::new(zone()[3]);
    freshness.on_read(at(10));
    assert!(!freshness.should_read(3, at(500)));
    assert!(freshness.should_read(3, at(1_500)), "no reader is known");
}

#[rstest]
fn a_reading_is_forwarded_once() {
    let zone = zone();
    let mut freshness = Freshness::new(zone[1]);
    assert!(freshness.on_announced(reading(zone[0], 1_000)));
    assert!(!freshness.on_announced(reading(zone[0], 1_040)), "too little advance to be forwarded");
    assert!(freshness.on_announced(reading(zone[0], 1_250)));
    assert!(!freshness.on_announced(reading(zone[0], 1_100)), "an older one");
    assert_eq!(freshness.latest(), Some(reading(zone[0], 1_250)));
}

#[rstest]
fn a_reading_of_another_zone_is_sufficient_but_does_not_stop_a_reader() {
    let zone = zone();
    let elsewhere = IpAddr::V4(Ipv4Addr::new(10, 2, 0, 1));
    let mut freshness = Freshness::new(zone[2]);
    freshness.on_other_zone_reading(reading(elsewhere, 1_000));
    assert!(!freshness.should_read(2, at(1_500)));
    freshness.set_reader(true);
    freshness.on_other_zone_reading(reading(elsewhere, 2_000));
    assert!(freshness.should_read(2, at(2_100)), "each zone has a reader of its own");
}

/// So no change has to wait for a takeover when the reader of one zone ends.
#[rstest]
fn the_first_of_a_zone_reads_whatever_other_zones_read() {
    let zone = zone();
    let elsewhere = IpAddr::V4(Ipv4Addr::new(10, 2, 0, 1));
    let (mut first, mut second) = (Freshness::new(zone[0]), Freshness::new(zone[1]));
    for millis in (0..5_000).step_by(250) {
        first.on_other_zone_reading(reading(elsewhere, millis));
        second.on_other_zone_reading(reading(elsewhere, millis));
    }
    assert!(first.should_read(0, at(5_000)));
    assert!(!second.should_read(1, at(5_000)));
    first.on_announced(reading(zone[3], 4_900));
    assert!(!first.should_read(0, at(5_000)), "its zone has a reader");
}

#[rstest]
fn lower_ranks_take_over_first() {
    let zone = zone();
    let takes_over = |rank: u32| {
        let mut freshness = Freshness::new(zone[rank as usize]);
        freshness.on_announced(reading(zone[4], 0));
        (0..5_000).find(|&ms| freshness.should_read(rank, at(ms)))
    };
    assert!(takes_over(0) < takes_over(1) && takes_over(1) < takes_over(2));
}

/// A change has to be in force within 2 s even on a node that no reader reaches.
#[rstest]
#[case(0)]
#[case(1)]
#[case(4)]
#[case(500)]
fn every_rank_takes_over_within_the_bound(#[case] rank: u32) {
    let zone = zone();
    let mut freshness = Freshness::new(zone[1]);
    freshness.on_announced(reading(zone[0], 0));
    assert!(freshness.should_read(rank, at(1_500)));
}

/// A reader that is shutting down runs for some seconds more. Another node has to start reading before it
/// ends, without a gap; the first one continues to read, but does not announce it.
#[rstest]
fn a_reader_that_shuts_down_is_replaced_before_it_ends() {
    const STOP_TAKES_MS: u64 = 2_000;
    let zone = zone();
    let (mut reader, mut other) = (Freshness::new(zone[0]), Freshness::new(zone[1]));
    reader.set_reader(true);
    let mut takes_over = None;
    for millis in (0..3_000 + STOP_TAKES_MS).step_by(50) {
        reader.on_read(at(millis));
        assert!(reader.should_read(0, at(millis)), "it continues to read");
        if let Some(announced) = reader.announced(millis >= 3_000) {
            other.on_announced(announced);
        }
        let takes = other.should_read(1, at(millis));
        takes_over = takes_over.or(takes.then_some(millis));
    }
    assert!(takes_over.is_some_and(|millis| (3_000..3_000 + STOP_TAKES_MS).contains(&millis)), "{takes_over:?}");
    other.on_read(at(6_000));
    assert_eq!(other.announced(false), Some(reading(zone[1], 6_000)));
    reader.on_announced(reading(zone[1], 6_000));
    assert_eq!(reader.announced(true), Some(reading(zone[1], 6_000)), "readings of others are still announced");
}
