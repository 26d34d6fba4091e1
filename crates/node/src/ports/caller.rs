//! Caller port: plain HTTP/1.1 from callers and back ends.

use std::convert::Infallible;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};

use crate::edge;
use crate::ports::{accept, close_when_stopping, serve_until_closing};
use crate::state::Node;

/// Timeout for reading a request head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum size of a request head, in bytes.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// Maximum number of headers of a request.
const MAX_HEADERS: usize = 64;

/// Serves the port until the node stops.
pub async fn serve(node: Node, listener: TcpListener) {
    let stop = node.stop.clone();
    accept(listener, stop, |stream| connection(node.clone(), stream)).await;
}

async fn connection(node: Node, stream: TcpStream) {
    let stop = node.stop.clone();
    let service = service_fn(|request| {
        let node = node.clone();
        async move {
            let in_flight = node.stop.track_request();
            let mut response = edge::handle(&node, request).await;
            close_when_stopping(&mut response, &node.stop);
            drop(in_flight);
            Ok::<_, Infallible>(response)
        }
    });
    let serving = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(MAX_HEAD_BYTES)
        .max_headers(MAX_HEADERS)
        .serve_connection(TokioIo::new(stream), service);
    serve_until_closing(serving, &stop, "caller").await;
}
