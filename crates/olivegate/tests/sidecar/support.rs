//! A sidecar as a process, the store that it reads, and a client.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

use olivegate_platform::WIRE_NAMES;
use olivegate_platform_stand_in::{InMemoryStore, records};
use olivegate_sidecar::model::{
    ClientLimits, Configuration, ConfigurationVersion, Incarnation, Instance, InstanceState, Millis, RetrySafety,
    Route, WeightedService,
};
use olivegate_types::{InstanceName, ServiceName, ZoneName};
use tokio::task::LocalSet;

/// Settings of a node at `ip` that reads the store at `source`.
pub fn settings_for(ip: &str, service: &str, source: &str) -> String {
    format!(
        "node = \"sidecar-1\"\nzone = \"north\"\nservice = \"{service}\"\ninstance = \"{ip}:18401\"\n\
         [listen]\noutbound = \"{ip}:18404\"\ninbound = \"{ip}:18400\"\nreadiness = \"{ip}:18402\"\n\
         peers_port = 18420\n[source]\naddress = \"{source}\"\n[bounds]\ngrace_period_s = 6\n"
    )
}

/// Writes settings to a file of this name.
pub fn settings_file(name: &str, settings: &str) -> PathBuf {
    let file = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&file, settings).unwrap();
    file
}

/// A ready instance on the machine `ip`.
pub fn instance_at(ip: &str, name: &str, service: &str) -> Instance {
    Instance {
        name: InstanceName::new(name),
        incarnation: Incarnation::UNKNOWN,
        service: ServiceName::new(service),
        address: format!("{ip}:18401").parse().unwrap(),
        zone: ZoneName::new("north"),
        slots: 1_000,
        state: InstanceState::Ready,
    }
}

/// Host of the requests that are routed from the start.
pub const HOST: &str = "shop";

/// A configuration that routes all requests for `host` to `service`.
pub fn configuration(version: u64, host: &str, service: &ServiceName) -> Configuration {
    let route = Route {
        name: "all".into(),
        host: host.into(),
        path_prefix: "/".into(),
        services: vec![WeightedService { service: service.clone(), weight: 1 }],
        safety: RetrySafety::Safe,
        timeout: None,
        target_latency: Millis(1_000),
        priority: 0,
        attempts: 1,
        is_public: false,
    };
    Configuration {
        version: ConfigurationVersion(version),
        routes: vec![route],
        limits: ClientLimits::default(),
        tenants: None,
        health_paths: Default::default(),
    }
}

/// Starts a store in its own thread, with pages of `page_size` items. It lists `instance`, routes all requests
/// to its service, and holds what `fill` writes, which may spawn a local task that writes more.
pub fn start_store(
    instance: Instance,
    page_size: usize,
    fill: impl FnOnce(&InMemoryStore) + Send + 'static,
) -> SocketAddr {
    let (sender, address) = channel();
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        LocalSet::new().block_on(&runtime, async move {
            let store = InMemoryStore::new(page_size);
            records::put_configuration(&store, &configuration(1, HOST, &instance.service));
            records::put_instance(&store, &instance, 1);
            fill(&store);
            sender.send(store.listen().await.unwrap().address).unwrap();
            std::future::pending::<()>().await;
        });
    });
    address.recv().unwrap()
}

/// A running sidecar. It is killed when it is dropped.
pub struct Sidecar {
    pub process: Child,
    lines: Receiver<String>,
}

impl Sidecar {
    pub fn start(file: &Path) -> Self {
        let mut process = Command::new(env!("CARGO_BIN_EXE_olivegate"))
            .args(["sidecar", "--settings"])
            .arg(file)
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let output = BufReader::new(process.stdout.take().unwrap());
        let (sender, lines) = channel();
        std::thread::spawn(move || output.lines().map_while(Result::ok).try_for_each(|line| sender.send(line)));
        Sidecar { process, lines }
    }

    /// True while the process runs.
    pub fn is_running(&mut self) -> bool {
        self.process.try_wait().unwrap().is_none()
    }

    pub fn signal(&self, name: &str) {
        let sent = Command::new("kill").args([name, &self.process.id().to_string()]).status().unwrap();
        assert!(sent.success());
    }

    /// Waits for a log line with this text; panics after 15 s.
    pub fn wait_for(&self, event: &str) -> String {
        let deadline = Instant::now() + Duration::from_secs(15);
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            let line = self.lines.recv_timeout(left).unwrap_or_else(|_| panic!("never logged: {event}"));
            if line.contains(event) {
                return line;
            }
        }
    }
}

impl Drop for Sidecar {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// Sends `request` on a new connection and returns all that comes back.
fn exchange(address: &str, request: &str) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.write_all(request.as_bytes()).unwrap();
    let mut response = String::new();
    stream.read_to_string(&mut response).unwrap();
    response
}

/// The response of the node at `ip` to a readiness check.
pub fn readiness(ip: &str) -> String {
    let path = WIRE_NAMES.readiness_path;
    exchange(&format!("{ip}:18402"), &format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"))
}

/// Waits until the node at `ip` says that it is ready; panics after 15 s.
pub fn wait_until_ready(ip: &str) {
    let deadline = Instant::now() + Duration::from_secs(15);
    while !readiness(ip).starts_with("HTTP/1.1 200") {
        assert!(Instant::now() < deadline, "the node at {ip} is not ready: {}", readiness(ip));
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Sends a request of a client for `host` to the node at `ip` and returns the response.
pub fn request(ip: &str, host: &str, id: &str) -> String {
    let (id_name, time_name) = (WIRE_NAMES.request_id, WIRE_NAMES.time_left_ms);
    let head = format!(
        "GET / HTTP/1.1\r\nHost: {host}\r\n{id_name}: {id}\r\n{time_name}: 3000\r\nConnection: close\r\n\r\n"
    );
    exchange(&format!("{ip}:18404"), &head)
}
