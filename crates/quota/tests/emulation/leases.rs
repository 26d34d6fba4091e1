//! A tenant's owner, drawn by hash, holds its bucket and grants each node a lease of tokens when
//! it asks. A node without a token asks and waits for the way there and back; one that does not
//! reach the owner keeps to its fixed part.

use std::collections::HashMap;

use olivegate_quota::QuotaLimit;
use olivegate_quota::bucket::FIRST_PART;
use olivegate_quota::static_share::FixedPart;

use crate::scenario::{Scenario, TOLERANCE, Way, moment};

/// Bytes of a request for a lease and of its answer.
const LEASE_BYTES: u64 = 2 * 60;
/// A lease of a node that asks often, as a part of the burst over the nodes.
const LEASE_PART: f64 = 0.25;

#[derive(Debug, Clone, Copy)]
struct OwnedBucket {
    tokens: f64,
    at_ms: u64,
}

pub struct OwnerLeases {
    owned: HashMap<usize, OwnedBucket>,
    leases: HashMap<(usize, usize), f64>,
    fixed: HashMap<(usize, usize), FixedPart>,
    bytes: u64,
    cross: u64,
}

impl OwnerLeases {
    pub fn new(_scenario: &Scenario) -> Self {
        OwnerLeases { owned: HashMap::new(), leases: HashMap::new(), fixed: HashMap::new(), bytes: 0, cross: 0 }
    }

    fn grant(&mut self, tenant: usize, limit: QuotaLimit, wanted: f64, at_ms: u64) -> f64 {
        let begin = OwnedBucket { tokens: limit.burst * FIRST_PART, at_ms };
        let bucket = self.owned.entry(tenant).or_insert(begin);
        let refill = limit.rate_per_s * (at_ms - bucket.at_ms) as f64 / 1_000.0;
        *bucket = OwnedBucket { tokens: (bucket.tokens + refill).min(limit.burst), at_ms };
        let granted = wanted.min(bucket.tokens).floor().max(0.0);
        bucket.tokens -= granted;
        granted
    }
}

impl Way for OwnerLeases {
    fn admit(&mut self, scenario: &Scenario, node: usize, tenant: usize, at_ms: u64, draw: f64) -> bool {
        let limit = scenario.limit(tenant, node, at_ms).enforced_with(&TOLERANCE);
        let owner = (tenant * 7_919 + 13) % scenario.nodes;
        if !scenario.reaches(node, owner, at_ms) {
            let nodes = scenario.nodes as u32;
            let begin = || FixedPart::new(limit, nodes, FIRST_PART, moment(at_ms));
            return self.fixed.entry((node, tenant)).or_insert_with(begin).admit(
                limit,
                nodes,
                draw,
                moment(at_ms),
            );
        }
        if self.leases.get(&(node, tenant)).copied().unwrap_or(0.0) < 1.0 {
            self.bytes += LEASE_BYTES;
            self.cross += if scenario.zone(node) == scenario.zone(owner) { 0 } else { LEASE_BYTES };
            let wanted = (limit.burst * LEASE_PART / scenario.nodes as f64).max(1.0);
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
        self.fixed.clear();
    }

    fn bytes(&self) -> (u64, u64) {
        (self.bytes, self.cross)
    }
}
