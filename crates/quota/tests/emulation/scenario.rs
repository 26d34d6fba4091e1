//! Demand, cuts and what is measured.

use std::collections::VecDeque;
use std::fmt;

use olivegate_quota::{QuotaLimit, TenantId, Tolerance};
use olivegate_types::Moment;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

pub const STEP_MS: u64 = 10;
pub const ZONES: usize = 3;
/// Requests a second of all tenants for each node: what a busy node of the deployments sees.
const REQUESTS_PER_NODE: f64 = 22.0;
/// A tenant's rate over its usual demand.
const RATE_OVER_USUAL: f64 = 1.6;
const HOT_FROM_MS: u64 = 5_000;
const CUT_MS: std::ops::Range<u64> = 6_000..12_000;
pub const TOLERANCE: Tolerance =
    Tolerance { window: std::time::Duration::from_secs(5), overshoot: 0.25, slack: 20.0 };

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cut {
    None,
    Halves,
    Singles,
}

#[derive(Debug, Clone, Copy)]
pub struct Scenario {
    pub nodes: usize,
    pub tenants: usize,
    /// The second largest tenant asks for this many times its usual.
    pub hot: f64,
    pub cut: Cut,
    /// All nodes forget everything at these times.
    pub restarts: &'static [u64],
    /// The largest tenant's limit falls to a fifth, on each node at a time of its own within the
    /// 2.5 s that follow.
    pub lowered_ms: Option<u64>,
    pub seconds: u64,
}

impl Scenario {
    /// Usual requests a second of a tenant: the larger ones are rare.
    pub fn usual(&self, tenant: usize) -> f64 {
        let rank = tenant as f64 + 1.0;
        // Sum of the weights of all ranks, by the integral and its first correction.
        let all = (self.tenants as f64).powf(0.1) / 0.1 - 9.45;
        REQUESTS_PER_NODE * self.nodes as f64 * rank.powf(-0.9) / all
    }

    pub fn demand(&self, tenant: usize, at_ms: u64) -> f64 {
        let is_hot = tenant == 1 && at_ms >= HOT_FROM_MS;
        self.usual(tenant) * if is_hot { self.hot } else { 1.0 }
    }

    fn full_limit(&self, tenant: usize) -> QuotaLimit {
        let rate = (self.usual(tenant) * RATE_OVER_USUAL).ceil();
        QuotaLimit { rate_per_s: rate, burst: rate }
    }

    /// The limit in force at a node.
    pub fn limit(&self, tenant: usize, node: usize, at_ms: u64) -> QuotaLimit {
        let full = self.full_limit(tenant);
        let told_after = (node as u64 * 37) % 2_500;
        let is_lowered = tenant == 0 && self.lowered_ms.is_some_and(|from| at_ms >= from + told_after);
        if is_lowered { full.times(0.2) } else { full }
    }

    /// The limit by which the fleet is judged: a lower one a window after all nodes know it.
    fn judged(&self, tenant: usize, at_ms: u64) -> QuotaLimit {
        let full = self.full_limit(tenant);
        let is_lowered = tenant == 0 && self.lowered_ms.is_some_and(|from| at_ms >= from + 7_500);
        if is_lowered { full.times(0.2) } else { full }
    }

    pub fn zone(&self, node: usize) -> usize {
        node % ZONES
    }

    /// True when a message gets from one node to another.
    pub fn reaches(&self, from: usize, to: usize, at_ms: u64) -> bool {
        if from == to || !CUT_MS.contains(&at_ms) {
            return true;
        }
        let is_single = |node: usize| (node * 7_919) % 10 < 3;
        match self.cut {
            Cut::None => true,
            Cut::Halves => (from < self.nodes / 2) == (to < self.nodes / 2),
            Cut::Singles => !is_single(from) && !is_single(to),
        }
    }
}

pub fn tenant_id(tenant: usize) -> TenantId {
    TenantId(tenant as u64)
}

pub fn moment(at_ms: u64) -> Moment {
    Moment::from_millis(at_ms)
}

/// A way to keep quotas.
pub trait Way {
    /// True when a request is let in.
    fn admit(&mut self, scenario: &Scenario, node: usize, tenant: usize, at_ms: u64, draw: f64) -> bool;
    /// Time has passed.
    fn step(&mut self, scenario: &Scenario, at_ms: u64);
    /// All nodes forget everything.
    fn restart(&mut self, scenario: &Scenario, at_ms: u64);
    /// Bytes sent so far: all, and those between zones.
    fn bytes(&self) -> (u64, u64);
}

/// What was measured.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Requests let in within the worst window of the worst tenant, over what is allowed.
    pub worst_window: f64,
    /// Part of what an exact bucket would have let in that was refused.
    pub owed_refused: f64,
    bytes_per_node_s: f64,
    cross_zone_per_node_s: f64,
}

impl fmt::Display for Outcome {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "worst window {:.2} of what is allowed, owed and refused {:.3}, bytes a second and node {:.0} ({:.1} between zones)",
            self.worst_window, self.owed_refused, self.bytes_per_node_s, self.cross_zone_per_node_s
        )
    }
}

/// What the bucket of a tenant would have let in, and what was let in.
#[derive(Debug, Default, Clone)]
struct Judge {
    tokens: f64,
    owed: f64,
    admitted: f64,
    window: VecDeque<(u64, u32)>,
    in_window: u32,
}

impl Judge {
    fn note(&mut self, limit: QuotaLimit, at_ms: u64, asked: u32, admitted: u32) -> f64 {
        self.tokens = (self.tokens + limit.rate_per_s * STEP_MS as f64 / 1_000.0).min(limit.burst);
        let owed = f64::from(asked).min(self.tokens.max(0.0));
        self.tokens -= owed;
        self.owed += owed;
        self.admitted += f64::from(admitted);
        self.window.push_back((at_ms, admitted));
        self.in_window += admitted;
        let length = TOLERANCE.window.as_millis() as u64;
        while self.window.front().is_some_and(|(at, _)| at + length <= at_ms) {
            self.in_window -= self.window.pop_front().map_or(0, |(_, admitted)| admitted);
        }
        f64::from(self.in_window) / limit.max_in_window(&TOLERANCE)
    }
}

pub fn play(scenario: &Scenario, way: &mut dyn Way) -> Outcome {
    let mut random = SmallRng::seed_from_u64(7);
    let mut judges = vec![Judge::default(); scenario.tenants];
    for (tenant, judge) in judges.iter_mut().enumerate() {
        judge.tokens = scenario.full_limit(tenant).burst;
    }
    let mut outcome = Outcome::default();
    for at_ms in (0..scenario.seconds * 1_000).step_by(STEP_MS as usize) {
        if scenario.restarts.contains(&at_ms) {
            way.restart(scenario, at_ms);
        }
        way.step(scenario, at_ms);
        for (tenant, judge) in judges.iter_mut().enumerate() {
            let expected = scenario.demand(tenant, at_ms) * STEP_MS as f64 / 1_000.0;
            let asked = expected as u32 + u32::from(random.random::<f64>() < expected.fract());
            let mut admitted = 0;
            for _ in 0..asked {
                let node = random.random_range(0..scenario.nodes);
                admitted += u32::from(way.admit(scenario, node, tenant, at_ms, random.random()));
            }
            let used = judge.note(scenario.judged(tenant, at_ms), at_ms, asked, admitted);
            outcome.worst_window = outcome.worst_window.max(used);
        }
    }
    let owed: f64 = judges.iter().map(|judge| judge.owed).sum();
    let lost: f64 = judges.iter().map(|judge| (judge.owed - judge.admitted).max(0.0)).sum();
    outcome.owed_refused = lost / owed;
    let (all, cross) = way.bytes();
    let node_seconds = (scenario.nodes as u64 * scenario.seconds) as f64;
    outcome.bytes_per_node_s = all as f64 / node_seconds;
    outcome.cross_zone_per_node_s = cross as f64 / node_seconds;
    outcome
}
