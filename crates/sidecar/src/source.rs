//! The port through which a node reads configuration and instances.
//!
//! A source can only be read. It keeps a history of numbered changes that it may forget.

use std::fmt;
use std::time::Duration;

use olivegate_types::InstanceName;

use crate::model::{Configuration, Instance, Revision};

/// An instance and the change that wrote it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedInstance {
    /// The instance.
    pub instance: Instance,
    /// Its last change.
    pub revision: Revision,
}

/// All instances.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct InstanceList {
    /// The instances.
    pub instances: Vec<ListedInstance>,
    /// Changes after this one are not in the list for certain.
    pub revision: Revision,
}

/// Everything that the source holds.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Snapshot {
    /// The newest configuration, if there is one that can be read.
    pub configuration: Option<Configuration>,
    /// All instances.
    pub list: InstanceList,
}

/// The newest configuration, read alone.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct ConfigurationReading {
    /// It; `None` when there is none that can be read.
    pub configuration: Option<Configuration>,
    /// The source's last change as it was read.
    pub revision: Revision,
}

/// How recent a list has to be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadConsistency {
    /// It shows all changes that the source had acknowledged before it was asked.
    Latest,
    /// It may be some seconds old, and costs least.
    MaybeStale,
}

/// One change.
#[derive(Debug, Clone, PartialEq)]
pub enum Change {
    /// A configuration was written.
    Configuration(Configuration),
    /// An instance appeared or changed.
    Instance(ListedInstance),
    /// An instance's entry went away.
    InstanceRemoved {
        /// The instance.
        name: InstanceName,
        /// The change that removed it.
        revision: Revision,
    },
}

impl Change {
    /// Its place in the history, where it concerns an instance.
    pub fn revision(&self) -> Option<Revision> {
        match self {
            Change::Configuration(_) => None,
            Change::Instance(listed) => Some(listed.revision),
            Change::InstanceRemoved { revision, .. } => Some(*revision),
        }
    }
}

/// Changes in their order.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Changes {
    /// The changes.
    pub changes: Vec<Change>,
    /// Go on reading after this one.
    pub revision: Revision,
}

/// Why the source could not be read.
#[derive(Debug)]
pub enum SourceError {
    /// No connection, or it broke.
    Unreachable(String),
    /// No answer in time.
    TimedOut,
    /// It refuses for now, because of load or a fault of its own.
    Refused(u16),
    /// The changes asked for are forgotten: read everything again.
    HistoryCompacted,
    /// It has lost what it had acknowledged, and begun a new epoch: read everything again.
    EpochChanged,
    /// The answer can't be understood.
    Malformed(String),
}

impl fmt::Display for SourceError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SourceError::Unreachable(reason) => write!(formatter, "unreachable: {reason}"),
            SourceError::TimedOut => formatter.write_str("no answer in time"),
            SourceError::Refused(status) => write!(formatter, "refused with status {status}"),
            SourceError::HistoryCompacted => formatter.write_str("history is gone"),
            SourceError::EpochChanged => formatter.write_str("epoch has changed"),
            SourceError::Malformed(reason) => write!(formatter, "malformed answer: {reason}"),
        }
    }
}

impl std::error::Error for SourceError {}

/// A source of configuration and instances.
pub trait Source {
    /// Reads the instances. `limit` bounds the time of each call.
    fn instances(
        &self,
        consistency: ReadConsistency,
        limit: Duration,
    ) -> impl Future<Output = Result<InstanceList, SourceError>>;

    /// Reads everything, as it is now. `limit` bounds the time of each call.
    fn snapshot(&self, limit: Duration) -> impl Future<Output = Result<Snapshot, SourceError>>;

    /// Reads the newest configuration alone, as the source holds it when it is asked.
    fn configuration(&self, limit: Duration) -> impl Future<Output = Result<ConfigurationReading, SourceError>>;

    /// Reads the source's last change as of when it is asked, by the cheapest call that tells it.
    fn latest_revision(&self, limit: Duration) -> impl Future<Output = Result<Revision, SourceError>>;

    /// Waits up to `wait` for changes after `after`; none when there were none.
    /// `limit` bounds the time of the call beyond `wait`.
    fn changes(
        &self,
        after: Revision,
        wait: Duration,
        limit: Duration,
    ) -> impl Future<Output = Result<Changes, SourceError>>;

    /// Finds out by the cheapest call whether the source answers within `limit`.
    fn probe(&self, limit: Duration) -> impl Future<Output = Result<(), SourceError>>;
}
