//! Tenants and their keys.

use std::fmt;

use borsh::{BorshDeserialize, BorshSerialize};
use olivegate_types::TenantName;

/// A secret by which callers show whose they are. It is never shown, not even for debugging.
#[derive(Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct ApiKey(String);

impl ApiKey {
    /// The key with this text.
    pub fn new(text: impl Into<String>) -> Self {
        ApiKey(text.into())
    }

    /// Its bytes, to be hashed or written into a configuration.
    pub fn as_bytes(&self) -> &[u8] {
        self.0.as_bytes()
    }

    /// Its text, for whoever writes a configuration.
    pub fn expose(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for ApiKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("ApiKey(..)")
    }
}

/// A group of callers that share keys, a priority and a quota.
#[derive(Debug, Clone, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct Tenant {
    /// Name, unique in the configuration.
    pub name: TenantName,
    /// Its keys; any of them is as good. None: nobody can call in its name.
    pub keys: Vec<ApiKey>,
    /// Its rank among tenants, 0 being shed last; none where the route's rank alone counts.
    pub priority: Option<u32>,
    /// Requests a second that it may make over all nodes together; 0 for no limit.
    pub rate_per_s: f64,
    /// Requests that it may make at once on top.
    pub burst: f64,
}
