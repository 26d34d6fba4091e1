//! Stateful fuzzing of claims. Messages are delayed, reordered and lost; seats lose their
//! memory, or move while their old holder still votes. The invariant: at most one claimant
//! of a key is granted while the claim is remembered.
//!
//! The transitions assume (docs/DESIGN.md) that one of the three positions never has two
//! live holders at once. Positions 0 and 1 may have two.

use std::collections::HashMap;
use std::time::Duration;

use olivegate_claims::{
    Claim, ClaimKey, ClaimOutcome, ClaimRound, Claimant, Incarnation, IncarnationVector, RecoveryReply, Seat,
    SeatIndex, SeatMode, Vote,
};
use olivegate_types::{Digest, Moment, NodeName, RequestId};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

const SEATS: usize = 3;
const MEMORY: Duration = Duration::from_millis(1_000);

#[derive(Debug, Clone)]
enum Step {
    /// A claimant sends a claim to one holder of each position.
    Claim { key: u8, holder_choice: u8 },
    /// A claimant sends a claim and gets the votes of the positions in `reach` at once.
    Exchange { key: u8, holder_choice: u8, reach: u8 },
    /// The recovering holders announce themselves and get the replies of the positions in `reach` at
    /// once.
    Recover { holder_choice: u8, reach: u8 },
    /// A pending message is delivered.
    Deliver(u16),
    /// A pending message is lost.
    Lose(u16),
    /// A holder crashes and its memory is lost.
    Crash { position: u8, holder: u8 },
    /// A position gets a new holder while its old one may go on voting.
    Replace { position: u8 },
    /// The recovering holders announce themselves.
    Announce { holder_choice: u8 },
    /// Time passes.
    Wait(u16),
}

/// Model without state: each step is always possible.
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
            4 => (0..2_u8, any::<u8>()).prop_map(|(key, holder_choice)| Step::Claim { key, holder_choice }),
            8 => (0..2_u8, any::<u8>(), 0..8_u8)
                .prop_map(|(key, holder_choice, reach)| Step::Exchange { key, holder_choice, reach }),
            6 => (any::<u8>(), 0..8_u8).prop_map(|(holder_choice, reach)| Step::Recover { holder_choice, reach }),
            12 => any::<u16>().prop_map(Step::Deliver),
            1 => any::<u16>().prop_map(Step::Lose),
            2 => (0..3_u8, any::<u8>()).prop_map(|(position, holder)| Step::Crash { position, holder }),
            3 => (0..3_u8).prop_map(|position| Step::Replace { position }),
            4 => any::<u8>().prop_map(|holder_choice| Step::Announce { holder_choice }),
            2 => (1..400_u16).prop_map(Step::Wait),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

#[derive(Debug, Clone)]
enum Message {
    Claim { holder: usize, round: usize },
    Vote { round: usize, vote: Vote },
    Recover { holder: usize, from: usize },
    RecoveryReply { holder: usize, reply: RecoveryReply },
}

struct Round {
    claim: Claim,
    votes: ClaimRound,
    started: Moment,
    granted: bool,
}

struct System {
    now: Moment,
    /// All seats ever created; `None` once crashed.
    seats: Vec<Option<Seat>>,
    rounds: Vec<Round>,
    messages: Vec<Message>,
    /// Start times of the granted rounds, by key.
    grants: HashMap<ClaimKey, Vec<Moment>>,
    next_counter: u64,
}

fn key(number: u8) -> ClaimKey {
    ClaimKey(Digest::of(&[number]))
}

impl System {
    fn new() -> Self {
        let mut system = System {
            now: Moment::from_millis(1),
            seats: Vec::new(),
            rounds: Vec::new(),
            messages: Vec::new(),
            grants: HashMap::new(),
            next_counter: 1,
        };
        for position in 0..SEATS {
            system.add_holder(position as u8, true);
        }
        system.announce(0);
        while !system.messages.is_empty() {
            system.deliver(0);
        }
        assert!(system.seats.iter().flatten().all(|seat| seat.mode() == SeatMode::Voting));
        system
    }

    fn add_holder(&mut self, position: u8, new_deployment: bool) {
        let holder = NodeName::new(format!("node-{}", self.seats.len()));
        let incarnation = Incarnation { counter: self.next_counter, holder };
        self.next_counter += 1;
        let seat = Seat::recovering(SeatIndex(position), SEATS, incarnation, MEMORY, new_deployment, self.now);
        self.seats.push(Some(seat));
    }

    fn holders(&self, position: u8) -> Vec<usize> {
        let live =
            self.seats.iter().enumerate().filter_map(|(index, seat)| seat.as_ref().map(|seat| (index, seat)));
        live.filter(|(_, seat)| seat.index().0 == position).map(|(index, _)| index).collect()
    }

    fn chosen_holder(&self, position: u8, choice: u8) -> Option<usize> {
        let holders = self.holders(position);
        let choice = usize::from(choice >> (2 * position)) & 3;
        (!holders.is_empty()).then(|| holders[choice % holders.len()])
    }

    fn claim(&mut self, number: u8, choice: u8) {
        let round = self.rounds.len();
        let claimant = Claimant { node: NodeName::new("edge"), request: RequestId(round as u128) };
        let known = IncarnationVector::unknown(SEATS);
        let claim =
            Claim { key: key(number), claimant, memory_ms: MEMORY.as_millis() as u32, known: known.clone() };
        self.rounds.push(Round { claim, votes: ClaimRound::new(known), started: self.now, granted: false });
        for position in 0..SEATS as u8 {
            if let Some(holder) = self.chosen_holder(position, choice) {
                self.messages.push(Message::Claim { holder, round });
            }
        }
    }

    fn announce(&mut self, choice: u8) {
        let recovering: Vec<usize> = (0..self.seats.len())
            .filter(|index| self.seats[*index].as_ref().is_some_and(|seat| seat.mode() == SeatMode::Recovering))
            .collect();
        for from in recovering {
            let position = self.seats[from].as_ref().unwrap().index().0;
            for other in (0..SEATS as u8).filter(|other| *other != position) {
                if let Some(holder) = self.chosen_holder(other, choice) {
                    self.messages.push(Message::Recover { holder, from });
                }
            }
        }
    }

    fn deliver(&mut self, choice: u16) {
        if self.messages.is_empty() {
            return;
        }
        let index = usize::from(choice) % self.messages.len();
        match self.messages.remove(index) {
            Message::Claim { holder, round } => {
                let claim = self.rounds[round].claim.clone();
                let now = self.now;
                if let Some(seat) = &mut self.seats[holder] {
                    let vote = seat.on_claim(&claim, now);
                    self.messages.push(Message::Vote { round, vote });
                }
            }
            Message::Vote { round, vote } => self.on_vote(round, vote),
            Message::Recover { holder, from } => {
                let Some(asking) = &self.seats[from] else {
                    return;
                };
                let (position, incarnation) = (asking.index(), asking.incarnation().clone());
                let now = self.now;
                if let Some(seat) = &mut self.seats[holder] {
                    let reply = seat.on_recover(position, &incarnation, now);
                    self.messages.push(Message::RecoveryReply { holder: from, reply });
                }
            }
            Message::RecoveryReply { holder, reply } => {
                let now = self.now;
                if let Some(seat) = &mut self.seats[holder] {
                    seat.on_recovery_reply(reply, now);
                }
            }
        }
    }

    /// Sends messages and at once delivers those to the positions in `reach`, and the replies to
    /// them. The other messages stay pending.
    fn send_and_deliver(&mut self, reach: u8, send: impl FnOnce(&mut Self)) {
        let before = self.messages.len();
        send(self);
        let sent = self.messages.split_off(before);
        for message in sent {
            let (Message::Claim { holder, .. } | Message::Recover { holder, .. }) = &message else {
                continue;
            };
            let position = self.seats[*holder].as_ref().map_or(0, |seat| seat.index().0);
            self.messages.push(message);
            if reach & (1 << position) != 0 {
                let pending = self.messages.len();
                self.deliver((pending - 1) as u16);
                if self.messages.len() == pending {
                    self.deliver((pending - 1) as u16);
                }
            }
        }
    }

    /// Counts a vote. A claimant uses a majority only within half of the time for which claims are
    /// remembered.
    fn on_vote(&mut self, index: usize, vote: Vote) {
        let round = &mut self.rounds[index];
        round.votes.on_vote(vote);
        let in_time = self.now.since(round.started) < MEMORY / 2;
        if round.votes.outcome() == ClaimOutcome::Granted && in_time && !round.granted {
            round.granted = true;
            self.grants.entry(round.claim.key).or_default().push(round.started);
        }
    }

    fn crash(&mut self, position: u8, choice: u8) {
        let holders = self.holders(position);
        if !holders.is_empty() {
            self.seats[holders[usize::from(choice) % holders.len()]] = None;
        }
    }

    fn replace(&mut self, position: u8) {
        let holders = self.holders(position);
        if position == 2 || holders.len() > 1 {
            for index in holders {
                self.seats[index] = None;
            }
        }
        self.add_holder(position, false);
    }
}

struct Claims;

impl StateMachineTest for Claims {
    type SystemUnderTest = System;
    type Reference = Model;

    fn init_test((): &()) -> System {
        System::new()
    }

    fn apply(mut system: System, (): &(), step: Step) -> System {
        match step {
            Step::Claim { key, holder_choice } => system.claim(key, holder_choice),
            Step::Exchange { key, holder_choice, reach } => {
                system.send_and_deliver(reach, |s| s.claim(key, holder_choice))
            }
            Step::Recover { holder_choice, reach } => {
                system.send_and_deliver(reach, |s| s.announce(holder_choice))
            }
            Step::Deliver(choice) => system.deliver(choice),
            Step::Lose(choice) => {
                if !system.messages.is_empty() {
                    let index = usize::from(choice) % system.messages.len();
                    system.messages.remove(index);
                }
            }
            Step::Crash { position, holder } => system.crash(position, holder),
            Step::Replace { position } => system.replace(position),
            Step::Announce { holder_choice } => system.announce(holder_choice),
            Step::Wait(millis) => system.now = system.now + Duration::from_millis(u64::from(millis)),
        }
        system
    }

    /// Claims are remembered for `MEMORY`. A second grant of a key needs votes from after the first
    /// claim expired, and a majority is used within `MEMORY / 2` of the start of its round. So the
    /// granted rounds of a key start at least `MEMORY / 2` apart.
    fn check_invariants(system: &System, (): &()) {
        for grants in system.grants.values() {
            let mut starts = grants.clone();
            starts.sort();
            for pair in starts.windows(2) {
                assert!(pair[1].since(pair[0]) >= MEMORY / 2, "one key was granted twice: {starts:?}");
            }
        }
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn no_key_is_granted_twice(sequential 1..160 => Claims);
}
