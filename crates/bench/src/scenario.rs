//! What happens when, in each scenario.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::load::driver::ClientBehaviour;
use crate::load::schedule::Phase;

/// Something done to the system.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// The deepest service becomes slower by a factor; 1 ends it.
    SlowDeep(f64),
    /// Each execution breaks its connection with this probability, in thousandths.
    Breaking(u32),
    /// All instances of the first service are cold.
    Cold,
    /// An instance leaves; `lying` hides it from health, the member list lags by the milliseconds.
    Leave { lying: bool, lag_ms: u64 },
    /// The instance is back.
    Back,
    /// A node is killed.
    Kill(usize),
    /// A killed node is started again, its memory empty.
    Start(usize),
    /// A node is frozen for some milliseconds.
    Freeze(usize, u64),
    /// A zone is cut off, in both directions or only outwards.
    Cut { zone: usize, one_way: bool },
    /// All links are whole again.
    Heal,
    /// The configuration service goes away or comes back.
    Configuration(bool),
    /// A new bundle version is published.
    Publish,
    /// The configuration service goes back to the first version.
    PublishStale,
    /// Two operators publish the same version at once.
    PublishRace,
    /// Every node is replaced, one after the other, in the planned way.
    RollingReplace,
    /// All nodes are killed at once.
    KillAll,
    /// All nodes are started.
    StartAll,
    /// The trigger of the overload ends.
    TriggerEnd,
}

/// A scenario for an experiment of a given length.
#[derive(Debug, Clone)]
pub struct Scenario {
    pub name: String,
    /// Load as multiples of the mix's capacity.
    pub phases: Vec<Phase>,
    /// Actions with their time in seconds, in order.
    pub actions: Vec<(f64, Action)>,
    pub behaviour: ClientBehaviour,
    /// A group whose demand is multiplied.
    pub greedy: Option<(usize, f64)>,
    /// Only the first kind of the traffic.
    pub one_call: bool,
    /// Factor on body sizes.
    pub body_factor: usize,
    /// Directory below the deployment's with another call graph.
    pub variant: Option<&'static str>,
    /// True when the arms without nodes take part.
    pub with_baselines: bool,
}

/// All scenario names.
pub const NAMES: [&str; 24] = [
    "steady",
    "surge",
    "slow-deep-service",
    "retry-storm",
    "surge-slow-retry",
    "fairness",
    "cold-start",
    "lying-health",
    "deep-chain",
    "mixed-sizes",
    "node-kill",
    "node-freeze",
    "zone-cut",
    "one-way-cut",
    "config-outage",
    "config-stale",
    "operator-race",
    "back-end-drain",
    "rolling-replace",
    "full-restart",
    "duplicate-send",
    "kill-during-cut",
    "freeze-during-seat-change",
    "all-at-once",
];

/// Load of ordinary operation, as a part of capacity.
const ORDINARY: f64 = 0.8;
/// Load while failures of the system itself are injected.
const MODERATE: f64 = 0.5;
/// Load of a surge.
const SURGE: f64 = 3.0;

fn patient() -> ClientBehaviour {
    ClientBehaviour { attempts: 1, honours_retry_after: true, deadline_ms: 1_000, sends_duplicates: false }
}

fn polite_retries() -> ClientBehaviour {
    ClientBehaviour { attempts: 3, ..patient() }
}

fn impatient() -> ClientBehaviour {
    ClientBehaviour { attempts: 4, honours_retry_after: false, ..patient() }
}

impl Scenario {
    /// The scenario named `name` over `seconds`; `nodes` and `zones` are the fleet's size.
    pub fn named(name: &str, seconds: f64, seed: u64, nodes: usize, zones: usize) -> Option<Self> {
        let at = |fraction: f64| fraction * seconds;
        let begin = at(0.3);
        let end = at(0.6);
        let constant = |load| vec![Phase { from: 0.0, per_second: load }];
        let burst = |load| {
            vec![
                Phase { from: 0.0, per_second: ORDINARY },
                Phase { from: begin, per_second: load },
                Phase { from: end, per_second: ORDINARY },
            ]
        };
        let mut scenario = Scenario {
            name: name.to_string(),
            phases: constant(MODERATE),
            actions: Vec::new(),
            behaviour: polite_retries(),
            greedy: None,
            one_call: false,
            body_factor: 1,
            variant: None,
            with_baselines: false,
        };
        let overload = |scenario: &mut Scenario, phases: Vec<Phase>, behaviour| {
            scenario.phases = phases;
            scenario.behaviour = behaviour;
            scenario.with_baselines = true;
        };
        match name {
            "steady" => overload(&mut scenario, constant(ORDINARY), patient()),
            "surge" => {
                overload(&mut scenario, burst(SURGE), patient());
                scenario.actions = vec![(end, Action::TriggerEnd)];
            }
            "slow-deep-service" => {
                overload(&mut scenario, constant(ORDINARY), patient());
                scenario.actions = slow_between(begin, end, 4.0);
            }
            "retry-storm" => {
                overload(&mut scenario, burst(1.5), impatient());
                scenario.actions = vec![(end, Action::TriggerEnd)];
            }
            "surge-slow-retry" => {
                overload(&mut scenario, burst(SURGE), impatient());
                scenario.actions = slow_between(begin, end, 2.0);
            }
            "fairness" => {
                overload(&mut scenario, constant(SURGE), patient());
                scenario.greedy = Some((0, 2.0));
                scenario.one_call = true;
            }
            "cold-start" => {
                overload(&mut scenario, constant(ORDINARY), patient());
                scenario.actions = vec![(begin, Action::Cold)];
            }
            "lying-health" => {
                overload(&mut scenario, constant(MODERATE), patient());
                scenario.actions =
                    vec![(begin, Action::Leave { lying: true, lag_ms: 5_000 }), (at(0.8), Action::Back)];
            }
            "deep-chain" => {
                overload(&mut scenario, constant(MODERATE), patient());
                scenario.variant = Some("deep-chain");
                scenario.actions = vec![(at(0.2), Action::Breaking(30))];
            }
            "mixed-sizes" => {
                overload(&mut scenario, constant(MODERATE), patient());
                scenario.body_factor = 8;
            }
            "node-kill" => scenario.actions = vec![(begin, Action::Kill(0)), (at(0.7), Action::Start(0))],
            "node-freeze" => {
                let freeze = 1_000 + seed % 4 * 1_000;
                scenario.actions = vec![(begin, Action::Freeze(1, freeze))];
            }
            "zone-cut" => scenario.actions = cut_between(begin, end, false),
            "one-way-cut" => scenario.actions = cut_between(begin, end, true),
            "config-outage" => {
                scenario.actions = vec![
                    (at(0.2), Action::Configuration(false)),
                    (at(0.3), Action::Kill(0)),
                    (at(0.5), Action::Start(0)),
                    (at(0.7), Action::Configuration(true)),
                    (at(0.75), Action::Publish),
                ];
            }
            "config-stale" => {
                scenario.actions = vec![
                    (at(0.2), Action::Publish),
                    (at(0.4), Action::PublishStale),
                    (at(0.5), Action::Kill(0)),
                    (at(0.6), Action::Start(0)),
                ];
            }
            "operator-race" => {
                scenario.actions = vec![(at(0.2), Action::PublishRace), (at(0.5), Action::PublishRace)];
            }
            "back-end-drain" => {
                scenario.actions =
                    vec![(begin, Action::Leave { lying: false, lag_ms: 3_000 }), (at(0.7), Action::Back)];
            }
            "rolling-replace" => scenario.actions = vec![(at(0.15), Action::RollingReplace)],
            "full-restart" => {
                scenario.actions = vec![(begin, Action::KillAll), (at(0.35), Action::StartAll)];
            }
            "duplicate-send" => scenario.behaviour.sends_duplicates = true,
            "kill-during-cut" => {
                scenario.actions = cut_between(begin, end, false);
                scenario.actions.insert(1, (at(0.4), Action::Kill(nodes - 1)));
                scenario.actions.push((at(0.7), Action::Start(nodes - 1)));
            }
            "freeze-during-seat-change" => {
                scenario.behaviour.sends_duplicates = true;
                scenario.actions = vec![
                    (begin, Action::Kill(0)),
                    (at(0.32), Action::Freeze(1, 3_000)),
                    (at(0.5), Action::Start(0)),
                ];
            }
            "all-at-once" => {
                scenario.behaviour.sends_duplicates = true;
                scenario.actions = random_schedule(seconds, seed, nodes, zones);
            }
            _ => return None,
        }
        Some(scenario)
    }
}

/// The deepest service slower by a factor; the reservations' and checkouts' own demand
/// still fits at three times the load when the factor is 2.
fn slow_between(begin: f64, end: f64, factor: f64) -> Vec<(f64, Action)> {
    vec![(begin, Action::SlowDeep(factor)), (end, Action::SlowDeep(1.0)), (end, Action::TriggerEnd)]
}

fn cut_between(begin: f64, end: f64, one_way: bool) -> Vec<(f64, Action)> {
    vec![(begin, Action::Cut { zone: 0, one_way }), (end, Action::Heal)]
}

/// A seeded schedule of failures in the middle of the experiment; the last part is
/// quiet, so that the system can show that it recovers.
fn random_schedule(seconds: f64, seed: u64, nodes: usize, zones: usize) -> Vec<(f64, Action)> {
    let mut random = StdRng::seed_from_u64(seed ^ 0x5eed);
    let mut actions = Vec::new();
    let mut at = 0.1 * seconds;
    let mut killed = Vec::new();
    while at < 0.65 * seconds {
        let node = random.random_range(0..nodes);
        match random.random_range(0..9) {
            0 | 1 if !killed.contains(&node) => {
                killed.push(node);
                actions.push((at, Action::Kill(node)));
                actions.push((at + random.random_range(0.5..3.0), Action::Start(node)));
            }
            2 => actions.push((at, Action::Freeze(node, random.random_range(1_000..5_000)))),
            3 => {
                actions.push((at, Action::Cut { zone: random.random_range(0..zones), one_way: random.random() }));
                actions.push((at + random.random_range(1.0..3.0), Action::Heal));
            }
            4 => {
                actions.push((at, Action::Configuration(false)));
                actions.push((at + 2.0, Action::Configuration(true)));
            }
            5 => actions.push((at, Action::Publish)),
            6 => actions.push((at, Action::PublishRace)),
            7 => {
                actions.push((at, Action::Leave { lying: random.random(), lag_ms: 3_000 }));
                actions.push((at + 4.0, Action::Back));
            }
            _ => {
                actions.push((at, Action::SlowDeep(3.0)));
                actions.push((at + 1.5, Action::SlowDeep(1.0)));
            }
        }
        at += random.random_range(0.3..1.8);
    }
    actions.push((0.75 * seconds, Action::Heal));
    actions.push((0.75 * seconds, Action::Configuration(true)));
    actions.push((0.75 * seconds, Action::SlowDeep(1.0)));
    actions.sort_by(|left, right| left.0.total_cmp(&right.0));
    actions
}
