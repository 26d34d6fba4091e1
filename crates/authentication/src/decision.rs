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
    /// No tenant: the request has no key and needs none.
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
/// denied as unknown on every route, also where none is required: it may be one that was withdrawn together
/// with the list of tenants. It is denied whatever the age of the proof: there is no promise to accept the
/// keys of a newer configuration before it has arrived here.
pub fn authenticate(
    table: &KeyTable,
    key: Option<&[u8]>,
    route_is_public: bool,
    proof: ProofFreshness,
) -> Result<Caller, Denial> {
    let Some(key) = key else {
        let needs_key = table.requires_keys() && !route_is_public;
        return if needs_key { Err(Denial::MissingKey) } else { Ok(Caller::Anonymous) };
    };
    let holder = table.holder(key).ok_or(Denial::UnknownKey)?;
    if !proof.is_fresh() {
        return Err(Denial::Unproven);
    }
    Ok(Caller::Tenant(holder.clone()))
}
