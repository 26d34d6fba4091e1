//! Tests of route lookup and weighted distribution.

use std::collections::BTreeMap;

use olivegate_sidecar::model::{
    ClientLimits, Configuration, ConfigurationVersion, Millis, RetrySafety, Route, WeightedService,
};
use olivegate_sidecar::routes::{RouteTable, WeightedRoundRobin};
use olivegate_types::ServiceName;
use proptest::prelude::*;
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
        tenants: Vec::new(),
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
    fn each_service_gets_its_share(weights in proptest::collection::vec(1_u32..100, 1..5), requests in 1_usize..400) {
        let route = route("r", "a", "/", &weights);
        let mut weighted_round_robin = WeightedRoundRobin::default();
        let mut counts = vec![0_usize; weights.len()];
        for _ in 0..requests {
            let service = weighted_round_robin.next_service(&route).unwrap();
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
