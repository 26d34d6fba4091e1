//! Recorded history of an experiment.

use serde::{Deserialize, Serialize};

/// Result of a call as seen by the client.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallEnd {
    /// A complete response was received.
    Answered,
    /// A complete response was received that belongs to another request or has the wrong length.
    WrongAnswer,
    /// The connection failed before the response was complete.
    Broken,
    /// There was no complete response within the client's timeout.
    TimedOut,
    /// No connection could be established.
    NotConnected,
}

/// One call of a client.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ClientCall {
    /// Unique token sent with the call.
    pub token: String,
    /// Number of the logical request, shared by all its attempts.
    pub logical: u64,
    /// Number of the client's attempt, starting at 0.
    pub attempt: u32,
    /// Method and path.
    pub call: String,
    /// Importance of the call.
    pub importance: u8,
    /// Group of callers that the client belongs to.
    pub group: String,
    /// Idempotency key, if one was sent.
    pub key: Option<String>,
    /// Node or back end that was called.
    pub target: String,
    /// Start, Unix time in microseconds.
    pub start_us: u64,
    /// End, Unix time in microseconds.
    pub end_us: u64,
    /// Result.
    pub end: CallEnd,
    /// HTTP status; 0 without a response.
    pub status: u16,
    /// Value of the outcome header.
    pub outcome: String,
    /// Value of the request id header.
    pub request: String,
    /// True if the response had a `Retry-After` header.
    pub retry_after: bool,
    /// Processing time inside olivegate over all hops, in microseconds.
    pub own_us: u64,
    /// Processing time of the back ends for the call, in microseconds.
    pub work_us: u64,
}

/// One execution of a call by a back end.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Execution {
    /// Token of the root call, followed by `/` and a number for each level of downstream calls.
    pub token: String,
    /// Id that the nodes gave the root request; empty in arms without nodes.
    pub request: String,
    /// Method and path.
    pub call: String,
    /// Name of the instance.
    pub instance: String,
    /// Idempotency key that reached the back end.
    pub key: Option<String>,
    /// Number of the attempt within the hop, as sent by the node; 0 without a node.
    pub attempt: u32,
    /// Start, Unix time in microseconds.
    pub start_us: u64,
    /// End, Unix time in microseconds; 0 while running.
    pub end_us: u64,
    /// True if it ran to its end and a complete response was produced.
    pub completed: bool,
}

/// A fault or an operation that the experiment applied.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Event {
    /// Unix time in microseconds.
    pub at_us: u64,
    /// Kind of the event.
    pub what: EventKind,
}

/// Kinds of events.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum EventKind {
    /// A node was killed.
    Kill(String),
    /// A node was asked to stop gracefully.
    PlannedStop(String),
    /// A graceful stop cut off calls, as reported by the node's exit status, or ran into its timeout.
    StopCutOff(String),
    /// A node was started.
    Start(String),
    /// A node's process was suspended for some milliseconds.
    Freeze(String, u64),
    /// The links from and to a zone were cut (network partition).
    Cut(String),
    /// Only the links from a zone to others were cut.
    CutOneWay(String),
    /// All links work again.
    Heal,
    /// An instance announced that it is leaving.
    Leaving(String),
    /// A leaving instance returned to service.
    Back(String),
    /// The service times of a service were multiplied by a factor.
    Slow(String, f64),
    /// The configuration service became available (true) or unavailable (false).
    Configuration(bool),
    /// A bundle with this version and digest was published.
    Publish(u64, String),
    /// The cause of an overload ended.
    TriggerEnd,
}

/// Bundle version in force on a node at one time.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct VersionSample {
    /// Unix time in microseconds.
    pub at_us: u64,
    /// Node and how many times it has been started: `name#starts`.
    pub node: String,
    /// Version; 0 if none is in force.
    pub version: u64,
    /// Digest of the bundle.
    pub digest: String,
}

/// Everything recorded in one arm.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct History {
    /// Calls made by the clients.
    pub calls: Vec<ClientCall>,
    /// Executions at back ends.
    pub executions: Vec<Execution>,
    /// Faults and operations applied.
    pub events: Vec<Event>,
    /// Samples of the bundle versions in force.
    pub versions: Vec<VersionSample>,
    /// Largest number of retries allowed per root request.
    pub retry_bound: u32,
    /// True if nodes took part. Otherwise the checker only checks that responses are complete and
    /// belong to their call.
    pub judged: bool,
}
