//! Usage counts of one sender, and the reports made from them.
//!
//! A report holds totals, so that a later report makes up for a lost datagram. Next to each total it
//! holds the change since the previous report, for a receiver that doesn't know the total yet.

use std::collections::HashMap;
use std::time::Duration;

use borsh::{BorshDeserialize, BorshSerialize};
use olivegate_types::Moment;

use crate::TenantId;

/// A total is repeated in reports for this long after its last change, and left out afterwards: by then
/// several reports have held it.
const REPEAT_FOR: Duration = Duration::from_millis(1_000);
/// Maximum number of entries in one report, so that its datagram is not fragmented on any link.
pub const MAX_ENTRIES: usize = 56;

/// Usage counts of one tenant.
#[derive(Debug, Clone, Copy, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct UsageEntry {
    /// The tenant.
    pub tenant: TenantId,
    /// Total number of requests made; wraps.
    pub requested: u32,
    /// Total number of requests admitted; wraps.
    pub admitted: u32,
    /// Requests made since the previous report, less refunds.
    pub requested_delta: i32,
    /// Requests admitted since the previous report, less refunds.
    pub admitted_delta: i32,
}

/// Usage report of a sender.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct UsageReport {
    /// Generation of the totals: those of different generations are not comparable.
    pub generation: u32,
    /// Number of nodes whose requests are counted.
    pub nodes: u16,
    /// Tenants whose totals have changed recently.
    pub entries: Vec<UsageEntry>,
}

#[derive(Debug, Clone, Copy)]
struct Total {
    requested: u32,
    admitted: u32,
    reported_requested: u32,
    reported_admitted: u32,
    changed_at: Moment,
}

/// Usage totals of one sender.
#[derive(Debug, Default)]
pub struct UsageLedger {
    generation: u32,
    totals: HashMap<TenantId, Total>,
}

impl UsageLedger {
    /// An empty ledger. `generation` must differ from that of earlier ledgers of this sender.
    pub fn new(generation: u32) -> Self {
        UsageLedger { generation, totals: HashMap::new() }
    }

    /// Clears the totals for reports to another receiver, which must not count earlier requests again.
    pub fn begin_generation(&mut self, generation: u32) {
        self.generation = generation;
        self.totals.clear();
    }

    /// Adds counts of requested and admitted requests; negative numbers are refunds.
    pub fn add(&mut self, tenant: TenantId, requested: i32, admitted: i32, now: Moment) {
        let empty =
            Total { requested: 0, admitted: 0, reported_requested: 0, reported_admitted: 0, changed_at: now };
        let total = self.totals.entry(tenant).or_insert(empty);
        total.requested = total.requested.wrapping_add_signed(requested);
        total.admitted = total.admitted.wrapping_add_signed(admitted);
        total.changed_at = now;
    }

    /// Reports to send now: at least one, possibly empty, so that the receiver knows that this sender is
    /// alive.
    pub fn reports(&mut self, nodes: u16, now: Moment) -> Vec<UsageReport> {
        let is_recent = |total: &&mut Total| now.since(total.changed_at) <= REPEAT_FOR;
        let entries: Vec<UsageEntry> = self
            .totals
            .iter_mut()
            .map(|(tenant, total)| (*tenant, total))
            .filter(|(_, total)| is_recent(total))
            .map(|(tenant, total)| total.entry(tenant))
            .collect();
        let report =
            |entries: &[UsageEntry]| UsageReport { generation: self.generation, nodes, entries: entries.to_vec() };
        if entries.is_empty() {
            return vec![report(&[])];
        }
        entries.chunks(MAX_ENTRIES).map(report).collect()
    }
}

impl Total {
    fn entry(&mut self, tenant: TenantId) -> UsageEntry {
        let entry = UsageEntry {
            tenant,
            requested: self.requested,
            admitted: self.admitted,
            requested_delta: self.requested.wrapping_sub(self.reported_requested).cast_signed(),
            admitted_delta: self.admitted.wrapping_sub(self.reported_admitted).cast_signed(),
        };
        self.reported_requested = self.requested;
        self.reported_admitted = self.admitted;
        entry
    }
}
