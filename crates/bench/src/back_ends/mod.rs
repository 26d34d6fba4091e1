//! Emulator of back ends: a process with all instances of a deployment.
//!
//! Instances have slots, service times, a connection limit, 1 ms connects, cold
//! starts, draining, shedding, cancellation, deadlines and misleading health. They are
//! steered over an HTTP control port, which also hands out the executions.
//!
//! - [`instance`]: one instance. [`downstream`]: calls on behalf. [`control_port`]: the control port.

pub mod control_port;
pub mod downstream;
pub mod instance;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex};

use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;

use crate::error::BenchError;
use crate::history::Execution;
use crate::spec::DeploymentSpec;
use instance::Instance;

/// Where the emulator's ports are.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct BackEndAddresses {
    /// Control port.
    pub control: SocketAddr,
    /// Instances: name, service, zone, address.
    pub instances: Vec<(String, String, String, SocketAddr)>,
}

/// State shared by all instances.
pub struct World {
    pub spec: DeploymentSpec,
    pub seed: u64,
    pub instances: Vec<Arc<Instance>>,
    pub addresses: Mutex<HashMap<String, SocketAddr>>,
    pub executions: Mutex<Vec<Execution>>,
    pub downstream: downstream::DownstreamClient,
}

/// Runs the emulator until its input ends; prints its addresses as one line of JSON.
pub fn run(spec_file: &Path, seed: u64) -> Result<(), BenchError> {
    let spec = DeploymentSpec::read(spec_file)?;
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    let runtime = runtime.map_err(|error| BenchError::Process(error.to_string()))?;
    runtime.block_on(serve(spec, seed))
}

async fn bind() -> Result<(TcpListener, SocketAddr), BenchError> {
    let fail = |error: std::io::Error| BenchError::Process(error.to_string());
    let listener = TcpListener::bind("127.0.0.1:0").await.map_err(fail)?;
    let address = listener.local_addr().map_err(fail)?;
    Ok((listener, address))
}

async fn serve(spec: DeploymentSpec, seed: u64) -> Result<(), BenchError> {
    let mut instances = Vec::new();
    let mut listeners = Vec::new();
    let mut listed = Vec::new();
    let mut addresses = HashMap::new();
    for service in &spec.services {
        for index in 0..service.instances {
            let name = format!("{}-{index}", service.name);
            let zone = spec.zones[index % spec.zones.len()].clone();
            let (listener, address) = bind().await?;
            listed.push((name.clone(), service.name.clone(), zone, address));
            addresses.insert(name.clone(), address);
            instances.push(Arc::new(Instance::new(name, service)));
            listeners.push(listener);
        }
    }
    let (control, control_address) = bind().await?;
    let world = Arc::new(World {
        spec,
        seed,
        instances,
        addresses: Mutex::new(addresses),
        executions: Mutex::default(),
        downstream: downstream::DownstreamClient::default(),
    });
    for (instance, listener) in world.instances.iter().zip(listeners) {
        tokio::spawn(instance::serve(world.clone(), instance.clone(), listener));
    }
    tokio::spawn(control_port::serve(world.clone(), control));
    let addresses = BackEndAddresses { control: control_address, instances: listed };
    println!("{}", serde_json::to_string(&addresses).unwrap_or_default());
    wait_for_end_of_input().await;
    Ok(())
}

/// The parent's end closes the input, so that no process is left behind.
pub async fn wait_for_end_of_input() {
    use tokio::io::AsyncReadExt;
    let mut buffer = [0; 64];
    let mut input = tokio::io::stdin();
    while !matches!(input.read(&mut buffer).await, Ok(0) | Err(_)) {}
}
