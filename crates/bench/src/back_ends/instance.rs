//! One emulated instance.

use std::sync::atomic::{AtomicBool, AtomicU32, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{HeaderMap, Request, Response};
use hyper_util::rt::TokioIo;
use olivegate_types::header;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;

use crate::back_ends::Emulator;
use crate::history::Execution;
use crate::spec::{EndpointSpec, ServiceSpec};
use crate::wall_clock::unix_us;

/// Header with the unique token of a call; back ends append `/N` for their downstream calls.
pub const TOKEN: &str = "x-bench-token";
/// Response header with the time that back ends spent processing a call, in microseconds.
pub const WORK_US: &str = "x-bench-work-us";
/// Time that accepting a new connection takes.
const CONNECT_COST: Duration = Duration::from_millis(1);
/// Longest queue of an instance, as a multiple of its slots; further requests are shed.
const BACKLOG_PER_SLOT: u32 = 4;
/// Factor on the service times of an instance after a cold start.
const COLD_FACTOR: f64 = 4.0;
/// Time that a cold start affects service times.
const COLD_TIME: Duration = Duration::from_secs(2);

/// An emulated instance and the faults currently injected into it.
pub struct Instance {
    pub name: String,
    pub service: String,
    slots: Semaphore,
    backlog: u32,
    waiting: AtomicU32,
    connections: AtomicUsize,
    max_connections: usize,
    pub leaving: AtomicBool,
    /// The health check does not report that the instance is leaving.
    pub hides_leaving: AtomicBool,
    /// Factor on the service times, in thousandths.
    pub slowdown_per_mille: AtomicU32,
    /// Probability, in thousandths, that a connection is closed instead of a response being sent.
    pub break_per_mille: AtomicU32,
    pub cold_since: Mutex<Option<Instant>>,
}

impl Instance {
    /// Creates a healthy instance of `service`.
    pub fn new(name: String, service: &ServiceSpec) -> Self {
        Instance {
            name,
            service: service.name.clone(),
            slots: Semaphore::new(service.slots as usize),
            backlog: service.slots * BACKLOG_PER_SLOT,
            waiting: AtomicU32::new(0),
            connections: AtomicUsize::new(0),
            max_connections: service.connections,
            leaving: AtomicBool::new(false),
            hides_leaving: AtomicBool::new(false),
            slowdown_per_mille: AtomicU32::new(1_000),
            break_per_mille: AtomicU32::new(0),
            cold_since: Mutex::default(),
        }
    }

    fn service_time_factor(&self) -> f64 {
        let warming_up = self.cold_since.lock().ok().and_then(|since| *since);
        let warming_up = warming_up.is_some_and(|since| since.elapsed() < COLD_TIME);
        f64::from(self.slowdown_per_mille.load(Ordering::Relaxed)) / 1_000.0
            * if warming_up { COLD_FACTOR } else { 1.0 }
    }
}

/// Serves an instance's port.
pub async fn serve(emulator: Arc<Emulator>, instance: Arc<Instance>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        if instance.connections.load(Ordering::Relaxed) >= instance.max_connections {
            continue;
        }
        tokio::spawn(serve_connection(emulator.clone(), instance.clone(), stream));
    }
}

async fn serve_connection(emulator: Arc<Emulator>, instance: Arc<Instance>, stream: TcpStream) {
    instance.connections.fetch_add(1, Ordering::Relaxed);
    let _ = stream.set_nodelay(true);
    tokio::time::sleep(CONNECT_COST).await;
    let service = service_fn(|request| handle(emulator.clone(), instance.clone(), request));
    let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
    instance.connections.fetch_sub(1, Ordering::Relaxed);
}

type InstanceResponse = Response<Full<Bytes>>;

/// Error that makes hyper close the connection without a response; emulates a crash during one
/// exchange.
#[derive(Debug)]
struct InjectedDisconnect;

impl std::fmt::Display for InjectedDisconnect {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("injected fault: connection closed without a response")
    }
}

impl std::error::Error for InjectedDisconnect {}

async fn handle(
    emulator: Arc<Emulator>,
    instance: Arc<Instance>,
    request: Request<Incoming>,
) -> Result<InstanceResponse, InjectedDisconnect> {
    if request.uri().path() == "/health" {
        return Ok(health(&instance));
    }
    let call = format!("{} {}", request.method(), request.uri().path());
    let Some(endpoint) = emulator.spec.endpoint(&call).filter(|e| e.service == instance.service).cloned() else {
        return Ok(empty_response(404));
    };
    if instance.leaving.load(Ordering::Relaxed) {
        return Ok(not_started(true));
    }
    let headers = request.headers().clone();
    drop(request);
    let received_at = Instant::now();
    let Some(_slot) = acquire_slot(&instance).await else {
        return Ok(not_started(false));
    };
    if deadline_passed(&headers, received_at) {
        return Ok(not_started(false));
    }
    execute(&emulator, &instance, &endpoint, &headers).await
}

fn health(instance: &Instance) -> InstanceResponse {
    let mut response = empty_response(200);
    let leaving = instance.leaving.load(Ordering::Relaxed) && !instance.hides_leaving.load(Ordering::Relaxed);
    response
        .headers_mut()
        .insert(header::LEAVING, hyper::header::HeaderValue::from_static(if leaving { "true" } else { "false" }));
    response
}

async fn acquire_slot(instance: &Instance) -> Option<tokio::sync::SemaphorePermit<'_>> {
    if let Ok(permit) = instance.slots.try_acquire() {
        return Some(permit);
    }
    if instance.waiting.fetch_add(1, Ordering::Relaxed) >= instance.backlog {
        instance.waiting.fetch_sub(1, Ordering::Relaxed);
        return None;
    }
    let waiting = WaitingGuard(instance);
    let permit = instance.slots.acquire().await.ok();
    drop(waiting);
    permit
}

struct WaitingGuard<'a>(&'a Instance);

impl Drop for WaitingGuard<'_> {
    fn drop(&mut self) {
        self.0.waiting.fetch_sub(1, Ordering::Relaxed);
    }
}

fn deadline_passed(headers: &HeaderMap, received_at: Instant) -> bool {
    let deadline: Option<u64> = header_text(headers, header::DEADLINE_MS).and_then(|value| value.parse().ok());
    deadline.is_some_and(|deadline| received_at.elapsed() >= Duration::from_millis(deadline))
}

/// Value of a header, if it is present and is valid text.
pub fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

async fn execute(
    emulator: &Arc<Emulator>,
    instance: &Arc<Instance>,
    endpoint: &EndpointSpec,
    headers: &HeaderMap,
) -> Result<InstanceResponse, InjectedDisconnect> {
    let token = header_text(headers, TOKEN).unwrap_or_default().to_string();
    let guard = ExecutionGuard::begin(emulator, instance, endpoint, headers, &token);
    let mut random = StdRng::seed_from_u64(emulator.seed ^ fnv1a(&token));
    let factor = random.random_range(0.5..1.5) * instance.service_time_factor();
    let work_start = Instant::now();
    tokio::time::sleep(Duration::from_secs_f64(endpoint.service_ms as f64 * factor / 1_000.0)).await;
    let mut work_us = work_start.elapsed().as_micros() as u64;
    let mut own_us = 0;
    for (index, call) in endpoint.calls.iter().enumerate() {
        let token = format!("{token}/{index}");
        match emulator.downstream.call(emulator, headers, call, &token).await {
            Some(result) => {
                work_us += result.work_us;
                own_us += result.own_us;
            }
            None => return Ok(empty_response(503)),
        }
    }
    if random.random_range(0..1_000) < instance.break_per_mille.load(Ordering::Relaxed) {
        return Err(InjectedDisconnect);
    }
    guard.complete();
    Ok(complete_response(&token, endpoint, work_us, own_us))
}

fn fnv1a(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3))
}

/// Body of a complete response: the token and a line feed, padded to the endpoint's size.
pub fn expected_body(token: &str, size: usize) -> Vec<u8> {
    let mut body = format!("{token}\n").into_bytes();
    let length = size.max(body.len());
    body.resize(length, b'.');
    body
}

fn complete_response(token: &str, endpoint: &EndpointSpec, work_us: u64, own_us: u64) -> InstanceResponse {
    let mut response = Response::new(Full::from(expected_body(token, endpoint.body_bytes)));
    let headers = response.headers_mut();
    headers.insert(WORK_US, work_us.into());
    headers.insert(header::OWN_PROCESSING_US, own_us.into());
    response
}

fn empty_response(code: u16) -> InstanceResponse {
    let mut response = Response::new(Full::default());
    *response.status_mut() = hyper::StatusCode::from_u16(code).unwrap_or_default();
    response
}

fn not_started(leaving: bool) -> InstanceResponse {
    let mut response = empty_response(503);
    let true_value = hyper::header::HeaderValue::from_static("true");
    response.headers_mut().insert(header::NOT_STARTED, true_value.clone());
    if leaving {
        response.headers_mut().insert(header::LEAVING, true_value);
    }
    response
}

/// Records one execution. Dropping the guard sets the end time; a cancelled execution is
/// therefore recorded with its end, but not as completed.
struct ExecutionGuard {
    emulator: Arc<Emulator>,
    index: usize,
}

impl ExecutionGuard {
    fn begin(
        emulator: &Arc<Emulator>,
        instance: &Instance,
        endpoint: &EndpointSpec,
        headers: &HeaderMap,
        token: &str,
    ) -> Self {
        let execution = Execution {
            token: token.to_string(),
            request: header_text(headers, header::REQUEST_ID).unwrap_or_default().to_string(),
            call: endpoint.call.clone(),
            instance: instance.name.clone(),
            key: header_text(headers, header::IDEMPOTENCY_KEY).map(str::to_string),
            attempt: header_text(headers, header::ATTEMPT).and_then(|value| value.parse().ok()).unwrap_or(0),
            start_us: unix_us(),
            end_us: 0,
            completed: false,
        };
        let mut executions = emulator.executions.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        executions.push(execution);
        ExecutionGuard { emulator: emulator.clone(), index: executions.len() - 1 }
    }

    fn complete(&self) {
        self.update(|execution| execution.completed = true);
    }

    fn update(&self, change: impl FnOnce(&mut Execution)) {
        let mut executions = self.emulator.executions.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        if let Some(execution) = executions.get_mut(self.index) {
            change(execution);
        }
    }
}

impl Drop for ExecutionGuard {
    fn drop(&mut self) {
        self.update(|execution| execution.end_us = unix_us());
    }
}
