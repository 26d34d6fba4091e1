//! Tenants and their API keys.

use std::fmt;

use borsh::{BorshDeserialize, BorshSerialize};
use olivegate_types::TenantName;

/// Secret that identifies the tenant of a caller. It must not be displayed; its debug output is redacted.
#[derive(Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct ApiKey(String);

impl ApiKey {
    /// Key with this text.
    pub fn new(text: impl Into<String>) -> Self {
        ApiKey(text.into())
    }

    /// Bytes of the key, for hashing or for writing a configuration.
    pub fn as_bytes(&self) -> &[u8] {
        self.0.as_bytes()
    }

    /// Text of the key, for writing a configuration.
    pub fn expose(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for ApiKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("ApiKey(..)")
    }
}

/// Group of callers that share keys, a priority and a quota.
#[derive(Debug, Clone, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct Tenant {
    /// Name, unique within the configuration.
    pub name: TenantName,
    /// Keys, all equivalent. Without any, nobody can call as this tenant.
    pub keys: Vec<ApiKey>,
    /// Priority among tenants; 0 is shed last. `None`: only the priority of the route applies.
    pub priority: Option<u32>,
    /// Limit on its requests per second at all nodes together; 0 for no limit.
    pub rate_per_s: f64,
    /// Requests above the rate that it may make at once.
    pub burst: f64,
}
