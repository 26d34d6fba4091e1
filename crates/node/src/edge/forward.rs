//! Forwards calls to gates on other nodes.

use std::time::Duration;

use http_body_util::BodyExt;
use hyper::{Request, Response, StatusCode};
use olivegate_membership::MemberRecord;
use olivegate_types::{NodeName, Outcome, Refusal, RefusalReason, header};

use crate::body::{AnyBody, GuardedBody};
use crate::connections::ConnectionGuard;
use crate::gate::GateCall;
use crate::gate::dispatch::{GateReply, GateResult};
use crate::reply::{header_text, header_value, insert};
use crate::state::{Node, lock};
use olivegate_clock as clock;

/// Subtracted from the remaining time that the gate is given, so that the gate's refusal arrives before
/// the deadline.
const DEADLINE_MARGIN: Duration = Duration::from_millis(4);
/// `Retry-After` when a gate can't be reached.
const UNREACHABLE_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Connections tried for one call: an idle connection may prove stale when the request is sent.
const MAX_CONNECTION_TRIES: usize = 3;
/// Status of a reply that the gate itself made. Its outcome header says whether the call was not run or may
/// have run.
pub const GATE_STATUS: StatusCode = StatusCode::MISDIRECTED_REQUEST;

/// Header of a gate's reply: the gate's own processing time, in microseconds.
pub const GATE_OWN_US: &str = "x-olivegate-gate-own-us";

/// Sends the call to its gate and reads the reply. A suspected or dead peer ends the wait early.
pub async fn forward(node: &Node, gate: &MemberRecord, call: GateCall) -> GateReply {
    let deadline = call.deadline;
    let started = clock::now();
    let sending = send(node, gate, call);
    let lost = wait_for_peer_loss(node, &gate.name);
    let result = tokio::select! {
        result = tokio::time::timeout_at(clock::instant_of(deadline), sending) => {
            result.unwrap_or(Err(SendError::MayHaveRun))
        }
        () = lost => Err(SendError::MayHaveRun),
    };
    match result {
        Ok(response) => read_reply(response, clock::now() - started),
        Err(SendError::NotSent) => {
            report_contact_failure(node, &gate.name);
            let refusal = Refusal::new(RefusalReason::GateUnreachable, UNREACHABLE_RETRY_AFTER);
            reply_without_load(GateResult::Refused(refusal), Duration::ZERO)
        }
        Err(SendError::MayHaveRun) => {
            report_contact_failure(node, &gate.name);
            reply_without_load(GateResult::Interrupted, clock::now() - started)
        }
    }
}

/// Why a call got no reply from its gate.
enum SendError {
    /// The request was not sent.
    NotSent,
    /// The request may have reached the instance.
    MayHaveRun,
}

fn reply_without_load(result: GateResult, excluded_time: Duration) -> GateReply {
    GateReply { result, level: 1.0, occupancy: 0.0, excluded_time }
}

async fn send(node: &Node, gate: &MemberRecord, call: GateCall) -> Result<Response<AnyBody>, SendError> {
    let pool = node.peers.get(node.dial_address(gate.data));
    let max_body_time = Duration::from_millis(u64::from(call.bundle.bundle().limits.max_deadline_ms));
    let body_until = call.deadline + max_body_time;
    let mut request = build_request(node, gate, call);
    for _ in 0..MAX_CONNECTION_TRIES {
        let Ok((mut connection, reused)) = pool.acquire().await else {
            return Err(SendError::NotSent);
        };
        match connection.try_send_request(request).await {
            Ok(response) => {
                let guard = ConnectionGuard::new(pool, connection);
                let guarded = |body| GuardedBody::new(crate::body::incoming(body), guard, body_until);
                return Ok(response.map(|body| guarded(body).boxed_unsync()));
            }
            Err(mut error) => match error.take_message() {
                Some(unsent) if reused => request = unsent,
                Some(_) => return Err(SendError::NotSent),
                None => return Err(SendError::MayHaveRun),
            },
        }
    }
    Err(SendError::NotSent)
}

fn build_request(node: &Node, gate: &MemberRecord, call: GateCall) -> Request<AnyBody> {
    let mut request = Request::new(call.body);
    *request.method_mut() = call.method;
    *request.uri_mut() = call.uri;
    let headers = request.headers_mut();
    *headers = call.headers;
    insert(headers, "host", &gate.data.to_string());
    insert(headers, header::CONTEXT, &call.context.to_header(&node.settings.key));
    insert(headers, header::INSTANCE, call.instance.name.as_str());
    insert(headers, header::KIND, call.kind.name.as_str());
    insert(headers, header::ATTEMPT, &call.attempt.to_string());
    let remaining = call.deadline.since(clock::now()).saturating_sub(DEADLINE_MARGIN);
    insert(headers, header::REMAINING_US, &remaining.as_micros().to_string());
    request
}

/// Completes when the peer is suspected or declared dead.
async fn wait_for_peer_loss(node: &Node, peer: &NodeName) {
    let mut changes = node.member_changes.subscribe();
    while node.is_answering(peer) {
        if changes.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

fn report_contact_failure(node: &Node, peer: &NodeName) {
    let outputs = lock(&node.membership).on_contact_failure(peer, clock::now());
    crate::control_loops::membership::apply_outputs(node, outputs);
}

fn read_reply(mut response: Response<AnyBody>, round_trip: Duration) -> GateReply {
    let headers = response.headers_mut();
    let level = header_value(headers, header::ADMISSION_LEVEL).unwrap_or(1.0);
    let occupancy = header_value(headers, header::OCCUPANCY).unwrap_or(0.0);
    let gate_own = Duration::from_micros(header_value(headers, GATE_OWN_US).unwrap_or(0));
    let excluded_time = round_trip.saturating_sub(gate_own);
    let made_by_gate = response.status() == GATE_STATUS;
    let headers = response.headers_mut();
    let outcome = header_text(headers, header::OUTCOME).and_then(Outcome::parse);
    let result = match (made_by_gate, outcome) {
        (true, Some(Outcome::NotRun)) => GateResult::Refused(read_refusal(headers)),
        (true, Some(Outcome::Unknown)) => GateResult::Interrupted,
        _ => {
            for name in [header::ADMISSION_LEVEL, header::OCCUPANCY, GATE_OWN_US, header::OUTCOME] {
                headers.remove(name);
            }
            GateResult::Answered(response)
        }
    };
    GateReply { result, level, occupancy, excluded_time }
}

fn read_refusal(headers: &hyper::HeaderMap) -> Refusal {
    let reason = header_text(headers, header::REASON).and_then(RefusalReason::parse);
    let millis = header_value(headers, header::RETRY_AFTER_MS).unwrap_or(300);
    Refusal::new(reason.unwrap_or(RefusalReason::GateUnreachable), Duration::from_millis(millis))
}

/// Builds the HTTP response with this node's gate reply to an edge on another node; `elapsed` is the time
/// since the call arrived here.
pub fn write_reply(reply: GateReply, elapsed: Duration) -> Response<AnyBody> {
    let mut response = match reply.result {
        GateResult::Answered(response) => response,
        GateResult::Refused(refusal) => {
            let mut response = Response::new(crate::body::empty());
            *response.status_mut() = GATE_STATUS;
            let headers = response.headers_mut();
            insert(headers, header::OUTCOME, Outcome::NotRun.as_str());
            insert(headers, header::REASON, refusal.reason.as_str());
            insert(headers, header::RETRY_AFTER_MS, &refusal.retry_after.as_millis().to_string());
            response
        }
        GateResult::Interrupted => {
            let mut response = Response::new(crate::body::empty());
            *response.status_mut() = GATE_STATUS;
            insert(response.headers_mut(), header::OUTCOME, Outcome::Unknown.as_str());
            response
        }
    };
    let headers = response.headers_mut();
    for name in ["connection", "keep-alive", "transfer-encoding"] {
        headers.remove(name);
    }
    insert(headers, header::ADMISSION_LEVEL, &format!("{:.4}", reply.level));
    insert(headers, header::OCCUPANCY, &format!("{:.3}", reply.occupancy));
    let own = elapsed.saturating_sub(reply.excluded_time);
    insert(headers, GATE_OWN_US, &own.as_micros().to_string());
    response
}
