//! Data port: HTTP/1.1 from other nodes' edges to this node's gates.

use std::convert::Infallible;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use olivegate_types::{InstanceName, KindName, Moment, Refusal, RefusalReason, RequestContext, header};
use tokio::net::{TcpListener, TcpStream};

use crate::body::{self, AnyBody};
use crate::edge::forward::write_reply;
use crate::gate::dispatch::GateResult;
use crate::gate::{GateCall, GateReply, dispatch};
use crate::ports::{accept, close_when_stopping, serve_until_closing};
use crate::reply::{LocalResponse, header_text, header_value};
use crate::state::Node;
use olivegate_clock as clock;

/// Maximum size of a request head, in bytes: that of the caller port plus the headers that edges add.
const MAX_HEAD_BYTES: usize = 32 << 10;
/// Maximum number of headers of a request: those of the caller port plus those that edges add.
const MAX_HEADERS: usize = 80;
/// `Retry-After` when this node does not know the bundle, the kind or the instance of a call.
const UNKNOWN_INSTANCE_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Serves the port until the node stops.
pub async fn serve(node: Node, listener: TcpListener) {
    let stop = node.stop.clone();
    accept(listener, stop, |stream| connection(node.clone(), stream)).await;
}

async fn connection(node: Node, stream: TcpStream) {
    let stop = node.stop.clone();
    let service = service_fn(move |request| {
        let node = node.clone();
        async move {
            let stopping = node.stop.clone();
            let in_flight = node.stop.track_request();
            let response = handle(&node, request).await;
            let mut guarded = response.map(|inner| track_until_sent(inner, in_flight));
            close_when_stopping(&mut guarded, &stopping);
            Ok::<_, Infallible>(guarded)
        }
    });
    let serving = http1::Builder::new()
        .timer(TokioTimer::new())
        .max_buf_size(MAX_HEAD_BYTES)
        .max_headers(MAX_HEADERS)
        .serve_connection(TokioIo::new(stream), service);
    serve_until_closing(serving, &stop, "data").await;
}

/// Maximum time for a response body; it is cut off after that.
const MAX_BODY_TIME: Duration = Duration::from_secs(120);

fn track_until_sent(inner: AnyBody, in_flight: crate::stop::InFlightGuard) -> AnyBody {
    let guarded = body::GuardedBody::new(inner, in_flight, clock::now() + MAX_BODY_TIME);
    http_body_util::BodyExt::boxed_unsync(guarded)
}

async fn handle(node: &Node, request: Request<Incoming>) -> Response<AnyBody> {
    let arrived = clock::now();
    match read_call(node, request, arrived) {
        Ok(call) => {
            let reply = dispatch(node, call).await;
            write_reply(reply, clock::now() - arrived)
        }
        Err(ReadError::Invalid(reason)) => {
            LocalResponse::bad_request(StatusCode::BAD_REQUEST, reason).into_response(None)
        }
        Err(ReadError::Refused(reason)) => {
            let refusal = Refusal::new(reason, UNKNOWN_INSTANCE_RETRY_AFTER);
            let result = GateResult::Refused(refusal);
            let reply = GateReply { result, level: 1.0, occupancy: 0.0, excluded_time: Duration::ZERO };
            write_reply(reply, Duration::ZERO)
        }
    }
}

/// Why a call from another node's edge is not dispatched.
enum ReadError {
    /// A header is missing or invalid.
    Invalid(&'static str),
    /// The bundle, the kind or the instance is not known here.
    Refused(RefusalReason),
}

fn read_call(node: &Node, request: Request<Incoming>, arrived: Moment) -> Result<GateCall, ReadError> {
    let (mut parts, incoming) = request.into_parts();
    let headers = &parts.headers;
    let context = header_text(headers, header::CONTEXT).ok_or(ReadError::Invalid("context is missing"))?;
    let context = RequestContext::from_header(context, &node.settings.key);
    let context = context.map_err(|_| ReadError::Invalid("context was not made by this deployment"))?;
    let instance = header_text(headers, header::INSTANCE).ok_or(ReadError::Invalid("instance is missing"))?;
    let instance = InstanceName::new(instance);
    let kind = header_text(headers, header::KIND).ok_or(ReadError::Invalid("kind is missing"))?;
    let kind = KindName::new(kind);
    let remaining: u64 =
        header_value(headers, header::REMAINING_US).ok_or(ReadError::Invalid("time is missing"))?;
    let attempt = header_value(headers, header::ATTEMPT).unwrap_or(0);
    let bundle =
        node.bundle_for_version(context.bundle_version).ok_or(ReadError::Refused(RefusalReason::NodeNotReady))?;
    let unknown = ReadError::Refused(RefusalReason::GateUnreachable);
    let kind = bundle.bundle().kind(&kind).cloned().ok_or(unknown)?;
    let instance = node.instance(&instance).ok_or(ReadError::Refused(RefusalReason::GateUnreachable))?;
    for name in [header::INSTANCE, header::KIND, header::REMAINING_US] {
        parts.headers.remove(name);
    }
    Ok(GateCall {
        context,
        bundle,
        kind,
        instance,
        attempt,
        deadline: arrived + Duration::from_micros(remaining),
        method: parts.method,
        uri: parts.uri.path_and_query().map_or("/", |path| path.as_str()).parse().unwrap_or_default(),
        headers: parts.headers,
        body: body::incoming(incoming),
    })
}
