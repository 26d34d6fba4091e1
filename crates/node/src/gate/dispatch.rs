//! Dispatches one call: from its arrival at the gate to the response head.

use std::sync::Arc;
use std::time::Duration;

use hyper::{HeaderMap, Method, Request, Response, Uri};
use olivegate_bundle::{IndexedBundle, Kind};
use olivegate_overload::{ClassKey, SlotRequest};
use olivegate_types::{Moment, Refusal, RefusalReason, RequestContext, header};

use crate::body::{AnyBody, GuardedBody};
use crate::connections::ConnectionGuard;
use crate::directory::Instance;
use crate::explain::Decision;
use crate::gate::slots::{InstanceGate, Slot};
use crate::reply::{header_text, insert};
use crate::state::Node;
use crate::status;
use olivegate_clock as clock;

/// Connections tried before the instance counts as unreachable: an idle connection may prove stale when
/// the request is sent.
const MAX_CONNECTION_TRIES: usize = 3;
/// `Retry-After` of a refusal that is not caused by load.
const LOCAL_REFUSAL_RETRY_AFTER: Duration = Duration::from_millis(300);

/// A call as its gate receives it.
pub struct GateCall {
    /// Request context.
    pub context: RequestContext,
    /// Bundle version under which the call is served.
    pub bundle: Arc<IndexedBundle>,
    /// Kind of the request at this hop.
    pub kind: Kind,
    /// The chosen instance.
    pub instance: Instance,
    /// Number of the attempt within the hop.
    pub attempt: u32,
    /// Deadline on this node's clock.
    pub deadline: Moment,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers to forward, without hop-by-hop and reserved ones.
    pub headers: HeaderMap,
    /// Request body.
    pub body: AnyBody,
}

/// Result of a call at the gate.
pub enum GateResult {
    /// The instance responded.
    Answered(Response<AnyBody>),
    /// The call was not run.
    Refused(Refusal),
    /// The exchange failed after the request may have reached the instance.
    Interrupted,
}

/// Result of a call with the load report for the edge.
pub struct GateReply {
    /// The result.
    pub result: GateResult,
    /// Admitted fraction of the call's class at this gate and deeper.
    pub level: f64,
    /// Occupancy of the instance.
    pub occupancy: f64,
    /// Time that doesn't count as own processing: waiting for a slot, in the instance, and between
    /// two nodes.
    pub excluded_time: Duration,
}

/// Held until the response body has ended. The field order matters: the connection returns to its pool
/// before the slot is released.
struct ExchangeGuard {
    _connection: ConnectionGuard,
    _slot: Slot,
}

/// Waits for a slot of the instance, sends it the call and returns the reply for the edge.
pub async fn dispatch(node: &Node, call: GateCall) -> GateReply {
    let class = class_of(&call.context);
    let hop = call.context.hop;
    let gate = node.gates.gate(&call.instance, call.bundle.bundle());
    let mut excluded_time = Duration::ZERO;
    let result = run(node, &gate, &class, call, &mut excluded_time).await;
    let now = clock::now();
    let deeper = crate::state::lock(&node.levels).level(&class, hop + 1, now);
    GateReply { result, level: gate.level(&class).min(deeper), occupancy: gate.occupancy(), excluded_time }
}

/// The class by which a call is admitted or shed.
pub fn class_of(context: &RequestContext) -> ClassKey {
    ClassKey { root_kind: context.root_kind.clone(), group: context.group.clone(), importance: context.importance }
}

fn refused(reason: RefusalReason) -> GateResult {
    GateResult::Refused(Refusal::new(reason, LOCAL_REFUSAL_RETRY_AFTER))
}

async fn run(
    node: &Node,
    gate: &Arc<InstanceGate>,
    class: &ClassKey,
    call: GateCall,
    excluded_time: &mut Duration,
) -> GateResult {
    if let Some(reason) = refusal_reason(node, &call) {
        return refused(reason);
    }
    let arrived = clock::now();
    let default = Duration::from_millis(u64::from(call.kind.expected_ms));
    let expected = gate.expected_service_time(&call.kind.name, default, call.deadline.since(arrived));
    let slot_request = SlotRequest {
        importance: call.context.importance,
        group: call.context.group.clone(),
        weight: call.bundle.weight(&call.context.group),
        hop: call.context.hop,
        rank: call.context.rank,
        deadline: call.deadline,
        expected,
        max_wait: None,
    };
    let slot = match gate.acquire(slot_request, class).await {
        Ok(slot) => slot,
        Err(refusal) => {
            *excluded_time = clock::now() - arrived;
            return GateResult::Refused(refusal);
        }
    };
    let waited = clock::now() - arrived;
    *excluded_time = waited;
    let decision = Decision::Dispatched { instance: call.instance.name.clone(), waited };
    node.record_decision(call.context.request, call.context.hop, decision);
    exchange(node, gate, slot, call, excluded_time).await
}

/// The reason not to dispatch a call, if there is one. It is checked on arrival, and again right before
/// the request is written because the wait for a slot may have taken long.
fn refusal_reason(node: &Node, call: &GateCall) -> Option<RefusalReason> {
    let now = clock::now();
    if now >= call.deadline {
        return Some(RefusalReason::DeadlineExceeded);
    }
    if !node.is_view_fresh() {
        return Some(RefusalReason::GateUnreachable);
    }
    node.read_directory().is_leaving(&call.instance.name, now).then_some(RefusalReason::InstanceLeaving)
}

async fn exchange(
    node: &Node,
    gate: &Arc<InstanceGate>,
    slot: Slot,
    mut call: GateCall,
    excluded_time: &mut Duration,
) -> GateResult {
    let mut request = build_request(node, &mut call);
    for _ in 0..MAX_CONNECTION_TRIES {
        let Ok((mut connection, reused)) = gate.connections().acquire().await else {
            gate.on_failure();
            return refused(RefusalReason::InstanceUnreachable);
        };
        if let Some(reason) = refusal_reason(node, &call) {
            return refused(reason);
        }
        node.metrics.dispatches.inc();
        let sent = clock::now();
        let response =
            tokio::time::timeout_at(clock::instant_of(call.deadline), connection.try_send_request(request));
        match response.await {
            Ok(Ok(response)) if !status::is_final(response.status()) => {
                gate.on_failure();
                return GateResult::Interrupted;
            }
            Ok(Ok(response)) => {
                let service_time = clock::now() - sent;
                *excluded_time += service_time;
                let connection = ConnectionGuard::new(gate.connections().clone(), connection);
                let guard = ExchangeGuard { _connection: connection, _slot: slot };
                return on_response_head(node, gate, &call, response, guard, service_time);
            }
            Ok(Err(mut error)) => match error.take_message() {
                Some(unsent) if reused => request = unsent,
                Some(_) => {
                    gate.on_failure();
                    return refused(RefusalReason::InstanceUnreachable);
                }
                None => {
                    gate.on_failure();
                    return GateResult::Interrupted;
                }
            },
            Err(_) => return GateResult::Interrupted,
        }
    }
    refused(RefusalReason::InstanceUnreachable)
}

fn build_request(node: &Node, call: &mut GateCall) -> Request<AnyBody> {
    let body = std::mem::replace(&mut call.body, crate::body::empty());
    let mut request = Request::new(body);
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.uri.clone();
    let headers = request.headers_mut();
    *headers = std::mem::take(&mut call.headers);
    insert(headers, "host", &call.instance.address.to_string());
    insert(headers, header::CONTEXT, &call.context.to_header(&node.settings.key));
    insert(headers, header::REQUEST_ID, &call.context.request.to_string());
    insert(headers, header::DISPATCHED_BY, &node.addresses.caller.to_string());
    insert(headers, header::ATTEMPT, &call.attempt.to_string());
    let remaining = call.deadline.since(clock::now()).as_millis().to_string();
    insert(headers, header::DEADLINE_MS, &remaining);
    request
}

fn on_response_head(
    node: &Node,
    gate: &Arc<InstanceGate>,
    call: &GateCall,
    response: Response<hyper::body::Incoming>,
    guard: ExchangeGuard,
    service_time: Duration,
) -> GateResult {
    let is_set = |name| header_text(response.headers(), name) == Some("true");
    if is_set(header::LEAVING) {
        node.write_directory().mark_leaving(&call.instance.name, clock::now());
    }
    if is_set(header::NOT_STARTED) {
        if is_set(header::LEAVING) {
            return refused(RefusalReason::InstanceLeaving);
        }
        gate.on_refused();
        return refused(RefusalReason::BackEndRefused);
    }
    gate.on_answer(&call.kind.name, service_time);
    let (mut parts, body) = response.into_parts();
    for name in [header::OUTCOME, header::REASON, header::RETRY_AFTER_MS] {
        parts.headers.remove(name);
    }
    let max_body_time = Duration::from_millis(u64::from(call.bundle.bundle().limits.max_deadline_ms));
    let body = GuardedBody::new(crate::body::incoming(body), guard, call.deadline + max_body_time);
    GateResult::Answered(Response::from_parts(parts, http_body_util::BodyExt::boxed_unsync(body)))
}
