//! Tests of route lookup and weighted distribution.

use std::collections::BTreeMap;

use olivegate_sidecar::model::{
    ClientLimits, Configuration, ConfigurationVersion, Millis, RetrySafety, Route, WeightedService,
};
use olivegate_sidecar::routes::{RouteTable, WeightedRoundRobin};
use olivegate_types::ServiceName;
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rstest::rstest;

fn route(name: &str, host: &str, path_prefix: &str, weights: &[u32]) -> Route {
    let weighted = |(index, &weight): (usize, &u32)| WeightedService {
        service: ServiceName::new(format!("s{index}")),
        weight,
    };
    Route {
        name: name.into(),
        host: host.into(),
        path_prefix: path_prefix.into(),
        services: weights.iter().enumerate().map(weighted).collect(),
        safety: RetrySafety::Safe,
        timeout: None,
        target_latency: Millis(100),
        priority: 0,
        attempts: 1,
        is_public: false,
    }
}

fn table(routes: Vec<Route>) -> RouteTable {
    RouteTable::new(&Configuration {
        version: ConfigurationVersion(1),
        routes,
        limits: ClientLimits::default(),
        tenants: None,
        health_paths: BTreeMap::new(),
    })
}

#[rstest]
#[case::longest("a", "/x/y/z", Some("deep"))]
#[case::shorter("a", "/x/other", Some("wide"))]
#[case::whole_segments("a", "/x", None)]
#[case::other_host("b", "/x/y/z", Some("other"))]
#[case::unknown_host("c", "/x/", None)]
fn the_longest_prefix_of_the_host_wins(#[case] host: &str, #[case] path: &str, #[case] expected: Option<&str>) {
    let routes =
        vec![route("wide", "a", "/x/", &[1]), route("deep", "a", "/x/y/", &[1]), route("other", "b", "/x/", &[1])];
    let found = table(routes).find(host, path);
    assert_eq!(found.as_ref().map(|route| route.name.as_str()), expected);
}

proptest! {
    /// After any number of requests, the count of each service differs from its share by at most the number
    /// of services.
    #[test]
    fn each_service_gets_its_share(
        weights in proptest::collection::vec(1_u32..100, 1..5),
        requests in 1_usize..400,
        seed in any::<u64>(),
    ) {
        let route = route("r", "a", "/", &weights);
        let mut random = SmallRng::seed_from_u64(seed);
        let mut weighted_round_robin = WeightedRoundRobin::default();
        let mut counts = vec![0_usize; weights.len()];
        for _ in 0..requests {
            let service = weighted_round_robin.next_service(&route, &mut random).unwrap();
            let index = route.services.iter().position(|weighted| weighted.service == service).unwrap();
            counts[index] += 1;
        }
        let total: u32 = weights.iter().sum();
        for (count, weight) in counts.iter().zip(&weights) {
            let share = requests as f64 * f64::from(*weight) / f64::from(total);
            prop_assert!((*count as f64 - share).abs() <= weights.len() as f64, "{count} of {share}");
        }
    }
}

/// The credits that services had under the weights before stayed, and on a larger scale they decided for long.
#[rstest]
#[case::smaller_scale(&[9_000, 1_000], &[1, 1])]
#[case::larger_scale(&[1, 1], &[1_000, 9_000])]
#[case::to_zero(&[1, 1], &[1, 0])]
#[case::from_zero(&[1, 0], &[1, 1])]
#[case::another_part(&[5_000, 5_000], &[1, 1, 2])]
#[case::a_part_less(&[3_000, 3_000, 4_000], &[1, 1])]
fn shares_follow_a_change_of_weights_at_once(#[case] before: &[u32], #[case] after: &[u32]) {
    for seed in 0..20 {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut weighted_round_robin = WeightedRoundRobin::default();
        for _ in 0..37 {
            weighted_round_robin.next_service(&route("r", "a", "/", before), &mut random);
        }
        let route = route("r", "a", "/", after);
        let mut counts = vec![0_usize; after.len()];
        for _ in 0..40 {
            let service = weighted_round_robin.next_service(&route, &mut random).unwrap();
            counts[route.services.iter().position(|weighted| weighted.service == service).unwrap()] += 1;
        }
        let total: u32 = after.iter().sum();
        for (count, weight) in counts.iter().zip(after) {
            let share = 40.0 * f64::from(*weight) / f64::from(total);
            assert!((*count as f64 - share).abs() <= after.len() as f64, "{counts:?} with {after:?}");
            assert!(*weight > 0 || *count == 0, "{counts:?} with {after:?}");
        }
    }
}

/// On all nodes the first request after a change went to the same service.
#[rstest]
fn nodes_do_not_all_begin_with_the_same_service() {
    let route = route("r", "a", "/", &[60, 40]);
    let mut counts = [0, 0];
    for node in 0..1_000 {
        let mut random = SmallRng::seed_from_u64(node);
        let service = WeightedRoundRobin::default().next_service(&route, &mut random).unwrap();
        counts[route.services.iter().position(|weighted| weighted.service == service).unwrap()] += 1;
    }
    assert!((550..=650).contains(&counts[0]), "{counts:?}");
}
