//! Request quotas of tenants, enforced across all nodes without shared state. Nothing here reads a
//! clock, draws random numbers or performs I/O.
//!
//! Each node counts the requests that its tenants make and those that it admits, and reports both to
//! the *collector* of its zone. Collectors exchange the totals of their zones, so each of them knows
//! the usage of the whole fleet with a delay of some tenths of a second. It answers each report with
//! the fraction of each tenant's requests to admit. A node without an answer enforces a static share
//! of the limit.
//!
//! - [`limit`]: limit of a tenant, and the tolerance within which the fleet enforces it.
//! - [`limit_table`]: limits in force, and those of tenants that were removed a short time ago.
//! - [`ledger`]: usage counts of one sender, and the reports made from them.
//! - [`senders`]: receiver's side of the reports.
//! - [`bucket`]: tokens and demand of a tenant, as counted by a collector.
//! - [`collector`]: the collector of a zone.
//! - [`static_share`]: share of a limit for a node without a collector.
//! - [`node`]: quota decisions at one node.

pub mod bucket;
pub mod collector;
pub mod ledger;
pub mod limit;
pub mod limit_table;
pub mod node;
pub mod senders;
pub mod static_share;

pub use collector::Collector;
pub use ledger::{UsageEntry, UsageLedger, UsageReport};
pub use limit::{QuotaLimit, Tolerance};
pub use limit_table::LimitTable;
pub use node::{AdmittedFraction, NodeQuotas, QuotaExceeded};

use borsh::{BorshDeserialize, BorshSerialize};
use olivegate_types::TenantName;

/// Identifies a tenant in messages between nodes: a digest of its name, the same on all nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, BorshSerialize, BorshDeserialize)]
pub struct TenantId(pub u64);

impl TenantId {
    /// Id of the tenant with this name.
    pub fn of(name: &TenantName) -> Self {
        let digest = blake3::hash(name.as_str().as_bytes());
        let mut first = [0; 8];
        first.copy_from_slice(&digest.as_bytes()[..8]);
        TenantId(u64::from_le_bytes(first))
    }
}
