//! Instances that are slow or failing or whose gates are silent are avoided, and used again later.

use olivegate_routing::balance::{Balancer, Candidate, Health};
use olivegate_types::{InstanceName, Moment};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rstest::rstest;

fn candidates() -> Vec<Candidate> {
    let candidate =
        |name: &str, same_zone| Candidate { instance: InstanceName::new(name), same_zone, own_gate: false };
    vec![candidate("near", true), candidate("far", false)]
}

fn chosen(balancer: &mut Balancer, now: Moment) -> String {
    let mut random = SmallRng::seed_from_u64(1);
    let candidates = candidates();
    let index = balancer.choose(&candidates, &[], 10, now, &mut random).unwrap();
    candidates[index].instance.to_string()
}

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

#[rstest]
#[case::healthy(Health { latency_ratio: 0.3, failure_rate: 0.02 }, "near")]
#[case::slow(Health { latency_ratio: 1.5, failure_rate: 0.0 }, "far")]
#[case::failing(Health { latency_ratio: 0.3, failure_rate: 0.4 }, "far")]
fn the_near_instance_is_avoided_only_if_it_is_slow_or_failing(#[case] health: Health, #[case] expected: &str) {
    let mut balancer = Balancer::default();
    balancer.on_health(&InstanceName::new("near"), health, at(1_000));
    assert_eq!(chosen(&mut balancer, at(1_100)), expected);
    assert_eq!(chosen(&mut balancer, at(6_000)), "near", "an old report no longer counts");
}

#[rstest]
fn a_silent_gate_is_avoided_until_it_reports_or_time_has_passed() {
    let mut balancer = Balancer::default();
    let near = InstanceName::new("near");
    balancer.on_silence(&near, at(1_000));
    assert_eq!(chosen(&mut balancer, at(1_100)), "far");
    assert_eq!(chosen(&mut balancer, at(2_500)), "near");
    balancer.on_silence(&near, at(3_000));
    balancer.on_report(&near, 0.1, at(3_050));
    assert_eq!(chosen(&mut balancer, at(3_060)), "near");
}
