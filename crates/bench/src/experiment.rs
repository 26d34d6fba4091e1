//! Runs one arm of an experiment: starts the processes, generates load, injects faults and collects
//! the history.

use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use olivegate_bundle::check::bundle_from_toml;
use olivegate_bundle::{Bundle, SignedBundle};
use olivegate_node::fetch;
use rustix::process::Signal;

use crate::arms::{self, Arm};
use crate::back_ends::BackEndAddresses;
use crate::capacity::mix_capacity;
use crate::error::BenchError;
use crate::fleet::{Fleet, operator_keys, processor_seconds};
use crate::history::{Event, EventKind, History, VersionSample};
use crate::links::Links;
use crate::load::driver::Driver;
use crate::load::schedule::{Phase, arrivals};
use crate::platform::Platform;
use crate::scenario::{Action, Scenario};
use crate::spec::DeploymentSpec;
use crate::wall_clock::unix_us;

/// Interval at which the bundle versions in force are sampled.
const VERSION_SAMPLE_INTERVAL: Duration = Duration::from_millis(200);
/// Time for which the losing bundle of an operator race is served before the winning one.
const RACE_DELAY: Duration = Duration::from_millis(700);

/// An experiment: deployment, scenario, seed and length.
#[derive(Debug, Clone)]
pub struct Experiment {
    pub spec: DeploymentSpec,
    pub spec_file: PathBuf,
    pub bundle: Bundle,
    pub scenario: Scenario,
    pub seed: u64,
    pub seconds: f64,
    pub out: PathBuf,
}

/// Results of one arm.
pub struct ArmResult {
    pub arm: Arm,
    pub history: History,
    /// When the load started, Unix time in microseconds.
    pub start_us: u64,
    /// Processor time of the nodes (or forwarders), in seconds.
    pub processor_seconds: f64,
}

/// A child process that is killed when this value is dropped.
pub struct HelperProcess(Child);

impl HelperProcess {
    /// Starts this program with `arguments`. Its standard input stays open while this value lives.
    pub fn start(arguments: &[&str], output: Stdio) -> Result<Self, BenchError> {
        let process_error = |error: std::io::Error| BenchError::Process(error.to_string());
        let program = std::env::current_exe().map_err(process_error)?;
        let child = Command::new(program).args(arguments).stdin(Stdio::piped()).stdout(output).spawn();
        child.map(HelperProcess).map_err(process_error)
    }

    /// Reads the first line of the process's standard output.
    fn first_line(&mut self) -> Result<String, BenchError> {
        use std::io::BufRead;
        let output =
            self.0.stdout.take().ok_or_else(|| BenchError::Process("standard output is not piped".into()))?;
        let mut line = String::new();
        let read = std::io::BufReader::new(output).read_line(&mut line);
        read.map_err(|error| BenchError::Process(error.to_string()))?;
        Ok(line)
    }

    /// Process id.
    pub fn id(&self) -> u32 {
        self.0.id()
    }
}

impl Drop for HelperProcess {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Experiment {
    /// Reads the deployment's files below `examples`.
    pub fn read(
        examples: &Path,
        deployment: &str,
        scenario: &str,
        seed: u64,
        seconds: f64,
        out: PathBuf,
    ) -> Result<Self, BenchError> {
        let deployment_directory = examples.join(deployment);
        let spec = DeploymentSpec::read(&deployment_directory.join("deployment.toml"))?;
        let nodes = spec.zones.len() * spec.nodes_per_zone;
        let scenario = Scenario::by_name(scenario, seconds, seed, nodes, spec.zones.len())
            .ok_or_else(|| BenchError::Usage(format!("unknown scenario '{scenario}'")))?;
        let directory =
            scenario.variant.map_or(deployment_directory.clone(), |variant| deployment_directory.join(variant));
        let mut spec = DeploymentSpec::read(&directory.join("deployment.toml"))?;
        if scenario.single_call {
            spec.traffic.truncate(1);
        }
        for endpoint in &mut spec.endpoints {
            endpoint.body_bytes *= scenario.body_factor;
        }
        let bundle_file = directory.join("bundle.toml");
        let text = std::fs::read_to_string(&bundle_file)
            .map_err(|error| BenchError::File(format!("file={} {error}", bundle_file.display())))?;
        let bundle = bundle_from_toml(&text)
            .map_err(|error| BenchError::File(format!("file={} {error}", bundle_file.display())))?;
        std::fs::create_dir_all(&out).map_err(|error| BenchError::File(error.to_string()))?;
        let spec_file = out.join("deployment.toml");
        write_spec(&spec, &spec_file)?;
        Ok(Experiment { spec, spec_file, bundle, scenario, seed, seconds, out })
    }

    /// Importance that the bundle gives a call: that of the kind with the longest matching path prefix.
    pub fn importance(&self, call: &str) -> u8 {
        let mut parts = call.split(' ');
        let (method, path) = (parts.next().unwrap_or_default(), parts.next().unwrap_or_default());
        let kinds =
            self.bundle.kinds.iter().filter(|kind| kind.method == method && path.starts_with(&kind.path_prefix));
        kinds.max_by_key(|kind| kind.path_prefix.len()).map_or(0, |kind| kind.importance.0)
    }

    /// True if the bundle does not declare the call safe to retry, so that it is sent with an
    /// idempotency key.
    fn needs_key(&self, call: &str) -> bool {
        let mut parts = call.split(' ');
        let (method, path) = (parts.next().unwrap_or_default(), parts.next().unwrap_or_default());
        let kinds =
            self.bundle.kinds.iter().filter(|kind| kind.method == method && path.starts_with(&kind.path_prefix));
        kinds.max_by_key(|kind| kind.path_prefix.len()).is_some_and(|kind| !kind.repeat_safe)
    }

    /// Runs one arm.
    pub async fn run(&self, arm: Arm) -> Result<ArmResult, BenchError> {
        let spec_file = self.spec_file.display().to_string();
        let seed = self.seed.to_string();
        let arguments = ["back-ends", "--spec", &spec_file, "--seed", &seed];
        let mut back_ends = HelperProcess::start(&arguments, Stdio::piped())?;
        let addresses: BackEndAddresses = serde_json::from_str(&back_ends.first_line()?)
            .map_err(|error| BenchError::Process(format!("back ends did not start: {error}")))?;
        let platform = Platform::start().await?;
        let system = match arm {
            Arm::Olivegate => self.start_nodes(&platform, &addresses).await?,
            Arm::Direct => arms::direct(&addresses),
            Arm::PassThrough => arms::pass_through(&self.spec, &addresses, &self.out)?,
        };
        let capacity = mix_capacity(&self.spec);
        let (importance_source, key_source) = (self.clone(), self.clone());
        let driver = Arc::new(Driver::new(
            self.spec.clone(),
            self.scenario.behaviour,
            system.targets.clone(),
            Arc::new(move |call: &str| importance_source.importance(call)),
            Arc::new(move |call: &str| key_source.needs_key(call)),
            format!("{}-{}", arm.name(), self.seed),
        ));
        self.warm_up(&driver).await;
        let run =
            ArmRun { experiment: self, system: &system, platform, back_ends: addresses, events: Mutex::default() };
        let _ = run.executions().await;
        let processor_before = system.processor_seconds();
        let start_us = unix_us();
        let (versions, processor_seconds) = run.run_load_and_faults(&driver, capacity, processor_before).await;
        let history = History {
            calls: driver.take_calls(),
            executions: run.executions().await,
            events: run.events.into_inner().unwrap_or_else(std::sync::PoisonError::into_inner),
            versions,
            retry_bound: u32::from(self.bundle.limits.retries_per_request),
            judged: arm == Arm::Olivegate,
        };
        Ok(ArmResult { arm, history, start_us, processor_seconds })
    }

    /// Sends a few requests of each call, so that connections are established. They are not recorded.
    async fn warm_up(&self, driver: &Arc<Driver>) {
        let phase = [Phase { from: 0.0, per_second: 60.0 }];
        driver.run(arrivals(&self.spec, &phase, 1.0, self.seed ^ 1, None)).await;
        driver.take_calls();
    }

    async fn start_nodes(
        &self,
        platform: &Platform,
        back_ends: &BackEndAddresses,
    ) -> Result<arms::SystemUnderTest, BenchError> {
        let delay = Duration::from_micros(self.spec.zone_delay_us);
        let links = Links::new(&self.spec.zones, delay);
        let directory = self.out.join("nodes");
        let fleet = Fleet::prepare(&self.spec, platform.address, &links, &directory)?;
        platform.set_member_list(&back_ends.instances, &fleet.control_addresses());
        platform.publish(&SignedBundle::signed_by(self.bundle.clone(), &operator_keys()));
        let names: Vec<String> = fleet.nodes.iter().map(|node| node.name.clone()).collect();
        for name in &names {
            fleet.start(name, true)?;
        }
        fleet.wait_until_ready(&names).await?;
        fleet.wait_until_converged().await?;
        Ok(arms::through_nodes(fleet, links))
    }
}

fn write_spec(spec: &DeploymentSpec, file: &Path) -> Result<(), BenchError> {
    let mut spec = spec.clone();
    spec.traffic.iter_mut().for_each(|traffic| traffic.share = traffic.share.round());
    let text = crate::spec::to_toml(&spec);
    std::fs::write(file, text).map_err(|error| BenchError::File(error.to_string()))
}

/// An arm that is being run.
struct ArmRun<'a> {
    experiment: &'a Experiment,
    system: &'a arms::SystemUnderTest,
    platform: Platform,
    back_ends: BackEndAddresses,
    events: Mutex<Vec<Event>>,
}

impl ArmRun<'_> {
    fn record_event(&self, what: EventKind) {
        let event = Event { at_us: unix_us(), what };
        self.events.lock().unwrap_or_else(std::sync::PoisonError::into_inner).push(event);
    }

    /// Fetches the executions recorded since the last call and clears the record.
    async fn executions(&self) -> Vec<crate::history::Execution> {
        let fetched = fetch::get(self.back_ends.control, "/executions", 1 << 30, Duration::from_secs(20)).await;
        fetched.ok().and_then(|fetched| serde_json::from_slice(&fetched.body).ok()).unwrap_or_default()
    }

    async fn control_back_ends(&self, verb: &str, name: &str, number: u32) {
        let path = format!("/{verb}/{name}/{number}");
        let _ = fetch::get(self.back_ends.control, &path, 1024, Duration::from_secs(2)).await;
    }

    /// Generates load, applies the scenario's actions and samples versions concurrently; returns
    /// when load and actions have ended, with the samples and the processor time used.
    async fn run_load_and_faults(
        &self,
        driver: &Arc<Driver>,
        capacity: f64,
        processor_before: f64,
    ) -> (Vec<VersionSample>, f64) {
        let experiment = self.experiment;
        let scenario = &experiment.scenario;
        let phases: Vec<Phase> = scenario
            .phases
            .iter()
            .map(|phase| Phase { from: phase.from, per_second: phase.per_second * capacity })
            .collect();
        let schedule = arrivals(&experiment.spec, &phases, experiment.seconds, experiment.seed, scenario.greedy);
        let versions = Mutex::new(Vec::new());
        let load = driver.run(schedule);
        let faults = self.run_actions(&scenario.actions);
        let load_and_faults = async { tokio::join!(load, faults) };
        tokio::select! {
            _ = load_and_faults => {}
            () = self.sample_versions(&versions) => {}
        }
        let processor_used = self.system.processor_seconds() - processor_before;
        tokio::time::sleep(Duration::from_millis(500)).await;
        let mut versions = versions.into_inner().unwrap_or_else(std::sync::PoisonError::into_inner);
        if let Some(fleet) = &self.system.fleet {
            versions.extend(fleet.versions().await);
            fleet.save_metrics().await;
        }
        (versions, processor_used)
    }

    async fn sample_versions(&self, versions: &Mutex<Vec<VersionSample>>) {
        loop {
            if let Some(fleet) = &self.system.fleet {
                let samples = fleet.versions().await;
                versions.lock().unwrap_or_else(std::sync::PoisonError::into_inner).extend(samples);
            }
            tokio::time::sleep(VERSION_SAMPLE_INTERVAL).await;
        }
    }

    async fn run_actions(&self, actions: &[(f64, Action)]) {
        let start = Instant::now();
        let mut pending_actions = futures::stream::FuturesUnordered::new();
        for (at, action) in actions {
            let due = start + Duration::from_secs_f64(*at);
            pending_actions.push(async move {
                tokio::time::sleep_until(due.into()).await;
                self.apply(action).await;
            });
        }
        use futures::StreamExt;
        while pending_actions.next().await.is_some() {}
    }

    fn leaving_instance(&self) -> String {
        self.back_ends.instances[0].0.clone()
    }

    async fn apply(&self, action: &Action) {
        let spec = &self.experiment.spec;
        match action {
            Action::SlowDeepest(factor) => {
                let deepest = &spec.services[spec.services.len() - 1].name;
                self.record_event(EventKind::Slow(deepest.clone(), *factor));
                self.control_back_ends("slow", deepest, (factor * 1_000.0) as u32).await;
            }
            Action::BreakConnections(thousandths) => self.control_back_ends("break", "all", *thousandths).await,
            Action::ColdStart => self.control_back_ends("cold", &spec.services[0].name, 1).await,
            Action::Leave { hidden_from_health, list_lag_ms } => {
                let name = self.leaving_instance();
                self.control_back_ends("lie", &name, u32::from(*hidden_from_health)).await;
                self.control_back_ends("leave", &name, 1).await;
                self.record_event(EventKind::Leaving(name.clone()));
                self.platform.set_leaving(name, true, Duration::from_millis(*list_lag_ms));
            }
            Action::Return => {
                let name = self.leaving_instance();
                self.record_event(EventKind::Back(name.clone()));
                self.control_back_ends("leave", &name, 0).await;
                self.control_back_ends("lie", &name, 0).await;
                self.platform.set_leaving(name, false, Duration::ZERO);
            }
            Action::TriggerEnd => self.record_event(EventKind::TriggerEnd),
            Action::Configuration(up) => {
                self.record_event(EventKind::Configuration(*up));
                self.platform.set_configuration_available(*up);
            }
            Action::Publish => self.publish(1, 0),
            Action::PublishStale => {
                let first = SignedBundle::signed_by(self.experiment.bundle.clone(), &operator_keys());
                self.platform.publish(&first);
            }
            Action::PublishRace => {
                self.publish(1, 1);
                tokio::time::sleep(RACE_DELAY).await;
                self.publish(0, 2);
            }
            other => self.apply_to_nodes(other).await,
        }
    }

    /// Publishes a bundle whose version is the last one plus `increment`. `variant` makes bundles
    /// with the same version differ, for conflicts.
    fn publish(&self, increment: u64, variant: u32) {
        let last = {
            let events = self.events.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
            let published = events.iter().filter_map(|event| match &event.what {
                EventKind::Publish(version, _) => Some(*version),
                _ => None,
            });
            published.max().unwrap_or(self.experiment.bundle.version)
        };
        let mut bundle = self.experiment.bundle.clone();
        bundle.parent = bundle.stamp().digest;
        bundle.version = last + increment;
        bundle.objective.max_queue_wait_ms += bundle.version as u32 % 7 + variant;
        self.record_event(EventKind::Publish(bundle.version, bundle.stamp().digest.to_string()));
        self.platform.publish(&SignedBundle::signed_by(bundle, &operator_keys()));
    }

    async fn apply_to_nodes(&self, action: &Action) {
        let (Some(fleet), Some(links)) = (&self.system.fleet, &self.system.links) else {
            return;
        };
        let name = |index: &usize| fleet.nodes[index % fleet.nodes.len()].name.clone();
        match action {
            Action::Kill(index) => {
                self.record_event(EventKind::Kill(name(index)));
                fleet.kill(&name(index));
            }
            Action::Start(index) => self.start(fleet, &name(index)),
            Action::Freeze(index, duration_ms) => {
                self.record_event(EventKind::Freeze(name(index), *duration_ms));
                fleet.signal(&name(index), Signal::STOP);
                tokio::time::sleep(Duration::from_millis(*duration_ms)).await;
                fleet.signal(&name(index), Signal::CONT);
            }
            Action::Cut { zone, one_way } => {
                let zone = &self.experiment.spec.zones[*zone];
                let kind =
                    if *one_way { EventKind::CutOneWay(zone.clone()) } else { EventKind::Cut(zone.clone()) };
                self.record_event(kind);
                links.cut(zone, *one_way);
            }
            Action::Heal => {
                self.record_event(EventKind::Heal);
                links.heal();
            }
            Action::RollingReplace => self.rolling_replace(fleet).await,
            Action::KillAll => {
                for node in &fleet.nodes {
                    self.record_event(EventKind::Kill(node.name.clone()));
                    fleet.kill(&node.name);
                }
            }
            Action::StartAll => fleet.nodes.iter().for_each(|node| self.start(fleet, &node.name)),
            _ => {}
        }
    }

    fn start(&self, fleet: &Fleet, name: &str) {
        self.record_event(EventKind::Start(name.to_string()));
        if let Err(error) = fleet.start(name, false) {
            log::error!("event=node_not_started node={name} error={error}");
        }
    }

    async fn rolling_replace(&self, fleet: &Fleet) {
        for node in &fleet.nodes {
            self.record_event(EventKind::PlannedStop(node.name.clone()));
            if !fleet.stop(&node.name).await {
                self.record_event(EventKind::StopCutOff(node.name.clone()));
            }
            self.start(fleet, &node.name);
            let _ = fleet.wait_until_ready(std::slice::from_ref(&node.name)).await;
            tokio::time::sleep(Duration::from_millis(1_000)).await;
        }
    }
}

/// Processor time of helper processes, in seconds.
pub fn total_processor_seconds(helpers: &[HelperProcess]) -> f64 {
    helpers.iter().map(|helper| processor_seconds(helper.id())).sum()
}
