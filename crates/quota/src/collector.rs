//! The collector of a zone: counts what its nodes tell, hears the sums of other collectors, and
//! says which part of a tenant's requests may be let in.
//!
//! Where only a part of the fleet is heard, the limit is that part's: the parts of a fleet whose
//! links are cut sum up to the whole limit.

use std::collections::HashMap;
use std::net::IpAddr;
use std::time::Duration;

use olivegate_types::Moment;

use crate::TenantId;
use crate::bucket::Bucket;
use crate::ledger::{UsageLedger, UsageReport};
use crate::limit::QuotaLimit;
use crate::node::AdmittedFraction;
use crate::senders::{Addition, Senders};

/// A part of the fleet this much smaller than the whole keeps the whole limit, so that machines
/// that are down don't make the others refuse.
const MISSING_TOLERATED: f64 = 1.05;
/// Parts are worked out anew after this time.
const PARTS_KEPT: Duration = Duration::from_millis(50);
/// A part from here on is the whole.
const WHOLE: f64 = 0.995;

/// Limits of the tenants in force.
pub type Limits = HashMap<TenantId, QuotaLimit>;

/// What the collector of one zone knows.
#[derive(Debug)]
pub struct Collector {
    members: Senders<IpAddr>,
    collectors: Senders<IpAddr>,
    buckets: HashMap<TenantId, Bucket>,
    zone: UsageLedger,
    parts: Vec<AdmittedFraction>,
    parts_at: Option<Moment>,
    /// Since when nodes report to it.
    began: Option<Moment>,
}

impl Collector {
    /// A collector that has heard nothing; no other one of this node has its generation.
    pub fn new(generation: u32) -> Self {
        Collector {
            members: Senders::default(),
            collectors: Senders::default(),
            buckets: HashMap::new(),
            zone: UsageLedger::new(generation),
            parts: Vec::new(),
            parts_at: None,
            began: None,
        }
    }

    /// Takes the report of a node of the zone.
    pub fn on_node_report(&mut self, from: IpAddr, report: &UsageReport, limits: &Limits, now: Moment) {
        if !self.is_active(now) {
            self.began = Some(now);
        }
        for addition in self.members.take(from, report, now) {
            self.zone.add(addition.tenant, addition.asked, addition.admitted, now);
            self.add(addition, limits, now);
        }
    }

    /// Takes the report of another collector.
    pub fn on_collector_report(&mut self, from: IpAddr, report: &UsageReport, limits: &Limits, now: Moment) {
        for addition in self.collectors.take(from, report, now) {
            self.add(addition, limits, now);
        }
    }

    fn add(&mut self, addition: Addition, limits: &Limits, now: Moment) {
        if let Some(limit) = limits.get(&addition.tenant) {
            let bucket = self.buckets.entry(addition.tenant).or_insert_with(|| Bucket::new(now));
            bucket.add(addition.asked, addition.admitted, *limit, now);
        }
    }

    /// Nodes whose requests are counted.
    pub fn heard(&self, now: Moment) -> u32 {
        self.members.nodes(now) + self.collectors.nodes(now)
    }

    /// True while nodes report to this collector.
    pub fn is_active(&self, now: Moment) -> bool {
        self.members.nodes(now) > 0
    }

    /// The tenants of whose requests only a part may be let in, where `nodes` are listed.
    pub fn admitted_fractions(&mut self, limits: &Limits, nodes: u32, now: Moment) -> &[AdmittedFraction] {
        if self.parts_at.is_none_or(|at| now.since(at) >= PARTS_KEPT) {
            self.parts_at = Some(now);
            self.parts = self.parts_now(limits, nodes, now);
        }
        &self.parts
    }

    fn parts_now(&mut self, limits: &Limits, nodes: u32, now: Moment) -> Vec<AdmittedFraction> {
        let heard = f64::from(self.heard(now)) / f64::from(nodes.max(1));
        let fleet_part = (heard * MISSING_TOLERATED).min(1.0);
        let counted = self.began.map_or(Duration::ZERO, |began| now.since(began));
        self.buckets.retain(|tenant, _| limits.contains_key(tenant));
        let parts = self.buckets.iter_mut().filter_map(|(tenant, bucket)| {
            let part = bucket.part(limits[tenant].times(fleet_part), counted, now);
            (part < WHOLE).then_some(AdmittedFraction { tenant: *tenant, fraction: part as f32 })
        });
        parts.collect()
    }

    /// What other collectors are to be told now.
    pub fn zone_reports(&mut self, now: Moment) -> Vec<UsageReport> {
        self.members.forget_silent(now);
        self.collectors.forget_silent(now);
        let nodes = u16::try_from(self.members.nodes(now)).unwrap_or(u16::MAX);
        self.zone.reports(nodes, now)
    }
}
