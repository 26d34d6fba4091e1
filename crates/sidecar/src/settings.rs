//! Settings of a sidecar node: read from TOML, checked, every mistake named.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use olivegate_checked::{FieldErrors, TableReader};
use olivegate_quarantine::QuarantinePolicy;
use olivegate_quota::Tolerance;
use olivegate_types::{NodeName, ServiceName, ZoneName};

/// Addresses that the node listens on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListenAddresses {
    /// Requests of clients and of the instance beside the node.
    pub outbound: SocketAddr,
    /// Offers of other nodes.
    pub inbound: SocketAddr,
    /// Address by which other machines know this one; another than that of `inbound` where
    /// something in between translates it.
    pub advertised: IpAddr,
    /// Readiness.
    pub readiness: SocketAddr,
    /// Announcements of other nodes, by UDP.
    pub peers: SocketAddr,
    /// Metrics; none when absent.
    pub metrics: Option<SocketAddr>,
}

/// Bounds that the operator promises callers, and that the node keeps.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// After this time without a fault the source counts as calm again.
    pub contact: Duration,
    /// Time from a stop signal to the end that the platform enforces.
    pub grace_period: Duration,
    /// A leaving instance gets no requests after this time.
    pub drain: Duration,
    /// Requests of a service that may be repeats, as a fraction of its requests.
    pub repeat_ratio: f64,
    /// Repeats allowed beyond that in each window, over all nodes.
    pub repeat_slack: f64,
    /// Window of the repeats.
    pub repeat_window: Duration,
    /// A key counts only while the configuration that holds it is proven to be younger than this;
    /// without a bound, until a newer configuration is known.
    pub keys_proven_within: Option<Duration>,
    /// By how much all nodes together may be off the quota of a tenant.
    pub quota: Tolerance,
}

/// Descriptors kept for files, the source, readiness and the instance.
const KEPT_DESCRIPTORS: u64 = 300;
/// Memory that one request may take on its way, in bytes: its body and its answer, each up to
/// the size that is read whole.
const LARGEST_REQUEST: u64 = 128 << 10;
/// Memory that a request on its way takes at the least, in bytes: tasks, buffers, connections.
const SMALLEST_REQUEST: u64 = 16 << 10;
/// Requests of all sizes are on their way at once; this many times their mean is counted.
const TIMES_MEAN: u64 = 4;
/// Part of the memory that requests on their way may take.
const REQUEST_MEMORY_PART: u64 = 4;

/// What the machine offers the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MachineLimits {
    /// Memory in megabytes.
    pub memory_mb: u64,
    /// Descriptors.
    pub max_descriptors: u64,
}

impl MachineLimits {
    /// Most connections that each of the two ports for requests accepts at a time. An accepted
    /// connection may need one of the node's own.
    pub fn max_connections(&self) -> usize {
        let left = self.max_descriptors.saturating_sub(KEPT_DESCRIPTORS) / 4;
        usize::try_from(left.max(16)).unwrap_or(usize::MAX)
    }

    /// Most requests that may be on their way at a time, whatever their size.
    pub fn max_requests(&self) -> usize {
        self.max_requests_of(LARGEST_REQUEST)
    }

    /// Most requests that may be on their way at a time where they hold `mean` bytes on average.
    pub fn max_requests_of(&self, mean: u64) -> usize {
        let each = mean.saturating_mul(TIMES_MEAN).clamp(SMALLEST_REQUEST, LARGEST_REQUEST);
        let requests = (self.memory_mb << 20) / REQUEST_MEMORY_PART / each;
        usize::try_from(requests.max(16)).unwrap_or(usize::MAX)
    }
}

/// Checked settings.
#[derive(Debug, Clone, PartialEq)]
pub struct SidecarSettings {
    /// Name of the node.
    pub node: NodeName,
    /// Its zone.
    pub zone: ZoneName,
    /// Service of the instance beside it.
    pub service: ServiceName,
    /// Address of that instance.
    pub instance: SocketAddr,
    /// Addresses to listen on.
    pub listen: ListenAddresses,
    /// Address of the source of configuration and instances.
    pub source: SocketAddr,
    /// Interval at which instances renew their entries.
    pub heartbeat: Duration,
    /// Bounds to keep.
    pub bounds: Bounds,
    /// Limits of the machine.
    pub machine: MachineLimits,
    /// What follows for requests with which instances end.
    pub quarantine: QuarantinePolicy,
}

const ADDRESS: &str = "an address such as 127.0.0.1:8080";

impl SidecarSettings {
    /// Reads and checks settings text.
    pub fn from_toml(text: &str) -> Result<Self, FieldErrors> {
        let mut reader = TableReader::parse(text)?;
        let settings = read(&mut reader);
        reader.finish()?;
        settings.ok_or_else(|| FieldErrors(Vec::new()))
    }

    /// Own address, by which other nodes and the instance know this machine.
    pub fn ip(&self) -> IpAddr {
        self.listen.advertised
    }

    /// Address at which the node on `machine` takes offers: ports are alike on all machines.
    pub fn inbound_of(&self, machine: IpAddr) -> SocketAddr {
        SocketAddr::new(machine, self.listen.inbound.port())
    }

    /// Address at which the node on `machine` takes announcements.
    pub fn peers_of(&self, machine: IpAddr) -> SocketAddr {
        SocketAddr::new(machine, self.listen.peers.port())
    }
}

fn read(reader: &mut TableReader) -> Option<SidecarSettings> {
    let node = NodeName::new(reader.name("node"));
    let zone = ZoneName::new(reader.name("zone"));
    let service = ServiceName::new(reader.name("service"));
    let instance = reader.parsed("instance", ADDRESS);
    let listen = reader.section("listen", read_listen);
    let source = reader.section("source", read_source);
    let bounds = reader.section("bounds", read_bounds);
    let machine = reader.section("machine", |machine| MachineLimits {
        memory_mb: machine.number_or("memory_mb", 256.0, 16.0..=1_048_576.0) as u64,
        max_descriptors: machine.number_or("max_descriptors", 4_096.0, 256.0..=10_000_000.0) as u64,
    });
    let quarantine = reader.section("quarantine", read_quarantine);
    let (source, heartbeat) = source?;
    Some(SidecarSettings {
        node,
        zone,
        service,
        instance: instance?,
        listen: listen?,
        source,
        heartbeat,
        bounds,
        machine,
        quarantine,
    })
}

fn read_listen(reader: &mut TableReader) -> Option<ListenAddresses> {
    let outbound = reader.parsed("outbound", ADDRESS);
    let inbound: Option<SocketAddr> = reader.parsed("inbound", ADDRESS);
    let readiness = reader.parsed("readiness", ADDRESS);
    let peers_port = reader.integer("peers_port", 1..=65_535) as u16;
    let metrics_port = reader.integer_or("metrics_port", 0, 0..=65_535) as u16;
    let inbound = inbound?;
    let advertised = reader.opt_parsed("advertised_ip", "an address such as 127.0.0.1").unwrap_or(inbound.ip());
    let metrics = (metrics_port > 0).then(|| SocketAddr::new(inbound.ip(), metrics_port));
    let peers = SocketAddr::new(inbound.ip(), peers_port);
    Some(ListenAddresses { outbound: outbound?, inbound, advertised, readiness: readiness?, peers, metrics })
}

fn read_source(reader: &mut TableReader) -> Option<(SocketAddr, Duration)> {
    let address = reader.parsed("address", ADDRESS);
    let heartbeat = read_millis(reader, "heartbeat_ms", 1_500.0);
    Some((address?, heartbeat))
}

/// A span of milliseconds, whole or not.
fn read_millis(reader: &mut TableReader, field: &str, default: f64) -> Duration {
    Duration::from_secs_f64(reader.number_or(field, default, 1.0..=3_600_000.0) / 1_000.0)
}

/// A span of seconds, whole or not.
fn read_seconds(reader: &mut TableReader, field: &str, default: f64) -> Duration {
    Duration::from_secs_f64(reader.number_or(field, default, 0.001..=3_600.0))
}

/// Ends of instances that a limit may ask for at most.
const MOST_ENDS: u64 = 8;

fn read_quarantine(reader: &mut TableReader) -> QuarantinePolicy {
    let default = QuarantinePolicy::default();
    let held_after = reader.integer_or("held_after_ends", u64::from(default.held_after), 1..=MOST_ENDS);
    let least = held_after.min(MOST_ENDS);
    let refused_after =
        reader.integer_or("refused_after_ends", u64::from(default.refused_after).max(least), least..=MOST_ENDS);
    QuarantinePolicy {
        held_after: held_after as u32,
        refused_after: refused_after as u32,
        extra_if_answered: reader.integer_or(
            "answered_before_ends",
            u64::from(default.extra_if_answered),
            0..=MOST_ENDS,
        ) as u32,
        probe_after: read_seconds(reader, "probe_after_s", default.probe_after.as_secs_f64()),
        memory: read_seconds(reader, "memory_s", default.memory.as_secs_f64()),
        max_contents: reader.integer_or("most_contents", default.max_contents as u64, 16..=65_536) as usize,
    }
}

fn read_bounds(reader: &mut TableReader) -> Bounds {
    Bounds {
        contact: read_millis(reader, "contact_ms", 3_000.0),
        grace_period: read_seconds(reader, "grace_period_s", 10.0),
        drain: read_millis(reader, "drain_ms", 2_000.0),
        repeat_ratio: reader.number_or("repeat_ratio", 0.2, 0.0..=10.0),
        repeat_slack: reader.number_or("repeat_slack", 20.0, 0.0..=1_000_000.0),
        repeat_window: read_seconds(reader, "repeat_window_s", 10.0),
        keys_proven_within: reader
            .opt_number("keys_proven_within_ms", 100.0..=3_600_000.0)
            .map(|millis| Duration::from_secs_f64(millis / 1_000.0)),
        quota: Tolerance {
            window: read_seconds(reader, "quota_window_s", 5.0),
            overshoot: reader.number_or("quota_overshoot", 0.25, 0.0..=10.0),
            slack: reader.number_or("quota_slack", 20.0, 0.0..=1_000_000.0),
        },
    }
}
