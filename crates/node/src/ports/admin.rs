//! Admin port: health checks, status, metrics and request explanations for operators.

use std::convert::Infallible;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use olivegate_types::RequestId;
use serde_json::{Value, json};
use tokio::net::{TcpListener, TcpStream};

use crate::body::{self, AnyBody};
use crate::ports::accept;
use crate::state::{Node, lock};
use crate::stop::StopSignal;
use olivegate_clock as clock;

/// Timeout for fetching the decisions about a request from each peer.
const EXPLAIN_TIMEOUT: Duration = Duration::from_millis(800);

/// Serves the port until the process ends.
pub async fn serve(node: Node, listener: TcpListener) {
    accept(listener, StopSignal::default(), |stream| connection(node.clone(), stream)).await;
}

async fn connection(node: Node, stream: TcpStream) {
    let service = service_fn(|request| {
        let node = node.clone();
        async move { Ok::<_, Infallible>(handle(&node, request).await) }
    });
    let serving = http1::Builder::new().timer(TokioTimer::new()).serve_connection(TokioIo::new(stream), service);
    if let Err(error) = serving.await {
        log::debug!("event=admin_connection_ended error={error}");
    }
}

fn text(status: StatusCode, content: impl Into<bytes::Bytes>) -> Response<AnyBody> {
    let mut response = Response::new(body::full(content));
    *response.status_mut() = status;
    response
}

async fn handle(node: &Node, request: Request<Incoming>) -> Response<AnyBody> {
    let path = request.uri().path();
    match path {
        "/healthz" => text(StatusCode::OK, "ok\n"),
        "/readyz" => readiness(node),
        "/metrics" => text(StatusCode::OK, node.metrics.text()),
        "/status" => {
            let status = serde_json::to_vec_pretty(&status(node)).unwrap_or_default();
            text(StatusCode::OK, status)
        }
        _ => match path.strip_prefix("/explain/").map(str::parse::<RequestId>) {
            Some(Ok(id)) => explain(node, id).await,
            Some(Err(_)) => text(StatusCode::BAD_REQUEST, "a request id is 32 hexadecimal digits\n"),
            None => text(StatusCode::NOT_FOUND, "no such page\n"),
        },
    }
}

fn readiness(node: &Node) -> Response<AnyBody> {
    if node.is_ready() && !node.stop.is_stopping() {
        return text(StatusCode::OK, "ready\n");
    }
    let details = json!({
        "bundle": lock(&node.bundles).stamp().to_string(),
        "floor": lock(&node.bundles).floor().to_string(),
        "floor_learnt": node.floor_learnt.load(std::sync::atomic::Ordering::Relaxed),
        "view_fresh": node.is_view_fresh(),
        "stopping": node.stop.is_stopping(),
    });
    text(StatusCode::SERVICE_UNAVAILABLE, format!("not ready: {details}\n"))
}

async fn explain(node: &Node, request: RequestId) -> Response<AnyBody> {
    let mut lines = lock(&node.decisions).lines(request, node.name());
    let peers: Vec<_> = {
        let membership = lock(&node.membership);
        membership.others().filter(|record| record.is_answering()).map(|record| record.control).collect()
    };
    let replies = peers.into_iter().map(|peer| {
        node.control.call(node.dial_address(peer), EXPLAIN_TIMEOUT, move |client, rpc| async move {
            client.explain(rpc, request).await
        })
    });
    for reply in futures::future::join_all(replies).await.into_iter().flatten() {
        lines.extend(reply);
    }
    if lines.is_empty() {
        return text(StatusCode::NOT_FOUND, "no node remembers this request\n");
    }
    lines.sort();
    text(StatusCode::OK, lines.join("\n") + "\n")
}

/// The status page of this node.
fn status(node: &Node) -> Value {
    let now = clock::now();
    json!({
        "node": node.name().as_str(),
        "zone": node.settings.zone.as_str(),
        "deployment": node.settings.deployment,
        "ready": node.is_ready(),
        "stopping": node.stop.is_stopping(),
        "calls_in_flight": node.stop.in_flight(),
        "bundle": bundle_status(node),
        "members": member_status(node),
        "seats": seat_status(node),
        "gates": gate_status(node),
        "admission_levels": level_status(node, now),
        "open_retry_accounts": lock(&node.retry_ledger).len(),
        "freezes": lock(&node.membership).freezes(),
    })
}

fn bundle_status(node: &Node) -> Value {
    let store = lock(&node.bundles);
    json!({
        "version": store.stamp().version,
        "digest": store.stamp().digest.to_string(),
        "floor": store.floor().to_string(),
        "lost_rival": store.last_conflict_loser().map(|stamp| stamp.to_string()),
    })
}

fn member_status(node: &Node) -> Value {
    let membership = lock(&node.membership);
    let member = |record: &olivegate_membership::MemberRecord| {
        json!({
            "name": record.name.as_str(),
            "zone": record.zone.as_str(),
            "state": format!("{:?}", record.state).to_lowercase(),
            "incarnation": record.incarnation,
            "control": record.control.to_string(),
        })
    };
    membership.snapshot().iter().map(member).collect()
}

fn seat_status(node: &Node) -> Value {
    let status = lock(&node.seats).status();
    let seat = |(index, mode, claims): &(olivegate_claims::SeatIndex, olivegate_claims::SeatMode, usize)| json!({"seat": index.0, "mode": format!("{mode:?}").to_lowercase(), "claims": claims});
    status.iter().map(seat).collect()
}

fn gate_status(node: &Node) -> Value {
    let gates = node.gates.all();
    let gate =
        |(name, gate): &(olivegate_types::InstanceName, std::sync::Arc<crate::gate::slots::InstanceGate>)| {
            let status = gate.status();
            json!({
                "instance": name.as_str(),
                "in_flight": status.in_flight,
                "waiting": status.waiting,
                "limit": status.limit,
                "idle_connections": gate.connections().idle_count(),
            })
        };
    gates.iter().map(gate).collect()
}

fn level_status(node: &Node, now: olivegate_types::Moment) -> Value {
    let entries = lock(&node.levels).entries(now);
    let level = |(class, level): &(olivegate_overload::ClassKey, f64)| {
        json!({
            "kind": class.root_kind.as_str(),
            "group": class.group.as_str(),
            "importance": class.importance.0,
            "admitted_fraction": level,
        })
    };
    entries.iter().map(level).collect()
}
