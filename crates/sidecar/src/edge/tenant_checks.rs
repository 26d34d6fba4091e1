//! Whose a request is, and whether its tenant has room for it.

use std::rc::Rc;
use std::time::Duration;

use olivegate_authentication::{Denial, Tenant};
use olivegate_types::{Moment, RefusalReason};
use rand::RngExt;

use crate::access::QuotaPlace;
use crate::edge::local_response::{OwnAnswer, UNAUTHORIZED};
use crate::model::Route;
use crate::state::Node;

/// Mean time to come back to a node whose knowledge of keys is too old: it asks others several
/// times a second, but the source may be away for longer.
const UNPROVEN_RETRY_AFTER: Duration = Duration::from_millis(800);

/// The tenant that holds a request's key, if it has one.
pub fn tenant_of(
    node: &Node,
    key: Option<&[u8]>,
    route: &Route,
    now: Moment,
) -> Result<Option<Rc<Tenant>>, OwnAnswer> {
    let caller = node.access.authenticate(key, route.is_public, &node.settings().bounds, now);
    match caller {
        Ok(caller) => Ok(caller.tenant().cloned()),
        Err(Denial::MissingKey) => Err(OwnAnswer::Rejected { status: UNAUTHORIZED, reason: "key-missing" }),
        Err(Denial::UnknownKey) => Err(OwnAnswer::Rejected { status: UNAUTHORIZED, reason: "key-unknown" }),
        Err(Denial::Unproven) => {
            let spread = node.random(|random| random.random_range(0.5..1.5));
            let retry_after = UNPROVEN_RETRY_AFTER.mul_f64(spread);
            Err(OwnAnswer::NotRun { reason: RefusalReason::KeysUnproven, retry_after })
        }
    }
}

/// Takes a place in the tenant's quota; `None` where there is none to take.
pub fn take_place(node: &Node, tenant: Option<&Tenant>, now: Moment) -> Result<Option<QuotaPlace>, OwnAnswer> {
    let Some(tenant) = tenant else { return Ok(None) };
    let draw = node.random(|random| random.random::<f64>());
    let place = node.access.take_place(tenant, draw, now);
    place.map_err(|excess| OwnAnswer::OverQuota { retry_after: excess.retry_after })
}
