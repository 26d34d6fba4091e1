//! Quarantine decisions, checked against a simple oracle that keeps the full history of a content and
//! evaluates it anew for each request.

use std::collections::BTreeMap;
use std::time::Duration;

use olivegate_quarantine::{Age, ContentDigest, Decision, FatalRun, QuarantinePolicy, SuspectedContent, Suspects};
use olivegate_types::{InstanceName, Moment};
use proptest::prelude::*;
use rstest::rstest;

const POLICY: QuarantinePolicy = QuarantinePolicy {
    held_after: 2,
    refused_after: 3,
    extra_if_answered: 2,
    probe_after: Duration::from_secs(30),
    memory: Duration::from_secs(600),
    max_contents: 1_024,
};
const START: u64 = 1_000_000;

fn content(number: u8) -> ContentDigest {
    ContentDigest::of(b"GET", &[b'/', number], b"desk", b"")
}

fn suspected(number: u8) -> SuspectedContent {
    SuspectedContent { digest: content(number), prefix: None, was_answered: false }
}

fn instance(number: usize) -> InstanceName {
    InstanceName::new(format!("instance-{number}"))
}

fn at(millis: u64) -> Moment {
    Moment::from_millis(START + millis)
}

/// A run of 40 ms that ended its instance at `ended`.
fn fatal(ended: u64) -> FatalRun {
    FatalRun { ended: at(ended), began: at(ended.saturating_sub(40)) }
}

fn after_ends(ends: &[u64]) -> Suspects {
    let mut suspects = Suspects::default();
    for (number, ended) in ends.iter().enumerate() {
        suspects.note_end(&POLICY, suspected(0), &instance(number), fatal(*ended));
    }
    suspects
}

fn decide(suspects: &mut Suspects, may_probe: bool, millis: u64) -> Decision {
    suspects.decide(&POLICY, &content(0), may_probe, at(millis))
}

#[rstest]
#[case::nothing(&[], Decision::Allowed)]
#[case::one_end(&[100], Decision::Isolated)]
#[case::two(&[100, 200], Decision::Held { retry_after: Duration::from_millis(29_200) })]
#[case::three(&[100, 200, 300], Decision::Held { retry_after: Duration::from_secs(600) })]
#[case::all_at_once(&[100, 100, 101, 103], Decision::Isolated)]
#[case::begun_before_the_first_end(&[100, 120, 125], Decision::Isolated)]
#[case::begun_just_before(&[100, 105, 109], Decision::Isolated)]
fn ends_determine_the_decision(#[case] ends: &[u64], #[case] expected: Decision) {
    assert_eq!(decide(&mut after_ends(ends), true, 1_000), expected);
}

#[rstest]
fn a_run_that_is_answered_clears_its_content() {
    let mut suspects = after_ends(&[100, 200]);
    assert!(suspects.note_answered(&content(0), at(300)));
    assert_eq!(decide(&mut suspects, false, 400), Decision::Allowed);
    assert!(
        !suspects.note_end(&POLICY, suspected(0), &instance(7), fatal(250)),
        "late report of an end before the answer"
    );
    assert!(suspects.note_end(&POLICY, suspected(0), &instance(8), fatal(500)));
    assert_eq!(decide(&mut suspects, false, 600), Decision::Isolated);
}

#[rstest]
#[case::two(&[100, 200], Decision::Isolated)]
#[case::three(&[100, 200, 300], Decision::Isolated)]
#[case::four(&[100, 200, 300, 400], Decision::Held { retry_after: Duration::from_millis(29_400) })]
fn a_content_that_was_answered_before_takes_more_ends(#[case] ends: &[u64], #[case] expected: Decision) {
    let mut suspects = Suspects::default();
    for (number, ended) in ends.iter().enumerate() {
        let known = SuspectedContent { was_answered: number == 0, ..suspected(0) };
        suspects.note_end(&POLICY, known, &instance(number), fatal(*ended));
    }
    assert_eq!(decide(&mut suspects, true, 1_000), expected);
}

#[rstest]
fn one_node_lets_a_held_content_run_once_in_a_while() {
    let mut suspects = after_ends(&[100, 200]);
    assert!(matches!(decide(&mut suspects, true, 30_100), Decision::Held { .. }));
    assert!(matches!(decide(&mut suspects, false, 30_300), Decision::Held { .. }));
    assert_eq!(decide(&mut suspects, true, 30_300), Decision::Probe);
    assert!(matches!(decide(&mut suspects, true, 30_400), Decision::Held { .. }));
    assert_eq!(decide(&mut suspects, true, 60_400), Decision::Probe);
    suspects.note_end(&POLICY, suspected(0), &instance(9), fatal(60_500));
    assert!(matches!(decide(&mut suspects, true, 500_000), Decision::Held { .. }), "held without probe runs");
}

#[rstest]
fn contents_expire_only_once_they_stop_arriving() {
    let mut suspects = after_ends(&[100, 200, 300]);
    for second in (0..1_800).step_by(300) {
        suspects.expire(&POLICY, at(second * 1_000));
        assert!(matches!(decide(&mut suspects, false, second * 1_000), Decision::Held { .. }), "after {second} s");
    }
    suspects.expire(&POLICY, at((1_500 + 600) * 1_000));
    assert!(suspects.is_empty());
}

#[rstest]
fn contents_with_the_most_ends_are_kept_when_full() {
    let policy = QuarantinePolicy { max_contents: 3, ..POLICY };
    let mut suspects = Suspects::default();
    suspects.note_end(&policy, suspected(0), &instance(0), fatal(100));
    suspects.note_end(&policy, suspected(0), &instance(1), fatal(200));
    for number in 1..=50 {
        suspects.note_end(&policy, suspected(number), &instance(2), fatal(300 + u64::from(number)));
    }
    assert_eq!(suspects.contents().len(), 3);
    assert!(matches!(decide(&mut suspects, false, 1_000), Decision::Held { .. }));
}

#[rstest]
#[case::method(b"PUT", b"/a?b", b"desk", b"body")]
#[case::path(b"POST", b"/a?c", b"desk", b"body")]
#[case::caller(b"POST", b"/a?b", b"shop", b"body")]
#[case::body(b"POST", b"/a?b", b"desk", b"bodz")]
#[case::moved_from_one_part_to_the_next(b"POST", b"/a?bd", b"esk", b"body")]
#[case::moved_into_the_body(b"POST", b"/a?b", b"des", b"kbody")]
fn another_request_has_another_digest(
    #[case] method: &[u8],
    #[case] target: &[u8],
    #[case] caller: &[u8],
    #[case] body: &[u8],
) {
    let known = ContentDigest::of(b"POST", b"/a?b", b"desk", b"body");
    assert_eq!(ContentDigest::of(b"POST", b"/a?b", b"desk", b"body"), known);
    assert_ne!(ContentDigest::of(method, target, caller, body), known);
}

/// Event for one content at one node, in order of time.
#[derive(Debug, Clone)]
enum Event {
    Pause(u64),
    Ended { instance: usize, ran: u64 },
    Answered,
    Request { may_probe: bool },
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    let event = prop_oneof![
        3 => prop_oneof![0u64..60, 0u64..50_000].prop_map(Event::Pause),
        3 => (0usize..6, 0u64..200).prop_map(|(instance, ran)| Event::Ended { instance, ran }),
        1 => Just(Event::Answered),
        4 => any::<bool>().prop_map(|may_probe| Event::Request { may_probe }),
    ];
    prop::collection::vec(event, 1..60)
}

/// Full history of a content, from which each decision is computed.
#[derive(Default)]
struct Oracle {
    ends: Vec<(u64, u64, usize)>,
    answers: Vec<u64>,
    probes: Vec<u64>,
}

impl Oracle {
    fn counted(&self) -> (u32, u64) {
        let cleared = self.answers.iter().max().copied();
        // By instance: the first reported end since the answer, and the earliest run reported for it.
        let mut by_instance: BTreeMap<usize, (u64, u64)> = BTreeMap::new();
        for (ended, began, instance) in &self.ends {
            if cleared.is_none_or(|cleared| *ended > cleared) {
                let known = by_instance.entry(*instance).or_insert((*ended, *began));
                known.1 = known.1.min(*began);
            }
        }
        let mut ends: Vec<(u64, u64)> = by_instance.into_values().collect();
        ends.sort_unstable();
        let (mut counted, mut last) = (0, None);
        for (ended, began) in &ends {
            if last.is_none_or(|last| began + 10 >= last && *ended >= last + 10) {
                counted += 1;
                last = Some(*ended);
            }
        }
        (counted, ends.last().map_or(0, |(ended, _)| *ended))
    }

    fn decide(&mut self, may_probe: bool, now: u64) -> &'static str {
        let (counted, last_end) = self.counted();
        let next = last_end.max(self.probes.iter().max().copied().unwrap_or(0)) + 30_000;
        // An answered content needs two more ends.
        let counted =
            if self.answers.is_empty() || counted == 0 { counted } else { counted.saturating_sub(2).max(1) };
        match counted {
            0 => "allowed",
            1 => "isolated",
            2 if may_probe && now >= next => {
                self.probes.push(now);
                "probe"
            }
            _ => "held",
        }
    }
}

fn name_of(decision: Decision) -> &'static str {
    match decision {
        Decision::Allowed => "allowed",
        Decision::Isolated => "isolated",
        Decision::Probe => "probe",
        Decision::Held { .. } => "held",
    }
}

proptest! {
    /// The decisions of one node match the oracle for any sequence of events.
    #[test]
    fn one_node_follows_the_oracle(events in events()) {
        let mut suspects = Suspects::default();
        let mut oracle = Oracle::default();
        let mut now = START;
        for event in events {
            match event {
                Event::Pause(millis) => now += millis,
                Event::Ended { instance: number, ran } => {
                    let run = FatalRun { ended: Moment::from_millis(now), began: Moment::from_millis(now - ran) };
                    suspects.note_end(&POLICY, suspected(0), &instance(number), run);
                    oracle.ends.push((now, now - ran, number));
                }
                Event::Answered => {
                    suspects.note_answered(&content(0), Moment::from_millis(now));
                    // An answer is remembered only for a suspect.
                    if !oracle.ends.is_empty() {
                        oracle.answers.push(now);
                    }
                }
                Event::Request { may_probe } => {
                    let decision = suspects.decide(&POLICY, &content(0), may_probe, Moment::from_millis(now));
                    prop_assert_eq!(name_of(decision), oracle.decide(may_probe, now), "at {}", now - START);
                }
            }
        }
    }

    /// Nodes that receive the same reports, in any order and repeatedly, reach the same decision whatever
    /// their clocks read. A content without a reported end stays allowed.
    #[test]
    fn nodes_with_the_same_reports_agree(
        ends in prop::collection::vec((0u8..3, 0usize..5, 0u64..2_000, 0u64..150), 1..12),
        answers in prop::collection::vec((0u8..3, 0u64..2_000), 0..3),
        order in any::<u64>(),
        skew in 0u64..1_000_000,
    ) {
        let mut reports = Vec::new();
        for (number, instance_number, ended, ran) in &ends {
            let mut reporter = Suspects::default();
            let run = FatalRun { ended: at(*ended), began: at(ended.saturating_sub(*ran)) };
            reporter.note_end(&POLICY, suspected(*number), &instance(*instance_number), run);
            reports.push(reporter.report(&content(*number), at(3_000)).unwrap());
        }
        for (number, answered) in &answers {
            let mut report = reports[0].clone();
            report.content = suspected(*number);
            report.ends.clear();
            report.answered = Some(Age::of(at(*answered), at(3_000)));
            reports.push(report);
        }
        // An instance ends only once: further reports of the same end are left out.
        let mut reported_ends = Vec::new();
        reports.retain(|report| {
            let key = report.ends.first().map(|end| (report.content, end.instance.clone()));
            let is_new = key.as_ref().is_none_or(|key| !reported_ends.contains(key));
            reported_ends.extend(key);
            is_new
        });
        let mut shuffled = reports.clone();
        for index in 0..shuffled.len() {
            let other = (order.rotate_left(index as u32 * 7) as usize) % shuffled.len();
            shuffled.swap(index, other);
        }
        let (mut left, mut right) = (Suspects::default(), Suspects::default());
        let other_now = Moment::from_millis(START + 3_000 + skew);
        for report in &reports {
            left.merge(&POLICY, report, at(3_000));
        }
        for report in shuffled.iter().chain(&reports) {
            right.merge(&POLICY, report, other_now);
        }
        for number in 0..3 {
            let left = left.decide(&POLICY, &content(number), false, at(3_000));
            let right = right.decide(&POLICY, &content(number), false, other_now);
            prop_assert_eq!(left, right);
            let has_end = ends.iter().any(|(reported, ..)| *reported == number);
            prop_assert!(has_end || left == Decision::Allowed);
        }
    }
}
