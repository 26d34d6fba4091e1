//! Configuration and instances as the product knows them.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use borsh::{BorshDeserialize, BorshSerialize};
use olivegate_authentication::Tenant;
use olivegate_types::{InstanceName, ServiceName, ZoneName};

/// A version of the configuration; later ones are larger.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, BorshSerialize, BorshDeserialize)]
pub struct ConfigurationVersion(pub u64);

impl fmt::Display for ConfigurationVersion {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

/// How often the source has lost changes that it had acknowledged: it came back from an older copy of
/// itself and gives positions in its history out again. Later ones are larger.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, BorshSerialize, BorshDeserialize)]
pub struct Epoch(pub u64);

impl fmt::Display for Epoch {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

/// Position in the source's history of changes; later ones are larger. The epoch goes first: without
/// it, 22 of before a loss passes for newer than 18 of after it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, BorshSerialize, BorshDeserialize)]
pub struct Revision {
    /// Epoch in which the source gave it out.
    pub epoch: Epoch,
    /// Number of the change, counted by the source.
    pub number: u64,
}

impl Revision {
    /// The change of this number in `epoch`.
    pub fn new(epoch: Epoch, number: u64) -> Self {
        Revision { epoch, number }
    }

    /// The change of this number in the epoch of a source that has lost nothing.
    pub fn of(number: u64) -> Self {
        Revision::new(Epoch::default(), number)
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}", self.epoch, self.number)
    }
}

/// Start of an instance, in milliseconds of Unix time; 0 where it is not told. An instance that starts
/// again under its name has a later one, and knows nothing of before.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, BorshSerialize, BorshDeserialize)]
pub struct Incarnation(pub u64);

impl Incarnation {
    /// The start is not told.
    pub const UNKNOWN: Incarnation = Incarnation(0);

    /// True where the start is told.
    pub fn is_known(self) -> bool {
        self != Incarnation::UNKNOWN
    }

    /// This start where it is told, else `other`.
    pub fn or(self, other: Incarnation) -> Incarnation {
        if self.is_known() { self } else { other }
    }

    /// Name of this start of the instance `name`, where one that starts again is another.
    pub fn start_name(self, name: &InstanceName) -> InstanceName {
        if self.is_known() { InstanceName::new(format!("{name}@{}", self.0)) } else { name.clone() }
    }

    /// True when both are told and differ.
    pub fn differs_from(self, other: Incarnation) -> bool {
        self != other && self.is_known() && other.is_known()
    }

    /// True when both are told and this one is the earlier.
    pub fn is_before(self, other: Incarnation) -> bool {
        self.differs_from(other) && self < other
    }
}

/// A span of time in whole milliseconds, as nodes pass it on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, BorshSerialize, BorshDeserialize)]
pub struct Millis(pub u32);

impl Millis {
    /// The whole milliseconds of a span; the largest number when there are more.
    pub fn from_duration(span: Duration) -> Self {
        Millis(u32::try_from(span.as_millis()).unwrap_or(u32::MAX))
    }

    /// The span.
    pub fn duration(self) -> Duration {
        Duration::from_millis(u64::from(self.0))
    }
}

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum RetrySafety {
    /// It may be sent again after any failure.
    Safe,
    /// It may run at most once.
    Unsafe,
}

/// A service that takes a share of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// Its share, relative to the other parts.
    pub weight: u32,
}

/// Where requests of one host and path go, and how they are treated.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Route {
    /// Name, unique in the configuration.
    pub name: String,
    /// Host, in lower case.
    pub host: String,
    /// Beginning of the path; begins and ends with a slash.
    pub path_prefix: String,
    /// Services that run its requests; at least one.
    pub services: Vec<WeightedService>,
    /// Whether its requests may run more than once.
    pub safety: RetrySafety,
    /// Longest time that a request is held.
    pub timeout: Option<Millis>,
    /// Time within which an answer is worth most.
    pub target_latency: Millis,
    /// Rank among routes; 0 is shed last.
    pub priority: u32,
    /// Most instances that one request is sent to.
    pub attempts: u32,
    /// True when its requests need no key.
    pub is_public: bool,
}

/// What clients may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct ClientLimits {
    /// Longest head in bytes.
    pub max_head_bytes: u32,
    /// Longest body in bytes.
    pub max_body_bytes: u64,
    /// Longest time between a head's first byte and its last.
    pub head_timeout: Millis,
    /// Longest time that a connection rests between requests.
    pub idle_timeout: Millis,
}

impl Default for ClientLimits {
    fn default() -> Self {
        ClientLimits {
            max_head_bytes: 16 * 1024,
            max_body_bytes: 64 * 1024 * 1024,
            head_timeout: Millis(5_000),
            idle_timeout: Millis(30_000),
        }
    }
}

/// One version of the configuration, whole.
#[derive(Debug, Clone, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct Configuration {
    /// Version.
    pub version: ConfigurationVersion,
    /// Routes.
    pub routes: Vec<Route>,
    /// Limits of clients.
    pub limits: ClientLimits,
    /// Tenants; none where requests need no keys.
    pub tenants: Vec<Tenant>,
    /// Path by which instances of each service are asked whether they are healthy, where it is told.
    pub health_paths: BTreeMap<ServiceName, String>,
}

/// Whether an instance takes new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum InstanceState {
    /// It takes new requests.
    Ready,
    /// It is about to end and takes no new requests.
    Draining,
}

/// An instance as the source lists it.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Instance {
    /// Its name; an instance may start again under the one that it had.
    pub name: InstanceName,
    /// Its start.
    pub incarnation: Incarnation,
    /// Service that it runs.
    pub service: ServiceName,
    /// Where it listens; only processes of its own machine reach it.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: ZoneName,
    /// Requests that it works on at a time.
    pub slots: u32,
    /// Whether it takes new requests.
    pub state: InstanceState,
}

impl Instance {
    /// Name of this start of the instance.
    pub fn start_name(&self) -> InstanceName {
        self.incarnation.start_name(&self.name)
    }
}
