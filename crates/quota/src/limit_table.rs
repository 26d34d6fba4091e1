//! Limits in force, and those of tenants that were removed a short time ago.
//!
//! A tenant that is removed and added again must not get its burst again: what it has used still counts in the window
//! over which its quota is kept. So its limit stays for that long, and the collectors go on counting.

use std::collections::HashMap;
use std::time::Duration;

use olivegate_types::Moment;

use crate::TenantId;
use crate::collector::Limits;
use crate::limit::QuotaLimit;

/// Limits by tenant, as nodes enforce them.
#[derive(Debug, Default)]
pub struct LimitTable {
    limits: Limits,
    removed_at: HashMap<TenantId, Moment>,
}

impl LimitTable {
    /// Replaces the limits by those of a configuration; `None` for a tenant without a limit. The limit of a tenant that
    /// the configuration lacks is kept for `retention`.
    pub fn replace(&mut self, tenants: HashMap<TenantId, Option<QuotaLimit>>, retention: Duration, now: Moment) {
        let removed_at = &mut self.removed_at;
        self.limits.retain(|tenant, _| {
            let is_removed = !tenants.contains_key(tenant);
            is_removed && now.since(*removed_at.entry(*tenant).or_insert(now)) < retention
        });
        self.removed_at.retain(|tenant, _| self.limits.contains_key(tenant));
        self.limits.extend(tenants.into_iter().filter_map(|(tenant, limit)| Some((tenant, limit?))));
    }

    /// The limits.
    pub fn limits(&self) -> &Limits {
        &self.limits
    }
}
