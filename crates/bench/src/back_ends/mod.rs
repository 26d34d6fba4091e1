//! Back end emulator: one process that runs all instances of a deployment.
//!
//! Instances emulate concurrency slots, service times, a connection limit, a connect time of
//! 1 ms, cold starts, draining, load shedding, cancellation, deadlines and misleading health
//! checks. An HTTP control port injects faults and returns the recorded executions.
//!
//! - [`instance`]: one emulated instance.
//! - [`downstream`]: calls that an instance makes to other back ends.
//! - [`control_port`]: the control port.

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

/// Addresses that the emulator listens on.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct BackEndAddresses {
    /// Control port.
    pub control: SocketAddr,
    /// Name, service, zone and address of each instance.
    pub instances: Vec<(String, String, String, SocketAddr)>,
}

/// State shared by all emulated instances.
pub struct Emulator {
    pub spec: DeploymentSpec,
    pub seed: u64,
    pub instances: Vec<Arc<Instance>>,
    pub addresses: Mutex<HashMap<String, SocketAddr>>,
    pub executions: Mutex<Vec<Execution>>,
    pub downstream: downstream::DownstreamClient,
}

/// Runs the emulator until its standard input is closed; prints its addresses as one line of JSON.
pub fn run(spec_file: &Path, seed: u64) -> Result<(), BenchError> {
    let spec = DeploymentSpec::read(spec_file)?;
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    let runtime = runtime.map_err(|error| BenchError::Process(error.to_string()))?;
    runtime.block_on(serve(spec, seed))
}

async fn bind() -> Result<(TcpListener, SocketAddr), BenchError> {
    let process_error = |error: std::io::Error| BenchError::Process(error.to_string());
    let listener = TcpListener::bind("127.0.0.1:0").await.map_err(process_error)?;
    let address = listener.local_addr().map_err(process_error)?;
    Ok((listener, address))
}

async fn serve(spec: DeploymentSpec, seed: u64) -> Result<(), BenchError> {
    let mut instances = Vec::new();
    let mut listeners = Vec::new();
    let mut instance_addresses = Vec::new();
    let mut addresses = HashMap::new();
    for service in &spec.services {
        for index in 0..service.instances {
            let name = format!("{}-{index}", service.name);
            let zone = spec.zones[index % spec.zones.len()].clone();
            let (listener, address) = bind().await?;
            instance_addresses.push((name.clone(), service.name.clone(), zone, address));
            addresses.insert(name.clone(), address);
            instances.push(Arc::new(Instance::new(name, service)));
            listeners.push(listener);
        }
    }
    let (control, control_address) = bind().await?;
    let emulator = Arc::new(Emulator {
        spec,
        seed,
        instances,
        addresses: Mutex::new(addresses),
        executions: Mutex::default(),
        downstream: downstream::DownstreamClient::default(),
    });
    for (instance, listener) in emulator.instances.iter().zip(listeners) {
        tokio::spawn(instance::serve(emulator.clone(), instance.clone(), listener));
    }
    tokio::spawn(control_port::serve(emulator.clone(), control));
    let addresses = BackEndAddresses { control: control_address, instances: instance_addresses };
    println!("{}", serde_json::to_string(&addresses).unwrap_or_default());
    wait_for_stdin_eof().await;
    Ok(())
}

/// Returns when standard input is closed. The parent holds the other end of the pipe, so the
/// process ends with its parent, also when the parent is killed.
pub async fn wait_for_stdin_eof() {
    use tokio::io::AsyncReadExt;
    let mut buffer = [0; 64];
    let mut input = tokio::io::stdin();
    while !matches!(input.read(&mut buffer).await, Ok(0) | Err(_)) {}
}
