//! The sidecar as a process: start, reload by signal and by file change, graceful stop.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

use olivegate_platform_stand_in::{InMemoryStore, records};
use olivegate_sidecar::model::{
    ClientLimits, Configuration, ConfigurationVersion, Incarnation, Instance, InstanceState, Millis, RetrySafety,
    Route, WeightedService,
};
use olivegate_types::{InstanceName, ServiceName, ZoneName};
use rstest::rstest;
use tokio::task::LocalSet;

const IP: &str = "127.78.1.1";
/// Address of another machine, whose instance accepts connections and never responds.
const SILENT_IP: &str = "127.78.1.2";
/// Number of requests whose clients disconnect; a cancellation is logged for one in 32.
const DISCONNECTING_CLIENTS: usize = 400;

fn settings(service: &str) -> String {
    settings_for(IP, service, &format!("{IP}:18409"))
}

fn settings_for(ip: &str, service: &str, source: &str) -> String {
    format!(
        "node = \"sidecar-1\"\nzone = \"north\"\nservice = \"{service}\"\ninstance = \"{ip}:18401\"\n\
         [listen]\noutbound = \"{ip}:18404\"\ninbound = \"{ip}:18400\"\nreadiness = \"{ip}:18402\"\n\
         peers_port = 18420\n[source]\naddress = \"{source}\"\n[bounds]\ngrace_period_s = 6\n"
    )
}

/// Starts a store in its own thread. It lists one instance and routes all requests to it.
fn start_store(instance: Instance) -> SocketAddr {
    let (sender, address) = channel();
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        LocalSet::new().block_on(&runtime, async move {
            let store = InMemoryStore::new(10);
            let route = Route {
                name: "all".into(),
                host: "shop".into(),
                path_prefix: "/".into(),
                services: vec![WeightedService { service: instance.service.clone(), weight: 1 }],
                safety: RetrySafety::Safe,
                timeout: None,
                target_latency: Millis(1_000),
                priority: 0,
                attempts: 1,
                is_public: false,
            };
            let limits = ClientLimits::default();
            let version = ConfigurationVersion(1);
            let configuration = Configuration {
                version,
                routes: vec![route],
                limits,
                tenants: Vec::new(),
                health_paths: Default::default(),
            };
            records::put_configuration(&store, &configuration);
            records::put_instance(&store, &instance, 1);
            sender.send(store.listen().await.unwrap().address).unwrap();
            std::future::pending::<()>().await;
        });
    });
    address.recv().unwrap()
}

struct Sidecar {
    process: Child,
    lines: Receiver<String>,
}

impl Sidecar {
    fn start(file: &Path) -> Self {
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

    fn signal(&self, name: &str) {
        let sent = Command::new("kill").args([name, &self.process.id().to_string()]).status().unwrap();
        assert!(sent.success());
    }

    fn wait_for(&self, event: &str) -> String {
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
    }
}

fn readiness(ip: &str) -> String {
    let mut stream = TcpStream::connect(format!("{ip}:18402")).unwrap();
    let path = olivegate_platform::WIRE_NAMES.readiness_path;
    write!(stream, "GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").unwrap();
    let mut response = String::new();
    stream.read_to_string(&mut response).unwrap();
    response
}

#[rstest]
fn a_sidecar_starts_reloads_and_stops() {
    let file: PathBuf = Path::new(env!("CARGO_TARGET_TMPDIR")).join("sidecar.toml");
    std::fs::write(&file, settings("books")).unwrap();
    let mut sidecar = Sidecar::start(&file);
    sidecar.wait_for("event=started");
    sidecar.wait_for("event=source_lost");
    assert!(readiness(IP).starts_with("HTTP/1.1 503"), "without configuration it is not ready");
    sidecar.signal("-HUP");
    sidecar.wait_for("event=reloaded changed=false");
    std::fs::write(&file, settings("desk")).unwrap();
    sidecar.wait_for("event=reloaded changed=true");
    std::fs::write(&file, "no settings").unwrap();
    sidecar.signal("-HUP");
    sidecar.wait_for("event=reload_failed");
    sidecar.signal("-TERM");
    sidecar.wait_for("event=stop_begun");
    sidecar.wait_for("event=stopped drained=true");
    assert_eq!(sidecar.process.wait().unwrap().code(), Some(0));
}

#[rstest]
fn requests_of_clients_that_disconnect_are_logged_as_cancelled() {
    let address: SocketAddr = format!("{SILENT_IP}:18401").parse().unwrap();
    let _silent = TcpListener::bind(address).unwrap();
    let store = start_store(Instance {
        name: InstanceName::new("i-1"),
        incarnation: Incarnation::UNKNOWN,
        service: ServiceName::new("books"),
        address,
        zone: ZoneName::new("north"),
        slots: 1_000,
        state: InstanceState::Ready,
    });
    let file: PathBuf = Path::new(env!("CARGO_TARGET_TMPDIR")).join("sidecar-silent.toml");
    std::fs::write(&file, settings_for(SILENT_IP, "books", &store.to_string())).unwrap();
    let sidecar = Sidecar::start(&file);
    sidecar.wait_for("event=directory_changed");
    while !readiness(SILENT_IP).starts_with("HTTP/1.1 200") {
        std::thread::sleep(Duration::from_millis(10));
    }
    let wire_names = olivegate_platform::WIRE_NAMES;
    let (id, time) = (wire_names.request_id, wire_names.time_left_ms);
    for number in 0..DISCONNECTING_CLIENTS {
        let mut client = TcpStream::connect(format!("{SILENT_IP}:18404")).unwrap();
        write!(client, "GET / HTTP/1.1\r\nHost: shop\r\n{id}: r{number}\r\n{time}: 9000\r\n\r\n").unwrap();
        std::thread::sleep(Duration::from_millis(2));
    }
    let line = sidecar.wait_for("event=cancelled");
    assert!(line.contains("request=r") && line.contains("after_ms="), "{line}");
}
