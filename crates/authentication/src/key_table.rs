//! The keys of one configuration.
//!
//! Keys are looked up by a digest under a secret of the process, so that neither the order of
//! the table nor the time of a comparison tells anything of a key: who guesses can't choose
//! digests.

use std::collections::HashMap;
use std::fmt;
use std::rc::Rc;

use olivegate_types::TenantName;

use crate::tenant::Tenant;

/// Longest key in bytes that is looked at.
const LONGEST_KEY: usize = 1_024;

/// What is wrong with the tenants of a configuration. Keys are not named.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyTableError {
    /// A tenant without a name.
    EmptyName,
    /// Two tenants of one name.
    DuplicateTenant(TenantName),
    /// A key without a character, or too long.
    BadKey(TenantName),
    /// Two tenants hold the same key.
    SharedKey(TenantName, TenantName),
    /// A rate or burst that is negative or no number.
    BadRate(TenantName),
}

impl fmt::Display for KeyTableError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            KeyTableError::EmptyName => formatter.write_str("a tenant has no name"),
            KeyTableError::DuplicateTenant(name) => write!(formatter, "tenant {name} stands twice"),
            KeyTableError::BadKey(name) => {
                write!(formatter, "tenant {name} has a key that is empty or over {LONGEST_KEY} bytes long")
            }
            KeyTableError::SharedKey(left, right) => write!(formatter, "tenants {left} and {right} share a key"),
            KeyTableError::BadRate(name) => {
                write!(formatter, "tenant {name} has a rate or burst that is negative or no number")
            }
        }
    }
}

impl std::error::Error for KeyTableError {}

/// Secret under which keys are hashed; drawn once by each process.
#[derive(Clone, Copy)]
pub struct HashSecret(pub [u8; 32]);

impl fmt::Debug for HashSecret {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("HashSecret(..)")
    }
}

/// Tenants by the digests of their keys.
#[derive(Debug)]
pub struct KeyTable {
    secret: HashSecret,
    by_digest: HashMap<[u8; 32], Rc<Tenant>>,
    tenants: Vec<Rc<Tenant>>,
}

impl KeyTable {
    /// Checks the tenants of a configuration and makes their table.
    pub fn new(tenants: &[Tenant], secret: HashSecret) -> Result<Self, KeyTableError> {
        let mut table = KeyTable { secret, by_digest: HashMap::new(), tenants: Vec::new() };
        for tenant in tenants {
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
        let is_amount = |number: f64| number.is_finite() && number >= 0.0;
        if !is_amount(tenant.rate_per_s) || !is_amount(tenant.burst) {
            return Err(KeyTableError::BadRate(name()));
        }
        for key in &tenant.keys {
            let bytes = key.as_bytes();
            if bytes.is_empty() || bytes.len() > LONGEST_KEY {
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

    /// The tenant that holds `key`.
    pub fn holder(&self, key: &[u8]) -> Option<&Rc<Tenant>> {
        if key.len() > LONGEST_KEY {
            return None;
        }
        self.by_digest.get(&self.digest(key))
    }

    /// All tenants.
    pub fn tenants(&self) -> &[Rc<Tenant>] {
        &self.tenants
    }

    /// True where the configuration names no tenants: no request needs a key.
    pub fn is_empty(&self) -> bool {
        self.tenants.is_empty()
    }
}
