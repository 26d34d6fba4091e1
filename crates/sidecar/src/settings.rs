//! Settings of a sidecar node, read from TOML and validated; every error is reported with its field.

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
    /// Requests that other nodes offer for the instance.
    pub inbound: SocketAddr,
    /// Address by which other machines know this one. Differs from that of `inbound` behind address
    /// translation.
    pub advertised: IpAddr,
    /// Readiness checks.
    pub readiness: SocketAddr,
    /// Messages of other nodes, by UDP.
    pub peers: SocketAddr,
    /// Metrics, if enabled.
    pub metrics: Option<SocketAddr>,
}

/// Bounds that the operator guarantees to callers and that the node keeps.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// Time without a fault after which the source counts as stable again.
    pub contact: Duration,
    /// Time between the stop signal and the forced end by the platform.
    pub grace_period: Duration,
    /// Time after which a leaving instance gets no more requests.
    pub drain: Duration,
    /// Retries of a service's requests that are allowed, as a fraction of the requests.
    pub repeat_ratio: f64,
    /// Retries allowed beyond that in each window, over all nodes.
    pub repeat_slack: f64,
    /// Length of the window.
    pub repeat_window: Duration,
    /// A key is accepted only while the configuration that holds it is proven to be younger than this.
    /// Without a bound, it is accepted until a newer configuration is known.
    pub keys_proven_within: Option<Duration>,
    /// Deviation from the quota of a tenant that is allowed to all nodes together.
    pub quota: Tolerance,
}

/// File descriptors reserved for files, the source, readiness and the instance.
const RESERVED_DESCRIPTORS: u64 = 300;
/// Maximum memory of one request in flight in bytes: its body and its response, each up to the size that is
/// read as a whole.
const MAX_REQUEST_BYTES: u64 = 128 << 10;
/// Minimum memory of one request in flight in bytes: tasks, buffers, connections.
const MIN_REQUEST_BYTES: u64 = 16 << 10;
/// Requests of all sizes are in flight together, so this multiple of their mean size is assumed.
const MEAN_MULTIPLIER: u64 = 4;
/// Requests in flight may take one part in this many of the memory.
const REQUEST_MEMORY_DIVISOR: u64 = 4;
/// Responses that are held while others wait behind them may take one part in this many of the memory.
const HELD_BYTES_DIVISOR: u64 = 16;

/// Resources that the machine offers the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MachineLimits {
    /// Memory in megabytes.
    pub memory_mb: u64,
    /// Maximum number of file descriptors.
    pub max_descriptors: u64,
}

impl MachineLimits {
    /// Returns the maximum number of concurrent connections on each of the two ports for requests. An
    /// accepted connection may need one of the node's own.
    pub fn max_connections(&self) -> usize {
        let left = self.max_descriptors.saturating_sub(RESERVED_DESCRIPTORS) / 4;
        usize::try_from(left.max(16)).unwrap_or(usize::MAX)
    }

    /// Returns the maximum number of idle connections to the gates of other machines. The accepted connections of
    /// both ports and those that they need may take three quarters of the descriptors.
    pub fn max_idle_gate_connections(&self) -> usize {
        self.max_connections()
    }

    /// Returns the maximum number of bytes of responses that are held while others wait behind them.
    pub fn max_held_bytes(&self) -> usize {
        usize::try_from((self.memory_mb << 20) / HELD_BYTES_DIVISOR).unwrap_or(usize::MAX)
    }

    /// Returns the maximum number of requests in flight, whatever their size.
    pub fn max_requests(&self) -> usize {
        self.max_requests_of(MAX_REQUEST_BYTES)
    }

    /// Returns the maximum number of requests in flight that take `mean` bytes on average.
    pub fn max_requests_of(&self, mean: u64) -> usize {
        let each = mean.saturating_mul(MEAN_MULTIPLIER).clamp(MIN_REQUEST_BYTES, MAX_REQUEST_BYTES);
        let requests = (self.memory_mb << 20) / REQUEST_MEMORY_DIVISOR / each;
        usize::try_from(requests.max(16)).unwrap_or(usize::MAX)
    }
}

/// Validated settings of a node.
#[derive(Debug, Clone, PartialEq)]
pub struct SidecarSettings {
    /// Name of the node.
    pub node: NodeName,
    /// Its zone.
    pub zone: ZoneName,
    /// Service of the instance beside the node.
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
    /// Resources of the machine.
    pub machine: MachineLimits,
    /// Limits on requests that end instances.
    pub quarantine: QuarantinePolicy,
}

const ADDRESS: &str = "an address such as 127.0.0.1:8080";

impl SidecarSettings {
    /// Parses and validates settings.
    pub fn from_toml(text: &str) -> Result<Self, FieldErrors> {
        let mut reader = TableReader::parse(text)?;
        let settings = read(&mut reader);
        reader.finish()?;
        settings.ok_or_else(|| FieldErrors(Vec::new()))
    }

    /// Returns the address by which other nodes and the instance know this machine.
    pub fn ip(&self) -> IpAddr {
        self.listen.advertised
    }

    /// Returns the inbound address of the node on `machine`; ports are the same on all machines.
    pub fn inbound_of(&self, machine: IpAddr) -> SocketAddr {
        SocketAddr::new(machine, self.listen.inbound.port())
    }

    /// Returns the address for messages to the node on `machine`.
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

/// Reads a duration in milliseconds, possibly with a fraction.
fn read_millis(reader: &mut TableReader, field: &str, default: f64) -> Duration {
    Duration::from_secs_f64(reader.number_or(field, default, 1.0..=3_600_000.0) / 1_000.0)
}

/// Reads a duration in seconds, possibly with a fraction.
fn read_seconds(reader: &mut TableReader, field: &str, default: f64) -> Duration {
    Duration::from_secs_f64(reader.number_or(field, default, 0.001..=3_600.0))
}

/// Maximum number of ended instances that a limit may require.
const MAX_ENDS: u64 = 8;

fn read_quarantine(reader: &mut TableReader) -> QuarantinePolicy {
    let default = QuarantinePolicy::default();
    let held_after = reader.integer_or("held_after_ends", u64::from(default.held_after), 1..=MAX_ENDS);
    let min = held_after.min(MAX_ENDS);
    let refused_after =
        reader.integer_or("refused_after_ends", u64::from(default.refused_after).max(min), min..=MAX_ENDS);
    QuarantinePolicy {
        held_after: held_after as u32,
        refused_after: refused_after as u32,
        extra_if_answered: reader.integer_or(
            "answered_before_ends",
            u64::from(default.extra_if_answered),
            0..=MAX_ENDS,
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
