//! The edge role: admits a call, makes its attempts and is the only one to respond to it.
//!
//! - [`admit`]: validates and classifies a call, creates its context, sheds root requests.
//! - [`attempts`]: chooses instances, sends the call, retries within the retry limits.
//! - [`forward`] and [`peers`]: calls to gates on other nodes.
//! - [`claim`]: at-most-once execution of requests with an idempotency key that are not safe to retry.
//! - [`response`]: the headers of the final response, and responses cached for duplicates.

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
use crate::reply::LocalResponse;
use crate::state::Node;
use olivegate_clock as clock;

/// Handles one call from a caller or a back end, from admission to the final response.
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
    let claim_started = clock::now();
    let claim = match claim::claim_if_needed(node, ClaimRequest::of(&admitted)).await {
        Ok(claim) => claim,
        Err(refusal) => return response::respond_without_running(node, &admitted, *refusal),
    };
    let claim_time = clock::now() - claim_started;
    let mut attempts = Attempts::new(node, &mut admitted);
    let result = attempts.run().await;
    let excluded_time = attempts.excluded_time() + claim_time;
    let own_processing = (clock::now() - arrived).saturating_sub(excluded_time);
    node.metrics.on_own_processing(own_processing);
    match result {
        AttemptResult::Answered(response) => {
            response::respond_from_instance(node, admitted, response, own_processing, claim).await
        }
        AttemptResult::NotRun(refusal) => {
            if let Some(claim) = claim {
                claim.abandon(node);
            }
            node.metrics.on_refusal(refusal.reason);
            node.record_decision(
                admitted.context.request,
                admitted.context.hop,
                Decision::Refused { reason: refusal.reason },
            );
            let local = LocalResponse::not_run(refusal.reason.as_str(), refusal.retry_after);
            response::respond_locally(node, &admitted, local)
        }
        AttemptResult::Unknown => {
            let status = hyper::StatusCode::GATEWAY_TIMEOUT;
            let local = LocalResponse::unknown(status, "no whole answer in time", Duration::from_millis(500));
            response::respond_locally(node, &admitted, local)
        }
    }
}
