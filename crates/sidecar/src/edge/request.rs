//! What the head of a request says.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use olivegate_http1::RequestHead;

use crate::edge::local_response::OwnAnswer;
use crate::model::Route;
use crate::routes::RouteTable;
use crate::wire_names::WireNames;

/// Time that a request without one of its own may take.
const DEFAULT_TIME: Duration = Duration::from_secs(30);
/// Longest time that a request may ask for.
const LONGEST_TIME: Duration = Duration::from_secs(3_600);

/// A request whose head is in order.
pub struct CheckedRequest {
    /// Its id.
    pub id: Bytes,
    /// Its route.
    pub route: Rc<Route>,
    /// Time that it may take, by the client's word and the route's.
    pub time: Duration,
    /// Time that the sender will wait.
    pub sender_time: Duration,
}

/// Checks the head of a request against the routes in force.
pub fn check(
    head: &RequestHead,
    routes: &RouteTable,
    wire_names: &WireNames,
) -> Result<CheckedRequest, OwnAnswer> {
    let rejected = |status, reason| OwnAnswer::Rejected { status, reason };
    let host = head.host().ok_or(rejected(400, "host-missing"))?;
    let id = head.fields.get(wire_names.request_id).ok_or(rejected(400, "request-id-missing"))?;
    let own_time = match head.fields.text(wire_names.time_left_ms) {
        Some(text) => text.trim().parse().map_err(|_| rejected(400, "time-left-malformed"))?,
        None => DEFAULT_TIME.as_millis() as u64,
    };
    let route = routes.find(&host, head.path()).ok_or(rejected(404, "no-route"))?;
    let own_time = Duration::from_millis(own_time).min(LONGEST_TIME);
    let time = route.timeout.map_or(own_time, |timeout| timeout.duration().min(own_time));
    Ok(CheckedRequest { id: id.clone(), route, time, sender_time: own_time })
}
