//! At-most-once execution of requests with an idempotency key that are not safe to retry.

use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use hyper::{Response, StatusCode};
use olivegate_claims::response_cache::CachedResponse;
use olivegate_claims::{Claim, ClaimKey, ClaimOutcome, ClaimRound, Claimant, SeatIndex, Vote};
use olivegate_types::{Digest, Moment, Outcome, RefusalReason, RequestContext, header};

use crate::body::{self, AnyBody};
use crate::control_loops::seats;
use crate::edge::admit::Admitted;
use crate::explain::Decision;
use crate::reply::{LocalResponse, insert};
use crate::state::{Node, lock};
use olivegate_clock as clock;

/// Timeout for a round of votes, and for each call to a seat or to the holder of a claim.
const ROUND_TIMEOUT: Duration = Duration::from_millis(400);
/// `Retry-After` when no majority of the seats can be reached.
const UNAVAILABLE_RETRY_AFTER: Duration = Duration::from_millis(1_000);
/// `Retry-After` of the response to a duplicate, if the first run failed or has no cached response, for
/// instance because it is still running.
const DUPLICATE_RETRY_AFTER: Duration = Duration::from_millis(500);

/// A granted claim.
pub struct HeldClaim {
    key: ClaimKey,
    claimant: Claimant,
}

impl HeldClaim {
    /// The claimed key.
    pub fn key(&self) -> ClaimKey {
        self.key
    }

    /// Releases the claim. Only for requests that were certainly not dispatched: a request that may have
    /// run must not run again under the same key.
    pub fn abandon(self, node: &Node) {
        let node = node.clone();
        tokio::spawn(async move { abandon_everywhere(&node, self.key, self.claimant).await });
    }
}

/// The parts of a call that its claim needs.
pub struct ClaimRequest {
    context: RequestContext,
    key: ClaimKey,
    memory_ms: u32,
    deadline: Moment,
}

impl ClaimRequest {
    /// The claim that a call needs; `None` when it carries no key or is safe to retry.
    pub fn of(call: &Admitted) -> Option<Self> {
        let idempotency_key = call.idempotency_key.as_ref()?;
        let text = format!("{}\n{}\n{idempotency_key}", call.context.group, call.kind.name);
        Some(ClaimRequest {
            context: call.context.clone(),
            key: ClaimKey(Digest::of(text.as_bytes())),
            memory_ms: call.bundle.bundle().limits.claim_memory_ms,
            deadline: call.deadline,
        })
    }
}

/// Claims the key of a request. `Ok(None)` when no claim is needed, `Err` with the final response when
/// the request must not run.
pub async fn claim_if_needed(
    node: &Node,
    call: Option<ClaimRequest>,
) -> Result<Option<HeldClaim>, Box<Response<AnyBody>>> {
    let Some(call) = call else {
        return Ok(None);
    };
    let key = call.key;
    let claimant = Claimant { node: node.name().clone(), request: call.context.request };
    let outcome = run_round(node, &call, &claimant).await;
    let granted = outcome == ClaimOutcome::Granted;
    node.record_decision(call.context.request, call.context.hop, Decision::Claim { granted });
    match outcome {
        ClaimOutcome::Granted => Ok(Some(HeldClaim { key, claimant })),
        ClaimOutcome::Held(holder) => {
            HeldClaim { key, claimant }.abandon(node);
            Err(Box::new(respond_to_duplicate(node, &call, holder).await))
        }
        ClaimOutcome::Pending | ClaimOutcome::Unavailable => {
            HeldClaim { key, claimant }.abandon(node);
            let reason = RefusalReason::ClaimUnavailable;
            node.metrics.on_refusal(reason);
            let response = LocalResponse::not_run(reason.as_str(), UNAVAILABLE_RETRY_AFTER);
            Err(Box::new(response.into_response(Some(call.context.request))))
        }
    }
}

async fn run_round(node: &Node, call: &ClaimRequest, claimant: &Claimant) -> ClaimOutcome {
    let known = lock(&node.seats).known().clone();
    let seats = known.len();
    let claim =
        Claim { key: call.key, claimant: claimant.clone(), memory_ms: call.memory_ms, known: known.clone() };
    let mut round = ClaimRound::new(known);
    let timeout = ROUND_TIMEOUT.min(call.deadline.since(clock::now()));
    let mut votes: FuturesUnordered<_> =
        (0..seats).map(|index| request_vote(node, SeatIndex(index as u8), claim.clone(), timeout)).collect();
    while round.outcome() == ClaimOutcome::Pending {
        match votes.next().await {
            Some((_, Some(vote))) => round.on_vote(vote),
            Some((seat, None)) => round.on_unreachable(seat),
            None => break,
        }
    }
    lock(&node.seats).merge_known(round.known());
    round.outcome()
}

async fn request_vote(node: &Node, seat: SeatIndex, claim: Claim, timeout: Duration) -> (SeatIndex, Option<Vote>) {
    let Some(holder) = seats::holder_of(node, seat) else {
        return (seat, None);
    };
    if holder.name == *node.name() {
        return (seat, lock(&node.seats).on_claim(seat, &claim, clock::now()));
    }
    let reply = node.control.call(node.dial_address(holder.control), timeout, |client, rpc| async move {
        client.claim(rpc, seat, claim).await
    });
    (seat, reply.await.ok().flatten())
}

async fn abandon_everywhere(node: &Node, key: ClaimKey, claimant: Claimant) {
    let seats = lock(&node.seats).known().len();
    for index in 0..seats {
        let seat = SeatIndex(index as u8);
        let Some(holder) = seats::holder_of(node, seat) else {
            continue;
        };
        if holder.name == *node.name() {
            lock(&node.seats).on_abandon(seat, key, &claimant);
            continue;
        }
        let claimant = claimant.clone();
        let reply =
            node.control.call(node.dial_address(holder.control), ROUND_TIMEOUT, |client, rpc| async move {
                client.abandon(rpc, seat, key, claimant).await
            });
        let _ = reply.await;
    }
}

/// The response to a duplicate: that of the first run if its node still has it cached, else `unknown`.
async fn respond_to_duplicate(node: &Node, call: &ClaimRequest, holder: Option<Claimant>) -> Response<AnyBody> {
    let key = call.key;
    let cached = match holder {
        Some(holder) if holder.node == *node.name() => lock(&node.response_cache).get(&key, clock::now()),
        Some(holder) => fetch_cached_response(node, key, &holder).await,
        None => None,
    };
    match cached {
        Some(cached) => replay(call, cached),
        None => {
            let reason = "a request with this key was accepted before; its answer is not held";
            let response = LocalResponse::unknown(StatusCode::CONFLICT, reason, DUPLICATE_RETRY_AFTER);
            response.into_response(Some(call.context.request))
        }
    }
}

async fn fetch_cached_response(node: &Node, key: ClaimKey, holder: &Claimant) -> Option<CachedResponse> {
    let address = lock(&node.membership).get(&holder.node).map(|record| record.control)?;
    let reply = node.control.call(node.dial_address(address), ROUND_TIMEOUT, |client, rpc| async move {
        client.cached_response(rpc, key).await
    });
    reply.await.ok().flatten()
}

fn replay(call: &ClaimRequest, cached: CachedResponse) -> Response<AnyBody> {
    let status = StatusCode::from_u16(cached.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let outcome = if status.is_server_error() { Outcome::Failed } else { Outcome::Ok };
    let mut response = Response::new(body::full(cached.body));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    if !cached.content_type.is_empty() {
        insert(headers, "content-type", &cached.content_type);
    }
    insert(headers, header::OUTCOME, outcome.as_str());
    insert(headers, header::REQUEST_ID, &call.context.request.to_string());
    if outcome == Outcome::Failed {
        crate::reply::insert_retry_after(headers, DUPLICATE_RETRY_AFTER);
    }
    response
}
