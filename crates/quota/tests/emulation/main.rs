//! A fleet of nodes on emulated time: three ways to keep quotas, under the same demand and the
//! same cuts. `cargo test -p olivegate-quota --test emulation -- --nocapture` prints the table.

mod collectors;
mod leases;
mod scenario;
mod static_shares;

use rstest::rstest;
use scenario::{Cut, Scenario, play};

const SMALL: Scenario =
    Scenario { nodes: 82, tenants: 84, hot: 1.0, cut: Cut::None, restarts: &[], lowered_ms: None, seconds: 20 };

/// The way that is kept stays within what is allowed, and lets in nearly all that is owed.
#[rstest]
#[case::usual("usual", SMALL, 0.01)]
#[case::hot("hot x7.5", Scenario { hot: 7.5, ..SMALL }, 0.03)]
#[case::hot_few("hot x7.5, 23 tenants", Scenario { hot: 7.5, tenants: 23, ..SMALL }, 0.03)]
#[case::halves("hot, halves cut", Scenario { hot: 8.0, cut: Cut::Halves, ..SMALL }, 0.10)]
#[case::singles("hot, 30% single nodes cut", Scenario { hot: 8.0, cut: Cut::Singles, ..SMALL }, 0.15)]
#[case::restart("hot, all restarted thrice", Scenario { hot: 8.0, restarts: &[7_000, 9_000, 13_000], ..SMALL }, 0.08)]
#[case::lowered("lowered to a fifth", Scenario { lowered_ms: Some(8_000), ..SMALL }, 0.05)]
#[case::large("1,000 nodes and tenants, hot", Scenario { nodes: 1_000, tenants: 1_000, hot: 7.5, seconds: 10, ..SMALL }, 0.05)]
fn told_counts_keep_the_bound(#[case] name: &str, #[case] scenario: Scenario, #[case] most_lost: f64) {
    let outcome = play(&scenario, &mut collectors::ToldCounts::new(&scenario));
    println!("{name:30} told counts  {outcome}");
    assert!(outcome.worst_window <= 1.0, "{outcome}");
    assert!(outcome.owed_refused <= most_lost, "{outcome}");
}

/// The ways that were not kept, for the table.
#[rstest]
#[case::usual("usual", SMALL)]
#[case::hot("hot x7.5", Scenario { hot: 7.5, ..SMALL })]
#[case::hot_few("hot x7.5, 23 tenants", Scenario { hot: 7.5, tenants: 23, ..SMALL })]
#[case::halves("hot, halves cut", Scenario { hot: 8.0, cut: Cut::Halves, ..SMALL })]
#[case::singles("hot, 30% single nodes cut", Scenario { hot: 8.0, cut: Cut::Singles, ..SMALL })]
#[case::restart("hot, all restarted thrice", Scenario { hot: 8.0, restarts: &[7_000, 9_000, 13_000], ..SMALL })]
#[case::lowered("lowered to a fifth", Scenario { lowered_ms: Some(8_000), ..SMALL })]
#[case::large("1,000 nodes and tenants, hot", Scenario { nodes: 1_000, tenants: 1_000, hot: 7.5, seconds: 10, ..SMALL })]
fn other_ways_for_comparison(#[case] name: &str, #[case] scenario: Scenario) {
    let fixed = play(&scenario, &mut static_shares::FixedParts::new(&scenario));
    println!("{name:30} fixed parts  {fixed}");
    assert!(fixed.worst_window <= 1.0, "{fixed}");
    let leases = play(&scenario, &mut leases::OwnerLeases::new(&scenario));
    println!("{name:30} owner leases {leases}");
}
