//! Who reads the source.

use std::time::Duration;

use olivegate_sidecar::peers::freshness::Freshness;
use olivegate_types::Moment;
use rstest::rstest;

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

#[rstest]
fn the_first_rank_always_reads() {
    let mut freshness = Freshness::default();
    freshness.on_announced(Duration::ZERO, at(100));
    assert!(freshness.should_read(0, at(100)));
}

#[rstest]
fn others_read_only_when_the_readers_fall_silent_and_then_for_a_while() {
    let mut freshness = Freshness::default();
    freshness.on_announced(Duration::from_millis(200), at(1_000));
    assert!(!freshness.should_read(2, at(1_500)));
    assert!(freshness.should_read(2, at(2_300)));
    freshness.on_announced(Duration::ZERO, at(2_400));
    assert!(freshness.should_read(2, at(2_500)), "goes on reading after it took over");
    freshness.on_announced(Duration::ZERO, at(6_900));
    assert!(!freshness.should_read(2, at(7_000)));
}

#[rstest]
fn an_old_reading_does_not_count_as_fresh() {
    let mut freshness = Freshness::default();
    freshness.on_announced(Duration::from_secs(9), at(9_000));
    assert!(freshness.should_read(1, at(9_000)));
}

#[rstest]
fn a_node_that_starts_reads_once_and_then_waits_for_the_first() {
    let mut freshness = Freshness::default();
    assert!(freshness.should_read(3, at(0)));
    freshness.on_read(at(10));
    assert!(!freshness.should_read(3, at(500)));
    assert!(freshness.should_read(3, at(1_500)), "nobody was heard");
}

#[rstest]
fn a_reading_is_passed_on_once() {
    let mut freshness = Freshness::default();
    assert!(freshness.on_announced(Duration::ZERO, at(1_000)));
    assert!(
        !freshness.on_announced(Duration::from_millis(40), at(1_040)),
        "the same reading, heard from another node"
    );
    assert!(freshness.on_announced(Duration::ZERO, at(1_250)));
    assert_eq!(freshness.latest_age(at(1_300)), Some(Duration::from_millis(50)));
}

#[rstest]
fn lower_ranks_take_over_first() {
    let mut first = Freshness::default();
    let mut second = Freshness::default();
    first.on_announced(Duration::ZERO, at(0));
    second.on_announced(Duration::ZERO, at(0));
    let takes_over = |freshness: &mut Freshness, rank| (0..5_000).find(|&ms| freshness.should_read(rank, at(ms)));
    assert!(takes_over(&mut first, 1) < takes_over(&mut second, 2));
}

/// A change has to be in force within 2 s also on a node that no reader reaches.
#[rstest]
#[case(1)]
#[case(4)]
#[case(500)]
fn every_rank_takes_over_within_the_bound(#[case] rank: u32) {
    let mut freshness = Freshness::default();
    freshness.on_announced(Duration::ZERO, at(0));
    assert!(freshness.should_read(rank, at(1_500)));
}
