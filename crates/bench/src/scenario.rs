//! Scenarios: load, client behaviour, and faults with their times.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::load::driver::ClientBehaviour;
use crate::load::schedule::Phase;

/// A fault or operation applied to the system under test.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Multiplies the service times of the service deepest in the call graph; 1 ends it.
    SlowDeepest(f64),
    /// Closes the connection instead of a response with this probability, in thousandths.
    BreakConnections(u32),
    /// Emulates a cold start of all instances of the first service.
    ColdStart,
    /// An instance leaves. `hidden_from_health`: its health check does not show it; `list_lag_ms`:
    /// time until the member list shows it.
    Leave { hidden_from_health: bool, list_lag_ms: u64 },
    /// The leaving instance returns to service.
    Return,
    /// Kills a node.
    Kill(usize),
    /// Starts a killed node again, without the state that it held in memory.
    Start(usize),
    /// Suspends a node's process for some milliseconds.
    Freeze(usize, u64),
    /// Cuts the links of a zone, in both directions or only those from the zone to others.
    Cut { zone: usize, one_way: bool },
    /// Ends all cuts.
    Heal,
    /// Makes the configuration service available (true) or unavailable (false).
    Configuration(bool),
    /// Publishes a new bundle version.
    Publish,
    /// Makes the configuration service serve the first version again.
    PublishStale,
    /// Two operators publish conflicting bundles with the same version shortly after each other.
    PublishRace,
    /// Stops every node gracefully and starts it again, one after the other.
    RollingReplace,
    /// Kills all nodes at once.
    KillAll,
    /// Starts all nodes.
    StartAll,
    /// Marks the end of the overload's cause; recovery is measured from here.
    TriggerEnd,
}

/// A scenario for an experiment of a given length.
#[derive(Debug, Clone)]
pub struct Scenario {
    pub name: String,
    /// Load as multiples of the capacity for the traffic mix.
    pub phases: Vec<Phase>,
    /// Actions with their time in seconds after the start, in order.
    pub actions: Vec<(f64, Action)>,
    pub behaviour: ClientBehaviour,
    /// Index of a group whose load is multiplied, and the factor.
    pub greedy: Option<(usize, f64)>,
    /// Uses only the first call of the traffic mix.
    pub single_call: bool,
    /// Factor on body sizes.
    pub body_factor: usize,
    /// Subdirectory of the deployment's directory with a different call graph.
    pub variant: Option<&'static str>,
    /// True if the arms without nodes are run too.
    pub with_baselines: bool,
}

/// Names of all scenarios.
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

/// Load of normal operation, as a fraction of capacity.
const NORMAL_LOAD: f64 = 0.8;
/// Load while faults of the system itself are injected, as a fraction of capacity.
const MODERATE_LOAD: f64 = 0.5;
/// Load of a surge, as a multiple of capacity.
const SURGE_LOAD: f64 = 3.0;

fn single_attempt() -> ClientBehaviour {
    ClientBehaviour { attempts: 1, honours_retry_after: true, deadline_ms: 1_000, sends_duplicates: false }
}

fn delayed_retries() -> ClientBehaviour {
    ClientBehaviour { attempts: 3, ..single_attempt() }
}

fn immediate_retries() -> ClientBehaviour {
    ClientBehaviour { attempts: 4, honours_retry_after: false, ..single_attempt() }
}

impl Scenario {
    /// Returns the scenario `name` with a length of `seconds`; `nodes` and `zones` are the numbers
    /// of nodes and zones of the deployment.
    pub fn by_name(name: &str, seconds: f64, seed: u64, nodes: usize, zones: usize) -> Option<Self> {
        let at = |fraction: f64| fraction * seconds;
        let begin = at(0.3);
        let end = at(0.6);
        let constant = |load| vec![Phase { from: 0.0, per_second: load }];
        let elevated = |load| {
            vec![
                Phase { from: 0.0, per_second: NORMAL_LOAD },
                Phase { from: begin, per_second: load },
                Phase { from: end, per_second: NORMAL_LOAD },
            ]
        };
        let mut scenario = Scenario {
            name: name.to_string(),
            phases: constant(MODERATE_LOAD),
            actions: Vec::new(),
            behaviour: delayed_retries(),
            greedy: None,
            single_call: false,
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
            "steady" => overload(&mut scenario, constant(NORMAL_LOAD), single_attempt()),
            "surge" => {
                overload(&mut scenario, elevated(SURGE_LOAD), single_attempt());
                scenario.actions = vec![(end, Action::TriggerEnd)];
            }
            "slow-deep-service" => {
                overload(&mut scenario, constant(NORMAL_LOAD), single_attempt());
                scenario.actions = slow_deepest_between(begin, end, 4.0);
            }
            "retry-storm" => {
                overload(&mut scenario, elevated(1.5), immediate_retries());
                scenario.actions = vec![(end, Action::TriggerEnd)];
            }
            "surge-slow-retry" => {
                overload(&mut scenario, elevated(SURGE_LOAD), immediate_retries());
                scenario.actions = slow_deepest_between(begin, end, 2.0);
            }
            "fairness" => {
                overload(&mut scenario, constant(SURGE_LOAD), single_attempt());
                scenario.greedy = Some((0, 2.0));
                scenario.single_call = true;
            }
            "cold-start" => {
                overload(&mut scenario, constant(NORMAL_LOAD), single_attempt());
                scenario.actions = vec![(begin, Action::ColdStart)];
            }
            "lying-health" => {
                overload(&mut scenario, constant(MODERATE_LOAD), single_attempt());
                scenario.actions = vec![
                    (begin, Action::Leave { hidden_from_health: true, list_lag_ms: 5_000 }),
                    (at(0.8), Action::Return),
                ];
            }
            "deep-chain" => {
                overload(&mut scenario, constant(MODERATE_LOAD), single_attempt());
                scenario.variant = Some("deep-chain");
                scenario.actions = vec![(at(0.2), Action::BreakConnections(30))];
            }
            "mixed-sizes" => {
                overload(&mut scenario, constant(MODERATE_LOAD), single_attempt());
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
                scenario.actions = vec![
                    (begin, Action::Leave { hidden_from_health: false, list_lag_ms: 3_000 }),
                    (at(0.7), Action::Return),
                ];
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

/// Multiplies the service times of the deepest service from `begin` to `end`. With a factor of 2
/// and three times the load, the slots still suffice for the reservations and checkouts alone.
fn slow_deepest_between(begin: f64, end: f64, factor: f64) -> Vec<(f64, Action)> {
    vec![(begin, Action::SlowDeepest(factor)), (end, Action::SlowDeepest(1.0)), (end, Action::TriggerEnd)]
}

fn cut_between(begin: f64, end: f64, one_way: bool) -> Vec<(f64, Action)> {
    vec![(begin, Action::Cut { zone: 0, one_way }), (end, Action::Heal)]
}

/// Draws a seeded schedule of faults for the middle of the experiment. The last part has none, so
/// that recovery can be measured.
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
                actions.push((at, Action::Leave { hidden_from_health: random.random(), list_lag_ms: 3_000 }));
                actions.push((at + 4.0, Action::Return));
            }
            _ => {
                actions.push((at, Action::SlowDeepest(3.0)));
                actions.push((at + 1.5, Action::SlowDeepest(1.0)));
            }
        }
        at += random.random_range(0.3..1.8);
    }
    actions.push((0.75 * seconds, Action::Heal));
    actions.push((0.75 * seconds, Action::Configuration(true)));
    actions.push((0.75 * seconds, Action::SlowDeepest(1.0)));
    actions.sort_by(|left, right| left.0.total_cmp(&right.0));
    actions
}
