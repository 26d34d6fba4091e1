//! An emulated instance of a service: slots, a short queue, calls of its own, and the ways in
//! which it may misbehave.

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
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, Semaphore, SemaphorePermit};
use tokio::task::{JoinSet, spawn_local};
use tokio::time::Instant;
use tokio_util::codec::FramedRead;

use super::exchange::{answer_body, is_deadly, request_body, signature};
use super::fault_injection;
use super::harness::World;
use super::plan::InstanceFault;
use super::record::{Arrival, CallEnd, CallPurpose, NamedRate, Notice, Run};
use super::traffic::{Order, Senders};
use crate::spec::EndpointSpec;

/// Path by which an instance is asked whether it is healthy; it tells its name, whoever is meant.
pub const HEALTH_PATH: &str = "/healthz";
/// Longest head and body of a request in bytes.
const MAX_REQUEST: (usize, u64) = (64 << 10, 1 << 20);
/// Requests that wait in an instance, over its slots.
const QUEUE_PER_SLOT: u32 = 1;
/// Part of the exchanges that a fault spoils.
const FAULTY_PART: f64 = 0.3;
/// Work takes this many times as long in a slow instance.
const SLOW_FACTOR: u32 = 6;
/// An instance that forgets connections does so after this rest.
const FORGETS_AFTER: Duration = Duration::from_millis(300);
/// Time after which a deadly request ends its instance, in seconds.
const DEADLY_AFTER: std::ops::Range<f64> = 0.0..0.15;
/// Part of its time that a run keeps for its answer.
const ANSWER_RESERVE: Duration = Duration::from_millis(20);

/// One life of an instance.
pub struct Instance {
    /// Its id.
    pub name: String,
    /// Its start.
    pub incarnation: Incarnation,
    /// Its machine.
    pub machine: usize,
    /// Its service.
    pub service: String,
    slots: Semaphore,
    queued: Cell<u32>,
    most_queued: u32,
    is_leaving: Cell<bool>,
    says_leaving: Cell<bool>,
    named_rate: Cell<Option<f64>>,
    ended: Notify,
}

impl Instance {
    /// An instance with `slots` slots, started at `incarnation`.
    pub fn new(name: String, incarnation: Incarnation, machine: usize, service: String, slots: u32) -> Self {
        Instance {
            name,
            incarnation,
            machine,
            service,
            slots: Semaphore::new(slots as usize),
            queued: Cell::new(0),
            most_queued: slots * QUEUE_PER_SLOT,
            is_leaving: Cell::new(false),
            says_leaving: Cell::new(false),
            named_rate: Cell::new(None),
            ended: Notify::new(),
        }
    }

    /// Name of this start of it, which never comes again.
    pub fn start_name(&self) -> String {
        format!("{}@{}", self.name, self.incarnation.0)
    }

    /// It says so in its answers from now on.
    pub fn leave(&self) {
        self.is_leaving.set(true);
    }

    /// It says by a field of its answers that it leaves from now on, and takes requests as before.
    pub fn say_leaving(&self) {
        self.says_leaving.set(true);
    }

    /// It names this rate in its answers from now on, or none.
    pub fn name_rate(&self, world: &World, rate: Option<f64>) {
        self.named_rate.set(rate);
        let named = NamedRate { instance: self.start_name(), rate, at_s: world.now_s() };
        world.record.borrow_mut().rates.push(named);
    }

    /// Notes what an answer to `request` says of it.
    fn note_notice(&self, world: &World, request: &str) {
        let (rate, is_leaving) = (self.named_rate.get(), self.says_leaving.get());
        if rate.is_some() || is_leaving {
            let notice = Notice { request: request.to_string(), instance: self.start_name(), rate, is_leaving };
            world.record.borrow_mut().notices.push(notice);
        }
    }

    /// Ends it at once, with all its connections.
    pub fn end(&self) {
        self.ended.notify_one();
    }

    /// Serves `address` until it is ended.
    pub async fn serve(self: Rc<Self>, world: Rc<World>, address: SocketAddr) -> std::io::Result<()> {
        let listener = TcpListener::bind(address).await?;
        spawn_local(async move {
            let mut connections = JoinSet::new();
            loop {
                tokio::select! {
                    () = self.ended.notified() => return,
                    accepted = listener.accept() => if let Ok((stream, _)) = accepted {
                        connections.spawn_local(connection(self.clone(), world.clone(), stream));
                    },
                    Some(_) = connections.join_next() => {}
                }
            }
        });
        Ok(())
    }

    fn rejects(&self) -> bool {
        self.slots.available_permits() == 0 && self.queued.get() >= self.most_queued
    }

    async fn slot(&self) -> Option<SemaphorePermit<'_>> {
        self.queued.set(self.queued.get() + 1);
        let permit = self.slots.acquire().await.ok();
        self.queued.set(self.queued.get() - 1);
        permit
    }
}

type Requests = FramedRead<OwnedReadHalf, RequestDecoder>;

async fn connection(instance: Rc<Instance>, world: Rc<World>, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let (reading, mut answers) = stream.into_split();
    let mut requests = FramedRead::new(reading, RequestDecoder::new(MAX_REQUEST.0, MAX_REQUEST.1));
    let mut rested_since = Instant::now();
    while let Some((head, body)) = next_request(&mut requests).await {
        let forgets = world.faults.of_instance(instance.machine) == Some(InstanceFault::ForgetsConnections);
        if forgets && rested_since.elapsed() > FORGETS_AFTER {
            return reset(requests, answers);
        }
        let keeps = tokio::select! {
            keeps = serve(&instance, &world, &head, &body, &mut answers) => keeps,
            // The caller left: the request is dropped.
            _ = requests.next() => false,
        };
        if !keeps {
            return;
        }
        rested_since = Instant::now();
    }
}

fn reset(requests: Requests, answers: OwnedWriteHalf) {
    if let Ok(stream) = requests.into_inner().reunite(answers) {
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

/// Serves one request; false when the connection is to be closed.
async fn serve(
    instance: &Rc<Instance>,
    world: &Rc<World>,
    head: &RequestHead,
    body: &Bytes,
    answers: &mut OwnedWriteHalf,
) -> bool {
    let id = head.fields.text(WIRE_NAMES.request_id).unwrap_or_default().to_string();
    let expected = head.fields.text(WIRE_NAMES.expected_instance);
    let is_meant = expected.is_none_or(|expected| expected == instance.name);
    if !is_meant && head.path() != HEALTH_PATH {
        return write(answers, rejection(instance, 421, &id), Bytes::new()).await;
    }
    if head.path() != HEALTH_PATH {
        let arrival = Arrival { request: id.clone(), instance: instance.start_name(), at_s: world.now_s() };
        world.record.borrow_mut().arrivals.push(arrival);
    }
    let fault = world.faults.of_instance(instance.machine);
    if instance.rejects() || fault == Some(InstanceFault::Hanging) {
        std::future::pending::<()>().await;
    }
    let millis: u64 =
        head.fields.text(WIRE_NAMES.time_left_ms).and_then(|text| text.parse().ok()).unwrap_or(1_000);
    let deadline = Instant::now() + Duration::from_millis(millis);
    let Some(_slot) = instance.slot().await else { return false };
    if Instant::now() >= deadline {
        return write(answers, rejection(instance, 503, &id), Bytes::new()).await;
    }
    if head.path() == HEALTH_PATH {
        let status = if instance.is_leaving.get() { 503 } else { 200 };
        return write(answers, own_head(instance, status, &id), Bytes::new()).await;
    }
    note_run(instance, world, head, body, &id);
    if is_deadly(&String::from_utf8_lossy(&head.target)) {
        return end_with_it(instance, world).await;
    }
    let status = work(instance, world, head, deadline).await;
    let is_hit = world.random(|random| random.random_bool(FAULTY_PART));
    let fault = fault.filter(|_| is_hit);
    if fault == Some(InstanceFault::AnswersLost) {
        return false;
    }
    let status = if fault == Some(InstanceFault::Failing) { 500 } else { status };
    if fault == Some(InstanceFault::SurplusAnswers) {
        let (head, body) = answer(instance, world, head, "surplus", 200);
        write(answers, head, body).await;
    }
    instance.note_notice(world, &id);
    let (head, body) = answer(instance, world, head, &id, status);
    if fault == Some(InstanceFault::BreaksOff) {
        return break_off(answers, head, body).await;
    }
    write(answers, head, body).await && !instance.is_leaving.get()
}

/// The request ends the instance, also when nobody waits for it any more.
async fn end_with_it(instance: &Rc<Instance>, world: &Rc<World>) -> bool {
    let after = world.random(|random| random.random_range(DEADLY_AFTER));
    let (instance, world) = (instance.clone(), world.clone());
    spawn_local(async move {
        tokio::time::sleep(Duration::from_secs_f64(after)).await;
        fault_injection::instance_crashes(&world, &instance).await;
    });
    std::future::pending().await
}

fn note_run(instance: &Instance, world: &World, head: &RequestHead, body: &Bytes, id: &str) {
    let method = String::from_utf8_lossy(&head.method).into_owned();
    let target = String::from_utf8_lossy(&head.target);
    let run = Run {
        id: id.to_string(),
        machine: instance.machine,
        instance: instance.start_name(),
        service: instance.service.clone(),
        caller: head.fields.text(WIRE_NAMES.caller_service).unwrap_or_default().to_string(),
        asked: format!("{method} {target}"),
        tenant: head.fields.text(WIRE_NAMES.tenant).unwrap_or_default().to_string(),
        shows_key: head.fields.get(WIRE_NAMES.credential).is_some(),
        body_is_whole: *body == request_body(&method, &target, id),
        at_s: world.now_s(),
    };
    world.record.borrow_mut().runs.push(run);
}

fn endpoint_of<'a>(world: &'a World, head: &RequestHead) -> Option<&'a EndpointSpec> {
    let method = String::from_utf8_lossy(&head.method);
    let matches =
        |endpoint: &&EndpointSpec| endpoint.method() == method && head.path().starts_with(endpoint.path());
    world.spec.endpoints.iter().find(matches)
}

/// Does the work and makes the calls; the status of the answer.
async fn work(instance: &Instance, world: &Rc<World>, head: &RequestHead, deadline: Instant) -> u16 {
    let Some(endpoint) = endpoint_of(world, head) else { return 200 };
    let is_slow = world.faults.of_instance(instance.machine) == Some(InstanceFault::Slow);
    let factor = if is_slow { SLOW_FACTOR } else { 1 };
    let mean = Duration::from_millis(endpoint.service_ms) * factor;
    let work = mean.mul_f64(world.random(|random| random.random_range(0.5..1.5)));
    if tokio::time::timeout_at(deadline, tokio::time::sleep(work)).await.is_err() {
        return 504;
    }
    for call in &endpoint.calls {
        let time = deadline.saturating_duration_since(Instant::now()).saturating_sub(ANSWER_RESERVE);
        if time.is_zero() {
            return 504;
        }
        let order = Order::of_call(instance.machine, CallPurpose::OnBehalf, call, time);
        if Senders::send(world, order).await != CallEnd::Answered {
            return 500;
        }
    }
    200
}

fn own_head(instance: &Instance, status: u16, id: &str) -> ResponseHead {
    let mut fields = Fields::default();
    fields.add(WIRE_NAMES.request_id, id.to_string());
    fields.add(WIRE_NAMES.instance, instance.name.clone());
    if instance.is_leaving.get() {
        fields.add("Connection", "close");
    }
    if let Some(rate) = instance.named_rate.get() {
        fields.add(WIRE_NAMES.declared_rate, rate.to_string());
    }
    if instance.says_leaving.get() {
        fields.add(WIRE_NAMES.leaving, "1");
    }
    ResponseHead { status, minor_version: 1, fields }
}

fn rejection(instance: &Instance, status: u16, id: &str) -> ResponseHead {
    let mut head = own_head(instance, status, id);
    head.fields.add(WIRE_NAMES.not_run, "1");
    head
}

fn answer(
    instance: &Instance,
    world: &World,
    asked: &RequestHead,
    id: &str,
    status: u16,
) -> (ResponseHead, Bytes) {
    let bytes = endpoint_of(world, asked).map_or(0, |endpoint| endpoint.body_bytes);
    let body = if status == 200 { answer_body(id, bytes) } else { Bytes::from_static(b"failed") };
    let mut head = own_head(instance, status, id);
    head.fields.add(WIRE_NAMES.signature, signature(id, status, body.len()));
    (head, body)
}

async fn write(answers: &mut OwnedWriteHalf, head: ResponseHead, body: Bytes) -> bool {
    let mut buffer = BytesMut::new();
    head.write(BodyLength::Known(body.len() as u64), true, &mut buffer);
    buffer.put_slice(&body);
    answers.write_all(&buffer).await.is_ok()
}

/// Writes half of an answer and closes.
async fn break_off(answers: &mut OwnedWriteHalf, head: ResponseHead, body: Bytes) -> bool {
    let mut buffer = BytesMut::new();
    head.write(BodyLength::Known(body.len() as u64), true, &mut buffer);
    buffer.put_slice(&body[..body.len() / 2]);
    let _ = answers.write_all(&buffer).await;
    false
}

/// Faults of instances that are in force, by machine.
#[derive(Debug, Default)]
pub struct InstanceFaults {
    faults: RefCell<std::collections::HashMap<usize, InstanceFault>>,
}

impl InstanceFaults {
    /// The fault of a machine's instance.
    pub fn of_instance(&self, machine: usize) -> Option<InstanceFault> {
        self.faults.borrow().get(&machine).copied()
    }

    /// Begins or ends a fault.
    pub fn set(&self, machine: usize, fault: Option<InstanceFault>) {
        match fault {
            Some(fault) => self.faults.borrow_mut().insert(machine, fault),
            None => self.faults.borrow_mut().remove(&machine),
        };
    }
}
