//! What all parts of a soak share: machines, store, record, random numbers. One thread.

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
use super::proxy::Way;
use super::record::{Life, Record};
use super::traffic::Senders;
use crate::error::BenchError;
use crate::spec::DeploymentSpec;

/// Most instances that may get one request.
pub const ATTEMPTS: u32 = 2;
/// Ports, alike on all machines.
const INBOUND_PORT: u16 = 18_300;
const INSTANCE_PORT: u16 = 18_301;
const READINESS_PORT: u16 = 18_302;
const OUTBOUND_PORT: u16 = 18_304;
const PEERS_PORT: u16 = 18_320;
/// Second numbers of the loopback addresses: what others know, and what nodes listen on.
const PUBLIC_NET: u8 = 78;
const OWN_NET: u8 = 79;
/// Items on a page of the store.
const PAGE: usize = 5;

/// A machine.
#[derive(Debug, Clone)]
pub struct Machine {
    /// Its number.
    pub index: usize,
    /// Its zone.
    pub zone: String,
    /// Service of its instance.
    pub service: String,
    /// Slots of its instance.
    pub slots: u32,
    /// Requests of its clients and its instance.
    pub outbound: SocketAddr,
    /// Offers of other nodes, as they know the address.
    pub inbound: SocketAddr,
    /// Offers of other nodes, where the node listens.
    pub inbound_own: SocketAddr,
    /// Announcements, as other nodes know the address.
    pub peers: SocketAddr,
    /// Announcements, where the node listens.
    pub peers_own: SocketAddr,
    /// Its instance.
    pub instance: SocketAddr,
    /// Readiness.
    pub readiness: SocketAddr,
    /// Its way to the store.
    pub store: Endpoint,
    /// The way to it.
    pub way: Rc<Way>,
}

impl Machine {
    /// Its name.
    pub fn name(&self) -> String {
        format!("machine-{}", self.index)
    }
}

/// What all parts share.
pub struct World {
    /// The deployment.
    pub spec: DeploymentSpec,
    /// Host of all requests.
    pub host: String,
    /// Machines.
    pub machines: Vec<Machine>,
    /// The store.
    pub store: InMemoryStore,
    /// Processes.
    pub processes: Processes,
    /// What was seen.
    pub record: RefCell<Record>,
    /// Faults of instances.
    pub faults: InstanceFaults,
    /// Connections of senders.
    pub senders: Senders,
    /// Load over its usual one.
    pub load: Cell<f64>,
    /// Newest version of the configuration.
    pub version: Cell<u64>,
    /// Present instances, by machine.
    pub instances: RefCell<Vec<Option<Rc<Instance>>>>,
    /// Instances that have said that they leave, until they end.
    pub(super) leaving: RefCell<Vec<Rc<Instance>>>,
    /// What the operator wrote last.
    pub(super) written: RefCell<Option<Configuration>>,
    ready: RefCell<Vec<bool>>,
    lives: RefCell<Vec<u32>>,
    /// Machines whose process was told to stop.
    stopping: RefCell<HashSet<usize>>,
    ran: RefCell<(usize, HashSet<String>)>,
    started: Instant,
    is_over: Cell<bool>,
    numbers: Cell<u64>,
    pub(super) sequence: Cell<u64>,
    random: RefCell<StdRng>,
    salt: u64,
}

impl World {
    /// Machines for all instances of a deployment; nothing runs yet.
    pub async fn new(spec: DeploymentSpec, seed: u64, directory: &Path) -> Result<Rc<Self>, BenchError> {
        let store = InMemoryStore::new(PAGE);
        let net = (std::process::id() % 250) as u8 + 1;
        let mut machines = Vec::new();
        for service in &spec.services {
            for number in 0..service.instances {
                let index = machines.len();
                let public = IpAddr::V4(Ipv4Addr::new(127, PUBLIC_NET, net, index as u8 + 1));
                let own = IpAddr::V4(Ipv4Addr::new(127, OWN_NET, net, index as u8 + 1));
                machines.push(Machine {
                    index,
                    zone: spec.zones[number % spec.zones.len()].clone(),
                    service: service.name.clone(),
                    slots: service.slots,
                    outbound: SocketAddr::new(public, OUTBOUND_PORT),
                    inbound: SocketAddr::new(public, INBOUND_PORT),
                    inbound_own: SocketAddr::new(own, INBOUND_PORT),
                    peers: SocketAddr::new(public, PEERS_PORT),
                    peers_own: SocketAddr::new(own, PEERS_PORT),
                    instance: SocketAddr::new(public, INSTANCE_PORT),
                    readiness: SocketAddr::new(public, READINESS_PORT),
                    store: store.listen().await.map_err(|error| BenchError::Process(error.to_string()))?,
                    way: Rc::default(),
                });
            }
        }
        let record = Record {
            services: machines.iter().map(|machine| machine.service.clone()).collect(),
            ..Record::default()
        };
        let count = machines.len();
        Ok(Rc::new(World {
            host: format!("{}.example", spec.deployment),
            processes: Processes::new(directory, &machines)?,
            spec,
            machines,
            store,
            record: RefCell::new(record),
            faults: InstanceFaults::default(),
            senders: Senders::default(),
            load: Cell::new(1.0),
            version: Cell::new(0),
            instances: RefCell::new(vec![None; count]),
            leaving: RefCell::default(),
            written: RefCell::default(),
            ready: RefCell::new(vec![false; count]),
            lives: RefCell::new(vec![0; count]),
            stopping: RefCell::default(),
            ran: RefCell::default(),
            started: Instant::now(),
            is_over: Cell::new(false),
            numbers: Cell::new(0),
            sequence: Cell::new(0),
            random: RefCell::new(StdRng::seed_from_u64(seed)),
            salt: seed ^ u64::from(std::process::id()),
        }))
    }

    /// Seconds since the start.
    pub fn now_s(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    /// True once traffic has to end.
    pub fn is_over(&self) -> bool {
        self.is_over.get()
    }

    /// Ends the traffic.
    pub fn end_traffic(&self) {
        self.is_over.set(true);
    }

    /// Calls `with` with the soak's random numbers.
    pub fn random<T>(&self, with: impl FnOnce(&mut StdRng) -> T) -> T {
        with(&mut self.random.borrow_mut())
    }

    /// A new id of a request; none begins with another one.
    pub fn next_id(&self) -> String {
        self.numbers.set(self.numbers.get() + 1);
        format!("{:08x}-{:08x}", self.salt as u32, self.numbers.get())
    }

    /// Life of a machine's process.
    pub fn life(&self, machine: usize) -> u32 {
        self.lives.borrow()[machine]
    }

    /// True while a machine's clients send requests.
    pub fn is_ready(&self, machine: usize) -> bool {
        self.ready.borrow()[machine]
    }

    /// Notes what a machine says of its readiness.
    pub fn set_ready(&self, machine: usize, ready: bool) {
        self.ready.borrow_mut()[machine] = ready;
    }

    /// True when every machine is ready.
    pub fn all_ready(&self) -> bool {
        self.ready.borrow().iter().all(|ready| *ready)
    }

    /// True when an instance has run the request.
    pub fn has_run(&self, id: &str) -> bool {
        let record = self.record.borrow();
        let mut ran = self.ran.borrow_mut();
        let known = ran.0;
        ran.1.extend(record.runs[known..].iter().map(|run| run.id.clone()));
        ran.0 = record.runs.len();
        ran.1.contains(id)
    }

    /// Starts the process of a machine.
    pub fn start_process(&self, machine: usize) -> Result<(), BenchError> {
        self.lives.borrow_mut()[machine] += 1;
        self.processes.start(&self.machines[machine])
    }

    /// Notes that a machine's process was told to stop, or has ended after that.
    pub fn set_stopping(&self, machine: usize, stopping: bool) {
        let mut all = self.stopping.borrow_mut();
        if stopping {
            all.insert(machine);
        } else {
            all.remove(&machine);
        }
    }

    /// Starts a process again that has ended though nobody told it to; this is recorded.
    pub fn look_after_process(&self, machine: usize) {
        if self.stopping.borrow().contains(&machine) {
            return;
        }
        let Some(status) = self.processes.ended(machine) else { return };
        log::error!("event=process_ended_by_itself machine={machine} status={status}");
        self.record.borrow_mut().ended_by_themselves.push(machine);
        if let Err(error) = self.start_process(machine) {
            log::error!("event=process_not_started machine={machine} error={error}");
        }
    }

    /// Machines beside instances of `service`.
    pub fn machines_of(&self, service: &str) -> Vec<usize> {
        let of_service = self.machines.iter().filter(|machine| machine.service == service);
        of_service.map(|machine| machine.index).collect()
    }

    /// Path of the route that only this version has.
    pub fn version_path(version: u64) -> String {
        format!("/version/{version}/")
    }

    /// Service to which requests of `target` go.
    pub fn service_of(&self, target: &str) -> String {
        let is_below = |path: &str| target.strip_prefix(path).is_some_and(|rest| rest.starts_with('/'));
        let endpoint = self.spec.endpoints.iter().find(|endpoint| is_below(endpoint.path()));
        let service = endpoint.map(|endpoint| endpoint.service.clone());
        service.unwrap_or_else(|| self.spec.services[0].name.clone())
    }

    /// Puts a new instance beside a machine's node.
    pub async fn start_instance(self: &Rc<Self>, machine: usize) -> Result<(), BenchError> {
        let name = format!("i-{machine}-{}", self.next_id());
        self.start_instance_as(name, machine).await
    }

    /// Starts an instance beside a machine's node under this name, which an earlier one may have had.
    pub async fn start_instance_as(self: &Rc<Self>, name: String, machine: usize) -> Result<(), BenchError> {
        let place = &self.machines[machine];
        let incarnation = Incarnation(unix_millis());
        let instance = Instance::new(name, incarnation, machine, place.service.clone(), place.slots);
        let instance = Rc::new(instance);
        let serving = instance.clone().serve(self.clone(), place.instance).await;
        serving.map_err(|error| BenchError::Process(format!("instance of {}: {error}", place.name())))?;
        self.instances.borrow_mut()[machine] = Some(instance);
        let life = Life { machine, service: place.service.clone(), from_s: self.now_s(), until_s: None };
        self.record.borrow_mut().lives.push(life);
        self.write_entry(machine, InstanceState::Ready);
        Ok(())
    }

    /// Takes the present instance of a machine away.
    pub fn take_instance(&self, machine: usize) -> Option<Rc<Instance>> {
        let until_s = self.now_s();
        let mut record = self.record.borrow_mut();
        let present = record.lives.iter_mut().filter(|life| life.machine == machine && life.until_s.is_none());
        present.for_each(|life| life.until_s = Some(until_s));
        self.instances.borrow_mut()[machine].take()
    }
}

fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
