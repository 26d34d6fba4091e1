//! Validation of request heads.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use olivegate_http1::RequestHead;

use crate::local_response::LocalResponse;
use crate::model::Route;
use crate::routes::RouteTable;
use crate::wire_names::WireNames;

/// Timeout of a request that states none.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);
/// Longest timeout that a request may ask for.
const MAX_TIMEOUT: Duration = Duration::from_secs(3_600);

/// A request with a valid head.
pub struct ValidatedRequest {
    /// Its request id.
    pub id: Bytes,
    /// Its route.
    pub route: Rc<Route>,
    /// Timeout of the request: the smaller of the sender's and the route's.
    pub timeout: Duration,
    /// How long the sender will wait.
    pub sender_timeout: Duration,
}

/// Validates a request head and matches it to a route in force.
pub fn validate(
    head: &RequestHead,
    routes: &RouteTable,
    wire_names: &WireNames,
) -> Result<ValidatedRequest, LocalResponse> {
    let rejected = |status, reason| LocalResponse::Rejected { status, reason };
    let host = head.host().ok_or(rejected(400, "host-missing"))?;
    let id = head.fields.get(wire_names.request_id).ok_or(rejected(400, "request-id-missing"))?;
    let sender_timeout = match head.fields.text(wire_names.time_left_ms) {
        Some(text) => text.trim().parse().map_err(|_| rejected(400, "time-left-malformed"))?,
        None => DEFAULT_TIMEOUT.as_millis() as u64,
    };
    let route = routes.find(&host, head.path()).ok_or(rejected(404, "no-route"))?;
    let sender_timeout = Duration::from_millis(sender_timeout).min(MAX_TIMEOUT);
    let timeout = route.timeout.map_or(sender_timeout, |timeout| timeout.duration().min(sender_timeout));
    Ok(ValidatedRequest { id: id.clone(), route, timeout, sender_timeout })
}
