//! HTTP/1.1 client with a pool of keep-alive connections.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{HeaderMap, Request};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// A response that was received completely.
pub struct CompleteResponse {
    pub status: u16,
    pub headers: HeaderMap,
    pub body: Bytes,
}

/// Result of an exchange.
pub enum Exchange {
    /// A complete response was received.
    Answered(CompleteResponse),
    /// The connection failed before the response was complete.
    Broken,
    /// There was no complete response within the timeout.
    TimedOut,
    /// No connection could be established.
    NotConnected,
}

/// Pool of idle connections by target address.
#[derive(Default)]
pub struct HttpPool {
    idle: Mutex<HashMap<SocketAddr, Vec<SendRequest<Full<Bytes>>>>>,
}

impl HttpPool {
    fn take_idle(&self, target: SocketAddr) -> Option<SendRequest<Full<Bytes>>> {
        let mut idle = self.idle.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        let connections = idle.get_mut(&target)?;
        while let Some(connection) = connections.pop() {
            if connection.is_ready() {
                return Some(connection);
            }
        }
        None
    }

    fn return_idle(&self, target: SocketAddr, connection: SendRequest<Full<Bytes>>) {
        let mut idle = self.idle.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        idle.entry(target).or_default().push(connection);
    }

    /// Sends one request without a body and reads the response. A request that an idle connection
    /// did not send is sent again on a new connection.
    pub async fn exchange(
        &self,
        target: SocketAddr,
        method: &str,
        path: &str,
        headers: &[(&str, String)],
        timeout: Duration,
    ) -> Exchange {
        let exchange = self.send(target, method, path, headers);
        tokio::time::timeout(timeout, exchange).await.unwrap_or(Exchange::TimedOut)
    }

    async fn send(&self, target: SocketAddr, method: &str, path: &str, headers: &[(&str, String)]) -> Exchange {
        let mut request = build_request(target, method, path, headers);
        if let Some(mut connection) = self.take_idle(target) {
            match connection.try_send_request(request).await {
                Ok(response) => return self.read_response(target, connection, response).await,
                Err(mut error) => match error.take_message() {
                    Some(unsent_request) => request = unsent_request,
                    None => return Exchange::Broken,
                },
            }
        }
        let Some(mut connection) = connect(target).await else {
            return Exchange::NotConnected;
        };
        match connection.send_request(request).await {
            Ok(response) => self.read_response(target, connection, response).await,
            Err(_) => Exchange::Broken,
        }
    }

    async fn read_response(
        &self,
        target: SocketAddr,
        mut connection: SendRequest<Full<Bytes>>,
        response: hyper::Response<hyper::body::Incoming>,
    ) -> Exchange {
        let (parts, body) = response.into_parts();
        let Ok(collected) = body.collect().await else {
            return Exchange::Broken;
        };
        if connection.ready().await.is_ok() {
            self.return_idle(target, connection);
        }
        let body = collected.to_bytes();
        Exchange::Answered(CompleteResponse { status: parts.status.as_u16(), headers: parts.headers, body })
    }
}

fn build_request(
    target: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
) -> Request<Full<Bytes>> {
    let mut builder = Request::builder().method(method).uri(path).header("host", target.to_string());
    for (name, value) in headers {
        builder = builder.header(*name, value);
    }
    builder.body(Full::default()).unwrap_or_default()
}

async fn connect(target: SocketAddr) -> Option<SendRequest<Full<Bytes>>> {
    let stream = TcpStream::connect(target).await.ok()?;
    stream.set_nodelay(true).ok()?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(connection);
    Some(sender)
}
