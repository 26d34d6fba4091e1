//! At-most-once for keyed requests that may not be repeated.

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
use crate::reply::{FinalAnswer, insert};
use crate::state::{Node, lock};
use olivegate_clock as clock;

/// Longest time for a round of votes.
const ROUND_TIMEOUT: Duration = Duration::from_millis(400);
/// Time to come back when no majority of seats can be reached.
const UNAVAILABLE_RETRY_AFTER: Duration = Duration::from_millis(1_000);
/// Time to come back while another attempt of the same key is running.
const HELD_RETRY_AFTER: Duration = Duration::from_millis(500);

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

    /// Gives the claim up; only for requests that were certainly not dispatched.
    pub fn abandon(self, node: &Node) {
        let node = node.clone();
        tokio::spawn(async move { abandon_everywhere(&node, self.key, self.claimant).await });
    }
}

/// What a claim needs to know of its call.
pub struct ClaimRequest {
    context: RequestContext,
    key: ClaimKey,
    memory_ms: u32,
    deadline: Moment,
}

impl ClaimRequest {
    /// The claim that a call needs; `None` when it carries no key or may be repeated.
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

/// Takes the claim of a keyed request; `Ok(None)` when none is needed, `Err` with the
/// final answer when the request must not run.
pub async fn claim_if_needed(
    node: &Node,
    call: Option<ClaimRequest>,
) -> Result<Option<HeldClaim>, Box<Response<AnyBody>>> {
    let Some(call) = call else {
        return Ok(None);
    };
    let key = call.key;
    let claimant = Claimant { node: node.name().clone(), request: call.context.request };
    let verdict = run_round(node, &call, &claimant).await;
    let granted = verdict == ClaimOutcome::Granted;
    node.note(call.context.request, call.context.hop, Decision::Claim { granted });
    match verdict {
        ClaimOutcome::Granted => Ok(Some(HeldClaim { key, claimant })),
        ClaimOutcome::Held(holder) => {
            HeldClaim { key, claimant }.abandon(node);
            Err(Box::new(answer_of_holder(node, &call, holder).await))
        }
        ClaimOutcome::Pending | ClaimOutcome::Unavailable => {
            HeldClaim { key, claimant }.abandon(node);
            let reason = RefusalReason::ClaimUnavailable;
            node.metrics.on_refusal(reason);
            let answer = FinalAnswer::not_run(reason.as_str(), UNAVAILABLE_RETRY_AFTER);
            Err(Box::new(answer.into_response(Some(call.context.request))))
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
        (0..seats).map(|index| ask_seat(node, SeatIndex(index as u8), claim.clone(), timeout)).collect();
    while round.outcome() == ClaimOutcome::Pending {
        match votes.next().await {
            Some((_, Some(vote))) => round.on_vote(vote),
            Some((seat, None)) => round.on_unreachable(seat),
            None => break,
        }
    }
    lock(&node.seats).learn(round.known());
    round.outcome()
}

async fn ask_seat(node: &Node, seat: SeatIndex, claim: Claim, timeout: Duration) -> (SeatIndex, Option<Vote>) {
    let Some(holder) = seats::holder_of(node, seat) else {
        return (seat, None);
    };
    if holder.name == *node.name() {
        return (seat, lock(&node.seats).on_claim(seat, &claim, clock::now()));
    }
    let asked = node.control.call(node.dial(holder.control), timeout, |client, rpc| async move {
        client.claim(rpc, seat, claim).await
    });
    (seat, asked.await.ok().flatten())
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
        let asked = node.control.call(node.dial(holder.control), ROUND_TIMEOUT, |client, rpc| async move {
            client.abandon(rpc, seat, key, claimant).await
        });
        let _ = asked.await;
    }
}

/// The answer to a repeat: that of the first run where it is still held, else `unknown`.
async fn answer_of_holder(node: &Node, call: &ClaimRequest, holder: Option<Claimant>) -> Response<AnyBody> {
    let key = call.key;
    let kept = match holder {
        Some(holder) if holder.node == *node.name() => lock(&node.answers).get(&key, clock::now()),
        Some(holder) => fetch_kept(node, key, &holder).await,
        None => None,
    };
    match kept {
        Some(kept) => repeat(call, kept),
        None => {
            let reason = "a request with this key was accepted before; its answer is not held";
            let answer = FinalAnswer::unknown(StatusCode::CONFLICT, reason, HELD_RETRY_AFTER);
            answer.into_response(Some(call.context.request))
        }
    }
}

async fn fetch_kept(node: &Node, key: ClaimKey, holder: &Claimant) -> Option<CachedResponse> {
    let address = lock(&node.membership).get(&holder.node).map(|record| record.control)?;
    let asked = node.control.call(node.dial(address), ROUND_TIMEOUT, |client, rpc| async move {
        client.cached_response(rpc, key).await
    });
    asked.await.ok().flatten()
}

fn repeat(call: &ClaimRequest, kept: CachedResponse) -> Response<AnyBody> {
    let status = StatusCode::from_u16(kept.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let outcome = if status.is_server_error() { Outcome::Failed } else { Outcome::Ok };
    let mut response = Response::new(body::full(kept.body));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    if !kept.content_type.is_empty() {
        insert(headers, "content-type", &kept.content_type);
    }
    insert(headers, header::OUTCOME, outcome.as_str());
    insert(headers, header::REQUEST_ID, &call.context.request.to_string());
    if outcome == Outcome::Failed {
        crate::reply::insert_retry_after(headers, HELD_RETRY_AFTER);
    }
    response
}
