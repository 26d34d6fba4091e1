//! Runs one arm of an experiment: starts everything, drives load and failures,
//! collects the history.

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

/// Time between two looks at the versions in force.
const VERSION_INTERVAL: Duration = Duration::from_millis(200);
/// Time that a loser of an operator race is served before the winner.
const RACE_TIME: Duration = Duration::from_millis(700);

/// What to run.
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

/// What one arm gave.
pub struct ArmResult {
    pub arm: Arm,
    pub history: History,
    /// When the load started, Unix time in microseconds.
    pub start_us: u64,
    /// Processor time of olivegate's (or the forwarders') processes, in seconds.
    pub processor_seconds: f64,
}

/// A child process that ends when this value is dropped.
pub struct Helper(Child);

impl Helper {
    /// Starts this program with `arguments`; its input is held open.
    pub fn start(arguments: &[&str], output: Stdio) -> Result<Self, BenchError> {
        let fail = |error: std::io::Error| BenchError::Process(error.to_string());
        let program = std::env::current_exe().map_err(fail)?;
        let child = Command::new(program).args(arguments).stdin(Stdio::piped()).stdout(output).spawn();
        child.map(Helper).map_err(fail)
    }

    /// First line of the output.
    fn first_line(&mut self) -> Result<String, BenchError> {
        use std::io::BufRead;
        let output = self.0.stdout.take().ok_or_else(|| BenchError::Process("no output".into()))?;
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

impl Drop for Helper {
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
        let base = examples.join(deployment);
        let spec = DeploymentSpec::read(&base.join("deployment.toml"))?;
        let nodes = spec.zones.len() * spec.nodes_per_zone;
        let scenario = Scenario::named(scenario, seconds, seed, nodes, spec.zones.len())
            .ok_or_else(|| BenchError::Usage(format!("there is no scenario '{scenario}'")))?;
        let directory = scenario.variant.map_or(base.clone(), |variant| base.join(variant));
        let mut spec = DeploymentSpec::read(&directory.join("deployment.toml"))?;
        if scenario.one_call {
            spec.traffic.truncate(1);
        }
        for endpoint in &mut spec.endpoints {
            endpoint.body_bytes *= scenario.body_factor;
        }
        let bundle_file = directory.join("bundle.toml");
        let text = std::fs::read_to_string(&bundle_file)
            .map_err(|error| BenchError::File(format!("file={} {error}", bundle_file.display())))?;
        let bundle = bundle_from_toml(&text)
            .map_err(|mistakes| BenchError::File(format!("file={} {mistakes}", bundle_file.display())))?;
        std::fs::create_dir_all(&out).map_err(|error| BenchError::File(error.to_string()))?;
        let spec_file = out.join("deployment.toml");
        write_spec(&spec, &spec_file)?;
        Ok(Experiment { spec, spec_file, bundle, scenario, seed, seconds, out })
    }

    /// Importance of a call by the bundle.
    pub fn importance(&self, call: &str) -> u8 {
        let mut parts = call.split(' ');
        let (method, path) = (parts.next().unwrap_or_default(), parts.next().unwrap_or_default());
        let kinds =
            self.bundle.kinds.iter().filter(|kind| kind.method == method && path.starts_with(&kind.path_prefix));
        kinds.max_by_key(|kind| kind.path_prefix.len()).map_or(0, |kind| kind.importance.0)
    }

    fn is_keyed(&self, call: &str) -> bool {
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
        let mut back_ends = Helper::start(&arguments, Stdio::piped())?;
        let addresses: BackEndAddresses = serde_json::from_str(&back_ends.first_line()?)
            .map_err(|error| BenchError::Process(format!("back ends did not start: {error}")))?;
        let platform = Platform::start().await?;
        let system = match arm {
            Arm::Olivegate => self.start_nodes(&platform, &addresses).await?,
            Arm::Direct => arms::direct(&addresses),
            Arm::PassThrough => arms::pass_through(&self.spec, &addresses, &self.out)?,
        };
        let capacity = mix_capacity(&self.spec);
        let (importance, keyed) = (self.clone(), self.clone());
        let driver = Arc::new(Driver::new(
            self.spec.clone(),
            self.scenario.behaviour,
            system.targets.clone(),
            Arc::new(move |call: &str| importance.importance(call)),
            Arc::new(move |call: &str| keyed.is_keyed(call)),
            format!("{}-{}", arm.name(), self.seed),
        ));
        self.warm_up(&driver).await;
        let run =
            Run { experiment: self, system: &system, platform, back_ends: addresses, events: Mutex::default() };
        let _ = run.executions().await;
        let before = system.processor_seconds();
        let start_us = unix_us();
        let (versions, processor_seconds) = run.drive(&driver, capacity, before).await;
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

    /// A few requests of each call, so that connections exist; not recorded.
    async fn warm_up(&self, driver: &Arc<Driver>) {
        let phase = [Phase { from: 0.0, per_second: 60.0 }];
        driver.run(arrivals(&self.spec, &phase, 1.0, self.seed ^ 1, None)).await;
        driver.take_calls();
    }

    async fn start_nodes(
        &self,
        platform: &Platform,
        back_ends: &BackEndAddresses,
    ) -> Result<arms::System, BenchError> {
        let delay = Duration::from_micros(self.spec.zone_delay_us);
        let links = Links::new(&self.spec.zones, delay);
        let directory = self.out.join("nodes");
        let fleet = Fleet::plan(&self.spec, platform.address, &links, &directory)?;
        platform.set_machines(&back_ends.instances, &fleet.controls());
        platform.publish(&SignedBundle::signed_by(self.bundle.clone(), &operator_keys()));
        let names: Vec<String> = fleet.places.iter().map(|place| place.name.clone()).collect();
        for name in &names {
            fleet.start(name, true)?;
        }
        fleet.wait_ready(&names).await?;
        fleet.wait_settled().await?;
        Ok(arms::olivegate(fleet, links))
    }
}

fn write_spec(spec: &DeploymentSpec, file: &Path) -> Result<(), BenchError> {
    let mut spec = spec.clone();
    spec.traffic.iter_mut().for_each(|traffic| traffic.share = traffic.share.round());
    let text = crate::spec::to_toml(&spec);
    std::fs::write(file, text).map_err(|error| BenchError::File(error.to_string()))
}

/// An arm in progress.
struct Run<'a> {
    experiment: &'a Experiment,
    system: &'a arms::System,
    platform: Platform,
    back_ends: BackEndAddresses,
    events: Mutex<Vec<Event>>,
}

impl Run<'_> {
    fn note(&self, what: EventKind) {
        let event = Event { at_us: unix_us(), what };
        self.events.lock().unwrap_or_else(std::sync::PoisonError::into_inner).push(event);
    }

    async fn executions(&self) -> Vec<crate::history::Execution> {
        let fetched = fetch::get(self.back_ends.control, "/executions", 1 << 30, Duration::from_secs(20)).await;
        fetched.ok().and_then(|fetched| serde_json::from_slice(&fetched.body).ok()).unwrap_or_default()
    }

    async fn steer(&self, verb: &str, name: &str, number: u32) {
        let path = format!("/{verb}/{name}/{number}");
        let _ = fetch::get(self.back_ends.control, &path, 1024, Duration::from_secs(2)).await;
    }

    /// Load, failures and observation side by side; ends when the load has ended.
    async fn drive(&self, driver: &Arc<Driver>, capacity: f64, before: f64) -> (Vec<VersionSample>, f64) {
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
        let failures = self.fail(&scenario.actions);
        let both = async { tokio::join!(load, failures) };
        tokio::select! {
            _ = both => {}
            () = self.watch(&versions) => {}
        }
        let used = self.system.processor_seconds() - before;
        tokio::time::sleep(Duration::from_millis(500)).await;
        let mut versions = versions.into_inner().unwrap_or_else(std::sync::PoisonError::into_inner);
        if let Some(fleet) = &self.system.fleet {
            versions.extend(fleet.versions().await);
            fleet.save_metrics().await;
        }
        (versions, used)
    }

    async fn watch(&self, versions: &Mutex<Vec<VersionSample>>) {
        loop {
            if let Some(fleet) = &self.system.fleet {
                let samples = fleet.versions().await;
                versions.lock().unwrap_or_else(std::sync::PoisonError::into_inner).extend(samples);
            }
            tokio::time::sleep(VERSION_INTERVAL).await;
        }
    }

    async fn fail(&self, actions: &[(f64, Action)]) {
        let start = Instant::now();
        let mut pending = futures::stream::FuturesUnordered::new();
        for (at, action) in actions {
            let due = start + Duration::from_secs_f64(*at);
            pending.push(async move {
                tokio::time::sleep_until(due.into()).await;
                self.act(action).await;
            });
        }
        use futures::StreamExt;
        while pending.next().await.is_some() {}
    }

    fn drained_instance(&self) -> String {
        self.back_ends.instances[0].0.clone()
    }

    async fn act(&self, action: &Action) {
        let spec = &self.experiment.spec;
        match action {
            Action::SlowDeep(factor) => {
                let deep = &spec.services[spec.services.len() - 1].name;
                self.note(EventKind::Slow(deep.clone(), *factor));
                self.steer("slow", deep, (factor * 1_000.0) as u32).await;
            }
            Action::Breaking(thousandths) => self.steer("break", "all", *thousandths).await,
            Action::Cold => self.steer("cold", &spec.services[0].name, 1).await,
            Action::Leave { lying, lag_ms } => {
                let name = self.drained_instance();
                self.steer("lie", &name, u32::from(*lying)).await;
                self.steer("leave", &name, 1).await;
                self.note(EventKind::Leaving(name.clone()));
                self.platform.set_leaving(name, true, Duration::from_millis(*lag_ms));
            }
            Action::Back => {
                let name = self.drained_instance();
                self.note(EventKind::Back(name.clone()));
                self.steer("leave", &name, 0).await;
                self.steer("lie", &name, 0).await;
                self.platform.set_leaving(name, false, Duration::ZERO);
            }
            Action::TriggerEnd => self.note(EventKind::TriggerEnd),
            Action::Configuration(up) => {
                self.note(EventKind::Configuration(*up));
                self.platform.set_configuration_up(*up);
            }
            Action::Publish => self.publish(1, 0),
            Action::PublishStale => {
                let first = SignedBundle::signed_by(self.experiment.bundle.clone(), &operator_keys());
                self.platform.publish(&first);
            }
            Action::PublishRace => {
                self.publish(1, 1);
                tokio::time::sleep(RACE_TIME).await;
                self.publish(0, 2);
            }
            other => self.act_on_nodes(other).await,
        }
    }

    /// Publishes a version `step` above the last one; `variant` makes rivals differ.
    fn publish(&self, step: u64, variant: u32) {
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
        bundle.version = last + step;
        bundle.objective.max_queue_wait_ms += bundle.version as u32 % 7 + variant;
        self.note(EventKind::Publish(bundle.version, bundle.stamp().digest.to_string()));
        self.platform.publish(&SignedBundle::signed_by(bundle, &operator_keys()));
    }

    async fn act_on_nodes(&self, action: &Action) {
        let (Some(fleet), Some(links)) = (&self.system.fleet, &self.system.links) else {
            return;
        };
        let name = |index: &usize| fleet.places[index % fleet.places.len()].name.clone();
        match action {
            Action::Kill(index) => {
                self.note(EventKind::Kill(name(index)));
                fleet.kill(&name(index));
            }
            Action::Start(index) => self.start(fleet, &name(index)),
            Action::Freeze(index, millis) => {
                self.note(EventKind::Freeze(name(index), *millis));
                fleet.signal(&name(index), Signal::STOP);
                tokio::time::sleep(Duration::from_millis(*millis)).await;
                fleet.signal(&name(index), Signal::CONT);
            }
            Action::Cut { zone, one_way } => {
                let zone = &self.experiment.spec.zones[*zone];
                let what =
                    if *one_way { EventKind::CutOneWay(zone.clone()) } else { EventKind::Cut(zone.clone()) };
                self.note(what);
                links.cut(zone, *one_way);
            }
            Action::Heal => {
                self.note(EventKind::Heal);
                links.heal();
            }
            Action::RollingReplace => self.replace_all(fleet).await,
            Action::KillAll => {
                for place in &fleet.places {
                    self.note(EventKind::Kill(place.name.clone()));
                    fleet.kill(&place.name);
                }
            }
            Action::StartAll => fleet.places.iter().for_each(|place| self.start(fleet, &place.name)),
            _ => {}
        }
    }

    fn start(&self, fleet: &Fleet, name: &str) {
        self.note(EventKind::Start(name.to_string()));
        if let Err(error) = fleet.start(name, false) {
            log::error!("event=node_not_started node={name} error={error}");
        }
    }

    async fn replace_all(&self, fleet: &Fleet) {
        for place in &fleet.places {
            self.note(EventKind::PlannedStop(place.name.clone()));
            if !fleet.stop(&place.name).await {
                self.note(EventKind::StopCutOff(place.name.clone()));
            }
            self.start(fleet, &place.name);
            let _ = fleet.wait_ready(std::slice::from_ref(&place.name)).await;
            tokio::time::sleep(Duration::from_millis(1_000)).await;
        }
    }
}

/// Processor seconds of helper processes.
pub fn helpers_seconds(helpers: &[Helper]) -> f64 {
    helpers.iter().map(|helper| processor_seconds(helper.id())).sum()
}
