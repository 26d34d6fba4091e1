//! Injects the faults of a plan, each from its start to its end.

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
use super::fault_kind::{FaultKind, StoreFault};
use super::harness::Harness;
use super::instance::Instance;
use super::plan::Fault;
use super::record::{Crash, Disturbance, Outage, OutageKind, Stop};
use super::traffic::{CallSpec, ConnectionPool};
use crate::error::BenchError;

/// Time after which the entry of an instance that has stopped renewing it expires.
const ENTRY_TTL: Duration = Duration::from_millis(1_500);
/// A draining instance continues to serve for this long after the store has accepted the announcement.
const DRAIN_TIME: Duration = Duration::from_millis(2_500);
/// Delay before a new instance starts at the address of one that exited.
const ADDRESS_REUSE_DELAY: Duration = Duration::from_millis(300);
/// Delay before a stopped process is started again.
const PROCESS_RESTART_DELAY: Duration = Duration::from_millis(200);
/// Delay before a new instance starts at the address of one that a deadly request crashed.
const CRASH_RESTART_DELAY: Duration = Duration::from_millis(1_500);
/// Configurations published after the backup and lost with the store: that many revisions are assigned again
/// after the restore.
const LOST_VERSIONS: u32 = 8;
/// Delay from the restore of the store until the operator publishes the lost configuration again.
const OPERATOR_REPUBLISH_DELAY: Duration = Duration::from_millis(300);
/// Range of intervals between two requests with a deadly content, in seconds.
const DEADLY_INTERVAL_S: std::ops::Range<f64> = 0.1..0.7;
/// Client load during a burst, relative to its normal level.
const BURST_LOAD_FACTOR: f64 = 2.5;
/// Interval between the configurations of a storm.
const STORM_INTERVAL: Duration = Duration::from_millis(150);
/// Time limit of a planned stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(8);
/// Interval at which a stopping process is checked.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Waits until a fault is due, injects it and records its effects.
pub async fn inject(harness: Rc<Harness>, fault: Fault, start_s: f64) {
    let wait_s = start_s + fault.at_s - harness.now_s();
    tokio::time::sleep(Duration::from_secs_f64(wait_s.max(0.0))).await;
    log::info!("event=fault_begins {fault}");
    let from_s = harness.now_s();
    apply(&harness, fault).await;
    log::info!("event=fault_ends fault={}", fault.number);
    // Deadly requests crash instances; the machines aren't disturbed.
    let disturbs_machines = !matches!(fault.kind, FaultKind::DeadlyRequests { .. });
    // `StoreRestored` begins with the backup, which disturbs nothing, and records the later outage itself.
    // During `StoreDeaf`, all requests to the store except watches are served.
    let records_itself = matches!(fault.kind, FaultKind::StoreRestored { .. } | FaultKind::StoreDeaf);
    if !fault.kind.is_planned() && disturbs_machines && !records_itself {
        let machine = (!fault.kind.is_cluster_wide()).then_some(fault.machine);
        let until_s = harness.now_s();
        harness.record.borrow_mut().disturbances.push(Disturbance { machine, from_s, until_s });
    }
    if let Some(kind) = outage_of(fault.kind) {
        let outage = Outage { machine: fault.machine, kind, from_s, until_s: harness.now_s() };
        harness.record.borrow_mut().outages.push(outage);
    }
}

/// How a fault keeps a process from working without ending it.
fn outage_of(kind: FaultKind) -> Option<OutageKind> {
    match kind {
        FaultKind::Pause => Some(OutageKind::Frozen),
        FaultKind::Link(_) => Some(OutageKind::Cut),
        _ => None,
    }
}

async fn apply(harness: &Rc<Harness>, fault: Fault) {
    let duration = Duration::from_secs_f64(fault.for_s);
    let machine = fault.machine;
    match fault.kind {
        FaultKind::Kill => {
            harness.processes.kill(machine);
            harness.connections.close_idle(machine);
            tokio::time::sleep(duration).await;
            start_if_stopped(harness, machine);
        }
        FaultKind::Pause => {
            harness.processes.signal(machine, Signal::STOP);
            tokio::time::sleep(duration).await;
            harness.processes.signal(machine, Signal::CONT);
        }
        FaultKind::Stop => stop(harness, machine).await,
        FaultKind::Reload => harness.processes.signal(machine, Signal::HUP),
        FaultKind::KillAll => {
            (0..harness.machines.len()).for_each(|machine| harness.processes.kill(machine));
            tokio::time::sleep(duration.min(Duration::from_secs(2))).await;
            (0..harness.machines.len()).for_each(|machine| start_if_stopped(harness, machine));
        }
        FaultKind::Link(kind) => {
            harness.machines[machine].link.set_fault(Some(kind));
            tokio::time::sleep(duration).await;
            harness.machines[machine].link.set_fault(None);
        }
        FaultKind::Store(kind) => store_fault(harness, kind, duration).await,
        FaultKind::StoreOfMachine(kind) => {
            harness.machines[machine].store.set_fault_mode(fault_mode_of(kind));
            tokio::time::sleep(duration).await;
            harness.machines[machine].store.set_fault_mode(FaultMode::Healthy);
        }
        FaultKind::Instance(kind) => {
            harness.instance_faults.set_fault(machine, Some(kind));
            tokio::time::sleep(duration).await;
            harness.instance_faults.set_fault(machine, None);
        }
        FaultKind::InstanceRestarts => restart_instance(harness, machine).await,
        FaultKind::InstanceLeaves => drain_instance(harness, machine).await,
        FaultKind::NamesRate { tenths } => declare_rates(harness, machine, tenths, duration).await,
        FaultKind::SaysLeaving => announce_leaving(harness, machine).await,
        FaultKind::OpenConnectionsSilent => {
            for machine in &harness.machines {
                machine.link.silence_open();
                machine.store.silence_open();
            }
        }
        FaultKind::Burst => {
            harness.load_factor.set(BURST_LOAD_FACTOR);
            tokio::time::sleep(duration).await;
            harness.load_factor.set(1.0);
        }
        FaultKind::StoreDeaf => {
            harness.store.suppress_watch_events(true);
            tokio::time::sleep(duration).await;
            harness.store.compact();
            harness.store.suppress_watch_events(false);
        }
        FaultKind::StoreRestored { copy_age_ms } => {
            restore_store(harness, Duration::from_millis(u64::from(copy_age_ms)), duration).await;
        }
        FaultKind::DeadlyRequests { with_body } => send_deadly_requests(harness, fault, with_body).await,
        FaultKind::Configuration => harness.publish_configuration(),
        FaultKind::ConfigurationStorm => {
            let end_s = harness.now_s() + fault.for_s.min(2.0);
            while harness.now_s() < end_s {
                harness.publish_configuration();
                tokio::time::sleep(STORM_INTERVAL).await;
            }
        }
    }
}

fn start_if_stopped(harness: &Harness, machine: usize) {
    if !harness.processes.is_running(machine)
        && let Err(error) = harness.start_process(machine)
    {
        log::error!("event=process_not_started machine={machine} error={error}");
    }
}

/// Stops a process as planned and starts it again after it has exited.
async fn stop(harness: &Rc<Harness>, machine: usize) {
    if !harness.processes.is_running(machine) {
        return;
    }
    let at_s = harness.now_s();
    let generation = harness.generation(machine);
    harness.set_stopping(machine, true);
    harness.processes.signal(machine, Signal::TERM);
    let ended = wait_for_exit(harness, machine, generation, at_s + STOP_TIMEOUT.as_secs_f64()).await;
    harness.set_stopping(machine, false);
    let StopEnd::Ended(status) = ended else { return };
    let clean = status.is_some_and(|status| status.success());
    let ended_s = harness.now_s();
    harness.record.borrow_mut().stops.push(Stop { machine, at_s, ended_s, clean });
    harness.connections.close_idle(machine);
    tokio::time::sleep(PROCESS_RESTART_DELAY).await;
    start_if_stopped(harness, machine);
}

/// How a planned stop ended.
enum StopEnd {
    /// The process exited, or had to be killed: then there is no status.
    Ended(Option<ExitStatus>),
    /// Another fault killed the process or started it again meanwhile.
    Superseded,
}

async fn wait_for_exit(harness: &Harness, machine: usize, generation: u32, limit_s: f64) -> StopEnd {
    loop {
        tokio::time::sleep(STOP_POLL_INTERVAL).await;
        if harness.generation(machine) != generation || !harness.processes.is_running(machine) {
            return StopEnd::Superseded;
        }
        if let Some(status) = harness.processes.take_exit_status(machine) {
            return StopEnd::Ended(Some(status));
        }
        if harness.now_s() > limit_s {
            harness.processes.kill(machine);
            return StopEnd::Ended(None);
        }
    }
}

fn fault_mode_of(kind: StoreFault) -> FaultMode {
    match kind {
        StoreFault::Busy => FaultMode::Refusing(503),
        StoreFault::Throttling => FaultMode::Refusing(429),
        StoreFault::Silent | StoreFault::Lapsed => FaultMode::Silent,
        StoreFault::Resetting => FaultMode::Resetting,
        StoreFault::Compacted => FaultMode::Healthy,
    }
}

async fn store_fault(harness: &Rc<Harness>, kind: StoreFault, duration: Duration) {
    if kind == StoreFault::Compacted {
        harness.store.compact();
        return;
    }
    harness.store.set_fault_mode(fault_mode_of(kind));
    if kind == StoreFault::Lapsed {
        tokio::time::sleep(duration / 2).await;
        let names: Vec<String> =
            harness.instances.borrow().iter().flatten().map(|instance| instance.name.clone()).collect();
        names.iter().for_each(|name| harness.remove_entry(name));
        tokio::time::sleep(duration / 2).await;
        harness.store.set_fault_mode(FaultMode::Healthy);
        (0..harness.machines.len()).for_each(|machine| harness.write_entry(machine, InstanceState::Ready));
        return;
    }
    tokio::time::sleep(duration).await;
    harness.store.set_fault_mode(FaultMode::Healthy);
}

/// The store fails and is restored from a backup that was taken `copy_age` earlier. What was written since
/// then is written again: by the operator shortly after the restore, by instances with their next heartbeat.
async fn restore_store(harness: &Rc<Harness>, copy_age: Duration, duration: Duration) {
    let backup = harness.store.backup();
    let pause = copy_age.min(duration) / LOST_VERSIONS;
    for _ in 0..LOST_VERSIONS {
        tokio::time::sleep(pause).await;
        harness.publish_configuration();
    }
    let from_s = harness.now_s();
    let is_silent = harness.random(|random| random.random_bool(0.5));
    harness.store.set_fault_mode(if is_silent { FaultMode::Silent } else { FaultMode::Resetting });
    tokio::time::sleep(duration.saturating_sub(copy_age)).await;
    harness.store.restore(backup);
    harness.store.set_fault_mode(FaultMode::Healthy);
    let until_s = harness.now_s();
    harness.record.borrow_mut().disturbances.push(Disturbance { machine: None, from_s, until_s });
    let for_expiry = harness.clone();
    spawn_local(async move {
        tokio::time::sleep(ENTRY_TTL).await;
        for_expiry.remove_expired_entries();
    });
    tokio::time::sleep(OPERATOR_REPUBLISH_DELAY).await;
    harness.republish_configuration();
    for machine in 0..harness.machines.len() {
        let harness = harness.clone();
        spawn_local(async move {
            let heartbeat = harness.random(|random| random.random_range(Duration::ZERO..ENTRY_TTL / 2));
            tokio::time::sleep(heartbeat).await;
            harness.rewrite_entries(machine);
        });
    }
}

/// An instance crashes and another one starts at its address: under the same name, or under a new one while
/// the earlier entry is removed later.
async fn restart_instance(harness: &Rc<Harness>, machine: usize) {
    let Some(instance) = harness.remove_instance(machine) else { return };
    instance.terminate();
    tokio::time::sleep(ADDRESS_REUSE_DELAY).await;
    replace_crashed(harness, &instance, ENTRY_TTL).await;
}

/// Starts an instance in place of a crashed one: under its name, or under a new name, in which case the
/// earlier entry is removed after `entry_ttl`.
async fn replace_crashed(harness: &Rc<Harness>, crashed: &Instance, entry_ttl: Duration) {
    if harness.random(|random| random.random_bool(0.5)) {
        let started = harness.start_instance_as(crashed.name.clone(), crashed.machine).await;
        started.unwrap_or_else(|error| log_not_started(crashed.machine, &error));
        return;
    }
    start_instance(harness, crashed.machine).await;
    tokio::time::sleep(entry_ttl).await;
    harness.remove_entry(&crashed.name);
}

/// An instance crashes because of a request; another one starts at its address after a delay.
pub async fn crash_instance(harness: &Rc<Harness>, instance: &Instance) {
    let is_present = harness.instances.borrow()[instance.machine]
        .as_ref()
        .is_some_and(|present| present.incarnation_name() == instance.incarnation_name());
    if !is_present {
        return;
    }
    let machine = instance.machine;
    let Some(instance) = harness.remove_instance(machine) else { return };
    instance.terminate();
    let crash = Crash { instance: instance.incarnation_name(), at_s: harness.now_s() };
    harness.record.borrow_mut().crashes.push(crash);
    tokio::time::sleep(CRASH_RESTART_DELAY).await;
    replace_crashed(harness, &instance, Duration::ZERO).await;
}

/// Sends requests with one deadly content through the nodes of one service; each instance that runs one
/// crashes.
async fn send_deadly_requests(harness: &Rc<Harness>, fault: Fault, with_body: bool) {
    let method = if with_body { "POST" } else { "GET" };
    let endpoints = harness.spec.endpoints.iter().filter(|endpoint| endpoint.method() == method);
    let Some(endpoint) = harness.random(|random| endpoints.choose(random)) else { return };
    let target = deadly_path(endpoint.path(), fault.number);
    let callers = harness.machines_of(&harness.machines[fault.machine].service);
    let end_s = harness.now_s() + fault.for_s;
    while harness.now_s() < end_s {
        let machine = harness.random(|random| callers.choose(random).copied()).unwrap_or(fault.machine);
        if harness.is_ready(machine) {
            let (harness, call_spec) = (harness.clone(), CallSpec::deadly(machine, method, target.clone()));
            spawn_local(async move { ConnectionPool::send(&harness, call_spec).await });
        }
        let pause = harness.random(|random| random.random_range(DEADLY_INTERVAL_S));
        tokio::time::sleep(Duration::from_secs_f64(pause)).await;
    }
}

/// An instance announces in the store that it drains, continues to serve for a while, and exits; another one
/// starts at its address.
async fn drain_instance(harness: &Rc<Harness>, machine: usize) {
    harness.write_entry(machine, InstanceState::Draining);
    let Some(instance) = harness.remove_instance(machine) else { return };
    harness.record_leaving(&instance);
    instance.start_draining();
    tokio::time::sleep(DRAIN_TIME).await;
    harness.remove_leaving(&instance);
    instance.terminate();
    harness.remove_entry(&instance.name);
    tokio::time::sleep(ADDRESS_REUSE_DELAY).await;
    start_instance(harness, machine).await;
}

/// An instance declares a rate in its responses, then another one, then none.
async fn declare_rates(harness: &Rc<Harness>, machine: usize, tenths: [u32; 2], duration: Duration) {
    let present = harness.instances.borrow()[machine].clone();
    let Some(instance) = present else { return };
    for rate in tenths {
        instance.declare_rate(harness, Some(f64::from(rate) / 10.0));
        tokio::time::sleep(duration / 2).await;
    }
    instance.declare_rate(harness, None);
}

/// An instance announces in its responses that it leaves, while its entry stays unchanged. It continues to
/// serve for a while and exits; another one starts at its address.
async fn announce_leaving(harness: &Rc<Harness>, machine: usize) {
    let Some(instance) = harness.remove_instance(machine) else { return };
    instance.announce_leaving();
    tokio::time::sleep(DRAIN_TIME * 2).await;
    instance.terminate();
    harness.remove_entry(&instance.name);
    tokio::time::sleep(ADDRESS_REUSE_DELAY).await;
    start_instance(harness, machine).await;
}

async fn start_instance(harness: &Rc<Harness>, machine: usize) {
    harness.start_instance(machine).await.unwrap_or_else(|error| log_not_started(machine, &error));
}

fn log_not_started(machine: usize, error: &BenchError) {
    log::error!("event=instance_not_started machine={machine} error={error}");
}
