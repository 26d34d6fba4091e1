//! Bare hyper forwarders: as many hops as through nodes, no decisions. The floor for
//! latency and processor time on the machine at hand.

use std::collections::HashMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;
use http_body_util::{Either, Empty};
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use olivegate_types::header;
use serde::{Deserialize, Serialize};
use tokio::net::{TcpListener, TcpStream};

use crate::back_ends::wait_for_stdin_eof;
use crate::error::BenchError;

/// Header by which one forwarder tells the next which instance was chosen.
const CHOSEN: &str = "x-bench-instance";

/// What a forwarder knows.
#[derive(Debug, Serialize, Deserialize)]
pub struct Table {
    pub own: usize,
    pub zone: String,
    /// Addresses of the forwarders of this zone.
    pub forwarders: Vec<SocketAddr>,
    /// Instances: name, service, zone, address.
    pub instances: Vec<(String, String, String, SocketAddr)>,
}

type Body = Either<Incoming, Empty<Bytes>>;

struct Forwarder {
    table: Table,
    turn: AtomicUsize,
    idle: Mutex<HashMap<SocketAddr, Vec<SendRequest<Incoming>>>>,
}

/// Runs a forwarder until its input ends.
pub fn run(table_file: &Path) -> Result<(), BenchError> {
    let text = std::fs::read_to_string(table_file).map_err(|error| BenchError::File(error.to_string()))?;
    let table: Table = serde_json::from_str(&text).map_err(|error| BenchError::File(error.to_string()))?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.map_err(|error| BenchError::Process(error.to_string()))?.block_on(serve(table))
}

async fn serve(table: Table) -> Result<(), BenchError> {
    let listener = TcpListener::bind(table.forwarders[table.own]).await;
    let listener = listener.map_err(|error| BenchError::Process(error.to_string()))?;
    let forwarder = Arc::new(Forwarder { table, turn: AtomicUsize::new(0), idle: Mutex::default() });
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let forwarder = forwarder.clone();
            let _ = stream.set_nodelay(true);
            tokio::spawn(async move {
                let service = service_fn(|request| {
                    let forwarder = forwarder.clone();
                    async move { Ok::<_, Infallible>(forwarder.forward(request).await) }
                });
                let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
            });
        }
    });
    wait_for_stdin_eof().await;
    Ok(())
}

impl Forwarder {
    async fn forward(&self, mut request: Request<Incoming>) -> Response<Body> {
        let chosen =
            request.headers().get(CHOSEN).and_then(|value| value.to_str().ok()).and_then(|t| t.parse().ok());
        let index = chosen.unwrap_or_else(|| self.choose(request.uri().path()));
        let target = if chosen.is_some() || index % self.table.forwarders.len() == self.table.own {
            let own = self.table.forwarders[self.table.own].to_string();
            insert(&mut request, header::DISPATCHED_BY, &own);
            self.table.instances[index].3
        } else {
            insert(&mut request, CHOSEN, &index.to_string());
            self.table.forwarders[index % self.table.forwarders.len()]
        };
        match self.send(target, request).await {
            Some(response) => response.map(Either::Left),
            None => {
                let mut response = Response::new(Either::Right(Empty::new()));
                *response.status_mut() = hyper::StatusCode::BAD_GATEWAY;
                response
            }
        }
    }

    /// The next instance of the path's service in this zone, else anywhere.
    fn choose(&self, path: &str) -> usize {
        let service = path.split('/').nth(1).unwrap_or_default();
        let of_service = |index: &usize| self.table.instances[*index].1 == service;
        let all: Vec<usize> = (0..self.table.instances.len()).filter(of_service).collect();
        let near: Vec<usize> =
            all.iter().copied().filter(|index| self.table.instances[*index].2 == self.table.zone).collect();
        let pool = if near.is_empty() { all } else { near };
        pool.get(self.turn.fetch_add(1, Ordering::Relaxed) % pool.len().max(1)).copied().unwrap_or(0)
    }

    async fn send(&self, target: SocketAddr, request: Request<Incoming>) -> Option<Response<Incoming>> {
        let mut connection = match self.take(target) {
            Some(connection) => connection,
            None => connect(target).await?,
        };
        let response = connection.send_request(request).await.ok();
        let mut idle = self.idle.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        idle.entry(target).or_default().push(connection);
        response
    }

    fn take(&self, target: SocketAddr) -> Option<SendRequest<Incoming>> {
        let mut idle = self.idle.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        let connections = idle.get_mut(&target)?;
        connections.retain(|connection| !connection.is_closed());
        let index = connections.iter().position(SendRequest::is_ready)?;
        Some(connections.swap_remove(index))
    }
}

async fn connect(target: SocketAddr) -> Option<SendRequest<Incoming>> {
    let stream = TcpStream::connect(target).await.ok()?;
    let _ = stream.set_nodelay(true);
    let (sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(connection);
    Some(sender)
}

fn insert(request: &mut Request<Incoming>, name: &'static str, value: &str) {
    if let Ok(value) = hyper::header::HeaderValue::from_str(value) {
        request.headers_mut().insert(name, value);
    }
}
