//! Each node keeps to its part.

use std::collections::HashMap;

use olivegate_quota::bucket::FIRST_PART;
use olivegate_quota::static_share::FixedPart;

use crate::scenario::{Scenario, TOLERANCE, Way, moment};

pub struct FixedParts {
    parts: HashMap<(usize, usize), FixedPart>,
}

impl FixedParts {
    pub fn new(_scenario: &Scenario) -> Self {
        FixedParts { parts: HashMap::new() }
    }
}

impl Way for FixedParts {
    fn admit(&mut self, scenario: &Scenario, node: usize, tenant: usize, at_ms: u64, draw: f64) -> bool {
        let limit = scenario.limit(tenant, node, at_ms).enforced_with(&TOLERANCE);
        let nodes = scenario.nodes as u32;
        let begin = || FixedPart::new(limit, nodes, FIRST_PART, moment(at_ms));
        self.parts.entry((node, tenant)).or_insert_with(begin).admit(limit, nodes, draw, moment(at_ms))
    }

    fn step(&mut self, _scenario: &Scenario, _at_ms: u64) {}

    fn restart(&mut self, _scenario: &Scenario, _at_ms: u64) {
        self.parts.clear();
    }

    fn bytes(&self) -> (u64, u64) {
        (0, 0)
    }
}
