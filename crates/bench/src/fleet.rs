//! Node processes of an experiment: start, stop, kill and signal them, and read their status.

use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use olivegate_bundle::SigningKeyPair;
use olivegate_node::fetch;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;

use crate::error::BenchError;
use crate::history::VersionSample;
use crate::links::Links;
use crate::spec::DeploymentSpec;
use crate::wall_clock::unix_us;

/// Timeout for all nodes to become ready, and then for the fleet to converge.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Secret keys of the two operators whose signatures a bundle needs.
const OPERATOR_SECRETS: [[u8; 32]; 2] = [[11; 32], [22; 32]];
/// Seats of the claim group.
const SEATS: usize = 3;
/// Lowest and highest port for the nodes.
const FIRST_PORT: u16 = 12_000;
const LAST_PORT: u16 = 32_000;
/// Clock ticks per second in which `/proc` counts processor time.
const TICKS_PER_SECOND: f64 = 100.0;

/// Signing keys of the operators.
pub fn operator_keys() -> Vec<SigningKeyPair> {
    OPERATOR_SECRETS.into_iter().map(SigningKeyPair::from_secret).collect()
}

/// One node of the fleet.
#[derive(Debug, Clone)]
pub struct FleetNode {
    pub name: String,
    pub zone: String,
    pub caller: SocketAddr,
    pub data: SocketAddr,
    pub control: SocketAddr,
    pub admin: SocketAddr,
    settings_file: PathBuf,
}

struct RunningNode {
    child: Child,
    start_count: u32,
}

/// All nodes of a deployment, and their processes.
pub struct Fleet {
    pub nodes: Vec<FleetNode>,
    running: Mutex<BTreeMap<String, RunningNode>>,
    start_counts: Mutex<HashMap<String, u32>>,
    program: PathBuf,
    log_directory: PathBuf,
}

/// Finds free ports below the kernel's range for outgoing connections, so that no connection takes
/// the port of a node that is being restarted.
fn reserve_ports(count: usize) -> Result<Vec<SocketAddr>, BenchError> {
    let first = FIRST_PORT + (std::process::id() % 100) as u16 * 150;
    let candidates = (first..LAST_PORT).map(|port| SocketAddr::from(([127, 0, 0, 1], port)));
    let is_free = |address: &SocketAddr| TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok();
    let free: Vec<SocketAddr> = candidates.filter(is_free).take(count).collect();
    if free.len() < count {
        return Err(BenchError::Process("not enough free ports".into()));
    }
    Ok(free)
}

impl Fleet {
    /// Assigns ports to all nodes and writes their settings files into `directory`.
    pub fn prepare(
        spec: &DeploymentSpec,
        platform: SocketAddr,
        links: &Links,
        directory: &Path,
    ) -> Result<Self, BenchError> {
        std::fs::create_dir_all(directory).map_err(|error| BenchError::File(error.to_string()))?;
        let count = spec.zones.len() * spec.nodes_per_zone;
        let ports = reserve_ports(count * 4)?;
        let mut nodes = Vec::new();
        for index in 0..count {
            let zone = &spec.zones[index % spec.zones.len()];
            let name = format!("{zone}-{}", index / spec.zones.len());
            let ports = &ports[index * 4..index * 4 + 4];
            nodes.push(FleetNode {
                settings_file: directory.join(format!("{name}.toml")),
                name,
                zone: zone.clone(),
                caller: ports[0],
                data: ports[1],
                control: ports[2],
                admin: ports[3],
            });
        }
        for node in &nodes {
            let text = settings_text(spec, node, &nodes, platform, links)?;
            std::fs::write(&node.settings_file, text).map_err(|error| BenchError::File(error.to_string()))?;
        }
        let program = std::env::current_exe().map_err(|error| BenchError::Process(error.to_string()))?;
        let (running, start_counts) = (Mutex::default(), Mutex::default());
        Ok(Fleet { nodes, running, start_counts, program, log_directory: directory.to_path_buf() })
    }

    /// Starts a node. `new_deployment` is only for the first start of the deployment.
    pub fn start(&self, name: &str, new_deployment: bool) -> Result<(), BenchError> {
        let node = self.node(name)?;
        let process_error = |error: std::io::Error| BenchError::Process(error.to_string());
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.log_directory.join(format!("{name}.log")));
        let mut command = Command::new(&self.program);
        command.arg("node").arg("--settings").arg(&node.settings_file);
        if new_deployment {
            command.arg("--new-deployment");
        }
        let child = command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log.map_err(process_error)?).spawn();
        let mut start_counts = self.start_counts.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        let start_count = start_counts.entry(name.to_string()).or_default();
        *start_count += 1;
        let running = RunningNode { child: child.map_err(process_error)?, start_count: *start_count };
        self.running().insert(name.to_string(), running);
        Ok(())
    }

    fn running(&self) -> std::sync::MutexGuard<'_, BTreeMap<String, RunningNode>> {
        self.running.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Returns a node by name.
    pub fn node(&self, name: &str) -> Result<&FleetNode, BenchError> {
        let node = self.nodes.iter().find(|node| node.name == name);
        node.ok_or_else(|| BenchError::Process(format!("unknown node {name}")))
    }

    /// Control addresses by node name.
    pub fn control_addresses(&self) -> HashMap<String, SocketAddr> {
        self.nodes.iter().map(|node| (node.name.clone(), node.control)).collect()
    }

    /// Names of the nodes whose process is running.
    pub fn running_names(&self) -> Vec<String> {
        self.running().keys().cloned().collect()
    }

    /// Sends a signal to the process of a running node.
    pub fn signal(&self, name: &str, signal: Signal) {
        let id = self.running().get(name).map(|running| running.child.id());
        if let Some(pid) = id.and_then(|id| Pid::from_raw(id as i32)) {
            let _ = kill_process(pid, signal);
        }
    }

    /// Kills a node.
    pub fn kill(&self, name: &str) {
        let removed = self.running().remove(name);
        if let Some(mut running) = removed {
            let _ = running.child.kill();
            let _ = running.child.wait();
        }
    }

    /// Stops a node gracefully. Returns true if its exit status says that no call was cut off; a
    /// node that does not end in 15 seconds is killed.
    pub async fn stop(&self, name: &str) -> bool {
        self.signal(name, Signal::TERM);
        let removed = self.running().remove(name);
        let Some(mut running) = removed else {
            return true;
        };
        let deadline = Instant::now() + Duration::from_secs(15);
        loop {
            match running.child.try_wait() {
                Ok(Some(status)) => return status.success(),
                Ok(None) if Instant::now() < deadline => tokio::time::sleep(Duration::from_millis(20)).await,
                _ => {
                    let _ = running.child.kill();
                    let _ = running.child.wait();
                    return false;
                }
            }
        }
    }

    /// Waits until the readiness checks of these nodes succeed.
    pub async fn wait_until_ready(&self, names: &[String]) -> Result<(), BenchError> {
        let deadline = Instant::now() + READY_TIMEOUT;
        for name in names {
            let admin = self.node(name)?.admin;
            while !is_ready(admin).await {
                if Instant::now() > deadline {
                    return Err(BenchError::Process(format!("node {name} did not become ready in time")));
                }
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
        Ok(())
    }

    /// Waits until all seats of the claim group are voting and every node sees all members alive.
    pub async fn wait_until_converged(&self) -> Result<(), BenchError> {
        let deadline = Instant::now() + READY_TIMEOUT;
        loop {
            let mut voting = 0;
            let mut complete = true;
            for node in &self.nodes {
                let status = self.status(node).await.unwrap_or_default();
                let seats = status["seats"].as_array().cloned().unwrap_or_default();
                voting += seats.iter().filter(|seat| seat["mode"] == "voting").count();
                let members = status["members"].as_array().cloned().unwrap_or_default();
                let alive = members.iter().filter(|member| member["state"] == "alive").count();
                complete &= alive == self.nodes.len();
            }
            if voting == SEATS && complete {
                return Ok(());
            }
            if Instant::now() > deadline {
                return Err(BenchError::Process(format!(
                    "fleet did not converge in time: {voting} of {SEATS} seats are voting"
                )));
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }

    /// Fetches a node's status; `None` if it does not respond.
    pub async fn status(&self, node: &FleetNode) -> Option<Value> {
        let fetched = fetch::get(node.admin, "/status", 64 << 20, Duration::from_millis(500)).await.ok()?;
        serde_json::from_slice(&fetched.body).ok()
    }

    /// Writes each node's metrics and status next to its settings file, if the node responds.
    pub async fn save_metrics(&self) {
        for node in &self.nodes {
            for page in ["metrics", "status"] {
                let path = format!("/{page}");
                let fetched = fetch::get(node.admin, &path, 64 << 20, Duration::from_millis(500)).await;
                if let Ok(fetched) = fetched {
                    let file = self.log_directory.join(format!("{}.{page}", node.name));
                    if let Err(error) = std::fs::write(&file, &fetched.body) {
                        log::warn!("event=page_not_saved file={} error={error}", file.display());
                    }
                }
            }
        }
    }

    /// Samples the bundle version in force on each running node.
    pub async fn versions(&self) -> Vec<VersionSample> {
        let mut samples = Vec::new();
        for node in &self.nodes {
            let start_count = self.running().get(&node.name).map(|running| running.start_count);
            let Some(start_count) = start_count else {
                continue;
            };
            if let Some(status) = self.status(node).await {
                samples.push(VersionSample {
                    at_us: unix_us(),
                    node: format!("{}#{start_count}", node.name),
                    version: status["bundle"]["version"].as_u64().unwrap_or(0),
                    digest: status["bundle"]["digest"].as_str().unwrap_or_default().to_string(),
                });
            }
        }
        samples
    }

    /// Processor time that the running nodes have used, in seconds.
    pub fn processor_seconds(&self) -> f64 {
        let ids: Vec<u32> = self.running().values().map(|running| running.child.id()).collect();
        ids.into_iter().map(processor_seconds).sum()
    }

    /// Kills all nodes.
    pub fn kill_all(&self) {
        for name in self.running_names() {
            self.kill(&name);
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.kill_all();
    }
}

/// Processor time that a process has used, in seconds.
pub fn processor_seconds(id: u32) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    let fields: Vec<&str> = text.rsplit(") ").next().unwrap_or_default().split(' ').collect();
    let ticks = |index: usize| fields.get(index).and_then(|field| field.parse::<f64>().ok()).unwrap_or(0.0);
    (ticks(11) + ticks(12)) / TICKS_PER_SECOND
}

async fn is_ready(admin: SocketAddr) -> bool {
    let fetched = fetch::get(admin, "/readyz", 4096, Duration::from_millis(300)).await;
    fetched.is_ok_and(|fetched| fetched.status == 200)
}

fn settings_text(
    spec: &DeploymentSpec,
    node: &FleetNode,
    nodes: &[FleetNode],
    platform: SocketAddr,
    links: &Links,
) -> Result<String, BenchError> {
    let keys: Vec<String> =
        operator_keys().iter().map(|key| format!("\"{}\"", hex::encode(key.public_key()))).collect();
    let seat_zones: Vec<String> =
        (0..SEATS).map(|seat| format!("\"{}\"", spec.zones[seat % spec.zones.len()])).collect();
    let seeds: Vec<String> = nodes.iter().map(|other| format!("\"{}\"", other.control)).collect();
    let mut text = format!(
        "deployment = \"{}\"\nnode = \"{}\"\nzone = \"{}\"\nsecret = \"secret of the bench's deployment\"\n\n\
         [listen]\ncaller = \"{}\"\ndata = \"{}\"\ncontrol = \"{}\"\nadmin = \"{}\"\n\n\
         [sign_off]\nrequired = 2\nkeys = [{}]\n\n\
         [platform]\nconfiguration = \"{platform}\"\nmembers = \"{platform}\"\npoll_ms = 500\n\n\
         [membership]\nseeds = [{}]\n\n[claims]\nseat_zones = [{}]\n\n[runtime]\nworker_threads = 1\nstop_timeout_ms = 8000\n",
        spec.deployment,
        node.name,
        node.zone,
        node.caller,
        node.data,
        node.control,
        node.admin,
        keys.join(", "),
        seeds.join(", "),
        seat_zones.join(", "),
    );
    for other in nodes.iter().filter(|other| other.zone != node.zone) {
        let data = links.tcp_proxy(&node.zone, &other.zone, other.data)?;
        let control = links.control_proxy(&node.zone, &other.zone, other.control)?;
        for (announced, dial) in [(other.data, data), (other.control, control)] {
            text += &format!("\n[[reachable_as]]\nannounced = \"{announced}\"\ndial = \"{dial}\"\n");
        }
    }
    Ok(text)
}
