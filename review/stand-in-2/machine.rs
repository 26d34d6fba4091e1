//! Machines: a sidecar as a process of its own, at a loopback address of its own, and the instance beside it.

use std::io::BufReader;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Message, read_message, write_response};

/// Ports that are alike on all machines.
#[derive(Debug, Clone, Copy)]
pub struct Ports {
    pub outbound: u16,
    pub inbound: u16,
    pub readiness: u16,
    pub peers: u16,
    pub metrics: u16,
    pub instance: u16,
}

impl Ports {
    /// Ports that are free now at the first loopback address.
    pub fn free() -> Self {
        let listeners: Vec<TcpListener> =
            (0..6).map(|_| TcpListener::bind("127.0.0.1:0").expect("a free port")).collect();
        let port = |index: usize| listeners[index].local_addr().unwrap().port();
        Ports {
            outbound: port(0),
            inbound: port(1),
            readiness: port(2),
            peers: port(3),
            metrics: port(4),
            instance: port(5),
        }
    }
}

/// What all machines of a deployment share.
#[derive(Clone)]
pub struct Deployment {
    pub ports: Ports,
    pub store: SocketAddr,
    pub folder: PathBuf,
    pub max_descriptors: u32,
    /// `budget-slack` of the site.
    pub repeat_slack: u32,
}

/// Answers one request of an instance; writes the answer to the connection itself.
pub type Handler = Arc<dyn Fn(&Message, &mut TcpStream) -> std::io::Result<()> + Send + Sync>;

/// An instance, which listens until it ends.
pub struct Instance {
    pub id: String,
    has_ended: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
    address: SocketAddr,
}

impl Instance {
    /// Starts the instance `id` at `address`.
    pub fn start(id: &str, address: SocketAddr, handler: Handler) -> Self {
        let listener = TcpListener::bind(address).expect("the instance's address is free");
        let (has_ended, connections) = (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new(Vec::new())));
        let instance =
            Instance { id: id.into(), has_ended: has_ended.clone(), connections: connections.clone(), address };
        let id = id.to_string();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if has_ended.load(Ordering::SeqCst) {
                    return;
                }
                let _ = stream.set_nodelay(true);
                connections.lock().unwrap().extend(stream.try_clone().ok());
                let (id, handler) = (id.clone(), handler.clone());
                std::thread::spawn(move || serve(&id, stream, &handler));
            }
        });
        instance
    }

    /// Ends the instance with all its connections.
    pub fn end(&self) {
        self.has_ended.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(self.address);
        for stream in self.connections.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn serve(id: &str, stream: TcpStream, handler: &Handler) {
    let Ok(mut output) = stream.try_clone() else { return };
    let mut input = BufReader::new(stream);
    while let Ok(Some(request)) = read_message(&mut input) {
        let request_id = request.field("x-request-id").unwrap_or("").to_string();
        let mut fields = vec![("X-Instance-Id", id)];
        if !request_id.is_empty() {
            fields.push(("X-Request-Id", &request_id));
        }
        let expected = request.field("x-expected-instance");
        let result = if request.target() == "/healthz" {
            write_response(&mut output, "200 OK", &fields, b"")
        } else if expected.is_some_and(|expected| expected != id) {
            write_response(&mut output, "421 Misdirected Request", &fields, b"")
        } else {
            handler(&request, &mut output)
        };
        if result.is_err() {
            return;
        }
    }
}

/// The entry of an instance in the store.
pub fn entry(address: SocketAddr, service: &str, state: &str, born_ms: u128) -> String {
    format!(
        "{{\"address\":\"{address}\",\"born\":{born_ms},\"info\":{{\"service\":\"{service}\",\"version\":\"v1\",\
         \"zone\":\"zone-a\",\"slots\":100}},\"status\":{{\"state\":\"{state}\",\"sequence\":1,\
         \"warmup-remaining-ms\":0}}}}"
    )
}

/// Adds a process to the list that the script goes through at its end.
fn note_process(deployment: &Deployment, pid: u32) {
    use std::io::Write;
    let list = std::fs::OpenOptions::new().create(true).append(true).open(deployment.folder.join("pids"));
    let _ = list.and_then(|mut list| writeln!(list, "{pid}"));
}

/// A sidecar process.
pub struct Sidecar {
    pub ip: String,
    child: Child,
}

/// Settings like those of a small deployment, as the template lays them out.
fn settings_text(deployment: &Deployment, ip: &str, service: &str, number: u32) -> String {
    let ports = deployment.ports;
    format!(
        "node = \"sidecar-{number}\"\nzone = \"zone-a\"\nservice = \"{service}\"\ninstance = \"{ip}:{}\"\n\
         [listen]\noutbound = \"{ip}:{}\"\ninbound = \"{ip}:{}\"\nreadiness = \"{ip}:{}\"\nmetrics_port = {}\n\
         peers_port = {}\n[source]\naddress = \"{}\"\nheartbeat_ms = 1500\n[bounds]\ncontact_ms = 3000\n\
         drain_ms = 2000\ngrace_period_s = 6\nrepeat_ratio = 0.2\nrepeat_slack = {}\nrepeat_window_s = 10\n\
         [machine]\nmemory_mb = 260\nmax_descriptors = {}\n",
        ports.instance,
        ports.outbound,
        ports.inbound,
        ports.readiness,
        ports.metrics,
        ports.peers,
        deployment.store,
        deployment.repeat_slack,
        deployment.max_descriptors,
    )
}

static STARTED: AtomicU32 = AtomicU32::new(0);

impl Sidecar {
    /// Starts the sidecar of the machine at `ip`, whose instance is of `service`. The command is that of the
    /// deploy file; the settings are those of a small deployment.
    pub fn start(deployment: &Deployment, ip: &str, service: &str) -> Self {
        let number = STARTED.fetch_add(1, Ordering::SeqCst);
        let settings = deployment.folder.join(format!("boot-{number}.toml"));
        let text = settings_text(deployment, ip, service, number);
        std::fs::write(&settings, text).expect("settings can be written");
        let log = std::fs::File::create(deployment.folder.join(format!("log-{number}.txt"))).unwrap();
        let limited = format!(
            "ulimit -n {}; exec target/release/olivegate sidecar --settings \"$0\"",
            deployment.max_descriptors
        );
        let child = Command::new("/bin/sh")
            .args(["-c", &limited, settings.to_str().unwrap()])
            .stdin(Stdio::null())
            .stdout(Stdio::from(log.try_clone().unwrap()))
            .stderr(Stdio::from(log))
            .spawn()
            .expect("the sidecar starts");
        note_process(deployment, child.id());
        Sidecar { ip: ip.into(), child }
    }

    /// Process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Number of open descriptors of the process.
    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.pid())).map_or(0, |entries| entries.count())
    }

    /// Resident memory in megabytes.
    pub fn memory_mb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.pid())).unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or("");
        line.split_whitespace().nth(1).and_then(|text| text.parse::<u64>().ok()).unwrap_or(0) / 1024
    }

    /// Sends a signal by its name.
    pub fn signal(&self, name: &str) {
        let command = format!("kill -{name} {}", self.pid());
        let _ = Command::new("/bin/sh").args(["-c", &command]).status();
    }

    /// True while the process runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Waits until the process is ready; false if that takes longer than `limit`.
    pub fn wait_until_ready(&self, deployment: &Deployment, limit: Duration) -> bool {
        let began = Instant::now();
        while began.elapsed() < limit {
            if ReadinessCheck::default().ask(&self.ip, deployment.ports.readiness) == 200 {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Sidecar {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The platform's readiness check of one machine, on a connection that it keeps.
#[derive(Default)]
pub struct ReadinessCheck {
    connection: Option<BufReader<TcpStream>>,
}

impl ReadinessCheck {
    /// Status of the answer; 0 if there is none within a second.
    pub fn ask(&mut self, ip: &str, port: u16) -> u16 {
        self.try_ask(ip, port).unwrap_or_else(|_| {
            self.connection = None;
            0
        })
    }

    fn try_ask(&mut self, ip: &str, port: u16) -> std::io::Result<u16> {
        use std::io::Write;
        if self.connection.is_none() {
            let address: SocketAddr = format!("{ip}:{port}").parse().unwrap();
            let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
            stream.set_read_timeout(Some(Duration::from_secs(1)))?;
            self.connection = Some(BufReader::new(stream));
        }
        let connection = self.connection.as_mut().unwrap();
        connection.get_mut().write_all(format!("GET /-/readyz HTTP/1.1\r\nHost: {ip}\r\n\r\n").as_bytes())?;
        let answer = read_message(connection)?.ok_or(std::io::ErrorKind::UnexpectedEof)?;
        if answer.closes() {
            self.connection = None;
        }
        Ok(answer.status())
    }
}
