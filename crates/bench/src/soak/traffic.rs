//! Sends requests: of the clients of each machine, of its instance, and probes.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use rand::RngExt;
use rand::seq::IndexedRandom;
use tokio::task::spawn_local;

use super::exchange::{Connection, Request};
use super::harness::{Harness, MAX_ATTEMPTS};
use super::record::{Call, CallEnd, CallPurpose};
use super::tenants;

/// Timeout of client requests.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of probes and of requests that test keys.
const PROBE_TIMEOUT: Duration = Duration::from_millis(800);
/// Interval between requests with the guests' keys and with an unknown key at one machine.
const KEY_REQUEST_INTERVAL: Duration = Duration::from_millis(400);
/// Number of versions whose guest key is tried: the latest one, and earlier ones whose key was withdrawn.
const VERSIONS_TRIED: u64 = 3;
/// Interval between probes of one machine.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);
/// Probability that a client gives up on its request early.
const ABANDON_PROBABILITY: f64 = 0.04;
/// Probability that a request uses a new connection.
const NEW_CONNECTION_PROBABILITY: f64 = 0.2;
/// Maximum number of idle connections pooled per machine.
const MAX_IDLE: usize = 64;

/// A request to be sent.
#[derive(Debug, Clone)]
pub struct CallSpec {
    machine: usize,
    purpose: CallPurpose,
    method: String,
    target: String,
    timeout: Duration,
}

impl CallSpec {
    /// A request for `target`.
    pub fn new(machine: usize, purpose: CallPurpose, method: &str, target: String, timeout: Duration) -> Self {
        CallSpec { machine, purpose, method: method.into(), target, timeout }
    }

    /// Machine that it is sent through.
    pub fn machine(&self) -> usize {
        self.machine
    }

    /// The request with a new id.
    pub fn request(&self, harness: &Harness) -> Request {
        Request {
            id: harness.next_id(),
            method: self.method.clone(),
            target: self.target.clone(),
            host: harness.host.clone(),
            key: key_of(self.purpose),
            timeout: self.timeout,
            is_chunked: false,
            defect: None,
        }
    }

    /// A request for `call`, such as `GET /catalogue/search`.
    pub fn for_call(machine: usize, purpose: CallPurpose, call: &str, timeout: Duration) -> Self {
        let (method, path) = call.split_once(' ').unwrap_or(("GET", call));
        CallSpec { machine, purpose, method: method.to_string(), target: format!("{path}/"), timeout }
    }

    /// A client request for the target of a deadly content.
    pub fn deadly(machine: usize, method: &str, target: String) -> Self {
        CallSpec { machine, purpose: CallPurpose::Deadly, method: method.into(), target, timeout: CLIENT_TIMEOUT }
    }

    fn probe(machine: usize, version: u64) -> Self {
        let target = Harness::version_path(version);
        CallSpec {
            machine,
            purpose: CallPurpose::Probe { version },
            method: "GET".into(),
            target,
            timeout: PROBE_TIMEOUT,
        }
    }
}

/// Idle connections, by machine.
#[derive(Default)]
pub struct ConnectionPool {
    idle: RefCell<HashMap<usize, Vec<Connection>>>,
}

impl ConnectionPool {
    /// Sends a request, waits until it ends and records it.
    pub async fn send(harness: &Rc<Harness>, call_spec: CallSpec) -> CallEnd {
        let request = call_spec.request(harness);
        let call_recorder = CallRecorder::begin(harness, &call_spec, &request);
        let end = exchange(harness, &call_spec, &request).await;
        call_recorder.finish(end);
        end
    }

    fn take(&self, machine: usize) -> Option<Connection> {
        self.idle.borrow_mut().get_mut(&machine)?.pop()
    }

    fn keep(&self, machine: usize, connection: Connection) {
        let mut idle = self.idle.borrow_mut();
        let pooled = idle.entry(machine).or_default();
        if pooled.len() < MAX_IDLE {
            pooled.push(connection);
        }
    }

    /// Closes the idle connections to a machine whose process has ended.
    pub fn close_idle(&self, machine: usize) {
        self.idle.borrow_mut().remove(&machine);
    }
}

fn key_of(purpose: CallPurpose) -> Option<String> {
    match purpose {
        CallPurpose::OnBehalf => None,
        CallPurpose::Client | CallPurpose::Transfer { .. } | CallPurpose::Deadly | CallPurpose::Probe { .. } => {
            Some(tenants::key_of(tenants::MEMBERS))
        }
        CallPurpose::Limited => Some(tenants::key_of(tenants::LIMITED)),
        CallPurpose::Guest { version } => Some(tenants::guest_key(version)),
        CallPurpose::Stranger => Some(tenants::UNKNOWN_KEY.into()),
    }
}

async fn exchange(harness: &Rc<Harness>, call_spec: &CallSpec, request: &Request) -> CallEnd {
    let opens_new = harness.random(|random| random.random_bool(NEW_CONNECTION_PROBABILITY));
    let pooled = if opens_new { None } else { harness.connections.take(call_spec.machine) };
    let was_reused = pooled.is_some();
    let mut connection = match pooled {
        Some(connection) => connection,
        None => match Connection::open(harness.machines[call_spec.machine].outbound).await {
            Ok(connection) => connection,
            Err(_) => return CallEnd::NotSent,
        },
    };
    let Ok((end, is_reusable)) = tokio::time::timeout(call_spec.timeout, connection.exchange(request)).await
    else {
        return CallEnd::TimedOut;
    };
    if is_reusable {
        harness.connections.keep(call_spec.machine, connection);
    }
    // An idle connection may have been closed before it carried this request.
    let may_be_unread = was_reused && end == CallEnd::Cut && !harness.has_run(&request.id);
    if may_be_unread { CallEnd::NotSent } else { end }
}

/// The record of a request; it stays `GaveUp` if the sender is dropped before the end.
pub struct CallRecorder {
    harness: Rc<Harness>,
    index: usize,
}

impl CallRecorder {
    /// Records a request that is about to be sent.
    pub fn begin(harness: &Rc<Harness>, call_spec: &CallSpec, request: &Request) -> Self {
        let call = Call {
            id: request.id.clone(),
            purpose: call_spec.purpose,
            machine: call_spec.machine,
            generation: harness.generation(call_spec.machine),
            request_line: format!("{} {}", call_spec.method, call_spec.target),
            service: harness.service_of(&call_spec.target),
            retry_safe: call_spec.method == "GET",
            max_attempts: MAX_ATTEMPTS,
            sent_s: harness.now_s(),
            ended_s: harness.now_s(),
            end: CallEnd::GaveUp,
        };
        let mut record = harness.record.borrow_mut();
        record.calls.push(call);
        CallRecorder { harness: harness.clone(), index: record.calls.len() - 1 }
    }

    /// Records how the request ended.
    pub fn finish(&self, end: CallEnd) {
        self.harness.record.borrow_mut().calls[self.index].end = end;
    }
}

impl Drop for CallRecorder {
    fn drop(&mut self) {
        let now_s = self.harness.now_s();
        self.harness.record.borrow_mut().calls[self.index].ended_s = now_s;
    }
}

/// Sends client requests through one machine until traffic ends.
pub async fn send_client_requests(harness: Rc<Harness>, machine: usize, per_second: f64) {
    while !harness.traffic_ended() {
        let mean = 1.0 / (per_second * harness.load_factor.get());
        let pause = harness.random(|random| random.random_range(0.2..1.8)) * mean;
        tokio::time::sleep(Duration::from_secs_f64(pause)).await;
        if harness.is_ready(machine) {
            spawn_local(send_client_request(harness.clone(), machine));
        }
    }
}

async fn send_client_request(harness: Rc<Harness>, machine: usize) {
    let drawn = harness.random(|random| {
        let traffic = harness.spec.traffic.choose_weighted(random, |traffic| traffic.share);
        traffic.ok().map(|traffic| traffic.call.clone())
    });
    let Some(call) = drawn else { return };
    let call_spec = CallSpec::for_call(machine, CallPurpose::Client, &call, CLIENT_TIMEOUT);
    if harness.random(|random| random.random_bool(ABANDON_PROBABILITY)) {
        let abandon_after = CLIENT_TIMEOUT.mul_f64(harness.random(|random| random.random_range(0.0..0.2)));
        // Dropping the future stands for a client that gives up; the request stays recorded as `GaveUp`.
        let _ = tokio::time::timeout(abandon_after, ConnectionPool::send(&harness, call_spec)).await;
        return;
    }
    if let CallEnd::NodeFailed { status: 503, .. } = ConnectionPool::send(&harness, call_spec.clone()).await {
        tokio::time::sleep(CLIENT_TIMEOUT / 8).await;
        ConnectionPool::send(&harness, call_spec).await;
    }
}

/// Probes one machine for the latest version of the configuration and for the one before.
pub async fn send_probes(harness: Rc<Harness>, machine: usize) {
    while !harness.traffic_ended() {
        tokio::time::sleep(PROBE_INTERVAL).await;
        let latest = harness.latest_version.get();
        if harness.is_ready(machine) && latest > 1 {
            ConnectionPool::send(&harness, CallSpec::probe(machine, latest)).await;
            ConnectionPool::send(&harness, CallSpec::probe(machine, latest - 1)).await;
        }
    }
}

/// Sends requests of the tenant with a quota, and requests with current, withdrawn and unknown keys.
pub async fn send_tenant_requests(harness: Rc<Harness>, machine: usize) {
    let rate_per_s = tenants::LIMITED_REQUESTS_PER_S / harness.machines.len() as f64;
    let mut next_key_requests_s = 0.0;
    while !harness.traffic_ended() {
        let pause = harness.random(|random| random.random_range(0.5..1.5)) / rate_per_s;
        tokio::time::sleep(Duration::from_secs_f64(pause)).await;
        // Sent even if the machine isn't ready: a request with a withdrawn key must not run anywhere.
        spawn_local(send_keyed_request(harness.clone(), machine, CallPurpose::Limited));
        if harness.now_s() < next_key_requests_s {
            continue;
        }
        next_key_requests_s = harness.now_s() + KEY_REQUEST_INTERVAL.as_secs_f64();
        let latest = harness.latest_version.get();
        for version in latest.saturating_sub(VERSIONS_TRIED - 1).max(1)..=latest {
            spawn_local(send_keyed_request(harness.clone(), machine, CallPurpose::Guest { version }));
        }
        spawn_local(send_keyed_request(harness.clone(), machine, CallPurpose::Stranger));
    }
}

async fn send_keyed_request(harness: Rc<Harness>, machine: usize, purpose: CallPurpose) {
    let target = Harness::version_path(harness.latest_version.get());
    let call_spec = CallSpec { machine, purpose, method: "GET".into(), target, timeout: PROBE_TIMEOUT };
    ConnectionPool::send(&harness, call_spec).await;
}
