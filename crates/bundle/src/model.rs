//! Content of a bundle.

use std::fmt;
use std::time::Duration;

use borsh::{BorshDeserialize, BorshSerialize};
use olivegate_types::{Digest, GroupName, Importance, KindName, ServiceName};

/// Identifies and orders versions: first by number, then by digest. When two different bundles
/// are published with the same number, the order makes all nodes settle on the same one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Hash, BorshSerialize, BorshDeserialize)]
pub struct Stamp {
    /// Version number; 0 means no bundle.
    pub version: u64,
    /// Digest of the bundle's canonical form.
    pub digest: Digest,
}

impl fmt::Display for Stamp {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let digest = self.digest.to_string();
        write!(formatter, "{}@{}", self.version, &digest[..12])
    }
}

/// One version of the configuration.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Bundle {
    /// Deployment that the bundle is for.
    pub deployment: String,
    /// Version number, from 1.
    pub version: u64,
    /// Digest of the parent's canonical form; zero for the first version.
    pub parent: Digest,
    /// Trade-off between recovery time and goodput.
    pub objective: Objective,
    /// Limits that apply to every request.
    pub limits: Limits,
    /// Groups of callers, sorted by name.
    pub groups: Vec<Group>,
    /// Services, sorted by name.
    pub services: Vec<Service>,
    /// Kinds of request, sorted by name.
    pub kinds: Vec<Kind>,
}

/// Trade-off between recovery time (short queues) and goodput (busy slots).
#[derive(Debug, Clone, Copy, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Objective {
    /// Maximum predicted queue wait with which a request below the protected importance is admitted,
    /// in milliseconds.
    pub max_queue_wait_ms: u32,
}

impl Objective {
    /// [`Objective::max_queue_wait_ms`] as a duration.
    pub fn max_queue_wait(&self) -> Duration {
        Duration::from_millis(u64::from(self.max_queue_wait_ms))
    }
}

/// Limits that apply to every request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Limits {
    /// Retries that one root request may cause in its whole call graph.
    pub retries_per_request: u8,
    /// Maximum length of a chain of calls.
    pub max_hops: u8,
    /// Maximum deadline that a caller may ask for, in milliseconds.
    pub max_deadline_ms: u32,
    /// Time for which a claim on an idempotency key is remembered, in milliseconds.
    pub claim_memory_ms: u32,
    /// Maximum size of a request body, in bytes.
    pub max_request_body_bytes: u32,
}

/// A group of callers.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Group {
    /// Unique name.
    pub name: GroupName,
    /// Weight of the group's fair share, relative to the weights of the other groups.
    pub weight: u32,
    /// BLAKE3 digest of the credential that callers present; `None` for the group of
    /// callers without a credential.
    pub credential: Option<Digest>,
}

/// A service of the call graph.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Service {
    /// Unique name.
    pub name: ServiceName,
    /// Number of calls that one instance serves at a time.
    pub slots: u32,
    /// Number of connections that one instance accepts.
    pub connections: u32,
}

/// A kind of request.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Kind {
    /// Unique name.
    pub name: KindName,
    /// Service that serves it.
    pub service: ServiceName,
    /// HTTP method.
    pub method: String,
    /// Path prefix; the longest matching one decides.
    pub path_prefix: String,
    /// Importance; requests of higher importance are shed later.
    pub importance: Importance,
    /// True when the request is safe to run more than once.
    pub repeat_safe: bool,
    /// Deadline for requests without one, in milliseconds.
    pub deadline_ms: u32,
    /// Expected service time without queueing, in milliseconds. A node's own measurements replace it.
    pub expected_ms: u32,
}

impl Bundle {
    /// The canonical form: borsh with sorted lists.
    pub fn to_bytes(&self) -> Vec<u8> {
        borsh::to_vec(self).unwrap_or_default()
    }

    /// Version number and digest of the canonical form.
    pub fn stamp(&self) -> Stamp {
        Stamp { version: self.version, digest: Digest::of(&self.to_bytes()) }
    }

    /// Sorts the lists, as the canonical form requires.
    pub fn sort(&mut self) {
        self.groups.sort_by(|left, right| left.name.cmp(&right.name));
        self.services.sort_by(|left, right| left.name.cmp(&right.name));
        self.kinds.sort_by(|left, right| left.name.cmp(&right.name));
    }

    /// The service named `name`.
    pub fn service(&self, name: &ServiceName) -> Option<&Service> {
        self.services.iter().find(|service| service.name == *name)
    }

    /// The kind named `name`.
    pub fn kind(&self, name: &KindName) -> Option<&Kind> {
        self.kinds.iter().find(|kind| kind.name == *name)
    }
}
