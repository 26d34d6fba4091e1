//! Tests of the limits on log lines about requests.

use olivegate_sidecar::event::{LogBudgets, LogClass, is_sampled};
use olivegate_types::Moment;
use rstest::rstest;

#[rstest]
#[case(LogClass::Refusal)]
#[case(LogClass::Failure)]
fn a_surge_is_limited_per_second(#[case] class: LogClass) {
    let budgets = LogBudgets::default();
    let lines_of = |second: u64| {
        let taken = (0..10_000_u64).filter(|number| {
            budgets.take(
                class,
                number.to_string().as_bytes(),
                Moment::from_millis(second * 1_000 + number % 1_000),
            )
        });
        taken.count()
    };
    for second in 0..3 {
        let lines = lines_of(second);
        assert!((20..=60).contains(&lines), "{lines} lines in second {second}");
    }
}

#[rstest]
fn refusals_leave_room_for_failures() {
    let budgets = LogBudgets::default();
    let now = Moment::from_millis(10);
    while budgets.take(LogClass::Refusal, b"r", now) {}
    assert!(budgets.take(LogClass::Failure, b"r", now));
}

#[rstest]
fn routine_lines_are_for_sampled_requests_only() {
    let budgets = LogBudgets::default();
    let sampled = (0..).map(|number: u32| number.to_string()).find(|id| is_sampled(id.as_bytes())).unwrap();
    let other = (0..).map(|number: u32| number.to_string()).find(|id| !is_sampled(id.as_bytes())).unwrap();
    assert!(budgets.take(LogClass::Routine, sampled.as_bytes(), Moment::START));
    assert!(!budgets.take(LogClass::Routine, other.as_bytes(), Moment::START));
}
