//! Proofs, checked against an oracle that knows when each version was accepted.

use std::time::Duration;

use olivegate_authentication::ConfigurationProof;
use olivegate_types::Moment;
use proptest::prelude::*;
use rstest::rstest;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[rstest]
fn the_transit_time_of_an_answer_counts_as_age() {
    let mut proof = ConfigurationProof::default();
    assert_eq!(proof.age(Moment::from_millis(5)), None);
    proof.on_peer_answer(Moment::from_millis(100), ms(40));
    assert_eq!(proof.age(Moment::from_millis(900)), Some(ms(840)));
}

#[rstest]
fn a_new_process_accepts_proofs_older_than_itself() {
    let mut proof = ConfigurationProof::default();
    proof.on_peer_answer(Moment::from_millis(10), ms(2_000));
    assert_eq!(proof.age(Moment::from_millis(20)), Some(ms(2_010)));
}

#[rstest]
fn a_late_answer_does_not_replace_a_younger_proof() {
    let mut proof = ConfigurationProof::default();
    proof.on_read(Moment::from_millis(1_000));
    proof.on_peer_answer(Moment::from_millis(1_100), ms(500));
    proof.on_peer_answer(Moment::from_millis(200), ms(0));
    assert_eq!(proof.age(Moment::from_millis(1_200)), Some(ms(200)));
}

/// Step of a fleet of three nodes whose clocks started at different times.
#[derive(Debug, Clone)]
enum Step {
    /// Time passes.
    Pass(u64),
    /// A node reads the source; the answer arrives after `delay`, while other steps go on.
    Read { node: usize, delay: u64 },
    /// A node asks another one; request and answer are both delayed.
    Ask { node: usize, other: usize, request_delay: u64, answer_delay: u64 },
    /// The operator writes a new version.
    Write,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (1..3_000_u64).prop_map(Step::Pass),
        (0..3_usize, 0..2_000_u64).prop_map(|(node, delay)| Step::Read { node, delay }),
        (0..3_usize, 0..3_usize, 0..2_000_u64, 0..9_000_u64).prop_map(
            |(node, other, request_delay, answer_delay)| Step::Ask { node, other, request_delay, answer_delay }
        ),
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

/// Answer in transit: its receiver, times and contents.
#[derive(Debug, Clone, Copy)]
struct Answer {
    node: usize,
    arrives_at: u64,
    asked_at: u64,
    version: usize,
    age: Duration,
}

proptest! {
    /// At no time was a version newer than that of a node accepted longer ago than the age of the node's
    /// proof.
    #[test]
    fn the_age_of_a_proof_is_never_understated(steps in prop::collection::vec(step(), 1..60)) {
        let mut now = 10_000;
        let mut accepted = vec![0_u64];
        let mut nodes = [0, 4_000, 9_900].map(|started| Node { started, ..Node::default() });
        let mut answers: Vec<Answer> = Vec::new();
        for step in steps {
            match step {
                Step::Pass(span) => now += span,
                Step::Write => accepted.push(now),
                Step::Read { node, delay } => {
                    let version = accepted.len() - 1;
                    answers.push(Answer { node, arrives_at: now + delay, asked_at: now, version, age: Duration::ZERO });
                }
                Step::Ask { node, other, request_delay, answer_delay } => {
                    let peer = nodes[other];
                    if let Some(age) = peer.proof.age(peer.clock(now + request_delay)) {
                        let arrives_at = now + request_delay + answer_delay;
                        answers.push(Answer { node, arrives_at, asked_at: now, version: peer.version, age });
                    }
                }
            }
            answers.sort_by_key(|answer| answer.arrives_at);
            while answers.first().is_some_and(|answer| answer.arrives_at <= now) {
                let answer = answers.remove(0);
                let node = &mut nodes[answer.node];
                node.version = node.version.max(answer.version);
                node.proof.on_peer_answer(node.clock(answer.asked_at), answer.age);
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
