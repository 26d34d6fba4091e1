//! The project's own program as a process: its settings file, start and end.

use std::fs::{File, OpenOptions};
use std::io::{Result, Write};
use std::net::{IpAddr, SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;

/// The processes that run now.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills all processes that were started and still run.
pub fn kill_all() {
    for id in RUNNING.lock().expect("lock").drain(..) {
        let _ = Command::new("kill").arg("-KILL").arg(id.to_string()).status();
    }
}

/// Ports of all machines; they are alike, as on the platform.
#[derive(Debug, Clone, Copy)]
pub struct Ports {
    /// Requests of clients and of the instance.
    pub outbound: u16,
    /// Requests of other nodes.
    pub inbound: u16,
    /// Readiness.
    pub readiness: u16,
    /// Messages between nodes.
    pub peers: u16,
    /// Metrics.
    pub metrics: u16,
    /// The application instance.
    pub app: u16,
}

impl Ports {
    /// Ports that are free at all `machines`.
    pub fn free(machines: &[IpAddr]) -> Option<Self> {
        let is_free = |port: u16| {
            machines.iter().all(|ip| {
                let address = SocketAddr::new(*ip, port);
                TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok()
            })
        };
        let mut found = Vec::new();
        let first = 20_000 + (std::process::id() % 9_000) as u16;
        for port in first..first + 2_000 {
            if is_free(port) {
                found.push(port);
            }
            if let [outbound, inbound, readiness, peers, metrics, app] = found[..] {
                return Some(Ports { outbound, inbound, readiness, peers, metrics, app });
            }
        }
        None
    }
}

/// One machine with its settings, as the platform fills the template.
#[derive(Debug, Clone)]
pub struct Machine {
    /// Name of the node.
    pub node: String,
    /// Its address.
    pub ip: IpAddr,
    /// Its zone.
    pub zone: String,
    /// Service of the instance beside it.
    pub service: String,
    /// Ports.
    pub ports: Ports,
    /// Address of the store.
    pub store: SocketAddr,
    /// Lines of the section of bounds that only some deployments have.
    pub more_bounds: String,
}

impl Machine {
    /// The address that clients use.
    pub fn outbound(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.ports.outbound)
    }

    /// The address of the instance.
    pub fn app(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.ports.app)
    }

    /// The address of readiness checks.
    pub fn readiness(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.ports.readiness)
    }

    /// The settings, in the form of `platform/sidecar.toml.template`.
    pub fn settings(&self) -> String {
        let Machine { node, ip, zone, service, ports, store, more_bounds } = self;
        let Ports { outbound, inbound, readiness, peers, metrics, app } = ports;
        format!(
            r#"node = "{node}"
zone = "{zone}"
service = "{service}"
instance = "{ip}:{app}"

[listen]
outbound = "{ip}:{outbound}"
inbound = "{ip}:{inbound}"
readiness = "{ip}:{readiness}"
metrics_port = {metrics}
peers_port = {peers}

[source]
address = "{store}"
heartbeat_ms = 1500

[bounds]
contact_ms = 3000
drain_ms = 2000
grace_period_s = 6
repeat_ratio = 0.2
repeat_slack = 55
repeat_window_s = 10
{more_bounds}
[machine]
memory_mb = 260
max_descriptors = 4100
"#
        )
    }

    fn settings_file(&self, folder: &Path) -> PathBuf {
        folder.join(format!("{}.toml", self.node))
    }

    /// Writes the settings file; it is replaced at once, so that no part of it is ever read.
    pub fn write_settings(&self, folder: &Path) -> Result<()> {
        let file = self.settings_file(folder);
        let next = file.with_extension("next");
        std::fs::write(&next, self.settings())?;
        std::fs::rename(next, file)
    }

    /// Starts the program by the command of the deploy file.
    pub fn start(&self, program: &Path, folder: &Path) -> Result<Sidecar> {
        self.write_settings(folder)?;
        let log = File::create(folder.join(format!("{}.log", self.node)))?;
        let child = Command::new(program)
            .arg("sidecar")
            .arg("--settings")
            .arg(self.settings_file(folder))
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        RUNNING.lock().expect("lock").push(child.id());
        // The script ends what is listed there, in case this program is ended from outside.
        let mut listed = OpenOptions::new().create(true).append(true).open(folder.join("pids"))?;
        writeln!(listed, "{}", child.id())?;
        Ok(Sidecar { child })
    }
}

/// A running process; it is killed when it is dropped.
pub struct Sidecar {
    child: Child,
}

impl Sidecar {
    /// Sends a signal, by its name.
    pub fn signal(&self, name: &str) -> Result<()> {
        Command::new("kill").arg(format!("-{name}")).arg(self.child.id().to_string()).status().map(|_| ())
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let id = self.child.id();
        RUNNING.lock().expect("lock").retain(|running| *running != id);
    }

    /// Its process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// True while the process runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Sidecar {
    fn drop(&mut self) {
        self.kill();
    }
}
