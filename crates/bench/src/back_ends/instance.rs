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

use crate::back_ends::World;
use crate::history::Execution;
use crate::spec::{EndpointSpec, ServiceSpec};
use crate::wall_clock::unix_us;

/// Header with the client's unique text; back ends append `/N` for calls on behalf.
pub const TOKEN: &str = "x-bench-token";
/// Header with the time that back ends worked for a call, in microseconds.
pub const WORK_US: &str = "x-bench-work-us";
/// A new connection costs this much.
const CONNECT_COST: Duration = Duration::from_millis(1);
/// Requests that may wait in an instance, as a multiple of its slots.
const BACKLOG_PER_SLOT: u32 = 4;
/// A cold instance is slower by this factor...
const COLD_FACTOR: f64 = 4.0;
/// ...for this long.
const COLD_TIME: Duration = Duration::from_secs(2);

/// An instance and how it currently misbehaves.
pub struct Instance {
    pub name: String,
    pub service: String,
    slots: Semaphore,
    backlog: u32,
    waiting: AtomicU32,
    connections: AtomicUsize,
    max_connections: usize,
    pub leaving: AtomicBool,
    pub lying: AtomicBool,
    /// Slowness in thousandths.
    pub slow: AtomicU32,
    /// Probability, in thousandths, of breaking a connection instead of answering.
    pub breaking: AtomicU32,
    pub cold_since: Mutex<Option<Instant>>,
}

impl Instance {
    /// A healthy instance of `service`.
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
            lying: AtomicBool::new(false),
            slow: AtomicU32::new(1_000),
            breaking: AtomicU32::new(0),
            cold_since: Mutex::default(),
        }
    }

    fn slowness(&self) -> f64 {
        let cold = self.cold_since.lock().ok().and_then(|since| *since);
        let cold = cold.is_some_and(|since| since.elapsed() < COLD_TIME);
        f64::from(self.slow.load(Ordering::Relaxed)) / 1_000.0 * if cold { COLD_FACTOR } else { 1.0 }
    }
}

/// Serves an instance's port.
pub async fn serve(world: Arc<World>, instance: Arc<Instance>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        if instance.connections.load(Ordering::Relaxed) >= instance.max_connections {
            continue;
        }
        tokio::spawn(connection(world.clone(), instance.clone(), stream));
    }
}

async fn connection(world: Arc<World>, instance: Arc<Instance>, stream: TcpStream) {
    instance.connections.fetch_add(1, Ordering::Relaxed);
    let _ = stream.set_nodelay(true);
    tokio::time::sleep(CONNECT_COST).await;
    let service = service_fn(|request| handle(world.clone(), instance.clone(), request));
    let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
    instance.connections.fetch_sub(1, Ordering::Relaxed);
}

type Answer = Response<Full<Bytes>>;

/// An emulated crash of one exchange: hyper closes the connection without an answer.
#[derive(Debug)]
struct ConnectionBroken;

impl std::fmt::Display for ConnectionBroken {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("connection broken on purpose")
    }
}

impl std::error::Error for ConnectionBroken {}

async fn handle(
    world: Arc<World>,
    instance: Arc<Instance>,
    request: Request<Incoming>,
) -> Result<Answer, ConnectionBroken> {
    if request.uri().path() == "/health" {
        return Ok(health(&instance));
    }
    let call = format!("{} {}", request.method(), request.uri().path());
    let Some(endpoint) = world.spec.endpoint(&call).filter(|e| e.service == instance.service).cloned() else {
        return Ok(status(404));
    };
    if instance.leaving.load(Ordering::Relaxed) {
        return Ok(not_started(true));
    }
    let headers = request.headers().clone();
    drop(request);
    let started = Instant::now();
    let Some(_slot) = slot(&instance).await else {
        return Ok(not_started(false));
    };
    if deadline_passed(&headers, started) {
        return Ok(not_started(false));
    }
    execute(&world, &instance, &endpoint, &headers).await
}

fn health(instance: &Instance) -> Answer {
    let mut answer = status(200);
    let leaving = instance.leaving.load(Ordering::Relaxed) && !instance.lying.load(Ordering::Relaxed);
    answer
        .headers_mut()
        .insert(header::LEAVING, hyper::header::HeaderValue::from_static(if leaving { "true" } else { "false" }));
    answer
}

async fn slot(instance: &Instance) -> Option<tokio::sync::SemaphorePermit<'_>> {
    if let Ok(permit) = instance.slots.try_acquire() {
        return Some(permit);
    }
    if instance.waiting.fetch_add(1, Ordering::Relaxed) >= instance.backlog {
        instance.waiting.fetch_sub(1, Ordering::Relaxed);
        return None;
    }
    let waiting = Waiting(instance);
    let permit = instance.slots.acquire().await.ok();
    drop(waiting);
    permit
}

struct Waiting<'a>(&'a Instance);

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.waiting.fetch_sub(1, Ordering::Relaxed);
    }
}

fn deadline_passed(headers: &HeaderMap, started: Instant) -> bool {
    let deadline: Option<u64> = text(headers, header::DEADLINE_MS).and_then(|text| text.parse().ok());
    deadline.is_some_and(|deadline| started.elapsed() >= Duration::from_millis(deadline))
}

/// Text of a header.
pub fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

async fn execute(
    world: &Arc<World>,
    instance: &Arc<Instance>,
    endpoint: &EndpointSpec,
    headers: &HeaderMap,
) -> Result<Answer, ConnectionBroken> {
    let token = text(headers, TOKEN).unwrap_or_default().to_string();
    let record = Record::begin(world, instance, endpoint, headers, &token);
    let mut random = StdRng::seed_from_u64(world.seed ^ crc(&token));
    let factor = random.random_range(0.5..1.5) * instance.slowness();
    let began = Instant::now();
    tokio::time::sleep(Duration::from_secs_f64(endpoint.service_ms as f64 * factor / 1_000.0)).await;
    let mut work_us = began.elapsed().as_micros() as u64;
    let mut own_us = 0;
    for (index, call) in endpoint.calls.iter().enumerate() {
        let token = format!("{token}/{index}");
        match world.downstream.call(world, headers, call, &token).await {
            Some(done) => {
                work_us += done.work_us;
                own_us += done.own_us;
            }
            None => return Ok(status(503)),
        }
    }
    if random.random_range(0..1_000) < instance.breaking.load(Ordering::Relaxed) {
        return Err(ConnectionBroken);
    }
    record.complete();
    Ok(whole_answer(&token, endpoint, work_us, own_us))
}

fn crc(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3))
}

/// The content of a whole answer: the token, then filling up to the endpoint's size.
pub fn expected_body(token: &str, size: usize) -> Vec<u8> {
    let mut body = format!("{token}\n").into_bytes();
    let length = size.max(body.len());
    body.resize(length, b'.');
    body
}

fn whole_answer(token: &str, endpoint: &EndpointSpec, work_us: u64, own_us: u64) -> Answer {
    let mut answer = Response::new(Full::from(expected_body(token, endpoint.body_bytes)));
    let headers = answer.headers_mut();
    headers.insert(WORK_US, work_us.into());
    headers.insert(header::OWN_PROCESSING_US, own_us.into());
    answer
}

fn status(code: u16) -> Answer {
    let mut answer = Response::new(Full::default());
    *answer.status_mut() = hyper::StatusCode::from_u16(code).unwrap_or_default();
    answer
}

fn not_started(leaving: bool) -> Answer {
    let mut answer = status(503);
    let yes = hyper::header::HeaderValue::from_static("true");
    answer.headers_mut().insert(header::NOT_STARTED, yes.clone());
    if leaving {
        answer.headers_mut().insert(header::LEAVING, yes);
    }
    answer
}

/// The record of one execution; left uncompleted when the execution is cancelled.
struct Record {
    world: Arc<World>,
    index: usize,
}

impl Record {
    fn begin(
        world: &Arc<World>,
        instance: &Instance,
        endpoint: &EndpointSpec,
        headers: &HeaderMap,
        token: &str,
    ) -> Self {
        let execution = Execution {
            token: token.to_string(),
            request: text(headers, header::REQUEST_ID).unwrap_or_default().to_string(),
            call: endpoint.call.clone(),
            instance: instance.name.clone(),
            key: text(headers, header::IDEMPOTENCY_KEY).map(str::to_string),
            attempt: text(headers, header::ATTEMPT).and_then(|text| text.parse().ok()).unwrap_or(0),
            start_us: unix_us(),
            end_us: 0,
            completed: false,
        };
        let mut executions = world.executions.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        executions.push(execution);
        Record { world: world.clone(), index: executions.len() - 1 }
    }

    fn complete(&self) {
        self.update(|execution| execution.completed = true);
    }

    fn update(&self, change: impl FnOnce(&mut Execution)) {
        let mut executions = self.world.executions.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        if let Some(execution) = executions.get_mut(self.index) {
            change(execution);
        }
    }
}

impl Drop for Record {
    fn drop(&mut self) {
        self.update(|execution| execution.end_us = unix_us());
    }
}
