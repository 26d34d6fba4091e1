//! An emulated instance of a service: slots, a short queue, calls to other services, and the faults it can
//! have.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::{BufMut, Bytes, BytesMut};
use futures::StreamExt;
use olivegate_http1::{BodyLength, Fields, Frame, RequestDecoder, RequestHead, ResponseHead};
use olivegate_platform::WIRE_NAMES;
use olivegate_sidecar::model::Incarnation;
use rand::RngExt;
use rand::seq::IndexedRandom;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, Semaphore, SemaphorePermit};
use tokio::task::{JoinSet, spawn_local};
use tokio::time::Instant;
use tokio_util::codec::FramedRead;

use super::body_sizes;
use super::exchange::{is_deadly_target, request_body, response_body, signature};
use super::fault_injection;
use super::fault_kind::InstanceFault;
use super::harness::Harness;
use super::record::{Arrival, CallEnd, CallPurpose, DeclaredRate, Run, SelfReport};
use super::traffic::{CallSpec, ConnectionPool};
use crate::spec::EndpointSpec;

/// Path of the health check. The response names the instance, whichever instance the request expects.
pub const HEALTH_PATH: &str = "/healthz";
/// Maximum sizes of a request's head and body in bytes.
const MAX_HEAD_AND_BODY_BYTES: (usize, u64) = (64 << 10, 4 << 20);
/// Requests that may wait in an instance, per slot.
const QUEUE_PER_SLOT: u32 = 1;
/// Probability that a fault affects an exchange.
const FAULT_PROBABILITY: f64 = 0.3;
/// Statuses with which an instance refuses a request without running it.
const REFUSALS: [u16; 3] = [503, 429, 400];
/// Statuses by which a client is told that its request has not run; an instance that has run it says so wrongly.
const WRONG_PROMISES: [u16; 3] = [503, 429, 408];
/// A slow instance takes this many times as long for its work.
const SLOW_FACTOR: u32 = 6;
/// Idle time after which an instance with `ForgetsConnections` resets a connection at its next request.
const FORGET_IDLE_AFTER: Duration = Duration::from_millis(300);
/// Range of delays after which a deadly request crashes its instance, in seconds.
const CRASH_DELAY_S: std::ops::Range<f64> = 0.0..0.15;
/// Part of the request's remaining time that calls to other services leave for the response.
const RESPONSE_RESERVE: Duration = Duration::from_millis(20);

/// One incarnation of an instance.
pub struct Instance {
    /// Name of the instance.
    pub name: String,
    /// Its incarnation, from its start time.
    pub incarnation: Incarnation,
    /// Machine that it runs on.
    pub machine: usize,
    /// Its service.
    pub service: String,
    slots: Semaphore,
    queued: Cell<u32>,
    max_queued: u32,
    is_draining: Cell<bool>,
    announces_leaving: Cell<bool>,
    declared_rate: Cell<Option<f64>>,
    termination: Notify,
}

impl Instance {
    /// An instance with `slots` slots and this incarnation.
    pub fn new(name: String, incarnation: Incarnation, machine: usize, service: String, slots: u32) -> Self {
        Instance {
            name,
            incarnation,
            machine,
            service,
            slots: Semaphore::new(slots as usize),
            queued: Cell::new(0),
            max_queued: slots * QUEUE_PER_SLOT,
            is_draining: Cell::new(false),
            announces_leaving: Cell::new(false),
            declared_rate: Cell::new(None),
            termination: Notify::new(),
        }
    }

    /// Name of this incarnation, which is never reused.
    pub fn incarnation_name(&self) -> String {
        format!("{}@{}", self.name, self.incarnation.0)
    }

    /// Makes the instance drain: it fails its health check and closes connections after each response from
    /// now on.
    pub fn start_draining(&self) {
        self.is_draining.set(true);
    }

    /// Makes the instance announce in a response header that it leaves; it accepts requests as before.
    pub fn announce_leaving(&self) {
        self.announces_leaving.set(true);
    }

    /// Sets the rate that the instance declares in its responses from now on, or none.
    pub fn declare_rate(&self, harness: &Harness, rate: Option<f64>) {
        self.declared_rate.set(rate);
        let declared = DeclaredRate { instance: self.incarnation_name(), rate, at_s: harness.now_s() };
        harness.record.borrow_mut().declared_rates.push(declared);
    }

    /// Records what the response to `request` reports about the instance.
    fn record_self_report(&self, harness: &Harness, request: &str) {
        let (rate, is_leaving) = (self.declared_rate.get(), self.announces_leaving.get());
        if rate.is_some() || is_leaving {
            let self_report =
                SelfReport { request: request.to_string(), instance: self.incarnation_name(), rate, is_leaving };
            harness.record.borrow_mut().self_reports.push(self_report);
        }
    }

    /// Ends the instance at once, with all its connections.
    pub fn terminate(&self) {
        self.termination.notify_one();
    }

    /// Serves `address` until the instance is terminated.
    pub async fn serve(self: Rc<Self>, harness: Rc<Harness>, address: SocketAddr) -> std::io::Result<()> {
        let listener = TcpListener::bind(address).await?;
        spawn_local(async move {
            let mut connections = JoinSet::new();
            loop {
                tokio::select! {
                    () = self.termination.notified() => return,
                    accepted = listener.accept() => if let Ok((stream, _)) = accepted {
                        connections.spawn_local(connection(self.clone(), harness.clone(), stream));
                    },
                    Some(_) = connections.join_next() => {}
                }
            }
        });
        Ok(())
    }

    fn is_full(&self) -> bool {
        self.slots.available_permits() == 0 && self.queued.get() >= self.max_queued
    }

    async fn acquire_slot(&self) -> Option<SemaphorePermit<'_>> {
        self.queued.set(self.queued.get() + 1);
        let permit = self.slots.acquire().await.ok();
        self.queued.set(self.queued.get() - 1);
        permit
    }
}

type Requests = FramedRead<OwnedReadHalf, RequestDecoder>;

async fn connection(instance: Rc<Instance>, harness: Rc<Harness>, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let (reading, mut responses) = stream.into_split();
    let mut requests =
        FramedRead::new(reading, RequestDecoder::new(MAX_HEAD_AND_BODY_BYTES.0, MAX_HEAD_AND_BODY_BYTES.1));
    let mut idle_since = Instant::now();
    while let Some((head, body)) = next_request(&mut requests).await {
        let drops_idle =
            harness.instance_faults.of_instance(instance.machine) == Some(InstanceFault::ForgetsConnections);
        if drops_idle && idle_since.elapsed() > FORGET_IDLE_AFTER {
            return reset(requests, responses);
        }
        let is_reusable = tokio::select! {
            is_reusable = serve(&instance, &harness, &head, &body, &mut responses) => is_reusable,
            // The caller closed the connection: the request is dropped.
            _ = requests.next() => false,
        };
        if !is_reusable {
            return;
        }
        idle_since = Instant::now();
    }
}

fn reset(requests: Requests, responses: OwnedWriteHalf) {
    if let Ok(stream) = requests.into_inner().reunite(responses) {
        let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
    }
}

async fn next_request(requests: &mut Requests) -> Option<(RequestHead, Bytes)> {
    let mut head = None;
    let mut body = BytesMut::new();
    loop {
        match requests.next().await?.ok()? {
            Frame::Head(read, _) => head = Some(read),
            Frame::Data(data) => body.put_slice(&data),
            Frame::End => return head.map(|head| (head, body.freeze())),
        }
    }
}

/// Serves one request; returns false if the connection is to be closed.
async fn serve(
    instance: &Rc<Instance>,
    harness: &Rc<Harness>,
    head: &RequestHead,
    body: &Bytes,
    responses: &mut OwnedWriteHalf,
) -> bool {
    let id = head.fields.text(WIRE_NAMES.request_id).unwrap_or_default().to_string();
    let expected = head.fields.text(WIRE_NAMES.expected_instance);
    let is_addressee = expected.is_none_or(|expected| expected == instance.name);
    if !is_addressee && head.path() != HEALTH_PATH {
        return write(responses, rejection(instance, 421, &id), Bytes::new()).await;
    }
    if head.path() != HEALTH_PATH {
        let arrival =
            Arrival { request: id.clone(), instance: instance.incarnation_name(), at_s: harness.now_s() };
        harness.record.borrow_mut().arrivals.push(arrival);
    }
    let fault = harness.instance_faults.of_instance(instance.machine);
    if instance.is_full() || fault == Some(InstanceFault::Hanging) {
        std::future::pending::<()>().await;
    }
    let time_left_ms: u64 =
        head.fields.text(WIRE_NAMES.time_left_ms).and_then(|text| text.parse().ok()).unwrap_or(1_000);
    let deadline = Instant::now() + Duration::from_millis(time_left_ms);
    let Some(_slot) = instance.acquire_slot().await else { return false };
    if Instant::now() >= deadline {
        return write(responses, rejection(instance, 503, &id), Bytes::new()).await;
    }
    if head.path() == HEALTH_PATH {
        let status = if instance.is_draining.get() { 503 } else { 200 };
        return write(responses, response_head(instance, status, &id), Bytes::new()).await;
    }
    if fault == Some(InstanceFault::Refusing) && harness.random(|random| random.random_bool(FAULT_PROBABILITY)) {
        let status = harness.random(|random| REFUSALS.choose(random).copied());
        return write(responses, rejection(instance, status.unwrap_or(503), &id), Bytes::new()).await;
    }
    record_run(instance, harness, head, body, &id);
    if is_deadly_target(&String::from_utf8_lossy(&head.target)) {
        return crash(instance, harness).await;
    }
    let status = work(instance, harness, head, deadline).await;
    let is_affected = harness.random(|random| random.random_bool(FAULT_PROBABILITY));
    let fault = fault.filter(|_| is_affected);
    if fault == Some(InstanceFault::AnswersLost) {
        return false;
    }
    let status = match fault {
        Some(InstanceFault::Failing) => 500,
        Some(InstanceFault::PromisesWrongly) => {
            harness.random(|random| WRONG_PROMISES.choose(random).copied()).unwrap_or(status)
        }
        _ => status,
    };
    if fault == Some(InstanceFault::SurplusAnswers) {
        let (head, body) = response(instance, harness, head, "surplus", 200);
        write(responses, head, body).await;
    }
    instance.record_self_report(harness, &id);
    let (mut head, body) = response(instance, harness, head, &id, status);
    if fault == Some(InstanceFault::LeavesUnsigned) {
        head.fields.remove(WIRE_NAMES.signature);
    }
    if fault == Some(InstanceFault::BreaksOff) {
        return write_partial(responses, head, body).await;
    }
    write(responses, head, body).await && !instance.is_draining.get()
}

/// Crashes the instance after a short delay, even if the caller no longer waits.
async fn crash(instance: &Rc<Instance>, harness: &Rc<Harness>) -> bool {
    let delay_s = harness.random(|random| random.random_range(CRASH_DELAY_S));
    let (instance, harness) = (instance.clone(), harness.clone());
    spawn_local(async move {
        tokio::time::sleep(Duration::from_secs_f64(delay_s)).await;
        fault_injection::crash_instance(&harness, &instance).await;
    });
    std::future::pending().await
}

fn record_run(instance: &Instance, harness: &Harness, head: &RequestHead, body: &Bytes, id: &str) {
    let method = String::from_utf8_lossy(&head.method).into_owned();
    let target = String::from_utf8_lossy(&head.target);
    let run = Run {
        id: id.to_string(),
        machine: instance.machine,
        instance: instance.incarnation_name(),
        service: instance.service.clone(),
        caller: head.fields.text(WIRE_NAMES.caller_service).unwrap_or_default().to_string(),
        request_line: format!("{method} {target}"),
        tenant: head.fields.text(WIRE_NAMES.tenant).unwrap_or_default().to_string(),
        carries_credential: head.fields.get(WIRE_NAMES.credential).is_some(),
        body_matches: *body == request_body(&method, &target, id),
        at_s: harness.now_s(),
    };
    harness.record.borrow_mut().runs.push(run);
}

fn endpoint_of<'a>(harness: &'a Harness, head: &RequestHead) -> Option<&'a EndpointSpec> {
    let method = String::from_utf8_lossy(&head.method);
    let matches =
        |endpoint: &&EndpointSpec| endpoint.method() == method && head.path().starts_with(endpoint.path());
    harness.spec.endpoints.iter().find(matches)
}

/// Does the work and makes the calls to other services; returns the status of the response.
async fn work(instance: &Instance, harness: &Rc<Harness>, head: &RequestHead, deadline: Instant) -> u16 {
    let Some(endpoint) = endpoint_of(harness, head) else { return 200 };
    let is_slow = harness.instance_faults.of_instance(instance.machine) == Some(InstanceFault::Slow);
    let factor = if is_slow { SLOW_FACTOR } else { 1 };
    let mean = Duration::from_millis(endpoint.service_ms) * factor;
    let work = mean.mul_f64(harness.random(|random| random.random_range(0.5..1.5)));
    if tokio::time::timeout_at(deadline, tokio::time::sleep(work)).await.is_err() {
        return 504;
    }
    for call in &endpoint.calls {
        let timeout = deadline.saturating_duration_since(Instant::now()).saturating_sub(RESPONSE_RESERVE);
        if timeout.is_zero() {
            return 504;
        }
        let call_spec = CallSpec::for_call(instance.machine, CallPurpose::OnBehalf, call, timeout);
        if ConnectionPool::send(harness, call_spec).await != CallEnd::Answered {
            return 500;
        }
    }
    200
}

fn response_head(instance: &Instance, status: u16, id: &str) -> ResponseHead {
    let mut fields = Fields::default();
    fields.add(WIRE_NAMES.request_id, id.to_string());
    fields.add(WIRE_NAMES.instance, instance.name.clone());
    if instance.is_draining.get() {
        fields.add("Connection", "close");
    }
    if let Some(rate) = instance.declared_rate.get() {
        fields.add(WIRE_NAMES.declared_rate, rate.to_string());
    }
    if instance.announces_leaving.get() {
        fields.add(WIRE_NAMES.leaving, "1");
    }
    ResponseHead { status, minor_version: 1, fields }
}

fn rejection(instance: &Instance, status: u16, id: &str) -> ResponseHead {
    let mut head = response_head(instance, status, id);
    head.fields.add(WIRE_NAMES.not_run, "1");
    head
}

fn response(
    instance: &Instance,
    harness: &Harness,
    request: &RequestHead,
    id: &str,
    status: u16,
) -> (ResponseHead, Bytes) {
    let named = body_sizes::response_bytes(&String::from_utf8_lossy(&request.target));
    let bytes = named.or(endpoint_of(harness, request).map(|endpoint| endpoint.body_bytes)).unwrap_or(0);
    let body = if status == 200 { response_body(id, bytes) } else { Bytes::from_static(b"failed") };
    let mut head = response_head(instance, status, id);
    head.fields.add(WIRE_NAMES.signature, signature(id, status, body.len()));
    (head, body)
}

async fn write(responses: &mut OwnedWriteHalf, head: ResponseHead, body: Bytes) -> bool {
    let mut buffer = BytesMut::new();
    head.write(BodyLength::Known(body.len() as u64), true, &mut buffer);
    buffer.put_slice(&body);
    responses.write_all(&buffer).await.is_ok()
}

/// Writes half of a response and lets the connection close.
async fn write_partial(responses: &mut OwnedWriteHalf, head: ResponseHead, body: Bytes) -> bool {
    let mut buffer = BytesMut::new();
    head.write(BodyLength::Known(body.len() as u64), true, &mut buffer);
    buffer.put_slice(&body[..body.len() / 2]);
    let _ = responses.write_all(&buffer).await;
    false
}

/// Faults of instances in effect, by machine.
#[derive(Debug, Default)]
pub struct InstanceFaults {
    faults: RefCell<std::collections::HashMap<usize, InstanceFault>>,
}

impl InstanceFaults {
    /// The fault of a machine's instance.
    pub fn of_instance(&self, machine: usize) -> Option<InstanceFault> {
        self.faults.borrow().get(&machine).copied()
    }

    /// Starts a fault, or ends it with `None`.
    pub fn set_fault(&self, machine: usize, fault: Option<InstanceFault>) {
        match fault {
            Some(fault) => self.faults.borrow_mut().insert(machine, fault),
            None => self.faults.borrow_mut().remove(&machine),
        };
    }
}
