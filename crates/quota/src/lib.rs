//! Quotas of tenants over all nodes together, without shared state. Nothing here reads a clock,
//! draws random numbers or performs I/O.
//!
//! Each node counts what its tenants ask for and are let in with, and tells the *collector* of
//! its zone. Collectors tell each other the sums of their zones, so each of them knows the use
//! of the whole fleet some tenths of a second late, and answers with the part of a tenant's
//! requests that may be let in. A node that no collector answers keeps to its fixed part.
//!
//! - [`limit`]: a tenant's limit, and by how much the fleet may be off it.
//! - [`ledger`]: what one sender has counted, and its reports.
//! - [`senders`]: the receiver's side of reports: what is new in each.
//! - [`bucket`]: a tenant's tokens and demand, as a collector sees them.
//! - [`collector`]: the collector of a zone.
//! - [`static_share`]: what a node may let in that hears nobody.
//! - [`node`]: the decision at a node.

pub mod bucket;
pub mod collector;
pub mod ledger;
pub mod limit;
pub mod node;
pub mod senders;
pub mod static_share;

pub use collector::Collector;
pub use ledger::{UsageEntry, UsageLedger, UsageReport};
pub use limit::{QuotaLimit, Tolerance};
pub use node::{AdmittedFraction, NodeQuotas, QuotaExceeded};

use borsh::{BorshDeserialize, BorshSerialize};
use olivegate_types::TenantName;

/// A tenant in messages between nodes: a digest of its name, alike on all nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, BorshSerialize, BorshDeserialize)]
pub struct TenantId(pub u64);

impl TenantId {
    /// The id of the tenant with this name.
    pub fn of(name: &TenantName) -> Self {
        let digest = blake3::hash(name.as_str().as_bytes());
        let mut first = [0; 8];
        first.copy_from_slice(&digest.as_bytes()[..8]);
        TenantId(u64::from_le_bytes(first))
    }
}
