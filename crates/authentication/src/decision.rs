//! Authentication decision on a request, from its key and its route.
//!
//! Only a key gives access to a route that is not public. Calls made by instances carry no key, so the
//! routes that they use are public. Other properties of a request (its id, its deadline, its
//! connection) can be forged and give no access.

use std::rc::Rc;
use std::time::Duration;

use crate::key_table::KeyTable;
use crate::tenant::Tenant;

/// Caller of a request.
#[derive(Debug, Clone, PartialEq)]
pub enum Caller {
    /// No tenant: the route is public, or no tenants are configured.
    Anonymous,
    /// The tenant that holds the key.
    Tenant(Rc<Tenant>),
}

impl Caller {
    /// The tenant, unless the caller is anonymous.
    pub fn tenant(&self) -> Option<&Rc<Tenant>> {
        match self {
            Caller::Anonymous => None,
            Caller::Tenant(tenant) => Some(tenant),
        }
    }
}

/// Reason for denying a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Denial {
    /// The route requires a key, and the request has none.
    MissingKey,
    /// No tenant holds the key.
    UnknownKey,
    /// The key may have been revoked: the proof that the known keys are current is too old.
    Unproven,
}

/// Actual and maximum age of the proof that the known keys are current.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProofFreshness {
    /// Age of the proof; `None` without any proof.
    pub age: Option<Duration>,
    /// Age from which on keys are not accepted; `None` to accept them at any age.
    pub max_age: Option<Duration>,
}

impl ProofFreshness {
    fn is_fresh(self) -> bool {
        self.max_age.is_none_or(|max_age| self.age.is_some_and(|age| age < max_age))
    }
}

/// Identifies the caller of a request with `key`, or denies the request. A key that no tenant holds is
/// denied as unknown whatever the age of the proof: there is no promise to accept the keys of a newer
/// configuration before it has arrived here.
pub fn authenticate(
    table: &KeyTable,
    key: Option<&[u8]>,
    route_is_public: bool,
    proof: ProofFreshness,
) -> Result<Caller, Denial> {
    if table.is_empty() {
        return Ok(Caller::Anonymous);
    }
    let Some(key) = key else {
        return if route_is_public { Ok(Caller::Anonymous) } else { Err(Denial::MissingKey) };
    };
    let holder = table.holder(key).ok_or(Denial::UnknownKey)?;
    if !proof.is_fresh() {
        return Err(Denial::Unproven);
    }
    Ok(Caller::Tenant(holder.clone()))
}
