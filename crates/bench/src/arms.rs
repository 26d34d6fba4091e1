//! Arms of an experiment: olivegate, direct calls without admission control, and plain forwarders.

use std::collections::HashMap;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use crate::back_ends::BackEndAddresses;
use crate::error::BenchError;
use crate::experiment::{HelperProcess, total_processor_seconds};
use crate::fleet::Fleet;
use crate::forwarder::ForwarderConfig;
use crate::links::Links;
use crate::load::driver::TargetSelector;
use crate::load::schedule::Arrival;
use crate::spec::DeploymentSpec;

/// An arm of an experiment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Arm {
    /// Clients call olivegate nodes.
    Olivegate,
    /// Calls go directly to the instances: round robin, immediate retries at each hop, no admission
    /// control.
    Direct,
    /// Plain hyper forwarders over as many hops as with nodes.
    PassThrough,
}

impl Arm {
    /// All arms.
    pub const ALL: [Arm; 3] = [Arm::Olivegate, Arm::Direct, Arm::PassThrough];

    /// Name of the arm in tables, file names and options.
    pub fn name(self) -> &'static str {
        match self {
            Arm::Olivegate => "olivegate",
            Arm::Direct => "direct",
            Arm::PassThrough => "pass-through",
        }
    }

    /// Returns the arm with this name.
    pub fn by_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|arm| arm.name() == name)
    }
}

/// A running system under test.
pub struct SystemUnderTest {
    pub targets: TargetSelector,
    pub fleet: Option<Fleet>,
    pub links: Option<Links>,
    helpers: Vec<HelperProcess>,
}

impl SystemUnderTest {
    /// Processor time that the nodes or forwarders have used so far, in seconds.
    pub fn processor_seconds(&self) -> f64 {
        self.fleet.as_ref().map_or(0.0, Fleet::processor_seconds) + total_processor_seconds(&self.helpers)
    }
}

/// Sets up clients that call nodes.
pub fn through_nodes(fleet: Fleet, links: Links) -> SystemUnderTest {
    let nodes: Vec<(String, SocketAddr)> =
        fleet.nodes.iter().map(|node| (node.name.clone(), node.caller)).collect();
    let targets = rotate_per_attempt(nodes);
    SystemUnderTest { targets, fleet: Some(fleet), links: Some(links), helpers: Vec::new() }
}

/// Selects a different target for each attempt of a request.
fn rotate_per_attempt(nodes: Vec<(String, SocketAddr)>) -> TargetSelector {
    Arc::new(move |arrival: &Arrival, attempt: u32| {
        let index = arrival.target_choice.wrapping_add(u64::from(attempt)) % nodes.len().max(1) as u64;
        nodes.get(index as usize).cloned()
    })
}

/// Sets up clients that call the instances of a service in round-robin order.
pub fn direct(addresses: &BackEndAddresses) -> SystemUnderTest {
    let mut by_service: HashMap<String, (Vec<(String, SocketAddr)>, AtomicUsize)> = HashMap::new();
    for (name, service, _, address) in &addresses.instances {
        by_service.entry(service.clone()).or_default().0.push((name.clone(), *address));
    }
    let targets: TargetSelector = Arc::new(move |arrival: &Arrival, _| {
        let service = arrival.call.split('/').nth(1).unwrap_or_default();
        let (instances, next_index) = by_service.get(service)?;
        instances.get(next_index.fetch_add(1, Ordering::Relaxed) % instances.len()).cloned()
    });
    SystemUnderTest { targets, fleet: None, links: None, helpers: Vec::new() }
}

/// Starts the forwarders and sets up clients that call them.
pub fn pass_through(
    spec: &DeploymentSpec,
    addresses: &BackEndAddresses,
    out: &Path,
) -> Result<SystemUnderTest, BenchError> {
    let mut helpers = Vec::new();
    let mut targets = Vec::new();
    for zone in &spec.zones {
        let forwarders = reserve_ports(spec.nodes_per_zone)?;
        for own in 0..forwarders.len() {
            let config = ForwarderConfig {
                own,
                zone: zone.clone(),
                forwarders: forwarders.clone(),
                instances: addresses.instances.clone(),
            };
            let file = out.join(format!("forwarder-{zone}-{own}.json"));
            let text = serde_json::to_string(&config).unwrap_or_default();
            std::fs::write(&file, text).map_err(|error| BenchError::File(error.to_string()))?;
            let file = file.display().to_string();
            helpers.push(HelperProcess::start(&["forwarder", "--table", &file], Stdio::null())?);
            targets.push((format!("{zone}-{own}"), forwarders[own]));
        }
    }
    wait_until_listening(&targets);
    Ok(SystemUnderTest { targets: rotate_per_attempt(targets), fleet: None, links: None, helpers })
}

fn reserve_ports(count: usize) -> Result<Vec<SocketAddr>, BenchError> {
    let process_error = |error: std::io::Error| BenchError::Process(error.to_string());
    let listeners: Result<Vec<TcpListener>, _> = (0..count).map(|_| TcpListener::bind("127.0.0.1:0")).collect();
    listeners.map_err(process_error)?.iter().map(|listener| listener.local_addr().map_err(process_error)).collect()
}

fn wait_until_listening(addresses: &[(String, SocketAddr)]) {
    for (_, address) in addresses {
        for _ in 0..200 {
            if std::net::TcpStream::connect(address).is_ok() {
                break;
            }
            std::thread::sleep(std::time::Duration::from_millis(10));
        }
    }
}
