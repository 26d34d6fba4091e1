//! Emulation of the platform's read-only services.

use std::collections::HashMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use olivegate_bundle::SignedBundle;
use olivegate_node::directory::{ListedInstance, ListedNode, MachineList};
use tokio::net::TcpListener;

use crate::error::BenchError;

#[derive(Default)]
struct State {
    bundle: Vec<u8>,
    configuration_available: bool,
    member_list: MachineList,
}

/// Configuration service and member list, both on one port.
#[derive(Clone)]
pub struct Platform {
    state: Arc<Mutex<State>>,
    pub address: SocketAddr,
}

impl Platform {
    /// Starts the services.
    pub async fn start() -> Result<Self, BenchError> {
        let process_error = |error: std::io::Error| BenchError::Process(error.to_string());
        let listener = TcpListener::bind("127.0.0.1:0").await.map_err(process_error)?;
        let address = listener.local_addr().map_err(process_error)?;
        let platform = Platform { state: Arc::default(), address };
        platform.set_configuration_available(true);
        tokio::spawn(serve(platform.clone(), listener));
        Ok(platform)
    }

    fn with_state<T>(&self, change: impl FnOnce(&mut State) -> T) -> T {
        change(&mut self.state.lock().unwrap_or_else(std::sync::PoisonError::into_inner))
    }

    /// Serves this bundle from now on.
    pub fn publish(&self, signed: &SignedBundle) {
        self.with_state(|state| state.bundle = signed.to_bytes());
    }

    /// Makes the configuration service available, or lets it refuse every read.
    pub fn set_configuration_available(&self, available: bool) {
        self.with_state(|state| state.configuration_available = available);
    }

    /// Sets the instances (name, service, zone, address) and nodes of the member list.
    pub fn set_member_list(
        &self,
        instances: &[(String, String, String, SocketAddr)],
        nodes: &HashMap<String, SocketAddr>,
    ) {
        let listed = |(name, service, zone, address): &(String, String, String, SocketAddr)| ListedInstance {
            name: name.clone(),
            service: service.clone(),
            zone: zone.clone(),
            address: *address,
            state: "live".into(),
        };
        let nodes = nodes.iter().map(|(name, control)| ListedNode { name: name.clone(), control: *control });
        let member_list =
            MachineList { instances: instances.iter().map(listed).collect(), nodes: nodes.collect() };
        self.with_state(|state| state.member_list = member_list);
    }

    /// Lists an instance as leaving or live after `delay`.
    pub fn set_leaving(&self, instance: String, leaving: bool, delay: Duration) {
        let platform = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            platform.with_state(|state| {
                for listed in state.member_list.instances.iter_mut().filter(|listed| listed.name == instance) {
                    listed.state = if leaving { "leaving" } else { "live" }.into();
                }
            });
        });
    }
}

async fn serve(platform: Platform, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let platform = platform.clone();
        tokio::spawn(async move {
            let service = service_fn(|request| {
                let platform = platform.clone();
                async move { Ok::<_, Infallible>(handle(&platform, &request)) }
            });
            let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

fn handle(platform: &Platform, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    let body = platform.with_state(|state| match request.uri().path() {
        "/bundle" if state.configuration_available && !state.bundle.is_empty() => Some(state.bundle.clone()),
        "/members" => serde_json::to_vec(&state.member_list).ok(),
        _ => None,
    });
    let mut response = Response::new(Full::from(body.clone().unwrap_or_default()));
    if body.is_none() {
        *response.status_mut() = hyper::StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}
