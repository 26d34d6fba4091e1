//! Tests of the tree by which a reading of the source reaches the nodes of a zone.

use std::collections::HashSet;
use std::net::{IpAddr, Ipv4Addr};

use olivegate_sidecar::peers::relay::{CHILDREN, children, order_of, rank_of};
use rstest::rstest;

fn machines(count: u32) -> Vec<IpAddr> {
    (0..count).map(|number| IpAddr::V4(Ipv4Addr::from(0x0a01_0000 + number))).collect()
}

#[rstest]
#[case::alone(1, 0)]
#[case::small(4, 1)]
#[case::hundred(100, 3)]
#[case::target(1_034, 4)]
fn a_reading_reaches_every_machine_once(#[case] count: u32, #[case] steps: usize) {
    let order = order_of(machines(count), machines(count)[0]);
    let mut reached: HashSet<IpAddr> = HashSet::from([order[0]]);
    let mut newest = vec![order[0]];
    let mut taken = 0;
    while reached.len() < count as usize {
        taken += 1;
        let mut next = Vec::new();
        for machine in newest {
            let children = children(&order, rank_of(&order, machine));
            assert!(children.len() <= CHILDREN);
            for child in children {
                assert!(reached.insert(*child), "reached twice");
                next.push(*child);
            }
        }
        assert!(!next.is_empty(), "some are never reached");
        newest = next;
    }
    assert_eq!(taken, steps);
}

#[rstest]
fn all_nodes_see_the_same_order() {
    let mut reversed = machines(50);
    reversed.reverse();
    let own = machines(50)[7];
    assert_eq!(order_of(machines(50), own), order_of(reversed, own));
    let without_own: Vec<IpAddr> = machines(50).into_iter().filter(|machine| *machine != own).collect();
    assert_eq!(order_of(without_own, own), order_of(machines(50), own));
}
