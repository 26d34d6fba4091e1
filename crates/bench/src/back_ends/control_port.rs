//! The emulator's control port.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

use crate::back_ends::World;
use crate::back_ends::instance::Instance;

/// Serves the control port.
pub async fn serve(world: Arc<World>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let world = world.clone();
        tokio::spawn(async move {
            let service = service_fn(|request| {
                let world = world.clone();
                async move { Ok::<_, Infallible>(handle(&world, &request)) }
            });
            let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

/// `/executions` hands out and forgets all executions; `/VERB/NAME/NUMBER` steers.
fn handle(world: &World, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    let parts: Vec<&str> = request.uri().path().split('/').skip(1).collect();
    let body = match parts.as_slice() {
        ["executions"] => {
            let mut executions = world.executions.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
            serde_json::to_vec(&*executions).inspect(|_| executions.clear()).unwrap_or_default()
        }
        [verb, name, number] => {
            let number = number.parse().unwrap_or(0);
            for instance in world.instances.iter().filter(|instance| concerns(instance, name)) {
                apply(instance, verb, number);
            }
            Vec::new()
        }
        _ => Vec::new(),
    };
    Response::new(Full::from(body))
}

fn concerns(instance: &Instance, name: &str) -> bool {
    name == "all" || instance.name == name || instance.service == name
}

fn apply(instance: &Instance, verb: &str, number: u32) {
    match verb {
        "slow" => instance.slow.store(number, Ordering::Relaxed),
        "break" => instance.breaking.store(number, Ordering::Relaxed),
        "leave" => instance.leaving.store(number > 0, Ordering::Relaxed),
        "lie" => instance.lying.store(number > 0, Ordering::Relaxed),
        "cold" => {
            if let Ok(mut cold) = instance.cold_since.lock() {
                *cold = Some(Instant::now());
            }
        }
        _ => {}
    }
}
