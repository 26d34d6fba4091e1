//! Which faults strike when: drawn from a seed, so that a soak can be played again.
//!
//! Drawing is pure. `only` keeps some faults of a plan by their numbers, which is how a plan
//! that broke a promise is made smaller.

use std::fmt;

use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};

/// Time without faults at the beginning, in seconds.
pub const CALM_START_S: f64 = 4.0;
/// Time without faults at the end, in which everything has to recover, in seconds.
pub const CALM_END_S: f64 = 15.0;
/// Usual mean time between two faults, in seconds.
pub const MEAN_GAP_S: f64 = 2.0;
/// Shortest and longest fault, in seconds.
const DURATION_S: std::ops::Range<f64> = 0.5..5.0;

/// How the store misbehaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreFault {
    /// It answers 503.
    Busy,
    /// It answers 429.
    Throttling,
    /// It takes calls and never answers.
    Silent,
    /// It closes connections.
    Resetting,
    /// It forgets its history.
    Compacted,
    /// It is silent and entries of living instances run out.
    Lapsed,
}

/// How the way to a machine misbehaves. Its own requests to others still pass; what comes to
/// it, and all datagrams from and to it, are hit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkFault {
    /// Everything is held back, as lost segments would be.
    Silent,
    /// Only what the machine sends back is held back.
    OneWay,
    /// Everything is late by tens of milliseconds.
    Slow,
    /// Connections are reset, again and again.
    Reset,
}

/// How instances misbehave.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InstanceFault {
    /// They run requests and lose answers.
    AnswersLost,
    /// They send a second, wrong answer before the right one.
    SurplusAnswers,
    /// They break off inside answers.
    BreaksOff,
    /// They fail requests while they look well.
    Failing,
    /// They work several times as long.
    Slow,
    /// They stop answering.
    Hanging,
    /// They forget connections that rested.
    ForgetsConnections,
}

/// One kind of fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultKind {
    /// The process is killed, and started again at the end.
    Kill,
    /// The process stands still.
    Pause,
    /// The process gets SIGTERM and is started again when it has ended.
    Stop,
    /// The process reads its settings again.
    Reload,
    /// All processes are killed at once.
    KillAll,
    /// The way to the machine misbehaves.
    Link(LinkFault),
    /// The store misbehaves, for all.
    Store(StoreFault),
    /// The store misbehaves for this machine only.
    StoreOfMachine(StoreFault),
    /// The machine's instance misbehaves.
    Instance(InstanceFault),
    /// The machine's instance crashes and another takes its place.
    InstanceRestarts,
    /// The machine's instance says that it drains, ends later, and another takes its place.
    InstanceLeaves,
    /// Several times as many requests come.
    Burst,
    /// The operator changes the configuration.
    Configuration,
    /// The operator changes the configuration in quick succession.
    ConfigurationStorm,
    /// Calls that wait for changes of the store are told nothing, then it forgets its history. Nothing
    /// else is disturbed: who asks is answered.
    StoreDeaf,
    /// The store goes away and comes back from a copy of itself.
    StoreRestored {
        /// Age of the copy as the store goes away, in milliseconds.
        copy_age_ms: u32,
    },
    /// The machine's instance names a rate in its answers; halfway it names another one.
    NamesRate {
        /// Tenths of a request a second, at first and then.
        tenths: [u32; 2],
    },
    /// The machine's instance says in its answers alone that it leaves, serves on, and another takes its
    /// place.
    SaysLeaving,
    /// Requests of one content end each instance of this machine's service that runs them.
    DeadlyRequests {
        /// They have a body and may run once.
        with_body: bool,
    },
}

/// Kinds with their weights.
const KINDS: [(FaultKind, u32); 29] = [
    (FaultKind::Kill, 4),
    (FaultKind::Pause, 4),
    (FaultKind::Stop, 5),
    (FaultKind::Reload, 2),
    (FaultKind::KillAll, 1),
    (FaultKind::Link(LinkFault::Silent), 3),
    (FaultKind::Link(LinkFault::OneWay), 3),
    (FaultKind::Link(LinkFault::Slow), 2),
    (FaultKind::Link(LinkFault::Reset), 3),
    (FaultKind::Store(StoreFault::Busy), 1),
    (FaultKind::Store(StoreFault::Silent), 1),
    (FaultKind::Store(StoreFault::Resetting), 1),
    (FaultKind::Store(StoreFault::Compacted), 2),
    (FaultKind::Store(StoreFault::Lapsed), 1),
    (FaultKind::StoreOfMachine(StoreFault::Busy), 1),
    (FaultKind::StoreOfMachine(StoreFault::Throttling), 1),
    (FaultKind::StoreOfMachine(StoreFault::Silent), 2),
    (FaultKind::Instance(InstanceFault::AnswersLost), 3),
    (FaultKind::Instance(InstanceFault::SurplusAnswers), 3),
    (FaultKind::Instance(InstanceFault::BreaksOff), 2),
    (FaultKind::Instance(InstanceFault::Failing), 2),
    (FaultKind::Instance(InstanceFault::Slow), 2),
    (FaultKind::Instance(InstanceFault::Hanging), 2),
    (FaultKind::InstanceRestarts, 3),
    (FaultKind::InstanceLeaves, 4),
    (FaultKind::Burst, 2),
    (FaultKind::Instance(InstanceFault::ForgetsConnections), 2),
    (FaultKind::Configuration, 4),
    (FaultKind::ConfigurationStorm, 1),
];

/// Added to the seed for the draw of deadly requests, which leaves the other faults as they are.
const DEADLY_SEED: u64 = 0x0d1e;
/// Shortest and longest time for which a deadly content comes again, in seconds.
const DEADLY_S: std::ops::Range<f64> = 6.0..20.0;
/// Most deadly contents in a soak; the least is one.
const MOST_DEADLY: usize = 3;

/// Kinds of what instances say in their answers, which are drawn by themselves.
const SAID_KINDS: [(FaultKind, u32); 7] = [
    (FaultKind::NamesRate { tenths: [0, 0] }, 2),
    (FaultKind::NamesRate { tenths: [2, 28] }, 2),
    (FaultKind::NamesRate { tenths: [28, 2] }, 2),
    (FaultKind::NamesRate { tenths: [130, 28] }, 2),
    (FaultKind::NamesRate { tenths: [50, 130] }, 2),
    (FaultKind::NamesRate { tenths: [130, 0] }, 1),
    (FaultKind::SaysLeaving, 4),
];
/// Added to the seed for the draw of what instances say.
const SAID_SEED: u64 = 0x05a1;
/// Shortest and longest time for which a rate is named, in seconds.
const SAID_S: std::ops::Range<f64> = 5.0..14.0;
/// Most of what instances say in a soak; the least is two.
const MOST_SAID: usize = 5;
/// What happens to the process beside such an instance meanwhile, with weights.
const BESIDE_KINDS: [(FaultKind, u32); 5] = [
    (FaultKind::Kill, 4),
    (FaultKind::Pause, 3),
    (FaultKind::Stop, 3),
    (FaultKind::Link(LinkFault::Silent), 2),
    (FaultKind::Link(LinkFault::Reset), 2),
];
/// Most such faults for each.
const MOST_BESIDE: usize = 3;
/// Longest of them, in seconds.
const BESIDE_S: std::ops::Range<f64> = 0.2..1.5;

/// Added to the seed for the draw of stores that come back from a copy.
const RESTORED_SEED: u64 = 0x0c0b;
/// Added to the seed for the draw of stores whose waiting calls are told nothing.
const DEAF_SEED: u64 = 0x0dea;
/// Shortest and longest absence of such a store, in seconds.
const RESTORED_AWAY_S: std::ops::Range<f64> = 0.5..2.5;
/// Age of the copy, in milliseconds.
const COPY_AGE_MS: std::ops::Range<u32> = 500..5_000;
/// From the store's return to leavings of instances, in seconds: as revisions catch up, with all
/// machines in touch again.
const LEAVES_AFTER_S: std::ops::Range<f64> = 1.6..5.0;
/// Leavings after each return.
const LEAVINGS: usize = 3;
/// Time for which waiting calls are told nothing, in seconds.
const DEAF_S: f64 = 1.0;
/// Most such returns in a soak; the least is one.
const MOST_RESTORED: usize = 2;

/// A fault at its time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Fault {
    /// Number within the plan.
    pub number: usize,
    /// Begin, in seconds from the start of traffic.
    pub at_s: f64,
    /// Length in seconds.
    pub for_s: f64,
    /// What happens.
    pub kind: FaultKind,
    /// Machine that is hit, where it hits one.
    pub machine: usize,
}

/// The faults of a soak in order of time.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    /// Faults.
    pub faults: Vec<Fault>,
    /// Length of the soak in seconds.
    pub length_s: f64,
}

impl FaultKind {
    /// True for what an operator plans: it must cut off nothing.
    pub fn is_planned(self) -> bool {
        matches!(
            self,
            FaultKind::Stop
                | FaultKind::Reload
                | FaultKind::InstanceLeaves
                | FaultKind::NamesRate { .. }
                | FaultKind::SaysLeaving
                | FaultKind::Configuration
                | FaultKind::ConfigurationStorm
        )
    }

    /// True when the whole deployment is hit and not one machine.
    pub fn is_for_all(self) -> bool {
        matches!(
            self,
            FaultKind::KillAll
                | FaultKind::Store(_)
                | FaultKind::StoreDeaf
                | FaultKind::StoreRestored { .. }
                | FaultKind::Burst
        )
    }
}

impl Plan {
    /// Draws the faults of a soak of `length_s` seconds over `machines` machines; where only
    /// planned work is wanted, no other.
    pub fn draw(seed: u64, length_s: f64, machines: usize, is_planned_only: bool) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let is_wanted = |(kind, _): &(FaultKind, u32)| kind.is_planned() || !is_planned_only;
        let kinds: Vec<(FaultKind, u32)> = KINDS.into_iter().filter(is_wanted).collect();
        let timing = Timing { length_s, mean_gap_s: MEAN_GAP_S };
        let mut faults = draw_usual(&kinds, &mut random, timing, machines);
        if !is_planned_only {
            draw_deadly(&mut faults, seed, length_s, machines);
            draw_restored(&mut faults, seed, length_s, machines);
            draw_deaf(&mut faults, seed, length_s, machines);
            draw_said(&mut faults, seed, length_s, machines);
        }
        Plan { faults, length_s }
    }

    /// Draws faults of the kinds whose names begin with one of `names`, such as `Pause` or
    /// `Link(Silent`, and no others, `mean_gap_s` seconds apart: many of one kind overlap.
    pub fn draw_kinds(seed: u64, length_s: f64, machines: usize, names: &[String], mean_gap_s: f64) -> Self {
        let is_named = |kind: &FaultKind| names.iter().any(|name| format!("{kind:?}").starts_with(name.as_str()));
        let all = KINDS.into_iter().chain(SAID_KINDS);
        let kinds: Vec<(FaultKind, u32)> = all.filter(|(kind, _)| is_named(kind)).collect();
        let mut random = StdRng::seed_from_u64(seed);
        let faults = draw_usual(&kinds, &mut random, Timing { length_s, mean_gap_s }, machines);
        Plan { faults, length_s }
    }

    /// The plan with these faults only.
    pub fn only(mut self, numbers: &[usize]) -> Self {
        self.faults.retain(|fault| numbers.contains(&fault.number));
        self
    }
}

/// How long a soak is and how far apart its faults are in the mean, in seconds.
#[derive(Debug, Clone, Copy)]
struct Timing {
    length_s: f64,
    mean_gap_s: f64,
}

/// Draws one fault after the other from `kinds`, with their weights.
fn draw_usual(kinds: &[(FaultKind, u32)], random: &mut StdRng, timing: Timing, machines: usize) -> Vec<Fault> {
    let end_s = timing.length_s - CALM_END_S;
    let mut faults = Vec::new();
    let mut at_s = CALM_START_S;
    while at_s < end_s {
        let drawn = kinds.choose_weighted(random, |(_, weight)| *weight);
        let Ok((kind, _)) = drawn.copied() else { break };
        let for_s = random.random_range(DURATION_S).min(end_s - at_s).max(0.1);
        let machine = random.random_range(0..machines.max(1));
        faults.push(Fault { number: faults.len(), at_s, for_s, kind, machine });
        at_s += random.random_range(0.0..2.0 * timing.mean_gap_s);
    }
    faults
}

/// Draws the contents that end instances.
fn draw_deadly(faults: &mut Vec<Fault>, seed: u64, length_s: f64, machines: usize) {
    let mut random = StdRng::seed_from_u64(seed ^ DEADLY_SEED);
    let end_s = length_s - CALM_END_S;
    for _ in 0..random.random_range(1..=MOST_DEADLY) {
        let at_s = random.random_range(CALM_START_S..end_s.max(CALM_START_S + 1.0));
        let for_s = random.random_range(DEADLY_S).min(end_s - at_s).max(0.1);
        let kind = FaultKind::DeadlyRequests { with_body: random.random_bool(0.5) };
        let machine = random.random_range(0..machines.max(1));
        faults.push(Fault { number: faults.len(), at_s, for_s, kind, machine });
    }
}

/// Draws returns of the store from a copy, and instances that leave soon after.
fn draw_restored(faults: &mut Vec<Fault>, seed: u64, length_s: f64, machines: usize) {
    let mut random = StdRng::seed_from_u64(seed ^ RESTORED_SEED);
    let end_s = length_s - CALM_END_S;
    for _ in 0..random.random_range(1..=MOST_RESTORED) {
        let copy_age_ms = random.random_range(COPY_AGE_MS);
        let at_s = random.random_range(CALM_START_S..(end_s - 10.0).max(CALM_START_S + 1.0));
        let for_s = f64::from(copy_age_ms) / 1_000.0 + random.random_range(RESTORED_AWAY_S);
        let for_s = for_s.min(end_s - at_s).max(0.1);
        let kind = FaultKind::StoreRestored { copy_age_ms };
        faults.push(Fault { number: faults.len(), at_s, for_s, kind, machine: 0 });
        for _ in 0..LEAVINGS {
            let at_s = (at_s + for_s + random.random_range(LEAVES_AFTER_S)).min(end_s);
            let machine = random.random_range(0..machines.max(1));
            faults.push(Fault {
                number: faults.len(),
                at_s,
                for_s: 0.1,
                kind: FaultKind::InstanceLeaves,
                machine,
            });
        }
    }
}

/// Draws a time in which waiting calls are told nothing, and an instance that leaves in it.
fn draw_deaf(faults: &mut Vec<Fault>, seed: u64, length_s: f64, machines: usize) {
    let mut random = StdRng::seed_from_u64(seed ^ DEAF_SEED);
    let at_s = random.random_range(CALM_START_S..(length_s - CALM_END_S - DEAF_S).max(CALM_START_S + 1.0));
    faults.push(Fault { number: faults.len(), at_s, for_s: DEAF_S, kind: FaultKind::StoreDeaf, machine: 0 });
    let at_s = at_s + random.random_range(0.0..DEAF_S);
    let machine = random.random_range(0..machines.max(1));
    faults.push(Fault { number: faults.len(), at_s, for_s: 0.1, kind: FaultKind::InstanceLeaves, machine });
}

/// Draws what instances say in their answers, and faults of the processes beside them meanwhile.
fn draw_said(faults: &mut Vec<Fault>, seed: u64, length_s: f64, machines: usize) {
    let mut random = StdRng::seed_from_u64(seed ^ SAID_SEED);
    let end_s = length_s - CALM_END_S;
    for _ in 0..random.random_range(2..=MOST_SAID) {
        let Ok((kind, _)) = SAID_KINDS.choose_weighted(&mut random, |(_, weight)| *weight).copied() else {
            return;
        };
        let at_s = random.random_range(CALM_START_S..(end_s - SAID_S.start).max(CALM_START_S + 1.0));
        let for_s = random.random_range(SAID_S).min(end_s - at_s).max(0.1);
        let machine = random.random_range(0..machines.max(1));
        faults.push(Fault { number: faults.len(), at_s, for_s, kind, machine });
        for _ in 0..random.random_range(0..=MOST_BESIDE) {
            let beside = BESIDE_KINDS.choose_weighted(&mut random, |(_, weight)| *weight);
            let Ok((kind, _)) = beside.copied() else { return };
            let at_s = at_s + random.random_range(0.0..for_s);
            let for_s = random.random_range(BESIDE_S).min(end_s - at_s).max(0.1);
            faults.push(Fault { number: faults.len(), at_s, for_s, kind, machine });
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Fault { number, at_s, for_s, kind, machine } = self;
        write!(formatter, "fault={number} at_s={at_s:.2} for_s={for_s:.2} kind={kind:?}")?;
        if kind.is_for_all() { Ok(()) } else { write!(formatter, " machine={machine}") }
    }
}
