//! What is compared: olivegate, direct calls without control, bare forwarders.

use std::collections::HashMap;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use crate::back_ends::BackEndAddresses;
use crate::error::BenchError;
use crate::experiment::{Helper, helpers_seconds};
use crate::fleet::Fleet;
use crate::forwarder::ForwarderConfig;
use crate::links::Links;
use crate::load::driver::TargetSelector;
use crate::load::schedule::Arrival;
use crate::spec::DeploymentSpec;

/// An arm of an experiment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Arm {
    /// Nodes.
    Olivegate,
    /// Round robin, naive retry at each hop, no control.
    Direct,
    /// Bare hyper forwarders over as many hops.
    PassThrough,
}

impl Arm {
    /// All arms.
    pub const ALL: [Arm; 3] = [Arm::Olivegate, Arm::Direct, Arm::PassThrough];

    /// Name in tables and files.
    pub fn name(self) -> &'static str {
        match self {
            Arm::Olivegate => "olivegate",
            Arm::Direct => "direct",
            Arm::PassThrough => "pass-through",
        }
    }

    /// The arm of this name.
    pub fn named(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|arm| arm.name() == name)
    }
}

/// A running system under test.
pub struct System {
    pub targets: TargetSelector,
    pub fleet: Option<Fleet>,
    pub links: Option<Links>,
    helpers: Vec<Helper>,
}

impl System {
    /// Processor time of the system's processes so far, in seconds.
    pub fn processor_seconds(&self) -> f64 {
        self.fleet.as_ref().map_or(0.0, Fleet::processor_seconds) + helpers_seconds(&self.helpers)
    }
}

/// Clients call nodes.
pub fn olivegate(fleet: Fleet, links: Links) -> System {
    let nodes: Vec<(String, SocketAddr)> =
        fleet.places.iter().map(|place| (place.name.clone(), place.caller)).collect();
    let targets = in_turn(nodes);
    System { targets, fleet: Some(fleet), links: Some(links), helpers: Vec::new() }
}

/// A different target for each attempt of a request.
fn in_turn(nodes: Vec<(String, SocketAddr)>) -> TargetSelector {
    Arc::new(move |arrival: &Arrival, attempt: u32| {
        let index = arrival.target_choice.wrapping_add(u64::from(attempt)) % nodes.len().max(1) as u64;
        nodes.get(index as usize).cloned()
    })
}

/// Clients call instances in turn.
pub fn direct(addresses: &BackEndAddresses) -> System {
    let mut by_service: HashMap<String, (Vec<(String, SocketAddr)>, AtomicUsize)> = HashMap::new();
    for (name, service, _, address) in &addresses.instances {
        by_service.entry(service.clone()).or_default().0.push((name.clone(), *address));
    }
    let targets: TargetSelector = Arc::new(move |arrival: &Arrival, _| {
        let service = arrival.call.split('/').nth(1).unwrap_or_default();
        let (instances, turn) = by_service.get(service)?;
        instances.get(turn.fetch_add(1, Ordering::Relaxed) % instances.len()).cloned()
    });
    System { targets, fleet: None, links: None, helpers: Vec::new() }
}

/// Clients call forwarders.
pub fn pass_through(
    spec: &DeploymentSpec,
    addresses: &BackEndAddresses,
    out: &Path,
) -> Result<System, BenchError> {
    let mut helpers = Vec::new();
    let mut all = Vec::new();
    for zone in &spec.zones {
        let forwarders = reserve(spec.nodes_per_zone)?;
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
            helpers.push(Helper::start(&["forwarder", "--table", &file], Stdio::null())?);
            all.push((format!("{zone}-{own}"), forwarders[own]));
        }
    }
    wait_until_listening(&all);
    Ok(System { targets: in_turn(all), fleet: None, links: None, helpers })
}

fn reserve(count: usize) -> Result<Vec<SocketAddr>, BenchError> {
    let fail = |error: std::io::Error| BenchError::Process(error.to_string());
    let listeners: Result<Vec<TcpListener>, _> = (0..count).map(|_| TcpListener::bind("127.0.0.1:0")).collect();
    listeners.map_err(fail)?.iter().map(|listener| listener.local_addr().map_err(fail)).collect()
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
