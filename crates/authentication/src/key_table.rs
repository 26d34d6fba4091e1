//! Lookup table of the API keys of one configuration.
//!
//! Keys are looked up by a digest keyed with a secret of the process. An attacker who guesses keys cannot
//! choose digests, so neither the order of the table nor the time of a comparison reveals anything about
//! a key.

use std::collections::HashMap;
use std::fmt;
use std::rc::Rc;

use olivegate_types::TenantName;

use crate::tenant::Tenant;

/// Maximum length of a key in bytes; a longer one is not looked up.
const MAX_KEY_BYTES: usize = 1_024;

/// Error in the tenants of a configuration. It never contains a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyTableError {
    /// A tenant has no name.
    EmptyName,
    /// Two tenants have the same name.
    DuplicateTenant(TenantName),
    /// A key is empty or too long.
    BadKey(TenantName),
    /// Two tenants hold the same key.
    SharedKey(TenantName, TenantName),
    /// A rate or burst is negative, infinite or not a number.
    BadRate(TenantName),
}

impl fmt::Display for KeyTableError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            KeyTableError::EmptyName => formatter.write_str("a tenant has no name"),
            KeyTableError::DuplicateTenant(name) => write!(formatter, "tenant {name} is listed twice"),
            KeyTableError::BadKey(name) => {
                write!(formatter, "tenant {name} has a key that is empty or longer than {MAX_KEY_BYTES} bytes")
            }
            KeyTableError::SharedKey(left, right) => write!(formatter, "tenants {left} and {right} share a key"),
            KeyTableError::BadRate(name) => {
                write!(formatter, "tenant {name} has a rate or burst that is negative, infinite or not a number")
            }
        }
    }
}

impl std::error::Error for KeyTableError {}

/// Secret of the keyed hash, drawn at random once per process.
#[derive(Clone, Copy)]
pub struct HashSecret(pub [u8; 32]);

impl fmt::Debug for HashSecret {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("HashSecret(..)")
    }
}

/// Tenants, indexed by the digests of their keys.
#[derive(Debug)]
pub struct KeyTable {
    secret: HashSecret,
    by_digest: HashMap<[u8; 32], Rc<Tenant>>,
    tenants: Vec<Rc<Tenant>>,
    requires_keys: bool,
}

impl KeyTable {
    /// Checks the tenants of a configuration and builds their table. Without a list of tenants requests need no
    /// key; an empty list requires keys, of which nobody holds one.
    pub fn new(tenants: Option<&[Tenant]>, secret: HashSecret) -> Result<Self, KeyTableError> {
        let requires_keys = tenants.is_some();
        let mut table = KeyTable { secret, by_digest: HashMap::new(), tenants: Vec::new(), requires_keys };
        for tenant in tenants.unwrap_or_default() {
            table.add(Rc::new(tenant.clone()))?;
        }
        Ok(table)
    }

    fn add(&mut self, tenant: Rc<Tenant>) -> Result<(), KeyTableError> {
        let name = || tenant.name.clone();
        if tenant.name.as_str().is_empty() {
            return Err(KeyTableError::EmptyName);
        }
        if self.tenants.iter().any(|other| other.name == tenant.name) {
            return Err(KeyTableError::DuplicateTenant(name()));
        }
        let is_valid = |number: f64| number.is_finite() && number >= 0.0;
        if !is_valid(tenant.rate_per_s) || !is_valid(tenant.burst) {
            return Err(KeyTableError::BadRate(name()));
        }
        for key in &tenant.keys {
            let bytes = key.as_bytes();
            if bytes.is_empty() || bytes.len() > MAX_KEY_BYTES {
                return Err(KeyTableError::BadKey(name()));
            }
            let holder = self.by_digest.insert(self.digest(bytes), tenant.clone());
            if let Some(holder) = holder.filter(|holder| holder.name != tenant.name) {
                return Err(KeyTableError::SharedKey(holder.name.clone(), name()));
            }
        }
        self.tenants.push(tenant);
        Ok(())
    }

    fn digest(&self, key: &[u8]) -> [u8; 32] {
        *blake3::keyed_hash(&self.secret.0, key).as_bytes()
    }

    /// Tenant that holds `key`.
    pub fn holder(&self, key: &[u8]) -> Option<&Rc<Tenant>> {
        if key.len() > MAX_KEY_BYTES {
            return None;
        }
        self.by_digest.get(&self.digest(key))
    }

    /// All tenants.
    pub fn tenants(&self) -> &[Rc<Tenant>] {
        &self.tenants
    }

    /// True when the configuration has a list of tenants, so that requests need a key on routes that are not
    /// public.
    pub fn requires_keys(&self) -> bool {
        self.requires_keys
    }
}
