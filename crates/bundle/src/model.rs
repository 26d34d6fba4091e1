//! What a bundle says.

use std::fmt;
use std::time::Duration;

use borsh::{BorshDeserialize, BorshSerialize};
use olivegate_types::{Digest, GroupName, Importance, KindName, ServiceName};

/// Orders versions: first by number, then by digest, so that two bundles
/// published with one number end on the same one everywhere.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Hash, BorshSerialize, BorshDeserialize)]
pub struct Stamp {
    /// Version number; 0 stands for no bundle.
    pub version: u64,
    /// Digest of the canonical form.
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
    /// Digest of the parent's canonical form; zero for the first.
    pub parent: Digest,
    /// The trade between recovery time and goodput.
    pub objective: Objective,
    /// Bounds that hold for every request.
    pub limits: Limits,
    /// Groups of callers, sorted by name.
    pub groups: Vec<Group>,
    /// Services, sorted by name.
    pub services: Vec<Service>,
    /// Kinds of request, sorted by name.
    pub kinds: Vec<Kind>,
}

/// The trade between recovery time (short queues) and goodput (full slots).
#[derive(Debug, Clone, Copy, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Objective {
    /// Longest predicted queue wait accepted for a request below the protected importance, in milliseconds.
    pub max_queue_wait_ms: u32,
}

impl Objective {
    /// [`Objective::max_queue_wait_ms`] as a duration.
    pub fn max_queue_wait(&self) -> Duration {
        Duration::from_millis(u64::from(self.max_queue_wait_ms))
    }
}

/// Bounds that hold for every request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Limits {
    /// Retries that one root request may cause in its whole call graph.
    pub retries_per_request: u8,
    /// Longest chain of calls.
    pub max_hops: u8,
    /// Longest deadline that a caller may ask for, in milliseconds.
    pub max_deadline_ms: u32,
    /// Time for which a claim on an idempotency key is remembered, in milliseconds.
    pub claim_memory_ms: u32,
    /// Largest request body, in bytes.
    pub max_request_body_bytes: u32,
}

/// A group of callers.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Group {
    /// Name.
    pub name: GroupName,
    /// Share owed relative to the other groups' weights.
    pub weight: u32,
    /// BLAKE3 digest of the credential that callers present; `None` for the
    /// group of callers without one.
    pub credential: Option<Digest>,
}

/// A service of the call graph.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Service {
    /// Name.
    pub name: ServiceName,
    /// Calls that one instance serves at a time.
    pub slots: u32,
    /// Connections that one instance takes.
    pub connections: u32,
}

/// A kind of request.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Kind {
    /// Name.
    pub name: KindName,
    /// Service that serves it.
    pub service: ServiceName,
    /// HTTP method.
    pub method: String,
    /// Path prefix; the longest match decides.
    pub path_prefix: String,
    /// Importance; larger is shed later.
    pub importance: Importance,
    /// True when running the request twice does no harm.
    pub repeat_safe: bool,
    /// Deadline when the caller names none, in milliseconds.
    pub deadline_ms: u32,
    /// Expected service time without queueing, in milliseconds; own observations replace it.
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
