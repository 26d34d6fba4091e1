//! Port for readiness checks and metrics, for the platform and operators.

use std::convert::Infallible;
use std::rc::Rc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};

use crate::connection_limit::ConnectionPermit;
use crate::state::Node;
use crate::transport;

/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// Maximum number of concurrent connections of the platform and operators.
const MAX_CONNECTIONS: usize = 32;

/// Serves the port until the process ends.
pub async fn serve(node: Rc<Node>, listener: TcpListener) {
    let serve = |stream, permit| connection(node.clone(), stream, permit);
    transport::serve_connections("status", listener, MAX_CONNECTIONS, serve).await;
}

async fn connection(node: Rc<Node>, stream: TcpStream, permit: ConnectionPermit) {
    // Requests to this port are short, so no connection is marked idle and closed to make room for another.
    permit.mark_busy();
    let service = service_fn(|request| {
        let node = node.clone();
        async move { Ok::<_, Infallible>(handle(&node, &request)) }
    });
    let serving = http1::Builder::new().timer(TokioTimer::new()).serve_connection(TokioIo::new(stream), service);
    if let Err(error) = serving.await {
        log::debug!("event=status_connection_ended error={error}");
    }
}

fn text(status: StatusCode, content: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(content.into()));
    *response.status_mut() = status;
    response
}

fn handle(node: &Node, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    let path = request.uri().path();
    if path == METRICS_PATH {
        return text(StatusCode::OK, node.metrics.text());
    }
    if path != node.wire_names.readiness_path {
        return text(StatusCode::NOT_FOUND, "no such page\n");
    }
    if node.is_ready() {
        return text(StatusCode::OK, "ready\n");
    }
    text(StatusCode::SERVICE_UNAVAILABLE, not_ready_reason(node))
}

fn not_ready_reason(node: &Node) -> String {
    let known = node.known_state();
    let ready = node.cluster.borrow().directory.ready_count();
    let stopping = node.stop.is_stopping();
    format!("not ready: configuration={} instances={ready} stopping={stopping}\n", known.configuration)
}
