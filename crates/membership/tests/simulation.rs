//! Small fleets in simulated time: failures, freezes, network partitions, message loss, joins.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use olivegate_membership::{MemberRecord, MemberState, Membership, MembershipConfig, Message, Output};
use olivegate_types::{Moment, NodeName, ZoneName};
use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;

const TICK: Duration = Duration::from_millis(25);

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 9_000 + index as u16))
}

fn name(index: usize) -> NodeName {
    NodeName::new(format!("node-{index}"))
}

fn record(index: usize, incarnation: u64) -> MemberRecord {
    MemberRecord {
        name: name(index),
        zone: ZoneName::new(format!("zone-{}", index % 3)),
        control: address(index),
        data: address(index),
        incarnation,
        state: MemberState::Alive,
        seats: Vec::new(),
    }
}

/// Nodes that tick together. A message arrives with the next tick.
struct Fleet {
    now: Moment,
    nodes: Vec<Option<Membership>>,
    frozen: BTreeSet<usize>,
    cut_links: BTreeSet<(usize, usize)>,
    loss: f64,
    random: StdRng,
    in_flight: Vec<(usize, usize, Message)>,
}

impl Fleet {
    fn new(count: usize, seeds: impl Fn(usize) -> Vec<usize>, seed: u64) -> Self {
        let member = |index| {
            let seeds = seeds(index).into_iter().map(address).collect();
            Some(Membership::new(record(index, 1), seeds, MembershipConfig::default(), seed + index as u64))
        };
        Fleet {
            now: Moment::START,
            nodes: (0..count).map(member).collect(),
            frozen: BTreeSet::new(),
            cut_links: BTreeSet::new(),
            loss: 0.0,
            random: StdRng::seed_from_u64(seed),
            in_flight: Vec::new(),
        }
    }

    fn joined(count: usize, seed: u64) -> Self {
        let mut fleet = Fleet::new(count, |_| (0..count).collect(), seed);
        fleet.run(4_000);
        fleet
    }

    fn run(&mut self, millis: u64) {
        let end = self.now + Duration::from_millis(millis);
        while self.now < end {
            self.now = self.now + TICK;
            self.step();
        }
    }

    fn step(&mut self) {
        for (from, to, message) in std::mem::take(&mut self.in_flight) {
            if self.frozen.contains(&to) {
                self.in_flight.push((from, to, message));
                continue;
            }
            if let Some(node) = &mut self.nodes[to] {
                let outputs = node.on_message(message, address(from), self.now);
                self.execute(to, outputs);
            }
        }
        for index in 0..self.nodes.len() {
            if self.frozen.contains(&index) {
                continue;
            }
            if let Some(node) = &mut self.nodes[index] {
                let outputs = node.tick(self.now);
                self.execute(index, outputs);
            }
        }
    }

    fn is_cut(&self, from: usize, to: usize) -> bool {
        self.cut_links.contains(&(from, to))
    }

    fn execute(&mut self, from: usize, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Send { to, message } => {
                    let to = usize::from(to.port()) - 9_000;
                    let lost = self.random.random::<f64>() < self.loss;
                    if !lost && !self.is_cut(from, to) {
                        self.in_flight.push((from, to, message));
                    }
                }
                Output::Sync { from: source } => {
                    let source = usize::from(source.port()) - 9_000;
                    let reachable = !self.is_cut(from, source) && !self.is_cut(source, from);
                    let answers = reachable && !self.frozen.contains(&source);
                    let records = self.nodes[source].as_ref().filter(|_| answers).map(Membership::snapshot);
                    if let (Some(records), Some(node)) = (records, &mut self.nodes[from]) {
                        let outputs = node.merge(records, self.now);
                        self.execute(from, outputs);
                    }
                }
                Output::Changed { .. } => {}
            }
        }
    }

    fn cut_off(&mut self, side: &[usize]) {
        for index in 0..self.nodes.len() {
            for inside in side.iter().filter(|_| !side.contains(&index)) {
                self.cut_links.insert((index, *inside));
                self.cut_links.insert((*inside, index));
            }
        }
    }

    /// The state in which each live node sees each other live node.
    fn views(&self) -> BTreeMap<(usize, usize), Option<MemberState>> {
        let mut views = BTreeMap::new();
        for (index, node) in self.nodes.iter().enumerate() {
            let Some(node) = node else {
                continue;
            };
            for other in (0..self.nodes.len()).filter(|other| *other != index && self.nodes[*other].is_some()) {
                views.insert((index, other), node.get(&name(other)).map(|record| record.state));
            }
        }
        views
    }

    fn all_see_all(&self) -> bool {
        self.views().values().all(|state| *state == Some(MemberState::Alive))
    }
}

#[rstest]
#[case::everyone_knows_all(|_| (0..6).collect::<Vec<_>>())]
#[case::one_seed(|_| vec![0])]
#[case::a_chain(|index: usize| vec![index.saturating_sub(1)])]
fn fleets_join(#[case] seeds: fn(usize) -> Vec<usize>) {
    let mut fleet = Fleet::new(6, seeds, 1);
    fleet.run(6_000);
    assert!(fleet.all_see_all(), "{:?}", fleet.views());
}

/// Without syncs with seeds that are not members, two groups that each know only their own
/// members stay apart for ever.
#[test]
fn separate_groups_with_common_seeds_merge() {
    let mut fleet = Fleet::new(6, |_| (0..6).collect(), 3);
    fleet.cut_off(&[0, 1, 2]);
    fleet.run(3_000);
    fleet.cut_links.clear();
    fleet.run(6_000);
    assert!(fleet.all_see_all(), "{:?}", fleet.views());
}

#[test]
fn a_dead_node_is_noticed_by_all_within_three_seconds() {
    let mut fleet = Fleet::joined(6, 1);
    fleet.nodes[2] = None;
    fleet.run(1_000);
    let suspecting = fleet.nodes.iter().flatten().filter(|node| !node.get(&name(2)).unwrap().is_usable()).count();
    assert_eq!(suspecting, 5, "all suspect it within a second");
    fleet.run(2_000);
    assert!(fleet.nodes.iter().flatten().all(|node| node.get(&name(2)).unwrap().state == MemberState::Dead));
}

#[test]
fn nobody_is_suspected_for_good_under_heavy_message_loss() {
    let mut fleet = Fleet::joined(6, 7);
    fleet.loss = 0.15;
    fleet.run(20_000);
    fleet.loss = 0.0;
    fleet.run(5_000);
    assert!(fleet.all_see_all(), "{:?}", fleet.views());
}

#[test]
fn a_frozen_node_resumes_with_a_stale_view_and_refutes_its_death() {
    let mut fleet = Fleet::joined(6, 5);
    fleet.frozen.insert(1);
    fleet.run(5_000);
    assert!(!fleet.nodes[1].as_ref().unwrap().is_view_fresh(fleet.now), "stale before its first tick");
    fleet.frozen.clear();
    fleet.run(3_000);
    let resumed = fleet.nodes[1].as_ref().unwrap();
    assert_eq!(resumed.freezes(), 1);
    assert!(resumed.is_view_fresh(fleet.now));
    assert!(fleet.all_see_all(), "{:?}", fleet.views());
}

#[test]
fn a_leaving_node_is_known_within_a_second_and_never_called_dead_while_it_answers() {
    let mut fleet = Fleet::joined(6, 9);
    let outputs = fleet.nodes[4].as_mut().unwrap().leave();
    fleet.execute(4, outputs);
    fleet.run(1_000);
    let states: Vec<MemberState> =
        fleet.nodes.iter().flatten().map(|node| node.get(&name(4)).unwrap().state).collect();
    assert_eq!(states, [MemberState::Leaving; 6]);
}

#[test]
fn a_restarted_node_with_empty_memory_replaces_its_former_record() {
    let mut fleet = Fleet::joined(6, 11);
    fleet.nodes[3] = None;
    fleet.run(3_000);
    let seeds = vec![address(0)];
    fleet.nodes[3] = Some(Membership::new(record(3, 50), seeds, MembershipConfig::default(), 99));
    fleet.run(3_000);
    assert!(fleet.all_see_all(), "{:?}", fleet.views());
}

#[test]
fn only_a_one_way_cut_does_not_split_the_fleet_for_good() {
    let mut fleet = Fleet::joined(6, 13);
    for other in [1, 2, 3, 4, 5] {
        fleet.cut_links.insert((0, other));
    }
    fleet.run(5_000);
    fleet.cut_links.clear();
    fleet.run(5_000);
    assert!(fleet.all_see_all(), "{:?}", fleet.views());
}

fn zone_members(count: usize, zone: usize) -> Vec<usize> {
    (0..count).filter(|index| index % 3 == zone).collect()
}

/// If the members of a partitioned zone were declared dead, each of them would have to refute its
/// death afterwards; with a thousand nodes that took more than a minute.
#[test]
fn a_cut_off_zone_is_suspected_not_declared_dead_and_is_back_within_three_seconds() {
    let mut fleet = Fleet::joined(30, 21);
    fleet.cut_off(&zone_members(30, 0));
    fleet.run(15_000);
    let states: BTreeSet<Option<MemberState>> = fleet.views().into_values().collect();
    assert_eq!(states, BTreeSet::from([Some(MemberState::Alive), Some(MemberState::Suspect)]));
    fleet.cut_links.clear();
    fleet.run(3_000);
    assert!(fleet.all_see_all(), "{:?}", fleet.views());
}

#[test]
fn members_of_a_zone_that_failed_as_a_whole_get_no_work_and_are_removed_in_the_end() {
    let mut fleet = Fleet::joined(9, 23);
    for index in zone_members(9, 1) {
        fleet.nodes[index] = None;
    }
    fleet.run(10_000);
    let usable = fleet.nodes.iter().flatten().map(|node| node.usable().len());
    assert!(usable.into_iter().all(|count| count == 6));
    fleet.run(130_000);
    assert!(fleet.nodes.iter().flatten().all(|node| node.others().count() == 5));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 60, failure_persistence: None, ..ProptestConfig::default() })]

    /// After any partitions, freezes and message loss, all nodes see all others as alive within
    /// ten undisturbed seconds.
    #[test]
    fn every_disturbance_heals(
        seed in any::<u64>(),
        disturbances in prop::collection::vec((0..4_u8, 0..6_usize, 200..4_000_u64), 1..6),
    ) {
        let mut fleet = Fleet::joined(6, seed % 1_000_000);
        for (kind, node, millis) in disturbances {
            match kind {
                0 => drop(fleet.frozen.insert(node)),
                1 => fleet.cut_off(&[node]),
                2 => fleet.cut_off(&[node, (node + 3) % 6]),
                _ => fleet.loss = 0.3,
            }
            fleet.run(millis);
            if millis % 2 == 0 {
                fleet.frozen.clear();
                fleet.cut_links.clear();
            }
        }
        fleet.frozen.clear();
        fleet.cut_links.clear();
        fleet.loss = 0.0;
        fleet.run(10_000);
        prop_assert!(fleet.all_see_all(), "{:?}", fleet.views());
    }
}
