//! Calls that a back end makes on behalf of the call it serves.
//!
//! Through nodes (or forwarders) the call goes to whoever dispatched the call on whose
//! behalf it is made, with the context header copied. Without nodes, as in the `direct`
//! arm, it goes to the instances in turn, with naive retries.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use hyper::HeaderMap;
use olivegate_types::header;

use crate::back_ends::World;
use crate::back_ends::instance::{TOKEN, WORK_US, expected_body, text};
use crate::load::client::{Exchange, HttpPool};

/// Attempts of a back end that calls other back ends itself.
const NAIVE_ATTEMPTS: usize = 3;
/// Time after which such an attempt is given up.
const NAIVE_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which a call through a node is given up.
const NODE_TIMEOUT: Duration = Duration::from_secs(6);

/// Client side of the back ends.
#[derive(Default)]
pub struct DownstreamClient {
    pool: HttpPool,
    turns: Mutex<HashMap<String, AtomicUsize>>,
}

/// A call on behalf that was answered well.
pub struct Done {
    pub work_us: u64,
    pub own_us: u64,
}

impl DownstreamClient {
    /// Makes one call; `None` when it failed.
    pub async fn call(&self, world: &World, parent: &HeaderMap, call: &str, token: &str) -> Option<Done> {
        let node: Option<SocketAddr> = text(parent, header::DISPATCHED_BY).and_then(|text| text.parse().ok());
        if let Some(node) = node {
            return self.attempt(world, parent, call, token, node, NODE_TIMEOUT).await;
        }
        for _ in 0..NAIVE_ATTEMPTS {
            let target = self.next_instance(world, call)?;
            if let Some(done) = self.attempt(world, parent, call, token, target, NAIVE_TIMEOUT).await {
                return Some(done);
            }
        }
        None
    }

    fn next_instance(&self, world: &World, call: &str) -> Option<SocketAddr> {
        let service = &world.spec.endpoint(call)?.service;
        let instances: Vec<_> = world.instances.iter().filter(|instance| instance.service == *service).collect();
        let mut turns = self.turns.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        let turn = turns.entry(service.clone()).or_default().fetch_add(1, Ordering::Relaxed);
        let name = &instances.get(turn % instances.len())?.name;
        let addresses = world.addresses.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        addresses.get(name).copied()
    }

    async fn attempt(
        &self,
        world: &World,
        parent: &HeaderMap,
        call: &str,
        token: &str,
        target: SocketAddr,
        timeout: Duration,
    ) -> Option<Done> {
        let endpoint = world.spec.endpoint(call)?;
        let mut headers = vec![(TOKEN, token.to_string())];
        if let Some(context) = text(parent, header::CONTEXT) {
            headers.push((header::CONTEXT, context.to_string()));
        }
        let exchange = self.pool.exchange(target, endpoint.method(), endpoint.path(), &headers, timeout).await;
        let Exchange::Answered(answer) = exchange else {
            return None;
        };
        let whole = answer.status == 200 && answer.body == expected_body(token, endpoint.body_bytes);
        let number = |name| text(&answer.headers, name).and_then(|text| text.parse().ok()).unwrap_or(0);
        whole.then(|| Done { work_us: number(WORK_US), own_us: number(header::OWN_PROCESSING_US) })
    }
}
