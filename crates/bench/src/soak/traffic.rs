//! Those who send requests: clients of each machine, its instance, and probes.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use rand::RngExt;
use rand::seq::IndexedRandom;
use tokio::task::spawn_local;

use super::exchange::{Connection, Request};
use super::harness::{ATTEMPTS, World};
use super::record::{Call, CallEnd, CallPurpose};
use super::tenants;

/// Time that clients give a request.
const CLIENT_TIME: Duration = Duration::from_secs(2);
/// Time that probes give a request.
const PROBE_TIME: Duration = Duration::from_millis(800);
/// Interval of the questions of guests and strangers at a machine.
const KEY_INTERVAL: Duration = Duration::from_millis(400);
/// Versions whose key guests try: the newest, and those whose key was withdrawn.
const VERSIONS_TRIED: u64 = 3;
/// Interval of the probes of a machine.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);
/// Part of the requests whose client leaves early.
const LEAVING_PART: f64 = 0.04;
/// Part of the requests that come on a new connection.
const FRESH_PART: f64 = 0.2;
/// Most connections that a machine's senders keep.
const MOST_KEPT: usize = 64;

/// A request that is to be sent.
#[derive(Debug, Clone)]
pub struct Order {
    machine: usize,
    purpose: CallPurpose,
    method: String,
    target: String,
    time: Duration,
}

impl Order {
    /// A request of `call`, such as `GET /catalogue/search`.
    pub fn of_call(machine: usize, purpose: CallPurpose, call: &str, time: Duration) -> Self {
        let (method, path) = call.split_once(' ').unwrap_or(("GET", call));
        Order { machine, purpose, method: method.to_string(), target: format!("{path}/"), time }
    }

    /// A request of the deadly content of this number, by a client.
    pub fn of_deadly(machine: usize, method: &str, target: String) -> Self {
        Order { machine, purpose: CallPurpose::Deadly, method: method.into(), target, time: CLIENT_TIME }
    }

    fn of_probe(machine: usize, version: u64) -> Self {
        let target = World::version_path(version);
        Order { machine, purpose: CallPurpose::Probe { version }, method: "GET".into(), target, time: PROBE_TIME }
    }
}

/// Connections that rest, by machine.
#[derive(Default)]
pub struct Senders {
    resting: RefCell<HashMap<usize, Vec<Connection>>>,
}

impl Senders {
    /// Sends a request and waits for its end, which is recorded.
    pub async fn send(world: &Rc<World>, order: Order) -> CallEnd {
        let request = Request {
            id: world.next_id(),
            method: order.method.clone(),
            target: order.target.clone(),
            host: world.host.clone(),
            key: key_of(order.purpose),
            time: order.time,
        };
        let entry = Entry::begin(world, &order, &request);
        let end = exchange(world, &order, &request).await;
        entry.end(end);
        end
    }

    fn take(&self, machine: usize) -> Option<Connection> {
        self.resting.borrow_mut().get_mut(&machine)?.pop()
    }

    fn keep(&self, machine: usize, connection: Connection) {
        let mut resting = self.resting.borrow_mut();
        let kept = resting.entry(machine).or_default();
        if kept.len() < MOST_KEPT {
            kept.push(connection);
        }
    }

    /// Closes what rests towards a machine whose process has ended.
    pub fn forget(&self, machine: usize) {
        self.resting.borrow_mut().remove(&machine);
    }
}

fn key_of(purpose: CallPurpose) -> Option<String> {
    match purpose {
        CallPurpose::OnBehalf => None,
        CallPurpose::Client | CallPurpose::Deadly | CallPurpose::Probe { .. } => {
            Some(tenants::key_of(tenants::MEMBERS))
        }
        CallPurpose::Limited => Some(tenants::key_of(tenants::LIMITED)),
        CallPurpose::Guest { version } => Some(tenants::guests_key(version)),
        CallPurpose::Stranger => Some(tenants::STRANGERS_KEY.into()),
    }
}

async fn exchange(world: &Rc<World>, order: &Order, request: &Request) -> CallEnd {
    let is_fresh = world.random(|random| random.random_bool(FRESH_PART));
    let kept = if is_fresh { None } else { world.senders.take(order.machine) };
    let was_kept = kept.is_some();
    let mut connection = match kept {
        Some(connection) => connection,
        None => match Connection::open(world.machines[order.machine].outbound).await {
            Ok(connection) => connection,
            Err(_) => return CallEnd::NotSent,
        },
    };
    let Ok((end, keeps)) = tokio::time::timeout(order.time, connection.ask(request)).await else {
        return CallEnd::TimedOut;
    };
    if keeps {
        world.senders.keep(order.machine, connection);
    }
    // A connection that rested may have been closed before it carried this request.
    let may_be_unread = was_kept && end == CallEnd::Cut && !world.has_run(&request.id);
    if may_be_unread { CallEnd::NotSent } else { end }
}

/// The record of a request, left as given up when its sender is dropped.
struct Entry {
    world: Rc<World>,
    index: usize,
}

impl Entry {
    fn begin(world: &Rc<World>, order: &Order, request: &Request) -> Self {
        let call = Call {
            id: request.id.clone(),
            purpose: order.purpose,
            machine: order.machine,
            life: world.life(order.machine),
            asked: format!("{} {}", order.method, order.target),
            service: world.service_of(&order.target),
            repeatable: order.method == "GET",
            attempts: ATTEMPTS,
            sent_s: world.now_s(),
            ended_s: world.now_s(),
            end: CallEnd::GaveUp,
        };
        let mut record = world.record.borrow_mut();
        record.calls.push(call);
        Entry { world: world.clone(), index: record.calls.len() - 1 }
    }

    fn end(&self, end: CallEnd) {
        self.world.record.borrow_mut().calls[self.index].end = end;
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        let now_s = self.world.now_s();
        self.world.record.borrow_mut().calls[self.index].ended_s = now_s;
    }
}

/// Sends clients' requests of one machine until the soak ends.
pub async fn clients(world: Rc<World>, machine: usize, per_second: f64) {
    while !world.is_over() {
        let mean = 1.0 / (per_second * world.load.get());
        let pause = world.random(|random| random.random_range(0.2..1.8)) * mean;
        tokio::time::sleep(Duration::from_secs_f64(pause)).await;
        if world.is_ready(machine) {
            spawn_local(one_client(world.clone(), machine));
        }
    }
}

async fn one_client(world: Rc<World>, machine: usize) {
    let drawn = world.random(|random| {
        let traffic = world.spec.traffic.choose_weighted(random, |traffic| traffic.share);
        traffic.ok().map(|traffic| traffic.call.clone())
    });
    let Some(call) = drawn else { return };
    let order = Order::of_call(machine, CallPurpose::Client, &call, CLIENT_TIME);
    if world.random(|random| random.random_bool(LEAVING_PART)) {
        let patience = CLIENT_TIME.mul_f64(world.random(|random| random.random_range(0.0..0.2)));
        // The client is dropped when it leaves; its request then counts as given up.
        let _ = tokio::time::timeout(patience, Senders::send(&world, order)).await;
        return;
    }
    if let CallEnd::NodeFailed { status: 503, .. } = Senders::send(&world, order.clone()).await {
        tokio::time::sleep(CLIENT_TIME / 8).await;
        Senders::send(&world, order).await;
    }
}

/// Asks one machine for the newest version of the configuration and for the one before.
pub async fn probes(world: Rc<World>, machine: usize) {
    while !world.is_over() {
        tokio::time::sleep(PROBE_INTERVAL).await;
        let newest = world.version.get();
        if world.is_ready(machine) && newest > 1 {
            Senders::send(&world, Order::of_probe(machine, newest)).await;
            Senders::send(&world, Order::of_probe(machine, newest - 1)).await;
        }
    }
}

/// Sends requests of the tenant with a limit, of guests with keys old and new, and of strangers.
pub async fn tenants(world: Rc<World>, machine: usize) {
    let each = tenants::LIMITED_ASKS_PER_S / world.machines.len() as f64;
    let mut next_keys_s = 0.0;
    while !world.is_over() {
        let pause = world.random(|random| random.random_range(0.5..1.5)) / each;
        tokio::time::sleep(Duration::from_secs_f64(pause)).await;
        // Also where the machine is not ready: what is withdrawn must not run anywhere.
        spawn_local(one_keyed(world.clone(), machine, CallPurpose::Limited));
        if world.now_s() < next_keys_s {
            continue;
        }
        next_keys_s = world.now_s() + KEY_INTERVAL.as_secs_f64();
        let newest = world.version.get();
        for version in newest.saturating_sub(VERSIONS_TRIED - 1).max(1)..=newest {
            spawn_local(one_keyed(world.clone(), machine, CallPurpose::Guest { version }));
        }
        spawn_local(one_keyed(world.clone(), machine, CallPurpose::Stranger));
    }
}

async fn one_keyed(world: Rc<World>, machine: usize, purpose: CallPurpose) {
    let target = World::version_path(world.version.get());
    let order = Order { machine, purpose, method: "GET".into(), target, time: PROBE_TIME };
    Senders::send(&world, order).await;
}
