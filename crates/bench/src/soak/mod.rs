//! A randomized fault soak: the real sidecar programs as processes of one machine, faults from
//! outside them, and the promises judged from what callers and instances saw.
//!
//! - [`plan`]: which faults strike when; pure, from a seed.
//! - [`fault_injection`]: carries them out.
//! - [`harness`]: machines, store and what all parts share; [`processes`]: the programs.
//! - [`proxy`]: the ways between machines. [`instance`]: emulated instances.
//! - [`store_entries`]: what the operator and instances write to the store.
//! - [`traffic`], [`exchange`]: clients, calls and probes.
//! - [`tenants`]: whose requests they are.
//! - [`timer_lag`]: whether the soak itself keeps up.
//! - [`refusal_checks`]: who was refused although an instance lived; pure.
//! - [`traces`]: what the programs' logs say of a broken promise.
//! - [`record`], [`checker`], [`access_checks`], [`deadly_checks`], [`declared_checks`]:
//!   what was seen, and which promise was broken; pure.

pub mod access_checks;
pub mod checker;
pub mod deadly_checks;
pub mod declared_checks;
pub mod exchange;
pub mod fault_injection;
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

use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use pico_args::Arguments;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::{LocalSet, spawn_local};

use self::checker::{Violation, judge, last_run_after_leaving_s, outcomes};
use self::harness::World;
use self::plan::{MEAN_GAP_S, Plan};
use self::proxy::DatagramEnd;
use self::record::{Promised, Record};
use crate::capacity::mix_capacity;
use crate::error::BenchError;
use crate::spec::DeploymentSpec;

/// Bounds that are judged; the nodes' settings say the same.
pub const PROMISED: Promised =
    Promised { contact_s: 1.5, drain_s: 1.5, apply_s: 2.0, rollback_s: 0.25, keys_s: 4.0, slack_s: 0.5 };
/// Usual load over what the slots can serve.
const USUAL_LOAD: f64 = 0.5;
/// Longest time until all machines are ready at first.
const READY_LIMIT_S: f64 = 20.0;
/// Interval at which readiness is asked for.
const READINESS_INTERVAL: Duration = Duration::from_millis(250);
/// Time limit of a question about readiness.
const READINESS_LIMIT: Duration = Duration::from_millis(300);
/// Time for the last requests to end.
const LAST_REQUESTS: Duration = Duration::from_secs(3);
/// Violations that are printed.
const MOST_SHOWN: usize = 20;

/// What is to be played.
#[derive(Debug, Clone)]
struct Soak {
    spec: DeploymentSpec,
    seed: u64,
    plan: Plan,
    /// Usual load over what the slots can serve.
    load: f64,
    out: PathBuf,
}

/// Runs the command `soak`.
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
    let load: f64 = arguments.opt_value_from_str("--load").map_err(usage)?.unwrap_or(USUAL_LOAD);
    let examples: PathBuf =
        arguments.opt_value_from_str("--examples").map_err(usage)?.unwrap_or_else(|| PathBuf::from("examples"));
    let rest = arguments.finish();
    if !rest.is_empty() {
        return Err(BenchError::Usage(format!("unexpected arguments {rest:?}")));
    }
    if !(25.0..=3_600.0).contains(&seconds) {
        return Err(BenchError::Usage("--seconds is from 25 to 3600".into()));
    }
    if !(0.01..=5.0).contains(&load) {
        return Err(BenchError::Usage("--load is from 0.01 to 5".into()));
    }
    let spec = DeploymentSpec::read(&examples.join(&deployment).join("deployment.toml"))?;
    let machines = spec.services.iter().map(|service| service.instances).sum();
    let mut plan = match kinds {
        Some(names) => plan_of_kinds(seed, seconds, machines, &names, gap_s.unwrap_or(MEAN_GAP_S))?,
        None if gap_s.is_some() => return Err(BenchError::Usage("--gap goes with --kinds".into())),
        None => Plan::draw(seed, seconds, machines, is_planned_only),
    };
    if let Some(only) = only {
        plan = plan.only(&numbers(&only)?);
    }
    Soak { spec, seed, plan, load, out }.run()
}

fn plan_of_kinds(seed: u64, seconds: f64, machines: usize, names: &str, gap_s: f64) -> Result<Plan, BenchError> {
    if !(0.05..=60.0).contains(&gap_s) {
        return Err(BenchError::Usage("--gap is from 0.05 to 60 seconds".into()));
    }
    let names: Vec<String> = names.split(',').map(|name| name.trim().to_string()).collect();
    let plan = Plan::draw_kinds(seed, seconds, machines, &names, gap_s);
    if plan.faults.is_empty() {
        return Err(BenchError::Usage(format!(
            "--kinds takes kinds of faults such as Pause,Link(Silent, not '{names:?}'"
        )));
    }
    Ok(plan)
}

fn numbers(text: &str) -> Result<Vec<usize>, BenchError> {
    let number = |part: &str| part.trim().parse();
    text.split(',')
        .map(number)
        .collect::<Result<_, _>>()
        .map_err(|_| BenchError::Usage(format!("--only takes numbers of faults such as 3,7, not '{text}'")))
}

impl Soak {
    fn run(&self) -> Result<(), BenchError> {
        std::fs::create_dir_all(&self.out).map_err(|error| BenchError::File(error.to_string()))?;
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let runtime = runtime.map_err(|error| BenchError::Process(error.to_string()))?;
        let record = LocalSet::new().block_on(&runtime, self.play())?;
        let violations = judge(&record, &PROMISED);
        self.report(&record, &violations)?;
        if violations.is_empty() { Ok(()) } else { Err(BenchError::Violations(violations.len())) }
    }

    async fn play(&self) -> Result<Record, BenchError> {
        let world = World::new(self.spec.clone(), self.seed, &self.out).await?;
        prepare(&world).await?;
        let begin_s = world.now_s();
        spawn_local(timer_lag::watch(world.clone()));
        let per_machine = mix_capacity(&self.spec) * self.load / world.machines.len() as f64;
        for machine in 0..world.machines.len() {
            spawn_local(traffic::clients(world.clone(), machine, per_machine));
            spawn_local(traffic::probes(world.clone(), machine));
            spawn_local(traffic::tenants(world.clone(), machine));
        }
        for fault in &self.plan.faults {
            spawn_local(fault_injection::strike(world.clone(), *fault, begin_s));
        }
        tokio::time::sleep(Duration::from_secs_f64(self.plan.length_s)).await;
        world.end_traffic();
        world.record.borrow_mut().length_s = world.now_s();
        tokio::time::sleep(LAST_REQUESTS).await;
        let record = world.record.borrow().clone();
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
            last_run_after_leaving_s(record, &PROMISED),
            record.late_part(0.0),
            record.late_part(record.length_s - checker::LAST_S),
            violations.len(),
        );
        println!("ends: {:?}", outcomes(record));
        violations.iter().take(MOST_SHOWN).for_each(|violation| println!("  {violation}"));
        Ok(())
    }
}

fn write_lines(file: &Path, lines: &[String]) -> Result<(), BenchError> {
    let text: String = lines.iter().map(|line| format!("{line}\n")).collect();
    std::fs::write(file, text).map_err(|error| BenchError::File(format!("file={} {error}", file.display())))
}

/// Puts up the ways, instances and programs, and waits until all are ready.
async fn prepare(world: &Rc<World>) -> Result<(), BenchError> {
    let fail = |error: std::io::Error| BenchError::Process(error.to_string());
    let mut ends = Vec::new();
    for machine in &world.machines {
        proxy::serve_tcp(machine.way.clone(), machine.inbound, machine.inbound_own).await.map_err(fail)?;
        ends.push(DatagramEnd { way: machine.way.clone(), public: machine.peers, own: machine.peers_own });
    }
    proxy::serve_datagrams(ends).await.map_err(fail)?;
    spawn_local(proxy::reset_regularly(world.machines.iter().map(|machine| machine.way.clone()).collect()));
    world.configure();
    for machine in 0..world.machines.len() {
        world.start_instance(machine).await?;
    }
    for machine in 0..world.machines.len() {
        world.start_process(machine)?;
        spawn_local(watch(world.clone(), machine));
    }
    let limit_s = world.now_s() + READY_LIMIT_S;
    while !world.all_ready() {
        if world.now_s() > limit_s {
            return Err(BenchError::Process("the nodes did not become ready".into()));
        }
        tokio::time::sleep(READINESS_INTERVAL).await;
    }
    Ok(())
}

/// Follows a machine's readiness, and looks after its process.
async fn watch(world: Rc<World>, machine: usize) {
    let mut misses = 0;
    loop {
        let is_ready = tokio::time::timeout(READINESS_LIMIT, asks_ready(&world, machine)).await.unwrap_or(false);
        world.look_after_process(machine);
        misses = if is_ready { 0 } else { misses + 1 };
        world.set_ready(machine, misses < 2);
        tokio::time::sleep(READINESS_INTERVAL).await;
    }
}

async fn asks_ready(world: &World, machine: usize) -> bool {
    let place = &world.machines[machine];
    let Ok(mut stream) = TcpStream::connect(place.readiness).await else { return false };
    let path = olivegate_platform::WIRE_NAMES.readiness_path;
    let question = format!("GET {path} HTTP/1.1\r\nHost: {}\r\nConnection: close\r\n\r\n", place.readiness);
    let mut answer = [0; 12];
    let asked = stream.write_all(question.as_bytes()).await.is_ok();
    asked && stream.read_exact(&mut answer).await.is_ok() && answer.ends_with(b"200")
}
