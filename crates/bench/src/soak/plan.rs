//! Draws the faults of a soak and their times from a seed, so that a run can be repeated.
//!
//! Drawing is pure. `only` keeps the faults with the given numbers, which is how a plan that broke a promise
//! is reduced.

use std::fmt;

use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};

use super::fault_kind::{FaultKind, InstanceFault, LinkFault, StoreFault};

/// Fault-free time at the beginning, in seconds.
pub const FAULT_FREE_START_S: f64 = 4.0;
/// Fault-free time at the end, in which everything has to recover, in seconds.
pub const FAULT_FREE_END_S: f64 = 15.0;
/// Default mean time between two faults, in seconds.
pub const MEAN_GAP_S: f64 = 2.0;
/// Range of fault durations, in seconds.
const DURATION_S: std::ops::Range<f64> = 0.5..5.0;

/// Kinds of faults with their weights.
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

/// Combined with the seed to draw deadly requests, so that the draw of the other faults doesn't change.
const DEADLY_SEED: u64 = 0x0d1e;
/// Range of times for which a deadly content is sent again and again, in seconds.
const DEADLY_S: std::ops::Range<f64> = 6.0..20.0;
/// Maximum number of deadly contents in a soak; the minimum is one.
const MAX_DEADLY: usize = 3;

/// Kinds of what instances report about themselves in responses; drawn separately from the other faults.
const SELF_REPORT_KINDS: [(FaultKind, u32); 7] = [
    (FaultKind::NamesRate { tenths: [0, 0] }, 2),
    (FaultKind::NamesRate { tenths: [2, 28] }, 2),
    (FaultKind::NamesRate { tenths: [28, 2] }, 2),
    (FaultKind::NamesRate { tenths: [130, 28] }, 2),
    (FaultKind::NamesRate { tenths: [50, 130] }, 2),
    (FaultKind::NamesRate { tenths: [130, 0] }, 1),
    (FaultKind::SaysLeaving, 4),
];
/// Combined with the seed to draw what instances report about themselves.
const SELF_REPORT_SEED: u64 = 0x05a1;
/// Range of times for which a rate is declared, in seconds.
const SELF_REPORT_S: std::ops::Range<f64> = 5.0..14.0;
/// Maximum number of such reports in a soak; the minimum is two.
const MAX_SELF_REPORTS: usize = 5;
/// Faults, with weights, that hit the process of the same machine while its instance reports something.
const CONCURRENT_KINDS: [(FaultKind, u32); 5] = [
    (FaultKind::Kill, 4),
    (FaultKind::Pause, 3),
    (FaultKind::Stop, 3),
    (FaultKind::Link(LinkFault::Silent), 2),
    (FaultKind::Link(LinkFault::Reset), 2),
];
/// Maximum number of concurrent faults for each report.
const MAX_CONCURRENT: usize = 3;
/// Range of their durations, in seconds.
const CONCURRENT_S: std::ops::Range<f64> = 0.2..1.5;

/// Kinds of odd responses of instances; drawn separately from the other faults.
const RESPONSE_KINDS: [(FaultKind, u32); 3] = [
    (FaultKind::Instance(InstanceFault::PromisesWrongly), 1),
    (FaultKind::Instance(InstanceFault::LeavesUnsigned), 1),
    (FaultKind::Instance(InstanceFault::Refusing), 1),
];
/// Combined with the seed to draw odd responses.
const RESPONSE_SEED: u64 = 0x0a5e;
/// Maximum number of times with odd responses in a soak; the minimum is one of each kind.
const MAX_RESPONSES: usize = 5;

/// Combined with the seed to draw times at which open connections fall silent.
const SILENT_SEED: u64 = 0x051e;
/// Maximum number of such times in a soak; the minimum is one.
const MAX_SILENT: usize = 2;
/// Duration of the burst before connections fall silent, in seconds. It leaves many idle ones.
const BURST_BEFORE_SILENCE_S: f64 = 1.5;
/// Range of delays from the silence to the changes that follow it, in seconds.
const CHANGE_AFTER_SILENCE_S: std::ops::Range<f64> = 0.0..4.0;
/// Number of changes of the configuration after each silence.
const CHANGES_AFTER_SILENCE: usize = 2;

/// Combined with the seed to draw restores of the store from a backup.
const RESTORED_SEED: u64 = 0x0c0b;
/// Combined with the seed to draw the time without watch events.
const DEAF_SEED: u64 = 0x0dea;
/// Range of times for which a store that is restored is down, in seconds.
const RESTORE_OUTAGE_S: std::ops::Range<f64> = 0.5..2.5;
/// Range of backup ages, in milliseconds.
const BACKUP_AGE_MS: std::ops::Range<u32> = 500..5_000;
/// Range of delays between the restore of the store and instances that leave, in seconds: by then revisions
/// catch up with those from before the restore, and all machines are in contact with the store again.
const LEAVING_DELAY_S: std::ops::Range<f64> = 1.6..5.0;
/// Number of instances that leave after each restore.
const LEAVINGS_PER_RESTORE: usize = 3;
/// Time without watch events, in seconds.
const DEAF_S: f64 = 1.0;
/// Maximum number of restores in a soak; the minimum is one.
const MAX_RESTORED: usize = 2;

/// A fault and when it occurs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Fault {
    /// Its number in the plan.
    pub number: usize,
    /// Start, in seconds after the start of traffic.
    pub at_s: f64,
    /// Duration in seconds.
    pub for_s: f64,
    /// Kind of fault.
    pub kind: FaultKind,
    /// Machine that is hit; ignored if the fault hits the whole deployment.
    pub machine: usize,
}

/// The faults of one soak, numbered in the order in which they are drawn.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    /// The faults.
    pub faults: Vec<Fault>,
    /// Duration of the soak in seconds.
    pub length_s: f64,
}

impl Plan {
    /// Draws the faults of a soak of `length_s` seconds with `machines` machines; with `is_planned_only`,
    /// routine operations only.
    pub fn draw(seed: u64, length_s: f64, machines: usize, is_planned_only: bool) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let is_wanted = |(kind, _): &(FaultKind, u32)| kind.is_planned() || !is_planned_only;
        let kinds: Vec<(FaultKind, u32)> = KINDS.into_iter().filter(is_wanted).collect();
        let timing = Timing { length_s, mean_gap_s: MEAN_GAP_S };
        let mut faults = draw_weighted(&kinds, &mut random, timing, machines);
        if !is_planned_only {
            draw_deadly(&mut faults, seed, length_s, machines);
            draw_restored(&mut faults, seed, length_s, machines);
            draw_deaf(&mut faults, seed, length_s, machines);
            draw_self_reports(&mut faults, seed, length_s, machines);
            draw_silent_connections(&mut faults, seed, length_s, machines);
            draw_responses(&mut faults, seed, length_s, machines);
        }
        Plan { faults, length_s }
    }

    /// Draws only faults of the kinds whose `Debug` form starts with one of `names`, such as `Pause` or
    /// `Link(Silent`, with a mean gap of `mean_gap_s` seconds. With a short gap, many faults of one kind
    /// overlap.
    pub fn draw_kinds(seed: u64, length_s: f64, machines: usize, names: &[String], mean_gap_s: f64) -> Self {
        let is_named = |kind: &FaultKind| names.iter().any(|name| format!("{kind:?}").starts_with(name.as_str()));
        let all = KINDS
            .into_iter()
            .chain(SELF_REPORT_KINDS)
            .chain(RESPONSE_KINDS)
            .chain([(FaultKind::OpenConnectionsSilent, 2)]);
        let kinds: Vec<(FaultKind, u32)> = all.filter(|(kind, _)| is_named(kind)).collect();
        let mut random = StdRng::seed_from_u64(seed);
        let faults = draw_weighted(&kinds, &mut random, Timing { length_s, mean_gap_s }, machines);
        Plan { faults, length_s }
    }

    /// Keeps only the faults with these numbers.
    pub fn only(mut self, numbers: &[usize]) -> Self {
        self.faults.retain(|fault| numbers.contains(&fault.number));
        self
    }
}

/// Duration of a soak and mean gap between its faults, in seconds.
#[derive(Debug, Clone, Copy)]
struct Timing {
    length_s: f64,
    mean_gap_s: f64,
}

/// Draws faults one after the other from `kinds` by weight.
fn draw_weighted(kinds: &[(FaultKind, u32)], random: &mut StdRng, timing: Timing, machines: usize) -> Vec<Fault> {
    let end_s = timing.length_s - FAULT_FREE_END_S;
    let mut faults = Vec::new();
    let mut at_s = FAULT_FREE_START_S;
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

/// Draws deadly contents.
fn draw_deadly(faults: &mut Vec<Fault>, seed: u64, length_s: f64, machines: usize) {
    let mut random = StdRng::seed_from_u64(seed ^ DEADLY_SEED);
    let end_s = length_s - FAULT_FREE_END_S;
    for _ in 0..random.random_range(1..=MAX_DEADLY) {
        let at_s = random.random_range(FAULT_FREE_START_S..end_s.max(FAULT_FREE_START_S + 1.0));
        let for_s = random.random_range(DEADLY_S).min(end_s - at_s).max(0.1);
        let kind = FaultKind::DeadlyRequests { with_body: random.random_bool(0.5) };
        let machine = random.random_range(0..machines.max(1));
        faults.push(Fault { number: faults.len(), at_s, for_s, kind, machine });
    }
}

/// Draws restores of the store, and instances that leave soon after.
fn draw_restored(faults: &mut Vec<Fault>, seed: u64, length_s: f64, machines: usize) {
    let mut random = StdRng::seed_from_u64(seed ^ RESTORED_SEED);
    let end_s = length_s - FAULT_FREE_END_S;
    for _ in 0..random.random_range(1..=MAX_RESTORED) {
        let copy_age_ms = random.random_range(BACKUP_AGE_MS);
        let at_s = random.random_range(FAULT_FREE_START_S..(end_s - 10.0).max(FAULT_FREE_START_S + 1.0));
        let for_s = f64::from(copy_age_ms) / 1_000.0 + random.random_range(RESTORE_OUTAGE_S);
        let for_s = for_s.min(end_s - at_s).max(0.1);
        let kind = FaultKind::StoreRestored { copy_age_ms };
        faults.push(Fault { number: faults.len(), at_s, for_s, kind, machine: 0 });
        for _ in 0..LEAVINGS_PER_RESTORE {
            let at_s = (at_s + for_s + random.random_range(LEAVING_DELAY_S)).min(end_s);
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

/// Draws a time without watch events, and an instance that leaves during it.
fn draw_deaf(faults: &mut Vec<Fault>, seed: u64, length_s: f64, machines: usize) {
    let mut random = StdRng::seed_from_u64(seed ^ DEAF_SEED);
    let at_s = random
        .random_range(FAULT_FREE_START_S..(length_s - FAULT_FREE_END_S - DEAF_S).max(FAULT_FREE_START_S + 1.0));
    faults.push(Fault { number: faults.len(), at_s, for_s: DEAF_S, kind: FaultKind::StoreDeaf, machine: 0 });
    let at_s = at_s + random.random_range(0.0..DEAF_S);
    let machine = random.random_range(0..machines.max(1));
    faults.push(Fault { number: faults.len(), at_s, for_s: 0.1, kind: FaultKind::InstanceLeaves, machine });
}

/// Draws times at which open connections fall silent, with a burst before, and changes after them.
fn draw_silent_connections(faults: &mut Vec<Fault>, seed: u64, length_s: f64, machines: usize) {
    let mut random = StdRng::seed_from_u64(seed ^ SILENT_SEED);
    let end_s = length_s - FAULT_FREE_END_S;
    let mut push = |at_s: f64, for_s: f64, kind: FaultKind, machine: usize| {
        faults.push(Fault { number: faults.len(), at_s: at_s.min(end_s), for_s, kind, machine });
    };
    for _ in 0..random.random_range(1..=MAX_SILENT) {
        let earliest_s = FAULT_FREE_START_S + BURST_BEFORE_SILENCE_S;
        let at_s = random.random_range(earliest_s..(end_s - 5.0).max(earliest_s + 1.0));
        push(at_s - BURST_BEFORE_SILENCE_S, BURST_BEFORE_SILENCE_S, FaultKind::Burst, 0);
        push(at_s, 0.1, FaultKind::OpenConnectionsSilent, 0);
        for _ in 0..CHANGES_AFTER_SILENCE {
            push(at_s + random.random_range(CHANGE_AFTER_SILENCE_S), 0.1, FaultKind::Configuration, 0);
        }
        let leaves_at_s = at_s + random.random_range(CHANGE_AFTER_SILENCE_S);
        push(leaves_at_s, 0.1, FaultKind::InstanceLeaves, random.random_range(0..machines.max(1)));
    }
}

/// Draws times with odd responses, each kind once before any comes again.
fn draw_responses(faults: &mut Vec<Fault>, seed: u64, length_s: f64, machines: usize) {
    let mut random = StdRng::seed_from_u64(seed ^ RESPONSE_SEED);
    let end_s = length_s - FAULT_FREE_END_S;
    let count = random.random_range(RESPONSE_KINDS.len()..=MAX_RESPONSES);
    for (kind, _) in RESPONSE_KINDS.into_iter().cycle().take(count) {
        let at_s = random.random_range(FAULT_FREE_START_S..end_s.max(FAULT_FREE_START_S + 1.0));
        let for_s = random.random_range(DURATION_S).min(end_s - at_s).max(0.1);
        let machine = random.random_range(0..machines.max(1));
        faults.push(Fault { number: faults.len(), at_s, for_s, kind, machine });
    }
}

/// Draws what instances report about themselves, and concurrent faults of their machines' processes.
fn draw_self_reports(faults: &mut Vec<Fault>, seed: u64, length_s: f64, machines: usize) {
    let mut random = StdRng::seed_from_u64(seed ^ SELF_REPORT_SEED);
    let end_s = length_s - FAULT_FREE_END_S;
    for _ in 0..random.random_range(2..=MAX_SELF_REPORTS) {
        let Ok((kind, _)) = SELF_REPORT_KINDS.choose_weighted(&mut random, |(_, weight)| *weight).copied() else {
            return;
        };
        let at_s =
            random.random_range(FAULT_FREE_START_S..(end_s - SELF_REPORT_S.start).max(FAULT_FREE_START_S + 1.0));
        let for_s = random.random_range(SELF_REPORT_S).min(end_s - at_s).max(0.1);
        let machine = random.random_range(0..machines.max(1));
        faults.push(Fault { number: faults.len(), at_s, for_s, kind, machine });
        for _ in 0..random.random_range(0..=MAX_CONCURRENT) {
            let concurrent = CONCURRENT_KINDS.choose_weighted(&mut random, |(_, weight)| *weight);
            let Ok((kind, _)) = concurrent.copied() else { return };
            let at_s = at_s + random.random_range(0.0..for_s);
            let for_s = random.random_range(CONCURRENT_S).min(end_s - at_s).max(0.1);
            faults.push(Fault { number: faults.len(), at_s, for_s, kind, machine });
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Fault { number, at_s, for_s, kind, machine } = self;
        write!(formatter, "fault={number} at_s={at_s:.2} for_s={for_s:.2} kind={kind:?}")?;
        if kind.is_cluster_wide() { Ok(()) } else { write!(formatter, " machine={machine}") }
    }
}
