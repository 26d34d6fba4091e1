//! Configuration and instances, independent of the platform.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use borsh::{BorshDeserialize, BorshSerialize};
use olivegate_authentication::Tenant;
use olivegate_types::{InstanceName, ServiceName, ZoneName};

/// Version of the configuration; later versions are larger.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, BorshSerialize, BorshDeserialize)]
pub struct ConfigurationVersion(pub u64);

impl fmt::Display for ConfigurationVersion {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

/// Number of times that the source lost acknowledged writes: it was restored from a backup and assigns
/// revision numbers again that it had assigned before. Later epochs are larger.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, BorshSerialize, BorshDeserialize)]
pub struct Epoch(pub u64);

impl fmt::Display for Epoch {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

/// Position in the source's history of changes; later ones are larger. The epoch is compared first: without
/// it, revision 22 from before a loss would count as newer than 18 from after it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, BorshSerialize, BorshDeserialize)]
pub struct Revision {
    /// Epoch in which the source assigned it.
    pub epoch: Epoch,
    /// Number of the change, counted by the source. A later epoch may assign the same number again.
    pub number: u64,
}

impl Revision {
    /// Creates the revision with this number in `epoch`.
    pub fn new(epoch: Epoch, number: u64) -> Self {
        Revision { epoch, number }
    }

    /// Creates the revision with this number in the first epoch, in which nothing has been lost.
    pub fn of(number: u64) -> Self {
        Revision::new(Epoch::default(), number)
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}", self.epoch, self.number)
    }
}

/// Start time of an instance in Unix milliseconds; 0 if unknown. An instance that restarts under its name
/// gets a later one, and has no memory of its earlier incarnations.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, BorshSerialize, BorshDeserialize)]
pub struct Incarnation(pub u64);

impl Incarnation {
    /// The incarnation is unknown.
    pub const UNKNOWN: Incarnation = Incarnation(0);

    /// Returns true unless the incarnation is unknown.
    pub fn is_known(self) -> bool {
        self != Incarnation::UNKNOWN
    }

    /// Returns this incarnation if known, else `other`.
    pub fn or(self, other: Incarnation) -> Incarnation {
        if self.is_known() { self } else { other }
    }

    /// Returns the name of this incarnation of the instance `name`, which tells it apart from the others if
    /// it is known.
    pub fn start_name(self, name: &InstanceName) -> InstanceName {
        if self.is_known() { InstanceName::new(format!("{name}@{}", self.0)) } else { name.clone() }
    }

    /// Returns true if both are known and differ.
    pub fn differs_from(self, other: Incarnation) -> bool {
        self != other && self.is_known() && other.is_known()
    }

    /// Returns true if both are known and this one is earlier.
    pub fn is_before(self, other: Incarnation) -> bool {
        self.differs_from(other) && self < other
    }
}

/// Duration in whole milliseconds, as nodes exchange it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, BorshSerialize, BorshDeserialize)]
pub struct Millis(pub u32);

impl Millis {
    /// Truncates a duration to whole milliseconds, capped at the maximum.
    pub fn from_duration(span: Duration) -> Self {
        Millis(u32::try_from(span.as_millis()).unwrap_or(u32::MAX))
    }

    /// Converts to a [`Duration`].
    pub fn duration(self) -> Duration {
        Duration::from_millis(u64::from(self.0))
    }
}

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum RetrySafety {
    /// It may be retried after any failure.
    Safe,
    /// It may run at most once.
    Unsafe,
}

/// One of the services that a route's requests are distributed to.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// Its share relative to the other services of the route.
    pub weight: u32,
}

/// A rule that maps requests of one host and path prefix to services.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Route {
    /// Unique name within the configuration.
    pub name: String,
    /// Host in lower case.
    pub host: String,
    /// Path prefix; begins and ends with a slash.
    pub path_prefix: String,
    /// The services that run its requests; at least one.
    pub services: Vec<WeightedService>,
    /// Whether its requests may be retried after any failure.
    pub safety: RetrySafety,
    /// Maximum time for which a request is processed or queued.
    pub timeout: Option<Millis>,
    /// Time within which a response has its full value.
    pub target_latency: Millis,
    /// Priority among routes; 0 is shed last.
    pub priority: u32,
    /// Maximum number of instances that one request is sent to.
    pub attempts: u32,
    /// Whether its requests need no key.
    pub is_public: bool,
}

/// Limits on what clients may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct ClientLimits {
    /// Maximum size of a request head in bytes.
    pub max_head_bytes: u32,
    /// Maximum size of a request body in bytes.
    pub max_body_bytes: u64,
    /// Maximum time between the first and the last byte of a request head.
    pub head_timeout: Millis,
    /// Maximum idle time of a connection between requests.
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

/// One complete version of the configuration.
#[derive(Debug, Clone, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct Configuration {
    /// Version.
    pub version: ConfigurationVersion,
    /// Routes.
    pub routes: Vec<Route>,
    /// Limits on clients.
    pub limits: ClientLimits,
    /// Tenants; `None` if requests need no keys. An empty list requires keys and lets none in.
    pub tenants: Option<Vec<Tenant>>,
    /// Health check path of the instances of each service that has one.
    pub health_paths: BTreeMap<ServiceName, String>,
}

/// Whether an instance takes new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum InstanceState {
    /// It takes new requests.
    Ready,
    /// It is shutting down and takes no new requests.
    Draining,
}

/// An instance as listed by the source.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Instance {
    /// Its name; it may restart under the same name.
    pub name: InstanceName,
    /// Its start time.
    pub incarnation: Incarnation,
    /// The service that it runs.
    pub service: ServiceName,
    /// Its listen address, which only processes on its own machine reach.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: ZoneName,
    /// Number of requests that it processes concurrently.
    pub slots: u32,
    /// Whether it takes new requests.
    pub state: InstanceState,
}

impl Instance {
    /// Returns the name of this incarnation of the instance.
    pub fn start_name(&self) -> InstanceName {
        self.incarnation.start_name(&self.name)
    }
}
