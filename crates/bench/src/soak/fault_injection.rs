//! Carries out the faults of a plan, each from its begin to its end.

use std::process::ExitStatus;
use std::rc::Rc;
use std::time::Duration;

use olivegate_platform_stand_in::FaultMode;
use olivegate_sidecar::model::InstanceState;
use rand::RngExt;
use rand::seq::{IndexedRandom, IteratorRandom};
use rustix::process::Signal;
use tokio::task::spawn_local;

use super::exchange::deadly_path;
use super::harness::World;
use super::instance::Instance;
use super::plan::{Fault, FaultKind, StoreFault};
use super::record::{Crash, Disturbance, Outage, OutageKind, Stop};
use super::traffic::{Order, Senders};
use crate::error::BenchError;

/// Time that an entry outlives an instance that said nothing.
const ENTRY_OUTLIVES: Duration = Duration::from_millis(1_500);
/// A leaving instance serves on for this long after the store has taken its word.
const SERVES_ON: Duration = Duration::from_millis(2_500);
/// Time after which an address has a new instance.
const ADDRESS_RESTS: Duration = Duration::from_millis(300);
/// A process is started again after this time.
const STARTS_AGAIN: Duration = Duration::from_millis(200);
/// An address of an instance that crashed has a new one after this time.
const CRASHED_RESTS: Duration = Duration::from_millis(1_500);
/// Configurations that are lost with a store: as many revisions are given out again.
const LOST_VERSIONS: u32 = 8;
/// The operator writes again what a store has lost this long after its return.
const OPERATOR_WRITES_AFTER: Duration = Duration::from_millis(300);
/// Pause between two requests of a deadly content, in seconds.
const DEADLY_PAUSE_S: std::ops::Range<f64> = 0.1..0.7;
/// Load of a burst, over the usual one.
const BURST: f64 = 2.5;
/// Pause between the configurations of a storm.
const STORM_PAUSE: Duration = Duration::from_millis(150);
/// Longest time that a planned stop may take.
const STOP_LIMIT: Duration = Duration::from_secs(8);
/// Interval at which a stopping process is looked at.
const STOP_POLL: Duration = Duration::from_millis(10);

/// Waits for a fault's time and carries it out.
pub async fn strike(world: Rc<World>, fault: Fault, begin_s: f64) {
    let wait_s = begin_s + fault.at_s - world.now_s();
    tokio::time::sleep(Duration::from_secs_f64(wait_s.max(0.0))).await;
    log::info!("event=fault_begins {fault}");
    let from_s = world.now_s();
    carry_out(&world, fault).await;
    log::info!("event=fault_ends fault={}", fault.number);
    // The instances end, and not the machines.
    let is_of_machines = !matches!(fault.kind, FaultKind::DeadlyRequests { .. });
    // The one begins when the copy is taken, which disturbs nothing; through the other, whoever asks is
    // answered.
    let tells_itself = matches!(fault.kind, FaultKind::StoreRestored { .. } | FaultKind::StoreDeaf);
    if !fault.kind.is_planned() && is_of_machines && !tells_itself {
        let machine = (!fault.kind.is_for_all()).then_some(fault.machine);
        let until_s = world.now_s();
        world.record.borrow_mut().disturbances.push(Disturbance { machine, from_s, until_s });
    }
    if let Some(kind) = outage_of(fault.kind) {
        let outage = Outage { machine: fault.machine, kind, from_s, until_s: world.now_s() };
        world.record.borrow_mut().outages.push(outage);
    }
}

/// How a fault keeps a process from its work without ending it.
fn outage_of(kind: FaultKind) -> Option<OutageKind> {
    match kind {
        FaultKind::Pause => Some(OutageKind::Frozen),
        FaultKind::Link(_) => Some(OutageKind::Cut),
        _ => None,
    }
}

async fn carry_out(world: &Rc<World>, fault: Fault) {
    let length = Duration::from_secs_f64(fault.for_s);
    let machine = fault.machine;
    match fault.kind {
        FaultKind::Kill => {
            world.processes.kill(machine);
            world.senders.forget(machine);
            tokio::time::sleep(length).await;
            start(world, machine);
        }
        FaultKind::Pause => {
            world.processes.signal(machine, Signal::STOP);
            tokio::time::sleep(length).await;
            world.processes.signal(machine, Signal::CONT);
        }
        FaultKind::Stop => stop(world, machine).await,
        FaultKind::Reload => world.processes.signal(machine, Signal::HUP),
        FaultKind::KillAll => {
            (0..world.machines.len()).for_each(|machine| world.processes.kill(machine));
            tokio::time::sleep(length.min(Duration::from_secs(2))).await;
            (0..world.machines.len()).for_each(|machine| start(world, machine));
        }
        FaultKind::Link(link) => {
            world.machines[machine].way.set(Some(link));
            tokio::time::sleep(length).await;
            world.machines[machine].way.set(None);
        }
        FaultKind::Store(kind) => store_fault(world, kind, length).await,
        FaultKind::StoreOfMachine(kind) => {
            world.machines[machine].store.set_fault_mode(mood_of(kind));
            tokio::time::sleep(length).await;
            world.machines[machine].store.set_fault_mode(FaultMode::Healthy);
        }
        FaultKind::Instance(kind) => {
            world.faults.set(machine, Some(kind));
            tokio::time::sleep(length).await;
            world.faults.set(machine, None);
        }
        FaultKind::InstanceRestarts => instance_restarts(world, machine).await,
        FaultKind::InstanceLeaves => instance_leaves(world, machine).await,
        FaultKind::NamesRate { tenths } => names_rate(world, machine, tenths, length).await,
        FaultKind::SaysLeaving => says_leaving(world, machine).await,
        FaultKind::Burst => {
            world.load.set(BURST);
            tokio::time::sleep(length).await;
            world.load.set(1.0);
        }
        FaultKind::StoreDeaf => {
            world.store.suppress_watch_events(true);
            tokio::time::sleep(length).await;
            world.store.compact();
            world.store.suppress_watch_events(false);
        }
        FaultKind::StoreRestored { copy_age_ms } => {
            store_restored(world, Duration::from_millis(u64::from(copy_age_ms)), length).await;
        }
        FaultKind::DeadlyRequests { with_body } => deadly_requests(world, fault, with_body).await,
        FaultKind::Configuration => world.configure(),
        FaultKind::ConfigurationStorm => {
            let end_s = world.now_s() + fault.for_s.min(2.0);
            while world.now_s() < end_s {
                world.configure();
                tokio::time::sleep(STORM_PAUSE).await;
            }
        }
    }
}

fn start(world: &World, machine: usize) {
    if !world.processes.is_running(machine)
        && let Err(error) = world.start_process(machine)
    {
        log::error!("event=process_not_started machine={machine} error={error}");
    }
}

/// A planned stop, and a new start when the process has ended.
async fn stop(world: &Rc<World>, machine: usize) {
    if !world.processes.is_running(machine) {
        return;
    }
    let at_s = world.now_s();
    let life = world.life(machine);
    world.set_stopping(machine, true);
    world.processes.signal(machine, Signal::TERM);
    let ended = end_of(world, machine, life, at_s + STOP_LIMIT.as_secs_f64()).await;
    world.set_stopping(machine, false);
    let StopEnd::Ended(status) = ended else { return };
    let clean = status.is_some_and(|status| status.success());
    let ended_s = world.now_s();
    world.record.borrow_mut().stops.push(Stop { machine, at_s, ended_s, clean });
    world.senders.forget(machine);
    tokio::time::sleep(STARTS_AGAIN).await;
    start(world, machine);
}

/// How a planned stop ended.
enum StopEnd {
    /// The process ended, or had to be killed.
    Ended(Option<ExitStatus>),
    /// It was killed and started again meanwhile.
    Overtaken,
}

async fn end_of(world: &World, machine: usize, life: u32, limit_s: f64) -> StopEnd {
    loop {
        tokio::time::sleep(STOP_POLL).await;
        if world.life(machine) != life || !world.processes.is_running(machine) {
            return StopEnd::Overtaken;
        }
        if let Some(status) = world.processes.ended(machine) {
            return StopEnd::Ended(Some(status));
        }
        if world.now_s() > limit_s {
            world.processes.kill(machine);
            return StopEnd::Ended(None);
        }
    }
}

fn mood_of(kind: StoreFault) -> FaultMode {
    match kind {
        StoreFault::Busy => FaultMode::Refusing(503),
        StoreFault::Throttling => FaultMode::Refusing(429),
        StoreFault::Silent | StoreFault::Lapsed => FaultMode::Silent,
        StoreFault::Resetting => FaultMode::Resetting,
        StoreFault::Compacted => FaultMode::Healthy,
    }
}

async fn store_fault(world: &Rc<World>, kind: StoreFault, length: Duration) {
    if kind == StoreFault::Compacted {
        world.store.compact();
        return;
    }
    world.store.set_fault_mode(mood_of(kind));
    if kind == StoreFault::Lapsed {
        tokio::time::sleep(length / 2).await;
        let names: Vec<String> =
            world.instances.borrow().iter().flatten().map(|instance| instance.name.clone()).collect();
        names.iter().for_each(|name| world.remove_entry(name));
        tokio::time::sleep(length / 2).await;
        world.store.set_fault_mode(FaultMode::Healthy);
        (0..world.machines.len()).for_each(|machine| world.write_entry(machine, InstanceState::Ready));
        return;
    }
    tokio::time::sleep(length).await;
    world.store.set_fault_mode(FaultMode::Healthy);
}

/// The store goes away and comes back from a copy that was taken `copy_age` before. What was written
/// since is written again: by the operator soon, by instances with their next heartbeats.
async fn store_restored(world: &Rc<World>, copy_age: Duration, length: Duration) {
    let backup = world.store.backup();
    let pause = copy_age.min(length) / LOST_VERSIONS;
    for _ in 0..LOST_VERSIONS {
        tokio::time::sleep(pause).await;
        world.configure();
    }
    let from_s = world.now_s();
    let is_silent = world.random(|random| random.random_bool(0.5));
    world.store.set_fault_mode(if is_silent { FaultMode::Silent } else { FaultMode::Resetting });
    tokio::time::sleep(length.saturating_sub(copy_age)).await;
    world.store.restore(backup);
    world.store.set_fault_mode(FaultMode::Healthy);
    let until_s = world.now_s();
    world.record.borrow_mut().disturbances.push(Disturbance { machine: None, from_s, until_s });
    let silent = world.clone();
    spawn_local(async move {
        tokio::time::sleep(ENTRY_OUTLIVES).await;
        silent.drop_silent_entries();
    });
    tokio::time::sleep(OPERATOR_WRITES_AFTER).await;
    world.configure_again();
    for machine in 0..world.machines.len() {
        let world = world.clone();
        spawn_local(async move {
            let heartbeat = world.random(|random| random.random_range(Duration::ZERO..ENTRY_OUTLIVES / 2));
            tokio::time::sleep(heartbeat).await;
            world.write_again(machine);
        });
    }
}

/// An instance crashes, and another one takes its address: under the same name, or its entry goes
/// later.
async fn instance_restarts(world: &Rc<World>, machine: usize) {
    let Some(instance) = world.take_instance(machine) else { return };
    instance.end();
    tokio::time::sleep(ADDRESS_RESTS).await;
    start_after(world, &instance, ENTRY_OUTLIVES).await;
}

/// Starts an instance in place of one that crashed: under its name, or under a new one, and the
/// earlier one's entry goes after some time.
async fn start_after(world: &Rc<World>, crashed: &Instance, entry_outlives: Duration) {
    if world.random(|random| random.random_bool(0.5)) {
        let started = world.start_instance_as(crashed.name.clone(), crashed.machine).await;
        started.unwrap_or_else(|error| log_not_started(crashed.machine, &error));
        return;
    }
    start_instance(world, crashed.machine).await;
    tokio::time::sleep(entry_outlives).await;
    world.remove_entry(&crashed.name);
}

/// An instance ends under a request; another one takes its address after some time.
pub async fn instance_crashes(world: &Rc<World>, instance: &Instance) {
    let is_present = world.instances.borrow()[instance.machine]
        .as_ref()
        .is_some_and(|present| present.start_name() == instance.start_name());
    if !is_present {
        return;
    }
    let machine = instance.machine;
    let Some(instance) = world.take_instance(machine) else { return };
    instance.end();
    let crash = Crash { instance: instance.start_name(), at_s: world.now_s() };
    world.record.borrow_mut().crashes.push(crash);
    tokio::time::sleep(CRASHED_RESTS).await;
    start_after(world, &instance, Duration::ZERO).await;
}

/// One content comes again and again at machines of one service; each instance that runs it ends.
async fn deadly_requests(world: &Rc<World>, fault: Fault, with_body: bool) {
    let method = if with_body { "POST" } else { "GET" };
    let endpoints = world.spec.endpoints.iter().filter(|endpoint| endpoint.method() == method);
    let Some(endpoint) = world.random(|random| endpoints.choose(random)) else { return };
    let target = deadly_path(endpoint.path(), fault.number);
    let callers = world.machines_of(&world.machines[fault.machine].service);
    let end_s = world.now_s() + fault.for_s;
    while world.now_s() < end_s {
        let machine = world.random(|random| callers.choose(random).copied()).unwrap_or(fault.machine);
        if world.is_ready(machine) {
            let (world, order) = (world.clone(), Order::of_deadly(machine, method, target.clone()));
            spawn_local(async move { Senders::send(&world, order).await });
        }
        let pause = world.random(|random| random.random_range(DEADLY_PAUSE_S));
        tokio::time::sleep(Duration::from_secs_f64(pause)).await;
    }
}

/// An instance says that it leaves, serves on, and ends; another takes its address.
async fn instance_leaves(world: &Rc<World>, machine: usize) {
    world.write_entry(machine, InstanceState::Draining);
    let Some(instance) = world.take_instance(machine) else { return };
    world.note_leaving(&instance);
    instance.leave();
    tokio::time::sleep(SERVES_ON).await;
    world.note_left(&instance);
    instance.end();
    world.remove_entry(&instance.name);
    tokio::time::sleep(ADDRESS_RESTS).await;
    start_instance(world, machine).await;
}

/// An instance names a rate in its answers, then another one, then none.
async fn names_rate(world: &Rc<World>, machine: usize, tenths: [u32; 2], length: Duration) {
    let present = world.instances.borrow()[machine].clone();
    let Some(instance) = present else { return };
    for rate in tenths {
        instance.name_rate(world, Some(f64::from(rate) / 10.0));
        tokio::time::sleep(length / 2).await;
    }
    instance.name_rate(world, None);
}

/// An instance says in its answers that it leaves, while its entry says nothing; it serves on, and ends;
/// another takes its address.
async fn says_leaving(world: &Rc<World>, machine: usize) {
    let Some(instance) = world.take_instance(machine) else { return };
    instance.say_leaving();
    tokio::time::sleep(SERVES_ON * 2).await;
    instance.end();
    world.remove_entry(&instance.name);
    tokio::time::sleep(ADDRESS_RESTS).await;
    start_instance(world, machine).await;
}

async fn start_instance(world: &Rc<World>, machine: usize) {
    world.start_instance(machine).await.unwrap_or_else(|error| log_not_started(machine, &error));
}

fn log_not_started(machine: usize, error: &BenchError) {
    log::error!("event=instance_not_started machine={machine} error={error}");
}
