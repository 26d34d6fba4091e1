//! The edge role: takes a call, owns its one answer.
//!
//! - [`admit`]: who calls, what is asked, under which context; refuses at the root.
//! - [`attempts`]: chooses instances, sends, retries within the allowance.
//! - [`forward`] and [`peers`]: calls to gates on other nodes.
//! - [`claim`]: at-most-once for keyed requests that may not be repeated.
//! - [`response`]: the final answer's headers and kept answers.

pub mod admit;
pub mod attempts;
pub mod claim;
pub mod forward;
pub mod peers;
pub mod response;

use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Request, Response};

use crate::body::AnyBody;
use crate::edge::admit::Admitted;
use crate::edge::attempts::{AttemptResult, Attempts};
use crate::edge::claim::ClaimRequest;
use crate::explain::Decision;
use crate::reply::FinalAnswer;
use crate::state::Node;
use olivegate_clock as clock;

/// Handles one call from a caller or a back end.
pub async fn handle(node: &Node, request: Request<Incoming>) -> Response<AnyBody> {
    let arrived = clock::now();
    let admitted = match admit::admit(node, request, arrived).await {
        Ok(admitted) => admitted,
        Err(refused) => return refused.into_response(node),
    };
    node.metrics.calls_in_flight.inc();
    let response = serve(node, admitted, arrived).await;
    node.metrics.calls_in_flight.dec();
    response
}

async fn serve(node: &Node, mut admitted: Admitted, arrived: olivegate_types::Moment) -> Response<AnyBody> {
    let before_claim = clock::now();
    let claim = match claim::claim_if_needed(node, ClaimRequest::of(&admitted)).await {
        Ok(claim) => claim,
        Err(answer) => return response::finish_refused(node, &admitted, *answer),
    };
    let waited_for_seats = clock::now() - before_claim;
    let mut attempts = Attempts::new(node, &mut admitted);
    let result = attempts.run().await;
    let outside = attempts.outside() + waited_for_seats;
    let own = (clock::now() - arrived).saturating_sub(outside);
    node.metrics.on_processing(own);
    match result {
        AttemptResult::Answered(response) => response::finish_answered(node, admitted, response, own, claim).await,
        AttemptResult::NotRun(refusal) => {
            if let Some(claim) = claim {
                claim.abandon(node);
            }
            node.metrics.on_refusal(refusal.reason);
            node.note(
                admitted.context.request,
                admitted.context.hop,
                Decision::Refused { reason: refusal.reason },
            );
            let answer = FinalAnswer::not_run(refusal.reason.as_str(), refusal.retry_after);
            response::finish(node, &admitted, answer)
        }
        AttemptResult::Unknown => {
            let status = hyper::StatusCode::GATEWAY_TIMEOUT;
            let answer = FinalAnswer::unknown(status, "no whole answer in time", Duration::from_millis(500));
            response::finish(node, &admitted, answer)
        }
    }
}
