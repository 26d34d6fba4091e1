//! The scheme of the crate: nodes report their counts to the collector of their zone.

use std::collections::VecDeque;
use std::net::{IpAddr, Ipv4Addr};
use std::rc::Rc;

use olivegate_quota::collector::Limits;
use olivegate_quota::{AdmittedFraction, Collector, NodeQuotas, UsageReport};

use crate::scenario::{QuotaScheme, Scenario, TOLERANCE, ZONES, moment, tenant_id};

const INTERVAL_MS: u64 = 200;
const COLLECTOR_INTERVAL_MS: u64 = 100;
const DELAY_IN_ZONE_MS: u64 = 2;
const DELAY_BETWEEN_ZONES_MS: u64 = 4;
const ENTRY_BYTES: u64 = 24;
const HEADER_BYTES: u64 = 48;
const FRACTION_BYTES: u64 = 12;

enum Message {
    Usage { from: usize, to: usize, sent_ms: u64, report: UsageReport },
    Answer { to: usize, sent_ms: u64, fractions: Vec<AdmittedFraction> },
    Zone { from: usize, to: usize, report: UsageReport },
}

pub struct CollectorCounts {
    nodes: Vec<NodeQuotas>,
    /// Collectors by zone: the node with the number of the zone.
    collectors: Vec<Collector>,
    in_transit: VecDeque<(u64, Message)>,
    generation: u32,
    /// Shared by all collectors of a scenario in which no limit changes.
    limits: Rc<Limits>,
    bytes: u64,
    cross: u64,
}

fn ip(node: usize) -> IpAddr {
    IpAddr::V4(Ipv4Addr::from_bits(node as u32))
}

fn limits(scenario: &Scenario, node: usize, at_ms: u64) -> Limits {
    let limit = |tenant| (tenant_id(tenant), scenario.limit(tenant, node, at_ms).enforced_with(&TOLERANCE));
    (0..scenario.tenants).map(limit).collect()
}

impl CollectorCounts {
    pub fn new(scenario: &Scenario) -> Self {
        let mut fleet = CollectorCounts {
            nodes: Vec::new(),
            collectors: Vec::new(),
            in_transit: VecDeque::new(),
            generation: 0,
            limits: Rc::new(limits(scenario, 0, 0)),
            bytes: 0,
            cross: 0,
        };
        fleet.restart(scenario, 0);
        fleet
    }

    fn limits(&self, scenario: &Scenario, node: usize, at_ms: u64) -> Rc<Limits> {
        match scenario.lowered_ms {
            None => self.limits.clone(),
            Some(_) => Rc::new(limits(scenario, node, at_ms)),
        }
    }

    fn send(&mut self, scenario: &Scenario, from: usize, to: usize, at_ms: u64, bytes: u64, message: Message) {
        let is_cross = scenario.zone(from) != scenario.zone(to);
        self.bytes += bytes;
        self.cross += if is_cross { bytes } else { 0 };
        if scenario.reaches(from, to, at_ms) {
            let delay = if is_cross { DELAY_BETWEEN_ZONES_MS } else { DELAY_IN_ZONE_MS };
            self.in_transit.push_back((at_ms + delay, message));
        }
    }

    fn deliver(&mut self, scenario: &Scenario, message: Message, at_ms: u64) {
        match message {
            Message::Usage { from, to, sent_ms, report } => {
                let limits = self.limits(scenario, to, at_ms);
                let collector = &mut self.collectors[to];
                collector.on_node_report(ip(from), &report, &limits, moment(at_ms));
                let fractions =
                    collector.admitted_fractions(&limits, scenario.nodes as u32, moment(at_ms)).to_vec();
                let bytes = HEADER_BYTES + fractions.len() as u64 * FRACTION_BYTES;
                self.send(scenario, to, from, at_ms, bytes, Message::Answer { to: from, sent_ms, fractions });
            }
            Message::Answer { to, sent_ms, fractions } => {
                self.nodes[to].on_collector_answer(&fractions, moment(sent_ms))
            }
            Message::Zone { from, to, report } => {
                let limits = self.limits(scenario, to, at_ms);
                self.collectors[to].on_collector_report(ip(from), &report, &limits, moment(at_ms));
            }
        }
    }

    fn report(&mut self, scenario: &Scenario, node: usize, at_ms: u64) {
        let collector = scenario.zone(node);
        for report in self.nodes[node].reports(moment(at_ms)) {
            let bytes = HEADER_BYTES + report.entries.len() as u64 * ENTRY_BYTES;
            let message = Message::Usage { from: node, to: collector, sent_ms: at_ms, report };
            self.send(scenario, node, collector, at_ms, bytes, message);
        }
    }

    fn report_zone(&mut self, scenario: &Scenario, zone: usize, at_ms: u64) {
        for report in self.collectors[zone].zone_reports(moment(at_ms)) {
            for to in (0..ZONES).filter(|other| *other != zone) {
                let bytes = HEADER_BYTES + report.entries.len() as u64 * ENTRY_BYTES;
                let message = Message::Zone { from: zone, to, report: report.clone() };
                self.send(scenario, zone, to, at_ms, bytes, message);
            }
        }
    }
}

impl QuotaScheme for CollectorCounts {
    fn admit(&mut self, scenario: &Scenario, node: usize, tenant: usize, at_ms: u64, draw: f64) -> bool {
        let limit = scenario.limit(tenant, node, at_ms).enforced_with(&TOLERANCE);
        let nodes = scenario.nodes as u32;
        self.nodes[node].admit(tenant_id(tenant), limit, nodes, draw, moment(at_ms)).is_ok()
    }

    fn step(&mut self, scenario: &Scenario, at_ms: u64) {
        let due = |(at, _): &(u64, Message)| *at <= at_ms;
        let (arrived, later): (Vec<_>, Vec<_>) = self.in_transit.drain(..).partition(due);
        self.in_transit = later.into();
        for (_, message) in arrived {
            self.deliver(scenario, message, at_ms);
        }
        for node in 0..scenario.nodes {
            if (at_ms + node as u64 * 70).is_multiple_of(INTERVAL_MS) {
                self.report(scenario, node, at_ms);
            }
        }
        for zone in 0..ZONES {
            if (at_ms + zone as u64 * 30).is_multiple_of(COLLECTOR_INTERVAL_MS) {
                self.report_zone(scenario, zone, at_ms);
            }
        }
    }

    fn restart(&mut self, scenario: &Scenario, _at_ms: u64) {
        let mut generation = || {
            self.generation += 1;
            self.generation
        };
        self.collectors = (0..ZONES).map(|_| Collector::new(generation())).collect();
        self.nodes = (0..scenario.nodes)
            .map(|_| {
                let mut quotas = NodeQuotas::default();
                quotas.begin_generation(generation());
                quotas
            })
            .collect();
        self.in_transit.clear();
    }

    fn bytes(&self) -> (u64, u64) {
        (self.bytes, self.cross)
    }
}
