//! State shared by all parts of a soak: machines, store, record, random numbers. Used from one thread.

use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::Path;
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};

use olivegate_platform_stand_in::{Endpoint, InMemoryStore};
use olivegate_sidecar::model::{Configuration, Incarnation, InstanceState};
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::time::Instant;

use super::instance::{Instance, InstanceFaults};
use super::processes::Processes;
use super::proxy::Link;
use super::record::{InstanceLifetime, Record};
use super::traffic::ConnectionPool;
use crate::error::BenchError;
use crate::spec::DeploymentSpec;

/// Maximum number of instances that one request may reach.
pub const MAX_ATTEMPTS: u32 = 2;
/// Ports, the same on all machines.
const INBOUND_PORT: u16 = 18_300;
const INSTANCE_PORT: u16 = 18_301;
const READINESS_PORT: u16 = 18_302;
const OUTBOUND_PORT: u16 = 18_304;
const PEERS_PORT: u16 = 18_320;
/// Second octets of the loopback addresses: public ones, and those on which the nodes listen.
const PUBLIC_NET: u8 = 78;
const NODE_NET: u8 = 79;
/// Items per page of the store.
const PAGE_ITEMS: usize = 5;

/// An emulated machine with one node and one instance.
#[derive(Debug, Clone)]
pub struct Machine {
    /// Index of the machine.
    pub index: usize,
    /// Zone of the machine.
    pub zone: String,
    /// Service of its instance.
    pub service: String,
    /// Slots of its instance.
    pub slots: u32,
    /// Address for requests of its clients and its instance.
    pub outbound: SocketAddr,
    /// Public address for offers from other nodes.
    pub inbound: SocketAddr,
    /// Address on which the node listens for offers.
    pub node_inbound: SocketAddr,
    /// Public address for announcements.
    pub peers: SocketAddr,
    /// Address on which the node listens for announcements.
    pub node_peers: SocketAddr,
    /// Address of its instance.
    pub instance: SocketAddr,
    /// Address of the readiness check.
    pub readiness: SocketAddr,
    /// Its endpoint of the store.
    pub store: Endpoint,
    /// The network link to the machine.
    pub link: Rc<Link>,
}

impl Machine {
    /// Name of the machine's node.
    pub fn name(&self) -> String {
        format!("machine-{}", self.index)
    }
}

/// State shared by all parts of a soak.
pub struct Harness {
    /// The emulated deployment.
    pub spec: DeploymentSpec,
    /// Host header of all requests.
    pub host: String,
    /// All machines, by index.
    pub machines: Vec<Machine>,
    /// The store.
    pub store: InMemoryStore,
    /// The sidecar processes.
    pub processes: Processes,
    /// What was observed so far.
    pub record: RefCell<Record>,
    /// Faults of instances in effect.
    pub instance_faults: InstanceFaults,
    /// Connections from clients and instances to the nodes.
    pub connections: ConnectionPool,
    /// Client load relative to its normal level.
    pub load_factor: Cell<f64>,
    /// Latest version of the configuration.
    pub latest_version: Cell<u64>,
    /// Current instances, by machine.
    pub instances: RefCell<Vec<Option<Rc<Instance>>>>,
    /// Instances that have announced in the store that they drain, until they exit.
    pub(super) leaving_instances: RefCell<Vec<Rc<Instance>>>,
    /// The configuration that the operator wrote last.
    pub(super) last_configuration: RefCell<Option<Configuration>>,
    ready: RefCell<Vec<bool>>,
    /// Number of starts of each machine's process.
    generations: RefCell<Vec<u32>>,
    /// Machines whose process was told to stop.
    stopping: RefCell<HashSet<usize>>,
    /// Number of runs of the record that were read so far, and the request ids of these runs.
    executed: RefCell<(usize, HashSet<String>)>,
    started: Instant,
    traffic_ended: Cell<bool>,
    last_request_number: Cell<u64>,
    /// Sequence number of the last entry written.
    pub(super) sequence: Cell<u64>,
    random: RefCell<StdRng>,
    id_salt: u64,
}

impl Harness {
    /// Sets up machines for all instances of a deployment; nothing is started yet.
    pub async fn new(spec: DeploymentSpec, seed: u64, directory: &Path) -> Result<Rc<Self>, BenchError> {
        let store = InMemoryStore::new(PAGE_ITEMS);
        let net = (std::process::id() % 250) as u8 + 1;
        let mut machines = Vec::new();
        for service in &spec.services {
            for number in 0..service.instances {
                let index = machines.len();
                let public = IpAddr::V4(Ipv4Addr::new(127, PUBLIC_NET, net, index as u8 + 1));
                let node = IpAddr::V4(Ipv4Addr::new(127, NODE_NET, net, index as u8 + 1));
                machines.push(Machine {
                    index,
                    zone: spec.zones[number % spec.zones.len()].clone(),
                    service: service.name.clone(),
                    slots: service.slots,
                    outbound: SocketAddr::new(public, OUTBOUND_PORT),
                    inbound: SocketAddr::new(public, INBOUND_PORT),
                    node_inbound: SocketAddr::new(node, INBOUND_PORT),
                    peers: SocketAddr::new(public, PEERS_PORT),
                    node_peers: SocketAddr::new(node, PEERS_PORT),
                    instance: SocketAddr::new(public, INSTANCE_PORT),
                    readiness: SocketAddr::new(public, READINESS_PORT),
                    store: store.listen().await.map_err(|error| BenchError::Process(error.to_string()))?,
                    link: Rc::default(),
                });
            }
        }
        let record = Record {
            services: machines.iter().map(|machine| machine.service.clone()).collect(),
            ..Record::default()
        };
        let count = machines.len();
        Ok(Rc::new(Harness {
            host: format!("{}.example", spec.deployment),
            processes: Processes::new(directory, &machines)?,
            spec,
            machines,
            store,
            record: RefCell::new(record),
            instance_faults: InstanceFaults::default(),
            connections: ConnectionPool::default(),
            load_factor: Cell::new(1.0),
            latest_version: Cell::new(0),
            instances: RefCell::new(vec![None; count]),
            leaving_instances: RefCell::default(),
            last_configuration: RefCell::default(),
            ready: RefCell::new(vec![false; count]),
            generations: RefCell::new(vec![0; count]),
            stopping: RefCell::default(),
            executed: RefCell::default(),
            started: Instant::now(),
            traffic_ended: Cell::new(false),
            last_request_number: Cell::new(0),
            sequence: Cell::new(0),
            random: RefCell::new(StdRng::seed_from_u64(seed)),
            id_salt: seed ^ u64::from(std::process::id()),
        }))
    }

    /// Seconds since the start.
    pub fn now_s(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    /// True once traffic has to end.
    pub fn traffic_ended(&self) -> bool {
        self.traffic_ended.get()
    }

    /// Ends the traffic.
    pub fn end_traffic(&self) {
        self.traffic_ended.set(true);
    }

    /// Calls `with` with the random number generator of the soak.
    pub fn random<T>(&self, with: impl FnOnce(&mut StdRng) -> T) -> T {
        with(&mut self.random.borrow_mut())
    }

    /// Returns a new request id; no id is a prefix of another one.
    pub fn next_id(&self) -> String {
        self.last_request_number.set(self.last_request_number.get() + 1);
        format!("{:08x}-{:08x}", self.id_salt as u32, self.last_request_number.get())
    }

    /// How often a machine's process has been started.
    pub fn generation(&self, machine: usize) -> u32 {
        self.generations.borrow()[machine]
    }

    /// True while a machine is ready, so that clients send requests through it.
    pub fn is_ready(&self, machine: usize) -> bool {
        self.ready.borrow()[machine]
    }

    /// Records the result of a machine's readiness check.
    pub fn set_ready(&self, machine: usize, ready: bool) {
        self.ready.borrow_mut()[machine] = ready;
    }

    /// True if every machine is ready.
    pub fn all_ready(&self) -> bool {
        self.ready.borrow().iter().all(|ready| *ready)
    }

    /// True if an instance has run the request.
    pub fn has_run(&self, id: &str) -> bool {
        let record = self.record.borrow();
        let mut executed = self.executed.borrow_mut();
        let known = executed.0;
        executed.1.extend(record.runs[known..].iter().map(|run| run.id.clone()));
        executed.0 = record.runs.len();
        executed.1.contains(id)
    }

    /// Starts the process of a machine.
    pub fn start_process(&self, machine: usize) -> Result<(), BenchError> {
        self.generations.borrow_mut()[machine] += 1;
        self.processes.start(&self.machines[machine])
    }

    /// Records that a machine's process was told to stop, or that this stop has ended.
    pub fn set_stopping(&self, machine: usize, stopping: bool) {
        let mut all = self.stopping.borrow_mut();
        if stopping {
            all.insert(machine);
        } else {
            all.remove(&machine);
        }
    }

    /// Starts a process again, and records it, if it exited without being told to.
    pub fn restart_if_exited(&self, machine: usize) {
        if self.stopping.borrow().contains(&machine) {
            return;
        }
        let Some(status) = self.processes.take_exit_status(machine) else { return };
        log::error!("event=process_ended_by_itself machine={machine} status={status}");
        self.record.borrow_mut().unexpected_exits.push(machine);
        if let Err(error) = self.start_process(machine) {
            log::error!("event=process_not_started machine={machine} error={error}");
        }
    }

    /// Machines whose instance belongs to `service`.
    pub fn machines_of(&self, service: &str) -> Vec<usize> {
        let of_service = self.machines.iter().filter(|machine| machine.service == service);
        of_service.map(|machine| machine.index).collect()
    }

    /// Path of the route that exists only in this version.
    pub fn version_path(version: u64) -> String {
        format!("/version/{version}/")
    }

    /// Service to which requests for `target` are routed.
    pub fn service_of(&self, target: &str) -> String {
        let is_below = |path: &str| target.strip_prefix(path).is_some_and(|rest| rest.starts_with('/'));
        let endpoint = self.spec.endpoints.iter().find(|endpoint| is_below(endpoint.path()));
        let service = endpoint.map(|endpoint| endpoint.service.clone());
        service.unwrap_or_else(|| self.spec.services[0].name.clone())
    }

    /// Starts a new instance on a machine.
    pub async fn start_instance(self: &Rc<Self>, machine: usize) -> Result<(), BenchError> {
        let name = format!("i-{machine}-{}", self.next_id());
        self.start_instance_as(name, machine).await
    }

    /// Starts an instance on a machine under this name, which an earlier instance may have had.
    pub async fn start_instance_as(self: &Rc<Self>, name: String, machine: usize) -> Result<(), BenchError> {
        let host_machine = &self.machines[machine];
        let incarnation = Incarnation(unix_ms());
        let instance = Instance::new(name, incarnation, machine, host_machine.service.clone(), host_machine.slots);
        let instance = Rc::new(instance);
        let serving = instance.clone().serve(self.clone(), host_machine.instance).await;
        serving.map_err(|error| {
            BenchError::Process(format!("cannot start the instance of {}: {error}", host_machine.name()))
        })?;
        self.instances.borrow_mut()[machine] = Some(instance);
        let lifetime = InstanceLifetime {
            machine,
            service: host_machine.service.clone(),
            from_s: self.now_s(),
            until_s: None,
        };
        self.record.borrow_mut().lifetimes.push(lifetime);
        self.write_entry(machine, InstanceState::Ready);
        Ok(())
    }

    /// Removes a machine's current instance and records the end of its lifetime.
    pub fn remove_instance(&self, machine: usize) -> Option<Rc<Instance>> {
        let until_s = self.now_s();
        let mut record = self.record.borrow_mut();
        let present = record
            .lifetimes
            .iter_mut()
            .filter(|lifetime| lifetime.machine == machine && lifetime.until_s.is_none());
        present.for_each(|lifetime| lifetime.until_s = Some(until_s));
        self.instances.borrow_mut()[machine].take()
    }
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
