//! The final answer of a call.

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
use crate::reply::{FinalAnswer, header_value, insert, insert_retry_after};
use crate::state::{Node, lock};
use olivegate_clock as clock;

/// Time to come back after a back end failed.
const FAILED_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Headers of a back end's answer that are not passed on.
const NOT_PASSED_ON: [&str; 5] =
    ["connection", "keep-alive", "transfer-encoding", header::NOT_STARTED, header::LEAVING];

/// An answer that this node makes itself.
pub fn finish(node: &Node, call: &Admitted, answer: FinalAnswer) -> Response<AnyBody> {
    let decision = Decision::Answered { outcome: answer.outcome, status: answer.status.as_u16() };
    node.note(call.context.request, call.context.hop, decision);
    node.metrics.on_answer(answer.outcome, call.context.importance);
    answer.into_response(Some(call.context.request))
}

/// An answer that replaces running the request.
pub fn finish_refused(node: &Node, call: &Admitted, response: Response<AnyBody>) -> Response<AnyBody> {
    let outcome = response.headers().get(header::OUTCOME).and_then(|value| value.to_str().ok());
    let outcome = outcome.and_then(Outcome::parse).unwrap_or(Outcome::Unknown);
    let decision = Decision::Answered { outcome, status: response.status().as_u16() };
    node.note(call.context.request, call.context.hop, decision);
    node.metrics.on_answer(outcome, call.context.importance);
    response
}

/// Passes a back end's answer on.
pub async fn finish_answered(
    node: &Node,
    call: Admitted,
    mut response: Response<AnyBody>,
    own: Duration,
    claim: Option<HeldClaim>,
) -> Response<AnyBody> {
    let outcome = if response.status().is_server_error() { Outcome::Failed } else { Outcome::Ok };
    let decision = Decision::Answered { outcome, status: response.status().as_u16() };
    node.note(call.context.request, call.context.hop, decision);
    node.metrics.on_answer(outcome, call.context.importance);
    let headers = response.headers_mut();
    for name in NOT_PASSED_ON {
        headers.remove(name);
    }
    let deeper: u64 = header_value(headers, header::OWN_PROCESSING_US).unwrap_or(0);
    let own_us = own.as_micros() as u64 + deeper;
    insert(headers, header::OWN_PROCESSING_US, &own_us.to_string());
    insert(headers, header::OUTCOME, outcome.as_str());
    insert(headers, header::REQUEST_ID, &call.context.request.to_string());
    if outcome == Outcome::Failed {
        insert_retry_after(headers, FAILED_RETRY_AFTER);
    }
    let response = match claim {
        Some(claim) => Keeping::of(&call, claim).keep(node, response).await,
        None => response,
    };
    guard(node, call, response)
}

/// Holds the retry account and the count of calls in flight until the body's end.
fn guard(node: &Node, call: Admitted, response: Response<AnyBody>) -> Response<AnyBody> {
    let longest = Duration::from_millis(u64::from(call.bundle.bundle().limits.max_deadline_ms));
    let until = call.deadline + longest;
    let guard = (call.account, node.stop.enter());
    response.map(|inner| GuardedBody::new(inner, guard, until).boxed_unsync())
}

/// How the answer of a claimed request is kept.
struct Keeping {
    claim: HeldClaim,
    request: RequestId,
    memory: Duration,
    deadline: Moment,
}

impl Keeping {
    fn of(call: &Admitted, claim: HeldClaim) -> Self {
        Keeping {
            claim,
            request: call.context.request,
            memory: Duration::from_millis(u64::from(call.bundle.bundle().limits.claim_memory_ms)),
            deadline: call.deadline,
        }
    }

    /// Keeps a small whole answer for repeats; larger ones are passed on only.
    async fn keep(self, node: &Node, response: Response<AnyBody>) -> Response<AnyBody> {
        let small = response.body().size_hint().upper().is_some_and(|size| size <= MAX_CACHED_BODY as u64);
        if !small {
            return response;
        }
        let (parts, streamed) = response.into_parts();
        let limited = Limited::new(streamed, MAX_CACHED_BODY);
        let collected = tokio::time::timeout_at(clock::instant_of(self.deadline), limited.collect()).await;
        let Ok(Ok(collected)) = collected else {
            let answer = FinalAnswer::unknown(StatusCode::BAD_GATEWAY, "answer broke off", FAILED_RETRY_AFTER);
            return answer.into_response(Some(self.request));
        };
        let bytes = collected.to_bytes();
        let content_type = parts.headers.get("content-type").and_then(|value| value.to_str().ok());
        let kept = CachedResponse {
            status: parts.status.as_u16(),
            content_type: content_type.unwrap_or_default().to_string(),
            body: bytes.to_vec(),
        };
        lock(&node.answers).insert(self.claim.key(), kept, self.memory, clock::now());
        Response::from_parts(parts, body::full(bytes))
    }
}
