//! What all cases have in common: machines with their sidecars, one store, clients, and the verdict.

use std::io::Result;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use crate::http::{self, Message};
use crate::instance::{Instance, InstanceSpec, Runs};
use crate::record::Record;
use crate::sidecar::{Machine, Ports, Sidecar};
use crate::store::{Listening, Store};

/// How a case ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
    /// The case could not run.
    NotRun,
}

impl Verdict {
    /// The exit code of the script.
    pub fn code(self) -> i32 {
        match self {
            Verdict::Held => 0,
            Verdict::Broken => 1,
            Verdict::NotRun => 2,
        }
    }
}

/// A small deployment.
pub struct World {
    /// What is recorded.
    pub record: Record,
    /// Folder of the settings and logs.
    pub folder: PathBuf,
    /// The program.
    pub program: PathBuf,
    /// True if the disruption takes place.
    pub has_trouble: bool,
    /// The store.
    pub store: Store,
    /// Where the store listens.
    pub listening: Listening,
    /// The machines.
    pub machines: Vec<Machine>,
    /// What the instances have run.
    pub runs: Runs,
    requests: u64,
}

/// How long a client waits, in milliseconds.
pub const CLIENT_TIMEOUT_MS: u64 = 5_000;
/// Time within which the machines are ready.
const READY_WITHIN: Duration = Duration::from_secs(15);

/// A loopback address that no other run of a case uses at the same time.
fn loopback(last: u8) -> IpAddr {
    let process = std::process::id();
    IpAddr::V4(Ipv4Addr::new(127, 64 + (process / 250 % 64) as u8, (process % 250) as u8, last))
}

/// Address of a machine.
fn machine_ip(index: usize) -> IpAddr {
    loopback(11 + index as u8)
}

/// Address of the store; there may be two.
pub fn store_address(number: u8) -> SocketAddr {
    SocketAddr::new(loopback(number), 0)
}

impl World {
    /// A deployment with a machine for each of `services`, none started yet.
    pub fn new(
        record: Record,
        folder: &Path,
        program: &Path,
        services: &[&str],
        more_bounds: &str,
    ) -> Result<Self> {
        let store = Store::default();
        let listening = store.listen(store_address(1))?;
        let ips: Vec<IpAddr> = (0..services.len()).map(machine_ip).collect();
        let ports = Ports::free(&ips).ok_or(std::io::ErrorKind::AddrInUse)?;
        let machine = |(index, service): (usize, &&str)| Machine {
            node: format!("sidecar-rose-hill-{}", index + 1),
            ip: ips[index],
            zone: "rose-hill".into(),
            service: service.to_string(),
            ports,
            store: listening.address,
            more_bounds: more_bounds.into(),
        };
        let machines = services.iter().enumerate().map(machine).collect();
        let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
        record.line(format!("disruption: {}", if has_trouble { "yes" } else { "no" }));
        Ok(World {
            record,
            folder: folder.to_path_buf(),
            program: program.to_path_buf(),
            has_trouble,
            store,
            listening,
            machines,
            runs: Runs::default(),
            requests: 0,
        })
    }

    /// Starts an instance of `service` beside a machine.
    pub fn start_instance(&self, machine: usize, id: &str, service: &str) -> Result<Instance> {
        self.start_special(machine, id, service, Duration::from_millis(20), 0.0)
    }

    /// Starts an instance that takes `work` for a request, and rejects `shed_share` of them while it sheds.
    pub fn start_special(
        &self,
        machine: usize,
        id: &str,
        service: &str,
        work: Duration,
        shed_share: f64,
    ) -> Result<Instance> {
        let machine = &self.machines[machine];
        let spec = InstanceSpec {
            id: id.into(),
            service: service.into(),
            zone: machine.zone.clone(),
            address: machine.app(),
            slots: 16,
            work,
            shed_share,
        };
        Instance::start(spec, &self.store, &self.record, &self.runs)
    }

    /// Starts the sidecars of all machines.
    pub fn start_sidecars(&self) -> Result<Vec<Sidecar>> {
        self.machines.iter().map(|machine| machine.start(&self.program, &self.folder)).collect()
    }

    /// Writes the configuration; returns the time of the acknowledgement.
    pub fn configure(&self, version: u32, routes: &[String], tenants: Option<&str>) -> Instant {
        let tenants = tenants.map(|tenants| format!(r#","tenants":{tenants}"#)).unwrap_or_default();
        let mut services: Vec<&str> = self.machines.iter().map(|machine| &machine.service[..]).collect();
        services.extend(["huvo11a", "lovo22d"]);
        services.sort_unstable();
        services.dedup();
        let service = |name: &&str| {
            format!(
                r#"{{"name":"{name}","health-path":"/healthz","max-connections":952,"protocol":"h1","tls":false}}"#
            )
        };
        let services: Vec<String> = services.iter().map(service).collect();
        let configuration = format!(
            r#"{{"version":"{version:08x}","routes":[{}],"services":[{}],"limits":{{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-ms":3000,"idle-timeout-ms":15000}}{tenants}}}"#,
            routes.join(","),
            services.join(","),
        );
        let acknowledged = self.store.put("op/config", &configuration);
        self.record.line(format!("configuration {version:08x} acknowledged: {configuration}"));
        acknowledged
    }

    /// Waits until all machines are ready.
    pub fn wait_until_ready(&self) -> bool {
        let until = Instant::now() + READY_WITHIN;
        let is_ready = |machine: &Machine| {
            let request =
                http::encode("GET /-/readyz HTTP/1.1", &[("Host", "node"), ("Connection", "close")], b"");
            let response = http::exchange(machine.readiness(), &request, Duration::from_secs(1));
            response.is_ok_and(|response| response.status() == 200)
        };
        while Instant::now() < until {
            if self.machines.iter().all(is_ready) {
                self.record.line("all machines are ready");
                return true;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        self.record.line("the machines are not ready");
        false
    }

    /// Sends a request of a client on a machine and returns its id and the response, if there is one.
    pub fn request(&mut self, machine: usize, path: &str, fields: &[(&str, &str)]) -> (String, Option<Message>) {
        self.requests += 1;
        let id = format!("9c41d07b{:08x}", self.requests);
        let machine = &self.machines[machine];
        let response = send(&self.record, machine, &id, path, CLIENT_TIMEOUT_MS, fields);
        (id, response)
    }

    /// True if an instance has run the request.
    pub fn has_run(&self, id: &str) -> bool {
        self.runs.lock().expect("lock").iter().any(|run| run.id == id)
    }
}

/// Sends a request of a client on a machine; `None` if there is no complete response.
pub fn send(
    record: &Record,
    machine: &Machine,
    id: &str,
    path: &str,
    timeout_ms: u64,
    fields: &[(&str, &str)],
) -> Option<Message> {
    let timeout = timeout_ms.to_string();
    let mut all = vec![
        ("Host", "hulo84.example"),
        ("X-Request-Id", id),
        ("X-Timeout-Ms", &timeout[..]),
        ("Connection", "close"),
    ];
    all.extend_from_slice(fields);
    let request = http::encode(&format!("GET {path} HTTP/1.1"), &all, b"");
    record.line(format!("sent {id} on {}: GET {path} {fields:?}", machine.node));
    match http::exchange(machine.outbound(), &request, Duration::from_millis(timeout_ms)) {
        Ok(response) => {
            let body = String::from_utf8_lossy(&response.body).into_owned();
            record.line(format!("answered {id}: {} {:?}", response.first_line, body.trim_end()));
            Some(response)
        }
        Err(error) => {
            record.line(format!("no answer for {id}: {error}"));
            None
        }
    }
}

/// A route of a configuration.
pub fn route(name: &str, prefix: &str, service: &str, is_public: bool) -> String {
    format!(
        r#"{{"name":"{name}","host":"hulo84.example","path-prefix":"{prefix}","type":"safe","timeout-ms":2000,"target-latency-ms":1200,"priority":2,"service":"{service}","retry-attempts":2,"public":{is_public}}}"#
    )
}
