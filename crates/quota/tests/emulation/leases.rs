//! Alternative scheme: an owner node per tenant, chosen by hash, holds the token bucket and leases
//! tokens to the nodes on request. A node without a token waits for one round trip to the owner; a
//! node that cannot reach the owner enforces its static share.

use std::collections::HashMap;

use olivegate_quota::QuotaLimit;
use olivegate_quota::bucket::INITIAL_FILL;
use olivegate_quota::static_share::StaticShare;

use crate::scenario::{QuotaScheme, Scenario, TOLERANCE, moment};

/// Bytes of a lease request and its answer.
const LEASE_BYTES: u64 = 2 * 60;
/// Size of a lease, as a fraction of the burst per node; a lease has at least one token.
const LEASE_FRACTION: f64 = 0.25;

#[derive(Debug, Clone, Copy)]
struct OwnedBucket {
    tokens: f64,
    at_ms: u64,
}

pub struct OwnerLeases {
    owned: HashMap<usize, OwnedBucket>,
    leases: HashMap<(usize, usize), f64>,
    static_shares: HashMap<(usize, usize), StaticShare>,
    bytes: u64,
    cross: u64,
}

impl OwnerLeases {
    pub fn new(_scenario: &Scenario) -> Self {
        OwnerLeases {
            owned: HashMap::new(),
            leases: HashMap::new(),
            static_shares: HashMap::new(),
            bytes: 0,
            cross: 0,
        }
    }

    fn grant(&mut self, tenant: usize, limit: QuotaLimit, wanted: f64, at_ms: u64) -> f64 {
        let initial = OwnedBucket { tokens: limit.burst * INITIAL_FILL, at_ms };
        let bucket = self.owned.entry(tenant).or_insert(initial);
        let refill = limit.rate_per_s * (at_ms - bucket.at_ms) as f64 / 1_000.0;
        *bucket = OwnedBucket { tokens: (bucket.tokens + refill).min(limit.burst), at_ms };
        let granted = wanted.min(bucket.tokens).floor().max(0.0);
        bucket.tokens -= granted;
        granted
    }
}

impl QuotaScheme for OwnerLeases {
    fn admit(&mut self, scenario: &Scenario, node: usize, tenant: usize, at_ms: u64, draw: f64) -> bool {
        let limit = scenario.limit(tenant, node, at_ms).enforced_with(&TOLERANCE);
        let owner = (tenant * 7_919 + 13) % scenario.nodes;
        if !scenario.reaches(node, owner, at_ms) {
            let nodes = scenario.nodes as u32;
            let new_share = || StaticShare::new(limit, nodes, INITIAL_FILL, moment(at_ms));
            return self.static_shares.entry((node, tenant)).or_insert_with(new_share).admit(
                limit,
                nodes,
                draw,
                moment(at_ms),
            );
        }
        if self.leases.get(&(node, tenant)).copied().unwrap_or(0.0) < 1.0 {
            self.bytes += LEASE_BYTES;
            self.cross += if scenario.zone(node) == scenario.zone(owner) { 0 } else { LEASE_BYTES };
            let wanted = (limit.burst * LEASE_FRACTION / scenario.nodes as f64).max(1.0);
            let granted =
                self.grant(tenant, scenario.limit(tenant, owner, at_ms).enforced_with(&TOLERANCE), wanted, at_ms);
            *self.leases.entry((node, tenant)).or_default() += granted;
        }
        let lease = self.leases.entry((node, tenant)).or_default();
        let is_admitted = *lease >= 1.0;
        if is_admitted {
            *lease -= 1.0;
        }
        is_admitted
    }

    fn step(&mut self, _scenario: &Scenario, _at_ms: u64) {}

    fn restart(&mut self, _scenario: &Scenario, _at_ms: u64) {
        self.owned.clear();
        self.leases.clear();
        self.static_shares.clear();
    }

    fn bytes(&self) -> (u64, u64) {
        (self.bytes, self.cross)
    }
}
