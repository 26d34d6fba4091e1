//! Builds the final response of a call.

use std::time::Duration;

use http_body_util::{BodyExt, Limited};
use hyper::body::Body;
use hyper::{Response, StatusCode};
use olivegate_claims::response_cache::{CachedResponse, MAX_CACHED_BODY};
use olivegate_types::{Moment, Outcome, RequestId, header};

use crate::body::{self, AnyBody, GuardedBody};
use crate::edge::admit::Admitted;
use crate::edge::claim::HeldClaim;
use crate::explain::Decision;
use crate::reply::{LocalResponse, header_value, insert, insert_retry_after};
use crate::state::{Node, lock};
use olivegate_clock as clock;

/// `Retry-After` when a back end failed.
const FAILED_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Headers of an instance's response that are not forwarded.
const STRIPPED_HEADERS: [&str; 5] =
    ["connection", "keep-alive", "transfer-encoding", header::NOT_STARTED, header::LEAVING];

/// Finishes a call with a response that this node makes itself.
pub fn respond_locally(node: &Node, call: &Admitted, response: LocalResponse) -> Response<AnyBody> {
    let decision = Decision::Answered { outcome: response.outcome, status: response.status.as_u16() };
    node.record_decision(call.context.request, call.context.hop, decision);
    node.metrics.on_answer(response.outcome, call.context.importance);
    response.into_response(Some(call.context.request))
}

/// Finishes a keyed call that must not run, with the response of the claim check: a refusal or the
/// cached response of the first run.
pub fn respond_without_running(node: &Node, call: &Admitted, response: Response<AnyBody>) -> Response<AnyBody> {
    let outcome = response.headers().get(header::OUTCOME).and_then(|value| value.to_str().ok());
    let outcome = outcome.and_then(Outcome::parse).unwrap_or(Outcome::Unknown);
    let decision = Decision::Answered { outcome, status: response.status().as_u16() };
    node.record_decision(call.context.request, call.context.hop, decision);
    node.metrics.on_answer(outcome, call.context.importance);
    response
}

/// Finishes a call with an instance's response and sets the outcome headers.
pub async fn respond_from_instance(
    node: &Node,
    call: Admitted,
    mut response: Response<AnyBody>,
    own_processing: Duration,
    claim: Option<HeldClaim>,
) -> Response<AnyBody> {
    let outcome = if response.status().is_server_error() { Outcome::Failed } else { Outcome::Ok };
    let decision = Decision::Answered { outcome, status: response.status().as_u16() };
    node.record_decision(call.context.request, call.context.hop, decision);
    node.metrics.on_answer(outcome, call.context.importance);
    let headers = response.headers_mut();
    for name in STRIPPED_HEADERS {
        headers.remove(name);
    }
    let deeper_own_us: u64 = header_value(headers, header::OWN_PROCESSING_US).unwrap_or(0);
    let own_us = own_processing.as_micros() as u64 + deeper_own_us;
    insert(headers, header::OWN_PROCESSING_US, &own_us.to_string());
    insert(headers, header::OUTCOME, outcome.as_str());
    insert(headers, header::REQUEST_ID, &call.context.request.to_string());
    if outcome == Outcome::Failed {
        insert_retry_after(headers, FAILED_RETRY_AFTER);
    }
    let response = match claim {
        Some(claim) => ResponseRecorder::of(&call, claim).record(node, response).await,
        None => response,
    };
    hold_until_sent(node, call, response)
}

/// Keeps the retry account open and the call counted as in flight until the response body ends.
fn hold_until_sent(node: &Node, call: Admitted, response: Response<AnyBody>) -> Response<AnyBody> {
    let max_body_time = Duration::from_millis(u64::from(call.bundle.bundle().limits.max_deadline_ms));
    let until = call.deadline + max_body_time;
    let guard = (call.account, node.stop.track_request());
    response.map(|inner| GuardedBody::new(inner, guard, until).boxed_unsync())
}

/// Stores the response of a claimed request, so that duplicates get the same one.
struct ResponseRecorder {
    claim: HeldClaim,
    request: RequestId,
    memory: Duration,
    deadline: Moment,
}

impl ResponseRecorder {
    fn of(call: &Admitted, claim: HeldClaim) -> Self {
        ResponseRecorder {
            claim,
            request: call.context.request,
            memory: Duration::from_millis(u64::from(call.bundle.bundle().limits.claim_memory_ms)),
            deadline: call.deadline,
        }
    }

    /// Buffers and stores a small response for duplicates; a larger one is only forwarded.
    async fn record(self, node: &Node, response: Response<AnyBody>) -> Response<AnyBody> {
        let small = response.body().size_hint().upper().is_some_and(|size| size <= MAX_CACHED_BODY as u64);
        if !small {
            return response;
        }
        let (parts, streamed) = response.into_parts();
        let limited = Limited::new(streamed, MAX_CACHED_BODY);
        let collected = tokio::time::timeout_at(clock::instant_of(self.deadline), limited.collect()).await;
        let Ok(Ok(collected)) = collected else {
            let failure = LocalResponse::unknown(StatusCode::BAD_GATEWAY, "answer broke off", FAILED_RETRY_AFTER);
            return failure.into_response(Some(self.request));
        };
        let bytes = collected.to_bytes();
        let content_type = parts.headers.get("content-type").and_then(|value| value.to_str().ok());
        let cached = CachedResponse {
            status: parts.status.as_u16(),
            content_type: content_type.unwrap_or_default().to_string(),
            body: bytes.to_vec(),
        };
        lock(&node.response_cache).insert(self.claim.key(), cached, self.memory, clock::now());
        Response::from_parts(parts, body::full(bytes))
    }
}
