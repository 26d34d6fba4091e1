//! Tests of what follows an attempt without a response.

use std::collections::BTreeSet;
use std::time::Duration;

use olivegate_sidecar::edge::attempts::{Attempts, FinalFailure, NextStep};
use olivegate_sidecar::model::RetrySafety::{self, Safe, Unsafe};
use olivegate_sidecar::reply::{Failure, FailureReason};
use olivegate_types::{InstanceName, Refusal, RefusalReason};
use proptest::prelude::*;
use rstest::rstest;

fn refusal() -> Refusal {
    Refusal::new(RefusalReason::PredictedWait, Duration::from_millis(100))
}

fn no_retry_budget() -> Refusal {
    Refusal::new(RefusalReason::RepeatBudget, Duration::from_millis(100))
}

#[rstest]
#[case::safe_may_run_twice(Safe, Failure::unknown(FailureReason::Broken), NextStep::TryAnother)]
#[case::unsafe_may_not(Unsafe, Failure::unknown(FailureReason::Broken), NextStep::GiveUp(FinalFailure::Unknown))]
#[case::not_run_for_certain(Unsafe, Failure::not_run(FailureReason::WrongInstance), NextStep::TryAnother)]
#[case::not_sent_is_free(Unsafe, Failure::not_sent(FailureReason::Connect), NextStep::TryAnother)]
fn after_a_failure(#[case] safety: RetrySafety, #[case] failure: Failure, #[case] next: NextStep) {
    assert_eq!(Attempts::new(safety, 2).on_failed(failure), next);
}

#[rstest]
fn without_retry_budget_the_final_failure_depends_on_whether_it_may_have_run() {
    let mut may_have_run = Attempts::new(Safe, 2);
    may_have_run.on_failed(Failure::unknown(FailureReason::Broken));
    assert_eq!(
        may_have_run.on_refused(no_retry_budget()),
        NextStep::TryAnother,
        "another gate may have budget left"
    );
    assert_eq!(may_have_run.on_refused(no_retry_budget()), NextStep::GiveUp(FinalFailure::Unknown));
    let mut not_run = Attempts::new(Unsafe, 2);
    not_run.on_failed(Failure::not_run(FailureReason::RefusedByInstance));
    not_run.on_refused(no_retry_budget());
    assert!(matches!(not_run.on_refused(no_retry_budget()), NextStep::GiveUp(FinalFailure::NotRun(_))));
}

#[rstest]
fn a_refusal_after_a_possible_run_is_not_called_not_run() {
    let mut attempts = Attempts::new(Safe, 3);
    attempts.on_failed(Failure::unknown(FailureReason::GateSilent));
    attempts.on_refused(refusal());
    assert_eq!(attempts.on_no_candidate(), FinalFailure::Unknown);
}

#[rstest]
fn capacity_shortage_is_reported_before_other_refusals() {
    let mut attempts = Attempts::new(Unsafe, 2);
    let not_ready = Refusal::new(RefusalReason::NodeNotReady, Duration::from_millis(100));
    attempts.on_refused(not_ready);
    attempts.on_refused(refusal());
    attempts.on_refused(not_ready);
    assert_eq!(attempts.on_no_candidate(), FinalFailure::NotRun(refusal()));
    assert_eq!(attempts.attempt_log(), "none:node-not-ready,none:predicted-wait,none:node-not-ready");
}

#[rstest]
fn a_request_is_not_offered_to_many_full_instances() {
    let mut attempts = Attempts::new(Safe, 2);
    let next_steps: Vec<NextStep> = (0..4).map(|_| attempts.on_refused(refusal())).collect();
    assert_eq!(next_steps[..3], [NextStep::TryAnother; 3]);
    assert_eq!(next_steps[3], NextStep::GiveUp(FinalFailure::NotRun(refusal())));
}

#[derive(Debug, Clone, Copy)]
enum Step {
    Refused,
    NotSent,
    NotRun,
    Unknown,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![Just(Step::Refused), Just(Step::NotSent), Just(Step::NotRun), Just(Step::Unknown)];
    proptest::collection::vec(step, 0..12)
}

proptest! {
    /// However attempts end: an unsafe request reaches no instance once it may have run, no request reaches
    /// more instances than its route allows, an instance that may have run a request does not receive it
    /// again, and `NotRun` is only reported when nothing may have run.
    #[test]
    fn arrivals_and_final_failures_keep_their_guarantees(
        is_safe: bool,
        max_instances in 1_usize..4,
        capacity_refusals: u16,
        steps in steps(),
        choices in proptest::collection::vec(0_usize..5, 24),
    ) {
        let mut attempts = Attempts::new(if is_safe { Safe } else { Unsafe }, max_instances as u32);
        let (mut reached, mut may_have_run) = (BTreeSet::new(), false);
        let mut ran_at = BTreeSet::new();
        let mut arrivals = 0;
        let mut final_failure = None;
        for (index, step) in steps.into_iter().enumerate() {
            let first = choices[index];
            let names = (0..5).map(|offset| InstanceName::new(format!("i-{}", (first + offset) % 5)));
            let Some(instance) = names.into_iter().find(|name| attempts.may_offer_to(name)) else { break };
            attempts.on_offer(&instance);
            let is_capacity_refusal = capacity_refusals >> (index % 16) & 1 == 1;
            let next = match step {
                Step::Refused => attempts.on_refused(if is_capacity_refusal { refusal() } else { no_retry_budget() }),
                Step::NotSent => attempts.on_failed(Failure::not_sent(FailureReason::Connect)),
                Step::NotRun => {
                    arrivals += 1;
                    prop_assert!(!ran_at.contains(&instance));
                    reached.insert(instance);
                    attempts.on_failed(Failure::not_run(FailureReason::RefusedByInstance))
                }
                Step::Unknown => {
                    prop_assert!(is_safe || !may_have_run);
                    prop_assert!(ran_at.insert(instance.clone()), "it ran there before");
                    arrivals += 1;
                    reached.insert(instance);
                    may_have_run = true;
                    attempts.on_failed(Failure::unknown(FailureReason::Broken))
                }
            };
            prop_assert!(reached.len() <= max_instances && arrivals <= 6);
            if let NextStep::GiveUp(failure) = next {
                final_failure = Some(failure);
                break;
            }
        }
        let final_failure = final_failure.unwrap_or_else(|| attempts.on_no_candidate());
        prop_assert_eq!(matches!(final_failure, FinalFailure::Unknown), may_have_run);
    }
}

#[rstest]
fn a_gate_that_stopped_responding_may_still_pass_the_request_on() {
    let silent = Failure { reason: FailureReason::GateSilent, may_have_run: true, arrived: false };
    let mut attempts = Attempts::new(Safe, 2);
    attempts.on_offer(&InstanceName::new("i-1"));
    assert_eq!(attempts.on_failed(silent), NextStep::TryAnother);
    attempts.on_offer(&InstanceName::new("i-2"));
    assert_eq!(attempts.on_failed(silent), NextStep::GiveUp(FinalFailure::Unknown));
    let mut attempts = Attempts::new(Safe, 2);
    assert_eq!(attempts.on_instance_failed(), NextStep::TryAnother);
    assert_eq!(attempts.on_failed(silent), NextStep::GiveUp(FinalFailure::Unknown));
}

/// Instances that shed load refuse at random: a request that two of them refused is offered to them again,
/// and to no third one.
#[rstest]
fn a_shed_request_is_sent_to_the_same_instances_again() {
    let [left, right, third] = ["left", "right", "third"].map(InstanceName::new);
    let shed = Failure::not_run(FailureReason::RefusedByInstance);
    let mut attempts = Attempts::new(Unsafe, 2);
    attempts.on_offer(&left);
    assert_eq!(attempts.on_failed(shed), NextStep::TryAnother);
    assert!(!attempts.may_offer_to(&left) && attempts.may_offer_to(&right));
    attempts.on_offer(&right);
    for _ in 2..6 {
        assert_eq!(attempts.on_failed(shed), NextStep::TryAnother);
        assert!(attempts.may_offer_to(&left) && attempts.may_offer_to(&right) && !attempts.may_offer_to(&third));
        attempts.on_offer(&right);
    }
    assert!(matches!(attempts.on_failed(shed), NextStep::GiveUp(FinalFailure::NotRun(_))));
}

/// An instance that is leaving, or that is not the intended one, does not receive the request again.
#[rstest]
fn a_request_refused_by_the_wrong_instance_is_not_sent_there_again() {
    let [left, right] = ["left", "right"].map(InstanceName::new);
    let mut attempts = Attempts::new(Safe, 2);
    attempts.on_offer(&left);
    attempts.on_failed(Failure::not_run(FailureReason::WrongInstance));
    attempts.on_offer(&right);
    let next = attempts.on_failed(Failure::not_run(FailureReason::WrongInstance));
    assert!(matches!(next, NextStep::GiveUp(FinalFailure::NotRun(_))));
    assert!(!attempts.may_offer_to(&left) && !attempts.may_offer_to(&right));
}

/// Offers a request until no further step is allowed, and returns the number of offers and the log. Each instance
/// refuses the request once; from then on its gate refuses it with `reason`.
fn offers_while_gates_refuse(reason: RefusalReason, max_instances: u32, instances: usize) -> (usize, String) {
    let names: Vec<InstanceName> = (0..instances).map(|index| InstanceName::new(format!("i-{index}"))).collect();
    let mut attempts = Attempts::new(Safe, max_instances);
    let mut refused_by_instance = BTreeSet::new();
    for offers in 0..MANY_OFFERS {
        let Some(instance) = names.iter().find(|name| attempts.may_offer_to(name)) else {
            return (offers, attempts.attempt_log());
        };
        attempts.on_offer(instance);
        let next = if refused_by_instance.insert(instance.clone()) {
            attempts.on_failed(Failure::not_run(FailureReason::RefusedByInstance))
        } else {
            attempts.on_refused(Refusal::new(reason, Duration::from_millis(100)))
        };
        if let NextStep::GiveUp(failure) = next {
            assert!(matches!(failure, FinalFailure::NotRun(_)), "{reason}: {failure:?}");
            return (offers + 1, attempts.attempt_log());
        }
    }
    (MANY_OFFERS, attempts.attempt_log())
}

/// Far more offers than any request may need.
const MANY_OFFERS: usize = 1_000;
/// Six arrivals, and four refusals for lack of capacity.
const MAX_OFFERS: usize = 10;

/// Guards against a request that is offered again and again to gates that refuse it before they wait for anything: the
/// node did not hand back the processor for seconds. Each refusal counts, or rules out its instance.
#[rstest]
fn no_reason_of_a_gate_makes_a_request_go_round(#[values(1, 2, 3)] max_instances: u32) {
    for reason in RefusalReason::ALL {
        for instances in 1..=4 {
            let (offers, log) = offers_while_gates_refuse(reason, max_instances, instances);
            assert!(offers <= MAX_OFFERS, "{reason}, {instances} instances: {offers} offers");
            assert_eq!(log.split(',').count(), offers);
        }
    }
}

/// Guards against a log line that grows with the number of gates that refuse a request.
#[rstest]
fn the_log_of_many_attempts_is_short() {
    let mut attempts = Attempts::new(Safe, 2);
    for index in 0..MANY_OFFERS {
        let instance = InstanceName::new(format!("i-{index}"));
        assert!(attempts.may_offer_to(&instance));
        attempts.on_offer(&instance);
        attempts.on_refused(Refusal::new(RefusalReason::NodeNotReady, Duration::from_millis(100)));
    }
    let log = attempts.attempt_log();
    assert!(log.len() < 1_000, "{} bytes", log.len());
    assert!(log.starts_with("i-0:node-not-ready,i-1:"), "{log}");
    assert!(log.ends_with(",968-more"), "{log}");
}
