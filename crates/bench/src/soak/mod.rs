//! A randomized fault soak: runs the real sidecar programs as processes on one machine, injects faults from
//! outside them, and checks the promises against what callers and instances observed.
//!
//! - [`fault_kind`]: the kinds of faults. [`plan`]: draws faults and their times from a seed; pure.
//! - [`fault_injection`]: injects the faults of a plan.
//! - [`harness`]: emulated machines, store and shared state; [`processes`]: the sidecar processes.
//! - [`proxy`]: the network links of the machines. [`instance`]: emulated instances.
//! - [`store_entries`]: what the operator and the instances write to the store.
//! - [`traffic`], [`exchange`]: client requests, calls between services, and probes.
//! - [`transfers`], [`body_sizes`]: long uploads and downloads.
//! - [`tenants`]: the tenants that requests belong to.
//! - [`timer_lag`]: whether the soak process itself keeps up.
//! - [`traces`]: log lines of the sidecar processes about requests that broke a promise.
//! - [`record`]: what was observed. [`checker`], [`access_checks`], [`deadly_checks`], [`declared_checks`],
//!   [`refusal_checks`]: which promises were broken; pure.

pub mod access_checks;
pub mod body_sizes;
pub mod checker;
pub mod deadly_checks;
pub mod declared_checks;
pub mod exchange;
pub mod fault_injection;
pub mod fault_kind;
pub mod harness;
pub mod instance;
pub mod plan;
pub mod processes;
pub mod proxy;
pub mod record;
pub mod refusal_checks;
pub mod store_entries;
pub mod tenants;
pub mod timer_lag;
pub mod traces;
pub mod traffic;
pub mod transfers;

use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use pico_args::Arguments;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::{LocalSet, spawn_local};

use self::checker::{Violation, check, last_run_after_leaving_s, outcomes};
use self::harness::Harness;
use self::plan::{MEAN_GAP_S, Plan};
use self::proxy::DatagramEndpoint;
use self::record::{Bounds, Record};
use crate::capacity::mix_capacity;
use crate::error::BenchError;
use crate::spec::DeploymentSpec;

/// Bounds used by the checks; the settings of the nodes contain the same values.
pub const BOUNDS: Bounds =
    Bounds { contact_s: 1.5, drain_s: 1.5, apply_s: 2.0, rollback_s: 0.25, keys_s: 4.0, slack_s: 0.5 };
/// Default offered load as a fraction of what the slots can serve.
const DEFAULT_LOAD: f64 = 0.5;
/// Time limit for all machines to become ready at startup.
const STARTUP_TIMEOUT_S: f64 = 20.0;
/// Interval between readiness checks.
const READINESS_INTERVAL: Duration = Duration::from_millis(250);
/// Time limit of one readiness check.
const READINESS_TIMEOUT: Duration = Duration::from_millis(300);
/// Time that the last requests have to end after traffic stops.
const FINAL_REQUESTS_TIME: Duration = Duration::from_secs(3);
/// Maximum number of violations printed; all of them are in `violations.txt`.
const MAX_SHOWN: usize = 20;

/// Parameters of one soak run.
#[derive(Debug, Clone)]
struct Soak {
    spec: DeploymentSpec,
    seed: u64,
    plan: Plan,
    /// Offered load as a fraction of what the slots can serve.
    load: f64,
    out: PathBuf,
}

/// Runs the `soak` command.
pub fn command(mut arguments: Arguments) -> Result<(), BenchError> {
    let usage = |error: pico_args::Error| BenchError::Usage(error.to_string());
    let deployment: String = arguments.value_from_str("--deployment").map_err(usage)?;
    let seconds: f64 = arguments.value_from_str("--seconds").map_err(usage)?;
    let seed: u64 = arguments.value_from_str("--seed").map_err(usage)?;
    let out: PathBuf = arguments.value_from_str("--out").map_err(usage)?;
    let only: Option<String> = arguments.opt_value_from_str("--only").map_err(usage)?;
    let is_planned_only = arguments.contains("--planned");
    let kinds: Option<String> = arguments.opt_value_from_str("--kinds").map_err(usage)?;
    let gap_s: Option<f64> = arguments.opt_value_from_str("--gap").map_err(usage)?;
    let load: f64 = arguments.opt_value_from_str("--load").map_err(usage)?.unwrap_or(DEFAULT_LOAD);
    let examples: PathBuf =
        arguments.opt_value_from_str("--examples").map_err(usage)?.unwrap_or_else(|| PathBuf::from("examples"));
    let rest = arguments.finish();
    if !rest.is_empty() {
        return Err(BenchError::Usage(format!("unexpected arguments {rest:?}")));
    }
    if !(25.0..=3_600.0).contains(&seconds) {
        return Err(BenchError::Usage("--seconds must be from 25 to 3600".into()));
    }
    if !(0.01..=5.0).contains(&load) {
        return Err(BenchError::Usage("--load must be from 0.01 to 5".into()));
    }
    let spec = DeploymentSpec::read(&examples.join(&deployment).join("deployment.toml"))?;
    let machines = spec.services.iter().map(|service| service.instances).sum();
    let mut plan = match kinds {
        Some(names) => plan_with_kinds(seed, seconds, machines, &names, gap_s.unwrap_or(MEAN_GAP_S))?,
        None if gap_s.is_some() => return Err(BenchError::Usage("--gap requires --kinds".into())),
        None => Plan::draw(seed, seconds, machines, is_planned_only),
    };
    if let Some(only) = only {
        plan = plan.only(&parse_fault_numbers(&only)?);
    }
    Soak { spec, seed, plan, load, out }.run()
}

fn plan_with_kinds(seed: u64, seconds: f64, machines: usize, names: &str, gap_s: f64) -> Result<Plan, BenchError> {
    if !(0.05..=60.0).contains(&gap_s) {
        return Err(BenchError::Usage("--gap must be from 0.05 to 60 seconds".into()));
    }
    let names: Vec<String> = names.split(',').map(|name| name.trim().to_string()).collect();
    let plan = Plan::draw_kinds(seed, seconds, machines, &names, gap_s);
    if plan.faults.is_empty() {
        return Err(BenchError::Usage(format!(
            "--kinds takes fault kinds such as Pause,Link(Silent, not '{names:?}'"
        )));
    }
    Ok(plan)
}

fn parse_fault_numbers(text: &str) -> Result<Vec<usize>, BenchError> {
    let number = |part: &str| part.trim().parse();
    text.split(',')
        .map(number)
        .collect::<Result<_, _>>()
        .map_err(|_| BenchError::Usage(format!("--only takes fault numbers such as 3,7, not '{text}'")))
}

impl Soak {
    fn run(&self) -> Result<(), BenchError> {
        std::fs::create_dir_all(&self.out).map_err(|error| BenchError::File(error.to_string()))?;
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let runtime = runtime.map_err(|error| BenchError::Process(error.to_string()))?;
        let record = LocalSet::new().block_on(&runtime, self.run_faults())?;
        let violations = check(&record, &BOUNDS);
        self.report(&record, &violations)?;
        if violations.is_empty() { Ok(()) } else { Err(BenchError::Violations(violations.len())) }
    }

    async fn run_faults(&self) -> Result<Record, BenchError> {
        let harness = Harness::new(self.spec.clone(), self.seed, &self.out).await?;
        start_all(&harness).await?;
        let start_s = harness.now_s();
        spawn_local(timer_lag::watch(harness.clone()));
        let per_machine = mix_capacity(&self.spec) * self.load / harness.machines.len() as f64;
        for machine in 0..harness.machines.len() {
            spawn_local(traffic::send_client_requests(harness.clone(), machine, per_machine));
            spawn_local(traffic::send_probes(harness.clone(), machine));
            spawn_local(traffic::send_tenant_requests(harness.clone(), machine));
            spawn_local(transfers::send_transfers(harness.clone(), machine, self.seed));
        }
        for fault in &self.plan.faults {
            spawn_local(fault_injection::inject(harness.clone(), *fault, start_s));
        }
        tokio::time::sleep(Duration::from_secs_f64(self.plan.length_s)).await;
        harness.end_traffic();
        harness.record.borrow_mut().length_s = harness.now_s();
        tokio::time::sleep(FINAL_REQUESTS_TIME).await;
        let record = harness.record.borrow().clone();
        Ok(record)
    }

    fn report(&self, record: &Record, violations: &[Violation]) -> Result<(), BenchError> {
        let faults: Vec<String> = self.plan.faults.iter().map(ToString::to_string).collect();
        let lines: Vec<String> = violations.iter().map(ToString::to_string).collect();
        write_lines(&self.out.join("plan.txt"), &faults)?;
        write_lines(&self.out.join("violations.txt"), &lines)?;
        let subjects: Vec<&str> = violations.iter().map(|violation| violation.subject.as_str()).collect();
        write_lines(&self.out.join("traces.txt"), &traces::lines_about(&self.out, &subjects))?;
        println!(
            "deployment={} seed={} seconds={} faults={} requests={} runs={} ended_by_requests={} leavings={} last_run_after_leaving_s={:.3} \
             late_part={:.3} late_part_at_end={:.3} violations={}",
            self.spec.deployment,
            self.seed,
            self.plan.length_s,
            self.plan.faults.len(),
            record.calls.len(),
            record.runs.len(),
            record.crashes.len(),
            record.leaving.len(),
            last_run_after_leaving_s(record, &BOUNDS),
            record.late_fraction(0.0),
            record.late_fraction(record.length_s - checker::RECOVERY_WINDOW_S),
            violations.len(),
        );
        println!("ends: {:?}", outcomes(record));
        violations.iter().take(MAX_SHOWN).for_each(|violation| println!("  {violation}"));
        Ok(())
    }
}

fn write_lines(file: &Path, lines: &[String]) -> Result<(), BenchError> {
    let text: String = lines.iter().map(|line| format!("{line}\n")).collect();
    std::fs::write(file, text).map_err(|error| BenchError::File(format!("file={} {error}", file.display())))
}

/// Starts the links, instances and processes, and waits until all machines are ready.
async fn start_all(harness: &Rc<Harness>) -> Result<(), BenchError> {
    let fail = |error: std::io::Error| BenchError::Process(error.to_string());
    let mut endpoints = Vec::new();
    for machine in &harness.machines {
        proxy::serve_tcp(machine.link.clone(), machine.inbound, machine.node_inbound).await.map_err(fail)?;
        endpoints.push(DatagramEndpoint {
            link: machine.link.clone(),
            public: machine.peers,
            node: machine.node_peers,
        });
    }
    proxy::serve_datagrams(endpoints).await.map_err(fail)?;
    spawn_local(proxy::reset_regularly(harness.machines.iter().map(|machine| machine.link.clone()).collect()));
    harness.publish_configuration();
    for machine in 0..harness.machines.len() {
        harness.start_instance(machine).await?;
    }
    for machine in 0..harness.machines.len() {
        harness.start_process(machine)?;
        spawn_local(watch_readiness(harness.clone(), machine));
    }
    let limit_s = harness.now_s() + STARTUP_TIMEOUT_S;
    while !harness.all_ready() {
        if harness.now_s() > limit_s {
            return Err(BenchError::Process("not all nodes became ready in time".into()));
        }
        tokio::time::sleep(READINESS_INTERVAL).await;
    }
    Ok(())
}

/// Polls a machine's readiness and restarts its process if it has exited. A machine counts as not ready after
/// two failed checks in a row.
async fn watch_readiness(harness: Rc<Harness>, machine: usize) {
    let mut failed_checks = 0;
    loop {
        let is_ready =
            tokio::time::timeout(READINESS_TIMEOUT, reports_ready(&harness, machine)).await.unwrap_or(false);
        harness.restart_if_exited(machine);
        failed_checks = if is_ready { 0 } else { failed_checks + 1 };
        harness.set_ready(machine, failed_checks < 2);
        tokio::time::sleep(READINESS_INTERVAL).await;
    }
}

async fn reports_ready(harness: &Harness, machine: usize) -> bool {
    let machine = &harness.machines[machine];
    let Ok(mut stream) = TcpStream::connect(machine.readiness).await else { return false };
    let path = olivegate_platform::WIRE_NAMES.readiness_path;
    let request = format!("GET {path} HTTP/1.1\r\nHost: {}\r\nConnection: close\r\n\r\n", machine.readiness);
    let mut status_line = [0; 12];
    let is_sent = stream.write_all(request.as_bytes()).await.is_ok();
    is_sent && stream.read_exact(&mut status_line).await.is_ok() && status_line.ends_with(b"200")
}
