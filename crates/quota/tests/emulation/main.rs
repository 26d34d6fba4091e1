//! Compares three quota schemes on a fleet of nodes in emulated time, under the same demand and the same
//! network partitions. `cargo test -p olivegate-quota --test emulation -- --nocapture` prints the table.

mod collectors;
mod leases;
mod scenario;
mod static_shares;

use rstest::rstest;
use scenario::{Partition, Scenario, run};

const SMALL: Scenario = Scenario {
    nodes: 82,
    tenants: 84,
    hot: 1.0,
    partition: Partition::None,
    restarts: &[],
    lowered_ms: None,
    seconds: 20,
};

/// The scheme of the crate stays within the tolerance in every window, and refuses at most `max_refused`
/// of the requests that an exact token bucket would have admitted.
#[rstest]
#[case::usual("usual", SMALL, 0.01)]
#[case::hot("hot x7.5", Scenario { hot: 7.5, ..SMALL }, 0.03)]
#[case::hot_few("hot x7.5, 23 tenants", Scenario { hot: 7.5, tenants: 23, ..SMALL }, 0.03)]
#[case::halves("hot, halves cut", Scenario { hot: 8.0, partition: Partition::Halves, ..SMALL }, 0.10)]
#[case::singles("hot, 30% single nodes cut", Scenario { hot: 8.0, partition: Partition::SingleNodes, ..SMALL }, 0.15)]
#[case::restart("hot, all restarted thrice", Scenario { hot: 8.0, restarts: &[7_000, 9_000, 13_000], ..SMALL }, 0.08)]
#[case::lowered("lowered to a fifth", Scenario { lowered_ms: Some(8_000), ..SMALL }, 0.05)]
#[case::large("1,000 nodes and tenants, hot", Scenario { nodes: 1_000, tenants: 1_000, hot: 7.5, seconds: 10, ..SMALL }, 0.05)]
fn collector_counts_stay_within_the_tolerance(
    #[case] name: &str,
    #[case] scenario: Scenario,
    #[case] max_refused: f64,
) {
    let outcome = run(&scenario, &mut collectors::CollectorCounts::new(&scenario));
    println!("{name:30} collectors    {outcome}");
    assert!(outcome.worst_window <= 1.0, "{outcome}");
    assert!(outcome.refused_within_limit <= max_refused, "{outcome}");
}

/// Prints the alternative schemes for the table. Only the static shares have to stay within the tolerance.
#[rstest]
#[case::usual("usual", SMALL)]
#[case::hot("hot x7.5", Scenario { hot: 7.5, ..SMALL })]
#[case::hot_few("hot x7.5, 23 tenants", Scenario { hot: 7.5, tenants: 23, ..SMALL })]
#[case::halves("hot, halves cut", Scenario { hot: 8.0, partition: Partition::Halves, ..SMALL })]
#[case::singles("hot, 30% single nodes cut", Scenario { hot: 8.0, partition: Partition::SingleNodes, ..SMALL })]
#[case::restart("hot, all restarted thrice", Scenario { hot: 8.0, restarts: &[7_000, 9_000, 13_000], ..SMALL })]
#[case::lowered("lowered to a fifth", Scenario { lowered_ms: Some(8_000), ..SMALL })]
#[case::large("1,000 nodes and tenants, hot", Scenario { nodes: 1_000, tenants: 1_000, hot: 7.5, seconds: 10, ..SMALL })]
fn alternative_schemes_for_comparison(#[case] name: &str, #[case] scenario: Scenario) {
    let fixed = run(&scenario, &mut static_shares::StaticShares::new(&scenario));
    println!("{name:30} static shares {fixed}");
    assert!(fixed.worst_window <= 1.0, "{fixed}");
    let leases = run(&scenario, &mut leases::OwnerLeases::new(&scenario));
    println!("{name:30} owner leases  {leases}");
}
