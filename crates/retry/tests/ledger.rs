//! The retry allowance bounds the whole call graph, however deep and wide it is.

use olivegate_retry::{RetryBudget, RetryLedger};
use olivegate_types::RequestId;
use proptest::prelude::*;

const ROOT: RequestId = RequestId(7);

/// Simulates a call graph in which each call makes `width` further calls, `depth` levels deep, and every
/// attempt fails, so that each hop tries to retry `tries` times. Returns the number of attempts that were
/// retries.
fn retries_in_graph(ledger: &mut RetryLedger, depth: u32, width: u32, tries: u32) -> u32 {
    if depth == 0 {
        return 0;
    }
    let mut retries = 0;
    for _ in 0..width {
        retries += retries_in_graph(ledger, depth - 1, width, tries);
        for _ in 0..tries {
            if ledger.take(ROOT) {
                retries += 1 + retries_in_graph(ledger, depth - 1, width, tries);
            }
        }
    }
    retries
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn retries_never_exceed_the_allowance(bound in 0..20_u8, depth in 1..6_u32, width in 1..4_u32, tries in 0..4_u32) {
        let mut ledger = RetryLedger::default();
        ledger.open(ROOT, bound);
        prop_assert!(retries_in_graph(&mut ledger, depth, width, tries) <= u32::from(bound));
    }
}

#[test]
fn eleven_hops_share_one_allowance() {
    let mut ledger = RetryLedger::default();
    ledger.open(ROOT, 3);
    assert_eq!(retries_in_graph(&mut ledger, 11, 1, 3), 3);
}

#[test]
fn nothing_is_granted_for_requests_that_are_not_in_flight_here() {
    let mut ledger = RetryLedger::default();
    assert!(!ledger.take(ROOT));
    ledger.open(ROOT, 1);
    ledger.close(ROOT);
    assert!(!ledger.take(ROOT));
    assert!(ledger.is_empty());
}

#[test]
fn the_local_budget_runs_out_and_is_earned_back_by_successes() {
    let mut budget = RetryBudget::default();
    assert_eq!((0..100).filter(|_| budget.try_take()).count(), 20);
    (0..10).for_each(|_| budget.on_success());
    assert!(budget.try_take());
    assert!(!budget.try_take());
}
