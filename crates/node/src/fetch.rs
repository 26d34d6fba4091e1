//! Small HTTP GET requests to the platform's services and to instances.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use error_stack::{Report, ResultExt};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::Request;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::error::NodeError;
use crate::status;

/// Status of a response that holds what was asked for.
pub const OK: u16 = 200;

/// The response to a GET request.
#[derive(Debug)]
pub struct Fetched {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: hyper::HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

/// Requests `path` from the server at `address`. A body of more than `limit` bytes is an error.
pub async fn get(
    address: SocketAddr,
    path: &str,
    limit: usize,
    timeout: Duration,
) -> Result<Fetched, Report<NodeError>> {
    let fetched = tokio::time::timeout(timeout, request(address, path, limit));
    fetched.await.change_context(NodeError::Platform)?
}

async fn request(address: SocketAddr, path: &str, limit: usize) -> Result<Fetched, Report<NodeError>> {
    let stream = TcpStream::connect(address).await.change_context(NodeError::Platform)?;
    let handshake = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = handshake.change_context(NodeError::Platform)?;
    let driver = tokio::spawn(connection);
    let request = Request::get(path)
        .header("host", address.to_string())
        .header("connection", "close")
        .body(Empty::<Bytes>::new())
        .change_context(NodeError::Platform)?;
    let response = sender.send_request(request).await.change_context(NodeError::Platform)?;
    if !status::is_final(response.status()) {
        return Err(Report::new(NodeError::Platform).attach(format!("status {}", response.status().as_u16())));
    }
    let (parts, body) = response.into_parts();
    let body = Limited::new(body, limit).collect().await.map_err(|_| Report::new(NodeError::Platform))?;
    drop(driver);
    Ok(Fetched { status: parts.status.as_u16(), headers: parts.headers, body: body.to_bytes() })
}
