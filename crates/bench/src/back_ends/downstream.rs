//! Downstream calls: calls to other back ends that an instance makes while it serves a call.
//!
//! If a node (or forwarder) dispatched the parent call, the downstream call goes to that node,
//! with the context header copied. Without nodes, as in the `direct` arm, it goes directly to
//! the instances in round-robin order, and is retried immediately, without backoff or budget.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use hyper::HeaderMap;
use olivegate_types::header;

use crate::back_ends::Emulator;
use crate::back_ends::instance::{TOKEN, WORK_US, expected_body, header_text};
use crate::load::client::{Exchange, HttpPool};

/// Attempts per downstream call when there is no node.
const DIRECT_ATTEMPTS: usize = 3;
/// Timeout of one attempt without a node.
const DIRECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout of a downstream call through a node.
const NODE_TIMEOUT: Duration = Duration::from_secs(6);

/// HTTP client of the emulated back ends.
#[derive(Default)]
pub struct DownstreamClient {
    pool: HttpPool,
    next_index: Mutex<HashMap<String, AtomicUsize>>,
}

/// Timings reported by a successful downstream call.
pub struct DownstreamResult {
    pub work_us: u64,
    pub own_us: u64,
}

impl DownstreamClient {
    /// Makes one downstream call; returns `None` if it failed.
    pub async fn call(
        &self,
        emulator: &Emulator,
        parent: &HeaderMap,
        call: &str,
        token: &str,
    ) -> Option<DownstreamResult> {
        let node: Option<SocketAddr> =
            header_text(parent, header::DISPATCHED_BY).and_then(|value| value.parse().ok());
        if let Some(node) = node {
            return self.attempt(emulator, parent, call, token, node, NODE_TIMEOUT).await;
        }
        for _ in 0..DIRECT_ATTEMPTS {
            let target = self.next_instance(emulator, call)?;
            if let Some(result) = self.attempt(emulator, parent, call, token, target, DIRECT_TIMEOUT).await {
                return Some(result);
            }
        }
        None
    }

    fn next_instance(&self, emulator: &Emulator, call: &str) -> Option<SocketAddr> {
        let service = &emulator.spec.endpoint(call)?.service;
        let instances: Vec<_> =
            emulator.instances.iter().filter(|instance| instance.service == *service).collect();
        let mut next_index = self.next_index.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        let index = next_index.entry(service.clone()).or_default().fetch_add(1, Ordering::Relaxed);
        let name = &instances.get(index % instances.len())?.name;
        let addresses = emulator.addresses.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        addresses.get(name).copied()
    }

    async fn attempt(
        &self,
        emulator: &Emulator,
        parent: &HeaderMap,
        call: &str,
        token: &str,
        target: SocketAddr,
        timeout: Duration,
    ) -> Option<DownstreamResult> {
        let endpoint = emulator.spec.endpoint(call)?;
        let mut headers = vec![(TOKEN, token.to_string())];
        if let Some(context) = header_text(parent, header::CONTEXT) {
            headers.push((header::CONTEXT, context.to_string()));
        }
        let exchange = self.pool.exchange(target, endpoint.method(), endpoint.path(), &headers, timeout).await;
        let Exchange::Answered(response) = exchange else {
            return None;
        };
        let is_complete = response.status == 200 && response.body == expected_body(token, endpoint.body_bytes);
        let number = |name| header_text(&response.headers, name).and_then(|value| value.parse().ok()).unwrap_or(0);
        is_complete
            .then(|| DownstreamResult { work_us: number(WORK_US), own_us: number(header::OWN_PROCESSING_US) })
    }
}
