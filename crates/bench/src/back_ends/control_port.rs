//! Control port of the emulator: injects faults and returns the recorded executions.

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

use crate::back_ends::Emulator;
use crate::back_ends::instance::Instance;

/// Serves the control port.
pub async fn serve(emulator: Arc<Emulator>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let emulator = emulator.clone();
        tokio::spawn(async move {
            let service = service_fn(|request| {
                let emulator = emulator.clone();
                async move { Ok::<_, Infallible>(handle(&emulator, &request)) }
            });
            let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

/// Handles a control request.
///
/// `/executions` returns all recorded executions and clears the record. `/VERB/NAME/NUMBER`
/// applies a fault to the instances that NAME matches (an instance, a service or `all`).
fn handle(emulator: &Emulator, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    let parts: Vec<&str> = request.uri().path().split('/').skip(1).collect();
    let body = match parts.as_slice() {
        ["executions"] => {
            let mut executions = emulator.executions.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
            serde_json::to_vec(&*executions).inspect(|_| executions.clear()).unwrap_or_default()
        }
        [verb, name, number] => {
            let number = number.parse().unwrap_or(0);
            for instance in emulator.instances.iter().filter(|instance| matches_name(instance, name)) {
                apply(instance, verb, number);
            }
            Vec::new()
        }
        _ => Vec::new(),
    };
    Response::new(Full::from(body))
}

fn matches_name(instance: &Instance, name: &str) -> bool {
    name == "all" || instance.name == name || instance.service == name
}

fn apply(instance: &Instance, verb: &str, number: u32) {
    match verb {
        "slow" => instance.slowdown_per_mille.store(number, Ordering::Relaxed),
        "break" => instance.break_per_mille.store(number, Ordering::Relaxed),
        "leave" => instance.leaving.store(number > 0, Ordering::Relaxed),
        "lie" => instance.hides_leaving.store(number > 0, Ordering::Relaxed),
        "cold" => {
            if let Ok(mut cold_since) = instance.cold_since.lock() {
                *cold_since = Some(Instant::now());
            }
        }
        _ => {}
    }
}
