//! The collector of a zone adds up the usage reports of its nodes and the zone totals of other
//! collectors, and computes the fraction of each tenant's requests to admit.
//!
//! When only a fraction of the fleet reports, the limit is scaled down to that fraction, so that the
//! sides of a network partition together stay within the whole limit.

use std::collections::HashMap;
use std::net::IpAddr;
use std::time::Duration;

use olivegate_types::Moment;

use crate::TenantId;
use crate::bucket::Bucket;
use crate::ledger::{UsageLedger, UsageReport};
use crate::limit::QuotaLimit;
use crate::node::AdmittedFraction;
use crate::senders::{Senders, UsageDelta};

/// Factor on the fraction of the fleet that reports: with up to one of 21 nodes missing, the whole limit
/// applies, so that a few machines that are down don't make the others refuse.
const MISSING_NODES_TOLERANCE: f64 = 1.05;
/// Time after which the fractions are computed again.
const FRACTIONS_VALID_FOR: Duration = Duration::from_millis(50);
/// A fraction of at least this is treated as 1 and left out of the answer.
const UNLIMITED_FROM: f64 = 0.995;

/// Limits in force, by tenant.
pub type Limits = HashMap<TenantId, QuotaLimit>;

/// State of the collector of one zone.
#[derive(Debug)]
pub struct Collector {
    nodes: Senders<IpAddr>,
    other_collectors: Senders<IpAddr>,
    buckets: HashMap<TenantId, Bucket>,
    zone_usage: UsageLedger,
    fractions: Vec<AdmittedFraction>,
    fractions_at: Option<Moment>,
    /// Start of the current period in which nodes report to this collector.
    counting_since: Option<Moment>,
}

impl Collector {
    /// A collector without any reports. `generation` must differ from that of earlier collectors of this
    /// node.
    pub fn new(generation: u32) -> Self {
        Collector {
            nodes: Senders::default(),
            other_collectors: Senders::default(),
            buckets: HashMap::new(),
            zone_usage: UsageLedger::new(generation),
            fractions: Vec::new(),
            fractions_at: None,
            counting_since: None,
        }
    }

    /// Adds the report of a node of this zone.
    pub fn on_node_report(&mut self, from: IpAddr, report: &UsageReport, limits: &Limits, now: Moment) {
        if !self.is_active(now) {
            self.counting_since = Some(now);
        }
        for delta in self.nodes.apply(from, report, now) {
            self.zone_usage.add(delta.tenant, delta.requested, delta.admitted, now);
            self.add(delta, limits, now);
        }
    }

    /// Adds the report of the collector of another zone.
    pub fn on_collector_report(&mut self, from: IpAddr, report: &UsageReport, limits: &Limits, now: Moment) {
        for delta in self.other_collectors.apply(from, report, now) {
            self.add(delta, limits, now);
        }
    }

    fn add(&mut self, delta: UsageDelta, limits: &Limits, now: Moment) {
        if let Some(limit) = limits.get(&delta.tenant) {
            let bucket = self.buckets.entry(delta.tenant).or_insert_with(|| Bucket::new(now));
            bucket.add(delta.requested, delta.admitted, *limit, now);
        }
    }

    /// Number of nodes whose requests are currently counted.
    pub fn reporting_nodes(&self, now: Moment) -> u32 {
        self.nodes.nodes(now) + self.other_collectors.nodes(now)
    }

    /// True while nodes of the zone report to this collector.
    pub fn is_active(&self, now: Moment) -> bool {
        self.nodes.nodes(now) > 0
    }

    /// Fractions of the tenants of whose requests not all may be admitted. `nodes` is the number of nodes
    /// in the directory.
    pub fn admitted_fractions(&mut self, limits: &Limits, nodes: u32, now: Moment) -> &[AdmittedFraction] {
        if self.fractions_at.is_none_or(|at| now.since(at) >= FRACTIONS_VALID_FOR) {
            self.fractions_at = Some(now);
            self.fractions = self.compute_fractions(limits, nodes, now);
        }
        &self.fractions
    }

    fn compute_fractions(&mut self, limits: &Limits, nodes: u32, now: Moment) -> Vec<AdmittedFraction> {
        let reporting_fraction = f64::from(self.reporting_nodes(now)) / f64::from(nodes.max(1));
        let fleet_fraction = (reporting_fraction * MISSING_NODES_TOLERANCE).min(1.0);
        let counted = self.counting_since.map_or(Duration::ZERO, |since| now.since(since));
        self.buckets.retain(|tenant, _| limits.contains_key(tenant));
        let fractions = self.buckets.iter_mut().filter_map(|(tenant, bucket)| {
            let fraction = bucket.admitted_fraction(limits[tenant].scaled(fleet_fraction), counted, now);
            (fraction < UNLIMITED_FROM).then_some(AdmittedFraction { tenant: *tenant, fraction: fraction as f32 })
        });
        fractions.collect()
    }

    /// Reports to send to the other collectors now.
    pub fn zone_reports(&mut self, now: Moment) -> Vec<UsageReport> {
        self.nodes.remove_silent(now);
        self.other_collectors.remove_silent(now);
        let nodes = u16::try_from(self.nodes.nodes(now)).unwrap_or(u16::MAX);
        self.zone_usage.reports(nodes, now)
    }
}
