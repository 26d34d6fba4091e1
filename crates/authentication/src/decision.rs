//! What becomes of a request, by its key and its route.
//!
//! Nothing but a key opens a route that is not public. Calls that instances make carry none, so
//! the routes that they take are public; what a request looks like (its id, its deadline, its
//! connection) can be forged and opens nothing.

use std::rc::Rc;
use std::time::Duration;

use crate::key_table::KeyTable;
use crate::tenant::Tenant;

/// Who makes a request.
#[derive(Debug, Clone, PartialEq)]
pub enum Caller {
    /// Nobody that is known: the route is public, or there are no tenants.
    Anonymous,
    /// This tenant.
    Tenant(Rc<Tenant>),
}

impl Caller {
    /// The tenant, if it is one.
    pub fn tenant(&self) -> Option<&Rc<Tenant>> {
        match self {
            Caller::Anonymous => None,
            Caller::Tenant(tenant) => Some(tenant),
        }
    }
}

/// Why a request is not let in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Denial {
    /// Its route needs a key.
    MissingKey,
    /// No tenant holds its key.
    UnknownKey,
    /// Its key may have been withdrawn: what is known of keys is too old.
    Unproven,
}

/// How old what is known of keys is, and may be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProofFreshness {
    /// Age of the proof; `None` when nothing is proven.
    pub age: Option<Duration>,
    /// Largest age at which a key counts; `None` when it always does.
    pub max_age: Option<Duration>,
}

impl ProofFreshness {
    fn is_kept(self) -> bool {
        self.max_age.is_none_or(|max_age| self.age.is_some_and(|age| age < max_age))
    }
}

/// Tells who makes a request with `key`, or why it is not let in. A key that nobody holds is
/// unknown whatever the age of the knowledge: a newer configuration that holds it is owed to
/// nobody before it is known here.
pub fn authenticate(
    table: &KeyTable,
    key: Option<&[u8]>,
    route_is_public: bool,
    knowledge: ProofFreshness,
) -> Result<Caller, Denial> {
    if table.is_empty() {
        return Ok(Caller::Anonymous);
    }
    let Some(key) = key else {
        return if route_is_public { Ok(Caller::Anonymous) } else { Err(Denial::MissingKey) };
    };
    let holder = table.holder(key).ok_or(Denial::UnknownKey)?;
    if !knowledge.is_kept() {
        return Err(Denial::Unproven);
    }
    Ok(Caller::Tenant(holder.clone()))
}
