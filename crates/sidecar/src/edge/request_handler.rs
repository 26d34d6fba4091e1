//! Takes a request and gives its one answer: whose it is, whether it may begin, how it fared.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use olivegate_authentication::Tenant;
use olivegate_http1::RequestHead;
use olivegate_types::{Moment, RefusalReason};

use crate::edge::admission;
use crate::edge::call_context::RequestLineage;
use crate::edge::dispatch::dispatch;
use crate::edge::local_response::OwnAnswer;
use crate::edge::outcome::{CancelLog, Outcome, log_answer, log_own_answer};
use crate::edge::request::{self, CheckedRequest};
use crate::edge::request_assembly::TakenRequest;
use crate::edge::tenant_checks;
use crate::lateness;
use crate::lineage::{Arriving, ConnectionEvidence, Origin};
use crate::reply::{Response, ResponseFault};
use crate::state::Node;
use olivegate_clock as clock;

/// When to come back to a node that knows no configuration yet.
const UNCONFIGURED_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Answers a request.
pub async fn answer(node: &Rc<Node>, taken: TakenRequest, connection: &Cell<ConnectionEvidence>) -> Response {
    let arrived = clock::now();
    lateness::sample(node, arrived);
    let id = taken.head.fields.get(node.wire_names.request_id).cloned();
    let shown_id = id.clone().unwrap_or_default();
    let mut outcome = Outcome::begin(arrived);
    let cancelling = CancelLog::begin(node, &shown_id, arrived);
    let result = run(node, taken, connection, arrived, &mut outcome).await;
    cancelling.answered();
    let elapsed = clock::now().since(arrived);
    let answer = match result {
        Ok(answer) => {
            let result = if answer.head.status < 400 { "answered" } else { "instance-failed" };
            outcome.count(node, result, elapsed);
            log_answer(node, &shown_id, &outcome, &answer, elapsed);
            answer
        }
        Err(own) => {
            outcome.count(node, own.reason(), elapsed);
            log_own_answer(node, &shown_id, &outcome, own, elapsed);
            own.to_answer(&node.wire_names, id.as_ref())
        }
    };
    note_failed_call(node, &outcome, &answer);
    answer
}

/// A call that failed makes its parent fail.
fn note_failed_call(node: &Node, outcome: &Outcome, answer: &Response) {
    let Origin::Call(parent) = outcome.origin else { return };
    if answer.head.status < 400 {
        return;
    }
    let fault =
        if answer.fault == ResponseFault::Capacity { ResponseFault::Capacity } else { ResponseFault::Callee };
    node.lineage.borrow_mut().on_call_failed(parent, outcome.deadline, fault, clock::now());
}

async fn run(
    node: &Rc<Node>,
    taken: TakenRequest,
    connection: &Cell<ConnectionEvidence>,
    arrived: Moment,
    outcome: &mut Outcome,
) -> Result<Response, OwnAnswer> {
    let Some(routes) = node.routes() else {
        let reason = RefusalReason::NodeNotReady;
        return Err(OwnAnswer::NotRun { reason, retry_after: UNCONFIGURED_RETRY_AFTER });
    };
    let request = request::check(&taken.head, &routes, &node.wire_names)?;
    let route = request.route.clone();
    outcome.route = Some(route.clone());
    outcome.deadline = arrived + request.sender_time;
    let key = taken.head.fields.get(node.wire_names.credential).cloned();
    let arriving = Arriving {
        id: &request.id,
        route: &route.name,
        deadline: outcome.deadline,
        is_keyed: key.is_some() && node.access.has_tenants(),
    };
    outcome.origin = node.lineage.borrow_mut().classify(arriving, connection, arrived);
    outcome.tenant = tenant_checks::tenant_of(node, key.as_deref(), &route, arrived)?;
    let place = tenant_checks::take_place(node, outcome.tenant.as_deref(), arrived)?;
    let result = begin(node, taken, request, arrived, outcome).await;
    if let (Some(place), Err(OwnAnswer::NotRun { .. })) = (place, &result) {
        node.access.give_back(place, clock::now());
    }
    result
}

/// Lets a request begin and carries it through.
async fn begin(
    node: &Rc<Node>,
    taken: TakenRequest,
    request: CheckedRequest,
    arrived: Moment,
    outcome: &mut Outcome,
) -> Result<Response, OwnAnswer> {
    let route = request.route.clone();
    let tenant = outcome.tenant.as_deref();
    let lineage = match outcome.origin {
        Origin::Client => {
            let priority = tenant.and_then(|tenant| tenant.priority);
            RequestLineage::of_client(admission::admit(node, &route, priority, arrived)?)
        }
        Origin::Call(parent) => RequestLineage::of_call(node, &route, parent),
    };
    let head = forwarded_head(node, taken.head, tenant);
    dispatch(node, head, taken.body, request, lineage, arrived, &mut outcome.trail).await
}

/// The head as every instance is to get it: without the client's key, and with the name of the
/// tenant that holds it, whatever the client wrote there.
fn forwarded_head(node: &Node, mut head: RequestHead, tenant: Option<&Tenant>) -> RequestHead {
    head.fields.remove_connection_fields();
    head.fields.remove("expect");
    let caller = node.settings().service.clone();
    head.fields.set(node.wire_names.caller_service, Bytes::copy_from_slice(caller.as_str().as_bytes()));
    head.fields.remove(node.wire_names.expected_instance);
    head.fields.remove(node.wire_names.time_left_ms);
    head.fields.remove(node.wire_names.credential);
    head.fields.remove(node.wire_names.tenant);
    if let Some(tenant) = tenant {
        head.fields.set(node.wire_names.tenant, Bytes::copy_from_slice(tenant.name.as_str().as_bytes()));
    }
    head
}
