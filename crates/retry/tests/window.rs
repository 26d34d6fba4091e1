//! Compares the sliding-window budget of retries with simple counts: one gate, all gates of a service, and a
//! chain of services.

use std::time::Duration;

use olivegate_retry::{RetryPolicy, WindowRetryBudget};
use olivegate_types::Moment;
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use rstest::rstest;

const POLICY: RetryPolicy = RetryPolicy { ratio: 0.2, slack: 3.0, window: Duration::from_secs(10) };

#[rstest]
fn retries_follow_answered_requests() {
    let mut budget = WindowRetryBudget::default();
    let now = Moment::from_millis(50_000);
    for _ in 0..10 {
        budget.on_answered(&POLICY, 1.0, now);
    }
    let granted = (0..20).filter(|_| budget.try_retry(&POLICY, 1.0, now)).count();
    assert_eq!(granted, 5, "a fifth of ten requests, and a slack of three");
    assert!(!budget.try_retry(&POLICY, 1.0, now + Duration::from_secs(5)));
    assert!(budget.try_retry(&POLICY, 1.0, now + Duration::from_secs(11)), "the window has passed");
}

#[rstest]
fn inherited_retries_use_the_budget_up() {
    let mut budget = WindowRetryBudget::default();
    let now = Moment::from_millis(50_000);
    for _ in 0..4 {
        budget.on_inherited(&POLICY, 0.5, now);
    }
    assert!(budget.try_retry(&POLICY, 1.0, now));
    assert!(!budget.try_retry(&POLICY, 1.0, now), "two inherited, one taken, three allowed");
}

#[rstest]
fn a_kind_may_be_limited_to_a_fraction_of_the_budget() {
    let mut budget = WindowRetryBudget::default();
    let now = Moment::from_millis(50_000);
    assert!(budget.try_retry(&POLICY, 0.5, now));
    assert!(!budget.allows(&POLICY, 0.5, now));
    assert!(budget.allows(&POLICY, 1.0, now));
}

const GATES: usize = 4;
const WINDOW_MS: u64 = 10_000;

#[derive(Debug, Clone)]
enum Event {
    Pause(u64),
    Answered(usize),
    Inherited(usize),
    Retry(usize),
}

/// Times of the events at all gates of a service.
#[derive(Debug, Clone, Default)]
struct Counted {
    now: u64,
    /// By gate.
    answered: [Vec<u64>; GATES],
    inherited: Vec<u64>,
}

fn within(times: &[u64], now: u64) -> f64 {
    times.iter().filter(|at| **at <= now && **at + WINDOW_MS > now).count() as f64
}

/// The largest count of the window that ends now, the one before and the one half a window earlier. The
/// earlier ones may end up to a tenth of a window sooner, because counts are kept in buckets of that length.
fn largest_window(times: &[u64], now: u64) -> f64 {
    let tenth = WINDOW_MS / 10;
    let ends = |earlier: u64| (earlier - tenth..=earlier).step_by(50);
    let windows = [0].into_iter().chain(ends(WINDOW_MS / 2)).chain(ends(WINDOW_MS));
    windows.map(|earlier| within(times, now - earlier)).fold(0.0, f64::max)
}

impl ReferenceStateMachine for Counted {
    type State = Counted;
    type Transition = Event;

    fn init_state() -> BoxedStrategy<Counted> {
        Just(Counted { now: 20_000, ..Counted::default() }).boxed()
    }

    fn transitions(_: &Counted) -> BoxedStrategy<Event> {
        prop_oneof![
            2 => (0_u64..1_500).prop_map(Event::Pause),
            6 => (0..GATES).prop_map(Event::Answered),
            1 => (0..GATES).prop_map(Event::Inherited),
            4 => (0..GATES).prop_map(Event::Retry),
        ]
        .boxed()
    }

    fn apply(mut state: Counted, event: &Event) -> Counted {
        match event {
            Event::Pause(millis) => state.now += millis,
            Event::Answered(gate) => state.answered[*gate].push(state.now),
            Event::Inherited(_) => state.inherited.push(state.now),
            Event::Retry(_) => {}
        }
        state
    }
}

/// The budgets of the gates, and the retries that they granted.
struct Gates {
    budgets: Vec<WindowRetryBudget>,
    granted: Vec<u64>,
}

impl StateMachineTest for Gates {
    type SystemUnderTest = Gates;
    type Reference = Counted;

    fn init_test(_: &Counted) -> Gates {
        Gates { budgets: vec![WindowRetryBudget::default(); GATES], granted: Vec::new() }
    }

    fn apply(mut gates: Gates, counted: &Counted, event: Event) -> Gates {
        let now = Moment::from_millis(counted.now);
        match event {
            Event::Pause(_) => {}
            Event::Answered(gate) => gates.budgets[gate].on_answered(&POLICY, 1.0, now),
            Event::Inherited(gate) => gates.budgets[gate].on_inherited(&POLICY, 1.0, now),
            Event::Retry(gate) => {
                if gates.budgets[gate].try_retry(&POLICY, 1.0, now) {
                    gates.granted.push(counted.now);
                    gates.check(counted);
                }
            }
        }
        gates
    }
}

impl Gates {
    /// The sum over all gates keeps the bound, unless the inherited retries alone exceed it.
    fn check(&self, counted: &Counted) {
        let slack = POLICY.slack * GATES as f64;
        let largest: f64 = counted.answered.iter().map(|times| largest_window(times, counted.now)).sum();
        let allowed = largest * POLICY.ratio + slack;
        let inherited = within(&counted.inherited, counted.now);
        let granted = within(&self.granted, counted.now);
        assert!(granted <= allowed, "{granted} of {allowed}");
        assert!(
            inherited > allowed || granted + inherited <= allowed + inherited.min(slack),
            "{granted} + {inherited}"
        );
    }
}

prop_state_machine! {
    #[test]
    fn the_sum_over_the_gates_of_a_service_keeps_the_bound(sequential 1..300 => Gates);
}

/// Probabilities of faults of a run at one level.
#[derive(Debug, Clone, Copy)]
struct Faults {
    answer_lost: f64,
    refused: f64,
}

/// A service in a chain: its gates and the counts to check the bound with.
struct Service {
    budgets: Vec<WindowRetryBudget>,
    faults: Faults,
    calls: u32,
    requests: f64,
    retries: f64,
}

/// No slack beyond the ratio, so that a chain that multiplies retries is detected.
const CHAIN: RetryPolicy = RetryPolicy { slack: 0.0, ..POLICY };
/// Tolerances on the ratio and beyond it for random variation, since it is random which runs make all their
/// calls.
const RATIO_TOLERANCE: f64 = 1.25;
const COUNT_TOLERANCE: f64 = 12.0;

/// Runs a request at `level` until it is answered or given up. `is_inherited` says that the calling run is a
/// retry.
fn request(chain: &mut [Service], level: usize, is_inherited: bool, random: &mut impl FnMut() -> f64) -> bool {
    let now = Moment::from_millis(20_000);
    let Some(service) = chain.get_mut(level) else { return true };
    service.requests += 1.0;
    for attempt in 0..3 {
        let service = &mut chain[level];
        let gate = (random() * GATES as f64) as usize % GATES;
        let is_retry = attempt > 0;
        if is_retry && !service.budgets[gate].try_retry(&CHAIN, 1.0, now) {
            return false;
        }
        service.retries += f64::from(u8::from(is_retry || is_inherited));
        if !is_retry && is_inherited {
            service.budgets[gate].on_inherited(&CHAIN, 1.0, now);
        }
        let (faults, calls) = (service.faults, service.calls);
        if random() < faults.refused {
            // Refused before it ran: it still counts as a request.
            if !is_retry && !is_inherited {
                service.budgets[gate].on_answered(&CHAIN, 1.0, now);
            }
            continue;
        }
        let all_called = (0..calls).all(|_| request(chain, level + 1, is_retry || is_inherited, random));
        if random() < faults.answer_lost {
            continue;
        }
        if !is_retry && !is_inherited {
            chain[level].budgets[gate].on_answered(&CHAIN, 1.0, now);
        }
        return all_called;
    }
    false
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 60, ..ProptestConfig::default() })]

    /// Whatever fails at whichever level of a chain of up to ten services, each service gets no more retries
    /// than the ratio of its requests, plus the tolerances.
    #[test]
    fn no_depth_multiplies_retries(
        faults in proptest::collection::vec((0.0_f64..0.4, 0.0_f64..0.4, 1_u32..3), 2..11),
        seed in any::<u64>(),
    ) {
        let mut state = seed | 1;
        let mut random = || {
            state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            (state >> 11) as f64 / (1_u64 << 53) as f64
        };
        let mut chain: Vec<Service> = faults
            .iter()
            .enumerate()
            // A few levels fan out; more would take too long.
            .map(|(level, (answer_lost, refused, calls))| Service {
                budgets: vec![WindowRetryBudget::default(); GATES],
                faults: Faults { answer_lost: *answer_lost, refused: *refused },
                calls: if level < 3 { *calls } else { 1 },
                requests: 0.0,
                retries: 0.0,
            })
            .collect();
        for _ in 0..1_000 {
            request(&mut chain, 0, false, &mut random);
        }
        for (level, service) in chain.iter().enumerate() {
            let allowed = service.requests * CHAIN.ratio * RATIO_TOLERANCE + COUNT_TOLERANCE;
            prop_assert!(service.retries <= allowed, "level {level}: {} of {allowed}", service.retries);
        }
    }
}
