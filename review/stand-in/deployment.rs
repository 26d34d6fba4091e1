//! A small deployment: machines, each with an instance and the project's own sidecar beside it, and a store.

use std::fs::File;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::Reader;
use crate::instance::{Answer, Instance};
use crate::links::Links;
use crate::record::Record;
use crate::store::Store;

const INBOUND: u16 = 8300;
const INSTANCE: u16 = 8301;
const READINESS: u16 = 8302;
const OUTBOUND: u16 = 8304;
const PEERS: u16 = 7620;
const METRICS: u16 = 9102;
const HEARTBEAT_MS: u32 = 1_500;
/// Networks of the addresses by which machines know each other, and of those on which their sidecars listen.
const PUBLIC_NET: &str = "127.91.";
const NODE_NET: &str = "127.92.";
const STARTUP: Duration = Duration::from_secs(20);

/// Host of all routes.
pub const HOST: &str = "books.example";

/// A machine to be set up.
pub struct MachineSpec {
    pub zone: &'static str,
    pub service: &'static str,
    pub slots: u32,
    pub answer: Answer,
}

/// A machine with its instance and its sidecar.
pub struct Machine {
    pub ip: String,
    pub instance: Instance,
    pub spec: MachineSpec,
    name: String,
    process: Arc<Mutex<Option<Child>>>,
    started: Mutex<Instant>,
}

impl Machine {
    /// Time until the sidecar has run for a multiple of `interval`.
    pub fn time_to_next(&self, interval: Duration) -> Duration {
        let ran = self.started.lock().expect("no holder panics").elapsed();
        Duration::from_secs_f64(interval.as_secs_f64() - ran.as_secs_f64() % interval.as_secs_f64())
    }

    /// Address at which clients send their requests.
    pub fn outbound(&self) -> SocketAddr {
        address(&self.ip, OUTBOUND)
    }

    /// Sends a signal to the sidecar.
    pub fn signal(&self, name: &str) -> io::Result<()> {
        let process = self.process.lock().expect("no holder panics");
        let Some(child) = process.as_ref() else { return Ok(()) };
        Command::new("kill").args([&format!("-{name}"), &child.id().to_string()]).status().map(drop)
    }

    /// Ends the sidecar at once.
    pub fn kill(&self) {
        if let Some(mut child) = self.process.lock().expect("no holder panics").take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Waits until the sidecar accepts connections of clients.
    pub fn wait_for_port(&self) -> io::Result<()> {
        let began = Instant::now();
        while TcpStream::connect(self.outbound()).is_err() {
            if began.elapsed() > STARTUP {
                return Err(io::Error::other("the sidecar did not start"));
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        Ok(())
    }

    fn is_ready(&self) -> bool {
        let ask = || -> io::Result<bool> {
            let mut stream = TcpStream::connect(address(&self.ip, READINESS))?;
            stream.set_read_timeout(Some(Duration::from_secs(1)))?;
            stream.write_all(b"GET /-/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")?;
            Ok(Reader::new(stream).head()?.word(1) == "200")
        };
        ask().unwrap_or(false)
    }
}

/// The deployment. Dropping it ends all its processes.
pub struct Deployment {
    pub machines: Vec<Machine>,
    pub store: Store,
    /// The network between the machines.
    pub links: Links,
    store_address: SocketAddr,
    folder: PathBuf,
}

fn address(ip: &str, port: u16) -> SocketAddr {
    format!("{ip}:{port}").parse().expect("a loopback address and a port")
}

/// Address on which the sidecar of the machine at `ip` listens for the others, which know it by `ip`.
fn node_ip(ip: &str) -> String {
    ip.replacen(PUBLIC_NET, NODE_NET, 1)
}

/// Finds loopback addresses at which all ports are free.
fn free_network(machines: usize) -> Option<String> {
    let first = std::process::id() as usize;
    (0..200).map(|step| format!("{PUBLIC_NET}{}", (first + step) % 250 + 1)).find(|network| {
        (1..=machines).all(|machine| {
            let ports = [INBOUND, INSTANCE, READINESS, OUTBOUND, METRICS];
            let ip = format!("{network}.{machine}");
            let is_free = |ip: &str, port: &u16| TcpListener::bind(address(ip, *port)).is_ok();
            ports.iter().all(|port| is_free(&ip, port) && is_free(&node_ip(&ip), port))
        })
    })
}

impl Deployment {
    /// Starts the store with `configuration`, the instances and the sidecars, and waits until all are ready.
    pub fn start(
        folder: &Path,
        configuration: &str,
        specs: Vec<MachineSpec>,
        record: &Record,
    ) -> io::Result<Self> {
        let network = free_network(specs.len()).ok_or(io::ErrorKind::AddrInUse)?;
        let store = Store::default();
        let store_address = store.serve(&format!("{network}.200"))?;
        store.put("op/config", configuration);
        let links = Links::default();
        let mut deployment =
            Deployment { machines: Vec::new(), store, links, store_address, folder: folder.to_path_buf() };
        for (index, spec) in specs.into_iter().enumerate() {
            let ip = format!("{network}.{}", index + 1);
            let instance = Instance::start(
                &format!("i-{}{index}", spec.service),
                address(&ip, INSTANCE),
                spec.answer,
                record,
            )?;
            let name = format!("sidecar-{}-{}", spec.zone, index + 1);
            let machine =
                Machine { ip, instance, spec, name, process: Arc::default(), started: Mutex::new(Instant::now()) };
            deployment.list(&machine.instance, machine.spec.service, &machine.spec);
            deployment.machines.push(machine);
        }
        let mut datagrams = Vec::new();
        for machine in &deployment.machines {
            let node = node_ip(&machine.ip);
            deployment.links.forward_connections(address(&machine.ip, INBOUND), address(&node, INBOUND))?;
            datagrams.push((address(&machine.ip, PEERS), address(&node, PEERS)));
        }
        deployment.links.forward_datagrams(datagrams)?;
        for machine in &deployment.machines {
            deployment.start_sidecar(machine)?;
        }
        deployment.wait_until_ready()?;
        record.note("all sidecars are ready");
        Ok(deployment)
    }

    /// Waits until all sidecars are ready.
    pub fn wait_until_ready(&self) -> io::Result<()> {
        let began = Instant::now();
        while !self.machines.iter().all(Machine::is_ready) {
            if began.elapsed() > STARTUP {
                return Err(io::Error::other("the sidecars did not become ready"));
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        Ok(())
    }

    /// Writes the entry of an instance of `service` into the store.
    pub fn list(&self, instance: &Instance, service: &str, spec: &MachineSpec) {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
        let entry = format!(
            "{{\"address\":\"{}\",\"born\":{born},\"info\":{{\"service\":\"{service}\",\"version\":\"v1\",\
             \"zone\":\"{}\",\"slots\":{}}},\"status\":{{\"state\":\"ready\",\"sequence\":1,\
             \"warmup-remaining-ms\":0}}}}",
            instance.address, spec.zone, spec.slots
        );
        self.store.put(&format!("servers/{}", instance.name), &entry);
    }

    /// Writes the settings file of a machine, as the template gives it.
    pub fn write_settings(&self, machine: &Machine, service: &str) -> io::Result<()> {
        let (ip, name, zone, store) = (&machine.ip, &machine.name, machine.spec.zone, self.store_address);
        let node = node_ip(ip);
        std::fs::write(
            self.folder.join(name).join("boot.toml"),
            format!(
                "node = \"{name}\"\nzone = \"{zone}\"\nservice = \"{service}\"\ninstance = \"{ip}:{INSTANCE}\"\n\
                 [listen]\noutbound = \"{ip}:{OUTBOUND}\"\ninbound = \"{node}:{INBOUND}\"\n\
                 advertised_ip = \"{ip}\"\nreadiness = \"{ip}:{READINESS}\"\nmetrics_port = {METRICS}\npeers_port = {PEERS}\n\
                 [source]\naddress = \"{store}\"\nheartbeat_ms = {HEARTBEAT_MS}\n\
                 [bounds]\ncontact_ms = 3000\ndrain_ms = 2000\ngrace_period_s = 6\n\
                 repeat_ratio = 0.2\nrepeat_slack = 55\nrepeat_window_s = 10\n\
                 [machine]\nmemory_mb = 260\nmax_descriptors = 4100\n"
            ),
        )
    }

    /// Starts a sidecar with the command of the deploy file and the settings that the template gives.
    pub fn start_sidecar(&self, machine: &Machine) -> io::Result<()> {
        let folder = self.folder.join(&machine.name);
        std::fs::create_dir_all(&folder)?;
        let settings = folder.join("boot.toml");
        self.write_settings(machine, machine.spec.service)?;
        let child = Command::new("target/release/olivegate")
            .args(["sidecar", "--settings"])
            .arg(&settings)
            .stdin(Stdio::null())
            .stdout(File::create(folder.join("log"))?)
            .spawn()?;
        *machine.started.lock().expect("no holder panics") = Instant::now();
        *machine.process.lock().expect("no holder panics") = Some(child);
        Ok(())
    }

    /// Ends all processes.
    pub fn end(&self) {
        self.machines.iter().for_each(Machine::kill);
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.end();
    }
}
