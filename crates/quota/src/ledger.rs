//! What one sender has counted, and its reports.
//!
//! A report holds totals, which heal what a lost datagram held, and beside each what is new
//! since the report before, for a receiver that does not know the total yet.

use std::collections::HashMap;
use std::time::Duration;

use borsh::{BorshDeserialize, BorshSerialize};
use olivegate_types::Moment;

use crate::TenantId;

/// A total that has not changed for this long is left out: it was in several reports.
const REPEATED_FOR: Duration = Duration::from_millis(1_000);
/// Entries of one report: it fits into a datagram that no link splits.
pub const MOST_ENTRIES: usize = 56;

/// What was counted for one tenant.
#[derive(Debug, Clone, Copy, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct UsageEntry {
    /// The tenant.
    pub tenant: TenantId,
    /// Requests asked for, in all; wraps.
    pub asked: u32,
    /// Requests let in, in all; wraps.
    pub admitted: u32,
    /// Those asked for since the report before, less those that were given back.
    pub asked_lately: i32,
    /// Those let in since the report before, less those that were given back.
    pub admitted_lately: i32,
}

/// What a sender tells.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct UsageReport {
    /// Totals of another generation began elsewhere.
    pub generation: u32,
    /// Nodes whose requests are counted.
    pub nodes: u16,
    /// The tenants whose totals have changed lately.
    pub entries: Vec<UsageEntry>,
}

#[derive(Debug, Clone, Copy)]
struct Total {
    asked: u32,
    admitted: u32,
    told_asked: u32,
    told_admitted: u32,
    changed: Moment,
}

/// Totals of one sender.
#[derive(Debug, Default)]
pub struct UsageLedger {
    generation: u32,
    totals: HashMap<TenantId, Total>,
}

impl UsageLedger {
    /// An empty ledger; no other one of this sender has the same generation.
    pub fn new(generation: u32) -> Self {
        UsageLedger { generation, totals: HashMap::new() }
    }

    /// Another receiver is told from now on: nothing of what was counted before is news.
    pub fn begin_generation(&mut self, generation: u32) {
        self.generation = generation;
        self.totals.clear();
    }

    /// Adds what was asked for and let in; negative numbers give back.
    pub fn add(&mut self, tenant: TenantId, asked: i32, admitted: i32, now: Moment) {
        let empty = Total { asked: 0, admitted: 0, told_asked: 0, told_admitted: 0, changed: now };
        let total = self.totals.entry(tenant).or_insert(empty);
        total.asked = total.asked.wrapping_add_signed(asked);
        total.admitted = total.admitted.wrapping_add_signed(admitted);
        total.changed = now;
    }

    /// What is to be told now: at least one report, so that the receiver hears of this sender.
    pub fn reports(&mut self, nodes: u16, now: Moment) -> Vec<UsageReport> {
        let changed_lately = |total: &&mut Total| now.since(total.changed) <= REPEATED_FOR;
        let entries: Vec<UsageEntry> = self
            .totals
            .iter_mut()
            .map(|(tenant, total)| (*tenant, total))
            .filter(|(_, total)| changed_lately(total))
            .map(|(tenant, total)| total.entry(tenant))
            .collect();
        let report =
            |entries: &[UsageEntry]| UsageReport { generation: self.generation, nodes, entries: entries.to_vec() };
        if entries.is_empty() {
            return vec![report(&[])];
        }
        entries.chunks(MOST_ENTRIES).map(report).collect()
    }
}

impl Total {
    fn entry(&mut self, tenant: TenantId) -> UsageEntry {
        let entry = UsageEntry {
            tenant,
            asked: self.asked,
            admitted: self.admitted,
            asked_lately: self.asked.wrapping_sub(self.told_asked).cast_signed(),
            admitted_lately: self.admitted.wrapping_sub(self.told_admitted).cast_signed(),
        };
        self.told_asked = self.asked;
        self.told_admitted = self.admitted;
        entry
    }
}
