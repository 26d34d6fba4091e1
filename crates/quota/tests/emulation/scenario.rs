//! Demand, network partitions and the measured outcome.

use std::collections::VecDeque;
use std::fmt;

use olivegate_quota::{QuotaLimit, TenantId, Tolerance};
use olivegate_types::Moment;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

pub const STEP_MS: u64 = 10;
pub const ZONES: usize = 3;
/// Requests per second and node over all tenants, as on a busy node of the deployments.
const REQUESTS_PER_NODE_S: f64 = 22.0;
/// Rate limit of a tenant, relative to its usual demand.
const RATE_OVER_USUAL: f64 = 1.6;
const HOT_FROM_MS: u64 = 5_000;
const PARTITION_MS: std::ops::Range<u64> = 6_000..12_000;
pub const TOLERANCE: Tolerance =
    Tolerance { window: std::time::Duration::from_secs(5), overshoot: 0.25, slack: 20.0 };

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Partition {
    None,
    Halves,
    SingleNodes,
}

#[derive(Debug, Clone, Copy)]
pub struct Scenario {
    pub nodes: usize,
    pub tenants: usize,
    /// Factor on the usual demand of the second largest tenant, from [`HOT_FROM_MS`] on.
    pub hot: f64,
    pub partition: Partition,
    /// Times at which all nodes restart and lose their state.
    pub restarts: &'static [u64],
    /// Time at which the largest tenant's limit is lowered to a fifth. Each node learns of it at a different
    /// time within the next 2.5 s.
    pub lowered_ms: Option<u64>,
    pub seconds: u64,
}

impl Scenario {
    /// Usual requests per second of a tenant, by a Zipf-like distribution over its rank.
    pub fn usual(&self, tenant: usize) -> f64 {
        let rank = tenant as f64 + 1.0;
        // Approximate sum of the weights of all ranks: the integral and its first correction.
        let all = (self.tenants as f64).powf(0.1) / 0.1 - 9.45;
        REQUESTS_PER_NODE_S * self.nodes as f64 * rank.powf(-0.9) / all
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
        let learned_after = (node as u64 * 37) % 2_500;
        let is_lowered = tenant == 0 && self.lowered_ms.is_some_and(|from| at_ms >= from + learned_after);
        if is_lowered { full.scaled(0.2) } else { full }
    }

    /// The limit that the fleet is checked against: a lowered one applies one window after all nodes know
    /// it.
    fn checked_limit(&self, tenant: usize, at_ms: u64) -> QuotaLimit {
        let full = self.full_limit(tenant);
        let is_lowered = tenant == 0 && self.lowered_ms.is_some_and(|from| at_ms >= from + 7_500);
        if is_lowered { full.scaled(0.2) } else { full }
    }

    pub fn zone(&self, node: usize) -> usize {
        node % ZONES
    }

    /// True when a message from one node reaches another.
    pub fn reaches(&self, from: usize, to: usize, at_ms: u64) -> bool {
        if from == to || !PARTITION_MS.contains(&at_ms) {
            return true;
        }
        let is_single = |node: usize| (node * 7_919) % 10 < 3;
        match self.partition {
            Partition::None => true,
            Partition::Halves => (from < self.nodes / 2) == (to < self.nodes / 2),
            Partition::SingleNodes => !is_single(from) && !is_single(to),
        }
    }
}

pub fn tenant_id(tenant: usize) -> TenantId {
    TenantId(tenant as u64)
}

pub fn moment(at_ms: u64) -> Moment {
    Moment::from_millis(at_ms)
}

/// A scheme for enforcing quotas across the fleet.
pub trait QuotaScheme {
    /// True when a request is admitted.
    fn admit(&mut self, scenario: &Scenario, node: usize, tenant: usize, at_ms: u64, draw: f64) -> bool;
    /// Advances the emulated time to `at_ms`.
    fn step(&mut self, scenario: &Scenario, at_ms: u64);
    /// Restarts all nodes, which lose their state.
    fn restart(&mut self, scenario: &Scenario, at_ms: u64);
    /// Bytes sent so far: in total, and between zones.
    fn bytes(&self) -> (u64, u64);
}

/// Measured results of a scenario.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Largest ratio of admitted to tolerated requests over all windows and tenants.
    pub worst_window: f64,
    /// Fraction of the requests that an exact token bucket would have admitted and the scheme refused.
    pub refused_within_limit: f64,
    bytes_per_node_s: f64,
    cross_zone_per_node_s: f64,
}

impl fmt::Display for Outcome {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "worst window {:.2} of the tolerated requests, refused within the limit {:.3}, bytes per second and node {:.0} ({:.1} between zones)",
            self.worst_window, self.refused_within_limit, self.bytes_per_node_s, self.cross_zone_per_node_s
        )
    }
}

/// Compares the admitted requests of a tenant with those of an exact token bucket.
#[derive(Debug, Default, Clone)]
struct TenantMeter {
    tokens: f64,
    entitled: f64,
    admitted: f64,
    window: VecDeque<(u64, u32)>,
    in_window: u32,
}

impl TenantMeter {
    /// Adds the requests of one step; returns the ratio of admitted to tolerated requests in the window that
    /// ends with it.
    fn record(&mut self, limit: QuotaLimit, at_ms: u64, requested: u32, admitted: u32) -> f64 {
        self.tokens = (self.tokens + limit.rate_per_s * STEP_MS as f64 / 1_000.0).min(limit.burst);
        let entitled = f64::from(requested).min(self.tokens.max(0.0));
        self.tokens -= entitled;
        self.entitled += entitled;
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

pub fn run(scenario: &Scenario, scheme: &mut dyn QuotaScheme) -> Outcome {
    let mut random = SmallRng::seed_from_u64(7);
    let mut meters = vec![TenantMeter::default(); scenario.tenants];
    for (tenant, meter) in meters.iter_mut().enumerate() {
        meter.tokens = scenario.full_limit(tenant).burst;
    }
    let mut outcome = Outcome::default();
    for at_ms in (0..scenario.seconds * 1_000).step_by(STEP_MS as usize) {
        if scenario.restarts.contains(&at_ms) {
            scheme.restart(scenario, at_ms);
        }
        scheme.step(scenario, at_ms);
        for (tenant, meter) in meters.iter_mut().enumerate() {
            let expected = scenario.demand(tenant, at_ms) * STEP_MS as f64 / 1_000.0;
            let requested = expected as u32 + u32::from(random.random::<f64>() < expected.fract());
            let mut admitted = 0;
            for _ in 0..requested {
                let node = random.random_range(0..scenario.nodes);
                admitted += u32::from(scheme.admit(scenario, node, tenant, at_ms, random.random()));
            }
            let used = meter.record(scenario.checked_limit(tenant, at_ms), at_ms, requested, admitted);
            outcome.worst_window = outcome.worst_window.max(used);
        }
    }
    let entitled: f64 = meters.iter().map(|meter| meter.entitled).sum();
    let lost: f64 = meters.iter().map(|meter| (meter.entitled - meter.admitted).max(0.0)).sum();
    outcome.refused_within_limit = lost / entitled;
    let (all, cross) = scheme.bytes();
    let node_seconds = (scenario.nodes as u64 * scenario.seconds) as f64;
    outcome.bytes_per_node_s = all as f64 / node_seconds;
    outcome.cross_zone_per_node_s = cross as f64 / node_seconds;
    outcome
}
