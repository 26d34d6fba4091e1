//! Proofs against an oracle that knows when each version was accepted.

use std::time::Duration;

use olivegate_authentication::ConfigurationProof;
use olivegate_types::Moment;
use proptest::prelude::*;
use rstest::rstest;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[rstest]
fn the_way_of_an_answer_counts_as_age() {
    let mut proof = ConfigurationProof::default();
    assert_eq!(proof.age(Moment::from_millis(5)), None);
    proof.on_peer_answer(Moment::from_millis(100), ms(40));
    assert_eq!(proof.age(Moment::from_millis(900)), Some(ms(840)));
}

#[rstest]
fn a_young_process_takes_proofs_older_than_itself() {
    let mut proof = ConfigurationProof::default();
    proof.on_peer_answer(Moment::from_millis(10), ms(2_000));
    assert_eq!(proof.age(Moment::from_millis(20)), Some(ms(2_010)));
}

#[rstest]
fn what_comes_late_replaces_nothing_younger() {
    let mut proof = ConfigurationProof::default();
    proof.on_read(Moment::from_millis(1_000));
    proof.on_peer_answer(Moment::from_millis(1_100), ms(500));
    proof.on_peer_answer(Moment::from_millis(200), ms(0));
    assert_eq!(proof.age(Moment::from_millis(1_200)), Some(ms(200)));
}

/// One step of a fleet of three nodes whose clocks started at different times.
#[derive(Debug, Clone)]
enum Step {
    /// Time passes.
    Pass(u64),
    /// A node reads; the answer comes after some time in which others go on.
    Read { node: usize, way: u64 },
    /// A node asks another; question and answer take their time.
    Ask { node: usize, other: usize, there: u64, back: u64 },
    /// The operator writes a version.
    Write,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (1..3_000_u64).prop_map(Step::Pass),
        (0..3_usize, 0..2_000_u64).prop_map(|(node, way)| Step::Read { node, way }),
        (0..3_usize, 0..3_usize, 0..2_000_u64, 0..9_000_u64).prop_map(|(node, other, there, back)| Step::Ask {
            node,
            other,
            there,
            back
        }),
        Just(Step::Write),
    ]
}

#[derive(Debug, Clone, Copy, Default)]
struct Node {
    started: u64,
    version: usize,
    proof: ConfigurationProof,
}

impl Node {
    fn clock(&self, now: u64) -> Moment {
        Moment::from_millis(now - self.started)
    }
}

/// An answer on its way: who gets it, when, and what it makes of the node.
#[derive(Debug, Clone, Copy)]
struct Answer {
    node: usize,
    at: u64,
    asked: u64,
    version: usize,
    age: Duration,
}

proptest! {
    /// At any time, no version that is newer than a node's had been accepted longer ago than
    /// the age of its proof.
    #[test]
    fn no_proof_is_younger_than_the_truth(steps in prop::collection::vec(step(), 1..60)) {
        let mut now = 10_000;
        let mut accepted = vec![0_u64];
        let mut nodes = [0, 4_000, 9_900].map(|started| Node { started, ..Node::default() });
        let mut answers: Vec<Answer> = Vec::new();
        for step in steps {
            match step {
                Step::Pass(span) => now += span,
                Step::Write => accepted.push(now),
                Step::Read { node, way } => {
                    let version = accepted.len() - 1;
                    answers.push(Answer { node, at: now + way, asked: now, version, age: Duration::ZERO });
                }
                Step::Ask { node, other, there, back } => {
                    let told = nodes[other];
                    if let Some(age) = told.proof.age(told.clock(now + there)) {
                        let at = now + there + back;
                        answers.push(Answer { node, at, asked: now, version: told.version, age });
                    }
                }
            }
            answers.sort_by_key(|answer| answer.at);
            while answers.first().is_some_and(|answer| answer.at <= now) {
                let answer = answers.remove(0);
                let node = &mut nodes[answer.node];
                node.version = node.version.max(answer.version);
                node.proof.on_peer_answer(node.clock(answer.asked), answer.age);
            }
            for node in nodes {
                let newer = accepted.get(node.version + 1);
                if let (Some(age), Some(newer)) = (node.proof.age(node.clock(now)), newer) {
                    prop_assert!(ms(now - newer) <= age, "{node:?} at {now}, {accepted:?}");
                }
            }
        }
    }
}
