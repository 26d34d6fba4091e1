//! Authenticates requests and enforces the quotas of their tenants.

use std::rc::Rc;
use std::time::Duration;

use olivegate_authentication::{Denial, Tenant};
use olivegate_types::{Moment, RefusalReason};
use rand::RngExt;

use crate::access::QuotaReservation;
use crate::local_response::{LocalResponse, UNAUTHORIZED};
use crate::model::Route;
use crate::state::Node;

/// Mean Retry-After while the proof that the keys are current is too old. The node asks other nodes several
/// times a second, but the source may be unavailable for longer.
const KEYS_UNPROVEN_RETRY_AFTER: Duration = Duration::from_millis(800);

/// Returns the tenant that holds the request's key, if it carries one.
pub fn authenticate(
    node: &Node,
    key: Option<&[u8]>,
    route: &Route,
    now: Moment,
) -> Result<Option<Rc<Tenant>>, LocalResponse> {
    let caller = node.access.authenticate(key, route.is_public, &node.settings().bounds, now);
    match caller {
        Ok(caller) => Ok(caller.tenant().cloned()),
        Err(Denial::MissingKey) => Err(LocalResponse::Rejected { status: UNAUTHORIZED, reason: "key-missing" }),
        Err(Denial::UnknownKey) => Err(LocalResponse::Rejected { status: UNAUTHORIZED, reason: "key-unknown" }),
        Err(Denial::Unproven) => {
            let jitter = node.random(|random| random.random_range(0.5..1.5));
            let retry_after = KEYS_UNPROVEN_RETRY_AFTER.mul_f64(jitter);
            Err(LocalResponse::NotRun { reason: RefusalReason::KeysUnproven, retry_after })
        }
    }
}

/// Reserves one request of the tenant's quota; `None` if no quota applies.
pub fn reserve_quota(
    node: &Node,
    tenant: Option<&Tenant>,
    now: Moment,
) -> Result<Option<QuotaReservation>, LocalResponse> {
    let Some(tenant) = tenant else { return Ok(None) };
    let draw = node.random(|random| random.random::<f64>());
    let reservation = node.access.reserve_quota(tenant, draw, now);
    reservation.map_err(|exceeded| LocalResponse::OverQuota { retry_after: exceeded.retry_after })
}
