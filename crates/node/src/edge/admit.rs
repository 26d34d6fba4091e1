//! Admission of a call: authenticates the caller, classifies the request and creates or reads its context.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::HeaderMap;
use hyper::{Method, Request, Response, StatusCode, Uri};
use olivegate_bundle::{IndexedBundle, Kind};
use olivegate_overload::retry_after::retry_after;
use olivegate_types::{
    GroupName, Importance, Moment, Outcome, RefusalReason, RequestContext, RequestId, SheddingRank, header,
};
use rand::RngExt;

use crate::body::{self, AnyBody};
use crate::explain::Decision;
use crate::gate::dispatch::class_of;
use crate::reply::{LocalResponse, header_text, header_value};
use crate::state::{Node, lock};
use olivegate_clock as clock;

/// Bodies up to this size, in bytes, are buffered so that a retry can send them again.
const MAX_KEPT_REQUEST_BODY: u64 = 64 << 10;
/// Maximum length of an idempotency key, in bytes.
const MAX_IDEMPOTENCY_KEY: usize = 256;
/// Hop-by-hop headers: they apply to one connection and are not forwarded.
const HOP_BY_HOP: [&str; 8] =
    ["connection", "keep-alive", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade", "expect"];

/// A request body.
pub enum CallBody {
    /// Small body, buffered: every attempt can send it.
    Kept(Bytes),
    /// Streamed body: only one attempt can send it. `None` once taken.
    Streamed(Option<AnyBody>),
}

/// An admitted call with everything that its attempts need.
pub struct Admitted {
    /// Request context.
    pub context: RequestContext,
    /// Bundle version under which the call is served.
    pub bundle: Arc<IndexedBundle>,
    /// Kind of the request at this hop.
    pub kind: Kind,
    /// Deadline on this node's clock.
    pub deadline: Moment,
    /// Caller's idempotency key, read for kinds that are not safe to retry.
    pub idempotency_key: Option<String>,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers to forward.
    pub headers: HeaderMap,
    /// Request body.
    pub body: CallBody,
    /// Retry account; only a root request has one here.
    pub account: Option<RetryAccount>,
}

/// The account of a root request in the node's retry ledger; dropping this closes it.
pub struct RetryAccount {
    node: Node,
    request: RequestId,
}

impl Drop for RetryAccount {
    fn drop(&mut self) {
        lock(&self.node.retry_ledger).close(self.request);
    }
}

/// A call that admission refused: an invalid request, or one shed at the root.
pub struct Refused {
    response: LocalResponse,
    request: Option<RequestId>,
    importance: Importance,
}

impl Refused {
    fn invalid(status: StatusCode, reason: impl Into<String>) -> Self {
        Refused { response: LocalResponse::bad_request(status, reason), request: None, importance: Importance(0) }
    }

    fn overloaded(context: &RequestContext, reason: RefusalReason, retry_after: Duration) -> Self {
        Refused {
            response: LocalResponse::not_run(reason.as_str(), retry_after),
            request: Some(context.request),
            importance: context.importance,
        }
    }

    /// Counts the refusal and builds the HTTP response.
    pub fn into_response(self, node: &Node) -> Response<AnyBody> {
        node.metrics.on_answer(Outcome::NotRun, self.importance);
        self.response.into_response(self.request)
    }
}

/// Validates a call, creates or reads its context, and admits or refuses it.
pub async fn admit(node: &Node, request: Request<Incoming>, arrived: Moment) -> Result<Admitted, Refused> {
    let (parts, incoming) = request.into_parts();
    let Some(bundle) = node.bundle().filter(|_| node.is_ready()) else {
        let response = LocalResponse::not_run(RefusalReason::NodeNotReady.as_str(), Duration::from_millis(500));
        return Err(Refused { response, request: None, importance: Importance(0) });
    };
    let context = read_context(node, &parts.headers)?;
    let bundle = match &context {
        Some(context) => node.bundle_for_version(context.bundle_version).unwrap_or(bundle),
        None => bundle,
    };
    let path = parts.uri.path();
    let Some(kind) = bundle.classify(parts.method.as_str(), path).cloned() else {
        return Err(Refused::invalid(StatusCode::NOT_FOUND, format!("no kind for {} {path}", parts.method)));
    };
    let is_root = context.is_none();
    let (context, deadline, credits) = match context {
        Some(parent) => child_context(&parent, &bundle, arrived)?,
        None => root_context(node, &parts.headers, &bundle, &kind, arrived)?,
    };
    if is_root {
        check_root_level(node, &context, arrived)?;
    }
    let account = is_root.then(|| open_retry_account(node, context.request, credits));
    let idempotency_key = read_idempotency_key(&parts.headers, &kind)?;
    let limit = u64::from(bundle.bundle().limits.max_request_body_bytes);
    let body = read_body(incoming, limit, deadline).await?;
    node.record_decision(
        context.request,
        context.hop,
        Decision::Admitted { kind: kind.name.clone(), group: context.group.clone() },
    );
    Ok(Admitted {
        context,
        bundle,
        kind,
        deadline,
        idempotency_key,
        method: parts.method,
        uri: origin_form(&parts.uri),
        headers: forwarded_headers(parts.headers),
        body,
        account,
    })
}

fn open_retry_account(node: &Node, request: RequestId, credits: u8) -> RetryAccount {
    lock(&node.retry_ledger).open(request, credits);
    RetryAccount { node: node.clone(), request }
}

fn read_context(node: &Node, headers: &HeaderMap) -> Result<Option<RequestContext>, Refused> {
    let Some(value) = headers.get(header::CONTEXT) else {
        return Ok(None);
    };
    let text =
        value.to_str().map_err(|_| Refused::invalid(StatusCode::BAD_REQUEST, "context header is not text"))?;
    let context = RequestContext::from_header(text, &node.settings.key);
    context.map(Some).map_err(|error| Refused::invalid(StatusCode::BAD_REQUEST, error.to_string()))
}

type ContextParts = (RequestContext, Moment, u8);

/// The context and deadline of a call that a back end makes on behalf of `parent`; it gets no retry credits.
fn child_context(
    parent: &RequestContext,
    bundle: &IndexedBundle,
    arrived: Moment,
) -> Result<ContextParts, Refused> {
    let context = parent.child();
    if context.hop >= bundle.bundle().limits.max_hops {
        let reason = RefusalReason::TooManyHops.as_str();
        return Err(Refused::invalid(StatusCode::LOOP_DETECTED, reason));
    }
    let remaining = Duration::from_millis(context.deadline_unix_ms.saturating_sub(clock::unix_ms()));
    let max_deadline = Duration::from_millis(u64::from(bundle.bundle().limits.max_deadline_ms));
    Ok((context, arrived + remaining.min(max_deadline), 0))
}

/// The context, deadline and retry credits of a root request. A call without a credential
/// gets the lowest importance and no retries, whatever its kind says.
fn root_context(
    node: &Node,
    headers: &HeaderMap,
    bundle: &IndexedBundle,
    kind: &Kind,
    arrived: Moment,
) -> Result<ContextParts, Refused> {
    let credential = headers.get(header::GROUP_CREDENTIAL);
    let Some(group) = bundle.group_of(credential.map(|value| value.as_bytes())) else {
        return Err(Refused::invalid(StatusCode::UNAUTHORIZED, "credential names no group"));
    };
    let limits = &bundle.bundle().limits;
    let wait = read_deadline(headers, kind.deadline_ms, limits.max_deadline_ms)?;
    let has_credential = credential.is_some();
    let context = RequestContext {
        request: RequestId(rand::rng().random()),
        root_node: node.name().clone(),
        root_control: node.addresses.control,
        group: GroupName::clone(&group.name),
        root_kind: kind.name.clone(),
        importance: if has_credential { kind.importance } else { Importance(0) },
        rank: SheddingRank(rand::rng().random()),
        deadline_unix_ms: clock::unix_ms() + wait.as_millis() as u64,
        hop: 0,
        bundle_version: bundle.stamp().version,
    };
    Ok((context, arrived + wait, if has_credential { limits.retries_per_request } else { 0 }))
}

fn read_deadline(headers: &HeaderMap, default_ms: u32, max_ms: u32) -> Result<Duration, Refused> {
    let requested: Option<u32> = header_value(headers, header::DEADLINE_MS);
    if headers.contains_key(header::DEADLINE_MS) && requested.is_none_or(|requested| requested == 0) {
        let reason = format!("{} is a whole number of milliseconds from 1", header::DEADLINE_MS);
        return Err(Refused::invalid(StatusCode::BAD_REQUEST, reason));
    }
    Ok(Duration::from_millis(u64::from(requested.unwrap_or(default_ms).min(max_ms))))
}

/// Sheds a root request by the admission level of its class, so that one that a service deeper
/// in the call chain would refuse is refused before any work is done for it.
fn check_root_level(node: &Node, context: &RequestContext, now: Moment) -> Result<(), Refused> {
    let class = class_of(context);
    let level = lock(&node.levels).level(&class, 0, now);
    if context.rank.fraction() < level {
        return Ok(());
    }
    let reason = RefusalReason::AdmissionLevel;
    node.metrics.on_refusal(reason);
    node.record_decision(context.request, 0, Decision::Refused { reason });
    Err(Refused::overloaded(context, reason, retry_after(level, rand::rng().random())))
}

fn read_idempotency_key(headers: &HeaderMap, kind: &Kind) -> Result<Option<String>, Refused> {
    if kind.repeat_safe || !headers.contains_key(header::IDEMPOTENCY_KEY) {
        return Ok(None);
    }
    let text = header_text(headers, header::IDEMPOTENCY_KEY).unwrap_or_default();
    if text.is_empty() || text.len() > MAX_IDEMPOTENCY_KEY {
        let reason = format!("idempotency-key has 1 to {MAX_IDEMPOTENCY_KEY} visible characters");
        return Err(Refused::invalid(StatusCode::BAD_REQUEST, reason));
    }
    Ok(Some(text.to_string()))
}

async fn read_body(incoming: Incoming, limit: u64, deadline: Moment) -> Result<CallBody, Refused> {
    let size = incoming.size_hint();
    if size.lower() > limit {
        let reason = format!("request body is over {limit} bytes");
        return Err(Refused::invalid(StatusCode::PAYLOAD_TOO_LARGE, reason));
    }
    if incoming.is_end_stream() {
        return Ok(CallBody::Kept(Bytes::new()));
    }
    if size.upper().is_none_or(|upper| upper > MAX_KEPT_REQUEST_BODY) {
        let limited = Limited::new(incoming, limit as usize);
        let streamed = limited.map_err(|_| crate::error::NodeError::Body).boxed_unsync();
        return Ok(CallBody::Streamed(Some(streamed)));
    }
    let collected = tokio::time::timeout_at(clock::instant_of(deadline), incoming.collect());
    match collected.await {
        Ok(Ok(collected)) => Ok(CallBody::Kept(collected.to_bytes())),
        Ok(Err(_)) => Err(Refused::invalid(StatusCode::BAD_REQUEST, "request body broke off")),
        Err(_) => Err(Refused::invalid(StatusCode::REQUEST_TIMEOUT, "request body came too slowly")),
    }
}

fn origin_form(uri: &Uri) -> Uri {
    let text = uri.path_and_query().map_or("/", |path| path.as_str());
    text.parse().unwrap_or_default()
}

/// Removes the headers that are not forwarded: hop-by-hop ones, those that `connection` lists and
/// reserved ones.
fn forwarded_headers(mut headers: HeaderMap) -> HeaderMap {
    let connection_specific: Vec<String> = header_text(&headers, "connection")
        .map(|list| list.split(',').map(|name| name.trim().to_ascii_lowercase()).collect())
        .unwrap_or_default();
    for name in HOP_BY_HOP.iter().copied().chain(connection_specific.iter().map(String::as_str)) {
        headers.remove(name);
    }
    let reserved: Vec<_> =
        headers.keys().filter(|name| name.as_str().starts_with(header::RESERVED_PREFIX)).cloned().collect();
    for name in reserved {
        headers.remove(name);
    }
    headers
}

impl CallBody {
    /// The body for one attempt; `None` when an earlier attempt took a streamed body.
    pub fn for_attempt(&mut self) -> Option<AnyBody> {
        match self {
            CallBody::Kept(bytes) => Some(body::full(bytes.clone())),
            CallBody::Streamed(body) => body.take(),
        }
    }
}
