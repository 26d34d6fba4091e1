//! Alternative scheme: each node enforces its static share of the limit.

use std::collections::HashMap;

use olivegate_quota::bucket::INITIAL_FILL;
use olivegate_quota::static_share::StaticShare;

use crate::scenario::{QuotaScheme, Scenario, TOLERANCE, moment};

pub struct StaticShares {
    shares: HashMap<(usize, usize), StaticShare>,
}

impl StaticShares {
    pub fn new(_scenario: &Scenario) -> Self {
        StaticShares { shares: HashMap::new() }
    }
}

impl QuotaScheme for StaticShares {
    fn admit(&mut self, scenario: &Scenario, node: usize, tenant: usize, at_ms: u64, draw: f64) -> bool {
        let limit = scenario.limit(tenant, node, at_ms).enforced_with(&TOLERANCE);
        let nodes = scenario.nodes as u32;
        let new_share = || StaticShare::new(limit, nodes, INITIAL_FILL, moment(at_ms));
        self.shares.entry((node, tenant)).or_insert_with(new_share).admit(limit, nodes, draw, moment(at_ms))
    }

    fn step(&mut self, _scenario: &Scenario, _at_ms: u64) {}

    fn restart(&mut self, _scenario: &Scenario, _at_ms: u64) {
        self.shares.clear();
    }

    fn bytes(&self) -> (u64, u64) {
        (0, 0)
    }
}
