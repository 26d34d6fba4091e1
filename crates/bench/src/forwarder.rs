//! Plain hyper forwarders: as many hops as with nodes, but no admission control. They give the
//! lower bound of latency and processor time on the machine that runs the experiment.

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

/// Header that tells the second forwarder which instance the first one chose.
const INSTANCE_INDEX_HEADER: &str = "x-bench-instance";

/// Configuration file of a forwarder.
#[derive(Debug, Serialize, Deserialize)]
pub struct ForwarderConfig {
    /// Index of this forwarder in `forwarders`.
    pub own: usize,
    pub zone: String,
    /// Addresses of the forwarders of this zone.
    pub forwarders: Vec<SocketAddr>,
    /// Name, service, zone and address of each instance.
    pub instances: Vec<(String, String, String, SocketAddr)>,
}

type Body = Either<Incoming, Empty<Bytes>>;

struct Forwarder {
    config: ForwarderConfig,
    next_index: AtomicUsize,
    idle: Mutex<HashMap<SocketAddr, Vec<SendRequest<Incoming>>>>,
}

/// Runs a forwarder until its standard input is closed.
pub fn run(config_file: &Path) -> Result<(), BenchError> {
    let text = std::fs::read_to_string(config_file).map_err(|error| BenchError::File(error.to_string()))?;
    let config: ForwarderConfig =
        serde_json::from_str(&text).map_err(|error| BenchError::File(error.to_string()))?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.map_err(|error| BenchError::Process(error.to_string()))?.block_on(serve(config))
}

async fn serve(config: ForwarderConfig) -> Result<(), BenchError> {
    let listener = TcpListener::bind(config.forwarders[config.own]).await;
    let listener = listener.map_err(|error| BenchError::Process(error.to_string()))?;
    let forwarder = Arc::new(Forwarder { config, next_index: AtomicUsize::new(0), idle: Mutex::default() });
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
        let received_index = request
            .headers()
            .get(INSTANCE_INDEX_HEADER)
            .and_then(|value| value.to_str().ok())
            .and_then(|text| text.parse().ok());
        let index = received_index.unwrap_or_else(|| self.choose_instance(request.uri().path()));
        let target = if received_index.is_some() || index % self.config.forwarders.len() == self.config.own {
            let own = self.config.forwarders[self.config.own].to_string();
            set_header(&mut request, header::DISPATCHED_BY, &own);
            self.config.instances[index].3
        } else {
            set_header(&mut request, INSTANCE_INDEX_HEADER, &index.to_string());
            self.config.forwarders[index % self.config.forwarders.len()]
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

    /// Chooses an instance of the path's service in round-robin order: one of this zone if it has
    /// any, else one of any zone.
    fn choose_instance(&self, path: &str) -> usize {
        let service = path.split('/').nth(1).unwrap_or_default();
        let of_service = |index: &usize| self.config.instances[*index].1 == service;
        let all: Vec<usize> = (0..self.config.instances.len()).filter(of_service).collect();
        let same_zone: Vec<usize> =
            all.iter().copied().filter(|index| self.config.instances[*index].2 == self.config.zone).collect();
        let candidates = if same_zone.is_empty() { all } else { same_zone };
        candidates
            .get(self.next_index.fetch_add(1, Ordering::Relaxed) % candidates.len().max(1))
            .copied()
            .unwrap_or(0)
    }

    async fn send(&self, target: SocketAddr, request: Request<Incoming>) -> Option<Response<Incoming>> {
        let mut connection = match self.take_idle(target) {
            Some(connection) => connection,
            None => connect(target).await?,
        };
        let response = connection.send_request(request).await.ok();
        let mut idle = self.idle.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        idle.entry(target).or_default().push(connection);
        response
    }

    fn take_idle(&self, target: SocketAddr) -> Option<SendRequest<Incoming>> {
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

fn set_header(request: &mut Request<Incoming>, name: &'static str, value: &str) {
    if let Ok(value) = hyper::header::HeaderValue::from_str(value) {
        request.headers_mut().insert(name, value);
    }
}
