//! Stateful fuzzing of the queue against a simple oracle: a list of the tickets that wait and of those that
//! hold a slot. No ticket is lost or served twice, the slots are never exceeded, no ticket waits while a slot
//! is free, and no lower class is served before a higher one.

use std::collections::BTreeMap;
use std::time::Duration;

use olivegate_overload::{AdaptiveLimit, Admission, InstanceQueue, QueueSettings, SlotRequest, TicketId};
use olivegate_types::{GroupName, Importance, Moment, SheddingRank};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

const SLOTS: u32 = 3;

#[derive(Debug, Clone)]
enum Step {
    Arrive { importance: u8, group: u8, hop: u8, rank: u16, wait_ms: u16 },
    Finish(u8),
    Cancel(u8),
    InstanceRefuses,
    InstanceAnswers,
    Wait(u8),
}

#[derive(Debug, Clone)]
struct Model;

impl ReferenceStateMachine for Model {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        prop_oneof![
            6 => (0..4_u8, 0..3_u8, 0..2_u8, any::<u16>(), 10..500_u16).prop_map(
                |(importance, group, hop, rank, wait_ms)| Step::Arrive { importance, group, hop, rank, wait_ms }
            ),
            4 => any::<u8>().prop_map(Step::Finish),
            1 => any::<u8>().prop_map(Step::Cancel),
            1 => Just(Step::InstanceRefuses),
            1 => Just(Step::InstanceAnswers),
            2 => any::<u8>().prop_map(Step::Wait),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

struct System {
    queue: InstanceQueue,
    now: Moment,
    /// Class and group of each waiting ticket.
    waiting: BTreeMap<TicketId, (Importance, bool, GroupName)>,
    running: Vec<TicketId>,
}

impl System {
    fn serve_waiting(&mut self) {
        while let Some(ticket) = self.queue.next(self.now) {
            let served = self.waiting.remove(&ticket).expect("only waiting tickets are served");
            let best = self.waiting.values().map(|(importance, deeper, _)| (*importance, *deeper)).max();
            assert!(best.is_none_or(|best| best <= (served.0, served.1)), "a lower class was served first");
            self.running.push(ticket);
        }
    }

    fn arrive(&mut self, request: SlotRequest) {
        let class = (request.importance, request.hop > 0, request.group.clone());
        match self.queue.submit(request, self.now) {
            Admission::Dispatch(ticket) => self.running.push(ticket),
            Admission::Wait { ticket, displaced } => {
                if let Some(displaced) = displaced {
                    let lost = self.waiting.remove(&displaced).expect("only waiting tickets are displaced");
                    let other_group = lost.2 != class.2;
                    let lower = (lost.0, lost.1) < (class.0, class.1);
                    let same = (lost.0, lost.1) == (class.0, class.1);
                    assert!(lower || (same && other_group), "displaced by a class that is not higher");
                }
                self.waiting.insert(ticket, class);
            }
            Admission::Refuse(refusal) => assert!(refusal.retry_after > Duration::ZERO),
        }
    }
}

struct Queue;

impl StateMachineTest for Queue {
    type SystemUnderTest = System;
    type Reference = Model;

    fn init_test((): &()) -> System {
        let settings = QueueSettings { max_wait: Duration::from_millis(80), waiting_per_slot: 3 };
        System {
            queue: InstanceQueue::new(settings, AdaptiveLimit::new(SLOTS, false)),
            now: Moment::START,
            waiting: BTreeMap::new(),
            running: Vec::new(),
        }
    }

    fn apply(mut system: System, (): &(), step: Step) -> System {
        match step {
            Step::Arrive { importance, group, hop, rank, wait_ms } => system.arrive(SlotRequest {
                importance: Importance(importance),
                group: GroupName::new(format!("group-{group}")),
                weight: u32::from(group) + 1,
                hop,
                rank: SheddingRank(rank),
                deadline: system.now + Duration::from_millis(u64::from(wait_ms)),
                expected: Duration::from_millis(20),
                max_wait: None,
            }),
            Step::Finish(choice) if !system.running.is_empty() => {
                let index = usize::from(choice) % system.running.len();
                let ticket = system.running.swap_remove(index);
                system.queue.finish(ticket, system.now);
                system.serve_waiting();
            }
            Step::Cancel(choice) if !system.waiting.is_empty() => {
                let index = usize::from(choice) % system.waiting.len();
                let ticket = *system.waiting.keys().nth(index).expect("index is in range");
                system.waiting.remove(&ticket);
                assert!(system.queue.cancel(ticket));
                assert!(!system.queue.cancel(ticket));
            }
            Step::InstanceRefuses => system.queue.limit_mut().on_refused(system.now),
            Step::InstanceAnswers => {
                system.queue.limit_mut().on_success(SLOTS);
                system.serve_waiting();
            }
            Step::Wait(millis) => system.now = system.now + Duration::from_millis(u64::from(millis)),
            Step::Finish(_) | Step::Cancel(_) => {}
        }
        system
    }

    fn check_invariants(system: &System, (): &()) {
        assert_eq!(system.queue.waiting() as usize, system.waiting.len());
        assert_eq!(system.queue.in_flight() as usize, system.running.len());
        assert!(system.queue.in_flight() <= SLOTS);
        let limit = system.queue.current_limit();
        assert!((1..=SLOTS).contains(&limit));
    }

    /// Once all running tickets have ended, none is left waiting.
    fn teardown(mut system: System, (): ()) {
        while let Some(ticket) = system.running.pop() {
            system.queue.finish(ticket, system.now);
            system.serve_waiting();
        }
        assert!(system.waiting.is_empty(), "left waiting: {:?}", system.waiting);
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig { cases: 500, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn queue_agrees_with_its_oracle(sequential 1..120 => Queue);
}
