//! Handles one request from arrival to its single response: classification, authentication, quota, admission
//! and dispatch.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use olivegate_authentication::Tenant;
use olivegate_http1::RequestHead;
use olivegate_types::{Moment, RefusalReason};

use crate::edge::admission;
use crate::edge::call_context::CallContext;
use crate::edge::dispatch::dispatch;
use crate::edge::outcome::{CancellationLog, Outcome, log_local_response, log_response};
use crate::edge::request::{self, ValidatedRequest};
use crate::edge::request_assembly::AssembledRequest;
use crate::edge::tenant_checks;
use crate::lateness;
use crate::lineage::{ArrivingRequest, ConnectionEvidence, Origin};
use crate::local_response::LocalResponse;
use crate::reply::{Response, ResponseFault, promises_not_run};
use crate::state::Node;
use olivegate_clock as clock;

/// Retry-After while the node has no configuration yet.
const UNCONFIGURED_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Handles a request and returns its response, either an instance's or the node's own.
pub async fn handle(
    node: &Rc<Node>,
    assembled: AssembledRequest,
    connection: &Cell<ConnectionEvidence>,
) -> Response {
    let arrived = clock::now();
    lateness::sample(node, arrived);
    let id = assembled.head.fields.get(node.wire_names.request_id).cloned();
    let request_id = id.clone().unwrap_or_default();
    let mut outcome = Outcome::new(arrived);
    let cancellation_log = CancellationLog::new(node, &request_id, arrived);
    let result = run(node, assembled, connection, arrived, &mut outcome).await;
    cancellation_log.mark_answered();
    let elapsed = clock::now().since(arrived);
    let local_response = |local: LocalResponse| {
        outcome.count(node, local.reason(), elapsed);
        log_local_response(node, &request_id, &outcome, local, elapsed);
        local.to_response(&node.wire_names, id.as_ref())
    };
    let response = match result {
        // A gate of an earlier release passes on a status that promises "not run" although its instance does not
        // say so.
        Ok(response) if promises_not_run(response.head.status) => {
            Response { fault: response.fault, ..local_response(LocalResponse::AmbiguousRefusal) }
        }
        Ok(response) => {
            let result = if response.head.status < 400 { "answered" } else { "instance-failed" };
            outcome.count(node, result, elapsed);
            log_response(node, &request_id, &outcome, &response, elapsed);
            response
        }
        Err(local) => local_response(local),
    };
    report_failed_call(node, &outcome, &response);
    response
}

/// Records a failed call, so that the failure of its parent that follows is attributed to it.
fn report_failed_call(node: &Node, outcome: &Outcome, response: &Response) {
    let Origin::Call(parent) = outcome.origin else { return };
    if response.head.status < 400 {
        return;
    }
    let fault =
        if response.fault == ResponseFault::Capacity { ResponseFault::Capacity } else { ResponseFault::Callee };
    node.lineage.borrow_mut().on_call_failed(parent, outcome.deadline, fault, clock::now());
}

async fn run(
    node: &Rc<Node>,
    assembled: AssembledRequest,
    connection: &Cell<ConnectionEvidence>,
    arrived: Moment,
    outcome: &mut Outcome,
) -> Result<Response, LocalResponse> {
    let Some(routes) = node.routes() else {
        let reason = RefusalReason::NodeNotReady;
        return Err(LocalResponse::NotRun { reason, retry_after: UNCONFIGURED_RETRY_AFTER });
    };
    let request = request::validate(&assembled.head, &routes, &node.wire_names)?;
    let route = request.route.clone();
    outcome.route = Some(route.clone());
    outcome.deadline = arrived + request.sender_timeout;
    let key = assembled.head.fields.get(node.wire_names.credential).cloned();
    let arriving = ArrivingRequest {
        id: &request.id,
        route: &route.name,
        deadline: outcome.deadline,
        has_key: key.is_some(),
    };
    outcome.origin = node.lineage.borrow_mut().classify(arriving, connection, arrived);
    outcome.tenant = tenant_checks::authenticate(node, key.as_deref(), &route, arrived)?;
    let reservation = tenant_checks::reserve_quota(node, outcome.tenant.as_deref(), arrived)?;
    let result = admit_and_dispatch(node, assembled, request, arrived, outcome).await;
    if let (Some(reservation), Err(LocalResponse::NotRun { .. })) = (reservation, &result) {
        node.access.release_quota(reservation, clock::now());
    }
    result
}

/// Admits a request and dispatches it.
async fn admit_and_dispatch(
    node: &Rc<Node>,
    assembled: AssembledRequest,
    request: ValidatedRequest,
    arrived: Moment,
    outcome: &mut Outcome,
) -> Result<Response, LocalResponse> {
    let route = request.route.clone();
    let tenant = outcome.tenant.as_deref();
    let context = match outcome.origin {
        Origin::Client => {
            let priority = tenant.and_then(|tenant| tenant.priority);
            CallContext::for_client(admission::admit(node, &route, priority, arrived)?)
        }
        Origin::Call(parent) => {
            admission::admit_call(node, &route, arrived)?;
            CallContext::for_call(node, &route, parent)
        }
    };
    let head = forwarded_head(node, assembled.head, tenant);
    dispatch(node, head, assembled.body, request, context, arrived, &mut outcome.attempt_log).await
}

/// The request head that is forwarded to the instance: without the client's key, and with the name of the
/// authenticated tenant in place of any name that the client sent.
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
