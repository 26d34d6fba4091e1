//! Choice of the instance for a call and of the node responsible for an instance.

use olivegate_routing::rendezvous::owner;
use olivegate_routing::{Balancer, Candidate, Observation};
use olivegate_types::{InstanceName, Moment};
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::StdRng;

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

fn candidate(name: &str, same_zone: bool) -> Candidate {
    Candidate { instance: InstanceName::new(name), same_zone, own_gate: false }
}

fn chosen(balancer: &mut Balancer, candidates: &[Candidate], avoid: &[InstanceName], now: Moment) -> Vec<usize> {
    let mut random = StdRng::seed_from_u64(1);
    (0..200).filter_map(|_| balancer.choose(candidates, avoid, 10, now, &mut random)).collect()
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// When a member is removed, only its own keys move.
    #[test]
    fn a_removed_member_moves_only_its_own_keys(members in 2..20_usize, removed in any::<prop::sample::Index>()) {
        let names: Vec<String> = (0..members).map(|index| format!("node-{index}")).collect();
        let removed = removed.get(&names).clone();
        let rest: Vec<String> = names.iter().filter(|name| **name != removed).cloned().collect();
        for key in 0..50 {
            let key = format!("instance-{key}");
            let before = owner(&key, &names, |name| name).unwrap();
            if *before != removed {
                prop_assert_eq!(owner(&key, &rest, |name| name).unwrap(), before);
            }
        }
    }
}

#[test]
fn near_instances_are_taken_while_they_have_free_slots() {
    let mut balancer = Balancer::default();
    let candidates = [candidate("near", true), candidate("far", false)];
    balancer.on_report(&InstanceName::new("near"), 0.8, at(0));
    assert!(chosen(&mut balancer, &candidates, &[], at(1)).iter().all(|index| *index == 0));
    balancer.on_report(&InstanceName::new("near"), 1.6, at(2));
    assert!(chosen(&mut balancer, &candidates, &[], at(3)).iter().all(|index| *index == 1));
}

#[test]
fn a_tried_instance_is_avoided_unless_nothing_else_is_left() {
    let mut balancer = Balancer::default();
    let tried = [InstanceName::new("a")];
    let both = [candidate("a", true), candidate("b", true)];
    assert!(chosen(&mut balancer, &both, &tried, at(0)).iter().all(|index| *index == 1));
    assert!(chosen(&mut balancer, &both[..1], &tried, at(0)).iter().all(|index| *index == 0));
}

#[test]
fn no_candidate_gives_no_choice() {
    let mut random = StdRng::seed_from_u64(1);
    assert_eq!(Balancer::default().choose(&[], &[], 1, at(0), &mut random), None);
}

#[test]
fn failing_instances_are_ejected_but_never_most_of_a_service() {
    let mut balancer = Balancer::default();
    let candidates = [candidate("a", true), candidate("b", true), candidate("c", true)];
    let fail = |balancer: &mut Balancer, name: &str| {
        for _ in 0..5 {
            balancer.on_end(&InstanceName::new(name), Observation::Failed, at(0));
        }
    };
    fail(&mut balancer, "a");
    assert!(!chosen(&mut balancer, &candidates, &[], at(10)).contains(&0));
    fail(&mut balancer, "b");
    let indexes = chosen(&mut balancer, &candidates, &[], at(10));
    assert!(indexes.contains(&0) || indexes.contains(&1), "two of three ejected: all are tried again");
    assert!(!balancer.is_ejected(&InstanceName::new("a"), at(5_000)), "an ejection ends");
}

#[test]
fn an_old_report_no_longer_counts() {
    let mut balancer = Balancer::default();
    let candidates = [candidate("near", true), candidate("far", false)];
    balancer.on_report(&InstanceName::new("near"), 3.0, at(0));
    assert!(chosen(&mut balancer, &candidates, &[], at(2_000)).iter().all(|index| *index == 0));
}
