//! The interface through which a node reads configuration and instances.
//!
//! A source is read-only. It keeps a history of numbered changes that it may compact.

use std::fmt;
use std::time::Duration;

use olivegate_types::InstanceName;

use crate::model::{Configuration, Instance, Revision};

/// An instance and the change that last wrote it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedInstance {
    /// The instance.
    pub instance: Instance,
    /// The change that last wrote it.
    pub revision: Revision,
}

/// All instances.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct InstanceList {
    /// The instances.
    pub instances: Vec<ListedInstance>,
    /// The list may lack changes after this one.
    pub revision: Revision,
    /// Why the rest of the list can't be read; `None` if the list is complete.
    pub truncated: Option<String>,
}

/// The full state of the source.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Snapshot {
    /// The latest configuration, if there is one that can be parsed.
    pub configuration: Option<Configuration>,
    /// All instances.
    pub list: InstanceList,
}

/// The latest configuration, read on its own.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct ConfigurationReading {
    /// The configuration; `None` if there is none that can be parsed.
    pub configuration: Option<Configuration>,
    /// The source's latest revision at the time of the read.
    pub revision: Revision,
}

/// How recent a list has to be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadConsistency {
    /// Includes all changes that the source acknowledged before the call.
    Latest,
    /// May be some seconds old; the cheapest read.
    MaybeStale,
}

/// A change in the source's history.
#[derive(Debug, Clone, PartialEq)]
pub enum Change {
    /// A configuration was written.
    Configuration(Configuration),
    /// An instance was added or changed.
    Instance(ListedInstance),
    /// The entry of an instance was removed.
    InstanceRemoved {
        /// The instance.
        name: InstanceName,
        /// The change that removed it.
        revision: Revision,
    },
}

impl Change {
    /// Returns its revision if it concerns an instance.
    pub fn revision(&self) -> Option<Revision> {
        match self {
            Change::Configuration(_) => None,
            Change::Instance(listed) => Some(listed.revision),
            Change::InstanceRemoved { revision, .. } => Some(*revision),
        }
    }
}

/// Changes in order.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Changes {
    /// The changes.
    pub changes: Vec<Change>,
    /// Revision to continue from.
    pub revision: Revision,
}

/// Why the source could not be read.
#[derive(Debug)]
pub enum SourceError {
    /// The connection failed.
    Unreachable(String),
    /// No answer within the time limit.
    TimedOut,
    /// It refused the call because of overload or an internal error.
    Refused(u16),
    /// The requested changes were compacted; everything has to be read again.
    HistoryCompacted,
    /// It lost acknowledged writes and began a new epoch; everything has to be read again.
    EpochChanged,
    /// The answer cannot be parsed.
    Malformed(String),
    /// The end of the list of instances can't be read.
    Truncated(String),
}

impl fmt::Display for SourceError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SourceError::Unreachable(reason) => write!(formatter, "unreachable: {reason}"),
            SourceError::TimedOut => formatter.write_str("timed out"),
            SourceError::Refused(status) => write!(formatter, "refused with status {status}"),
            SourceError::HistoryCompacted => formatter.write_str("history was compacted"),
            SourceError::EpochChanged => formatter.write_str("epoch changed"),
            SourceError::Malformed(reason) => write!(formatter, "malformed answer: {reason}"),
            SourceError::Truncated(reason) => write!(formatter, "list of instances is truncated: {reason}"),
        }
    }
}

impl std::error::Error for SourceError {}

/// A source of configuration and instances.
pub trait Source {
    /// Reads the instances, as many as can be read. `limit` bounds the time of each call.
    fn instances(
        &self,
        consistency: ReadConsistency,
        limit: Duration,
    ) -> impl Future<Output = Result<InstanceList, SourceError>>;

    /// Reads the full current state. `limit` bounds the time of each call.
    fn snapshot(&self, limit: Duration) -> impl Future<Output = Result<Snapshot, SourceError>>;

    /// Reads only the latest configuration, as current as the time of the call.
    fn configuration(&self, limit: Duration) -> impl Future<Output = Result<ConfigurationReading, SourceError>>;

    /// Reads the source's latest revision as of the call, by the cheapest call that returns it.
    fn latest_revision(&self, limit: Duration) -> impl Future<Output = Result<Revision, SourceError>>;

    /// Waits up to `wait` for changes after `after`; returns none if there were none. `limit` bounds the time
    /// of the call in addition to `wait`.
    fn changes(
        &self,
        after: Revision,
        wait: Duration,
        limit: Duration,
    ) -> impl Future<Output = Result<Changes, SourceError>>;

    /// Checks by the cheapest call whether the source answers within `limit`.
    fn probe(&self, limit: Duration) -> impl Future<Output = Result<(), SourceError>>;
}
