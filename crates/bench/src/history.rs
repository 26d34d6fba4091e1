//! What an experiment recorded.

use serde::{Deserialize, Serialize};

/// How a client saw its call end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallEnd {
    /// A whole answer arrived.
    Answered,
    /// A whole answer arrived that belongs to another request or has the wrong length.
    WrongAnswer,
    /// The connection broke before a whole answer.
    Broken,
    /// The client gave up waiting.
    TimedOut,
    /// No connection could be made.
    NotConnected,
}

/// One call of a client.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ClientCall {
    /// Unique text sent with the call.
    pub token: String,
    /// Number of the logical request; its retries share it.
    pub logical: u64,
    /// Number of the client's attempt, from 0.
    pub attempt: u32,
    /// Method and path.
    pub call: String,
    /// Importance of the call.
    pub importance: u8,
    /// Group.
    pub group: String,
    /// Idempotency key, if one was sent.
    pub key: Option<String>,
    /// Node or back end that was called.
    pub target: String,
    /// Start and end, Unix time in microseconds.
    pub start_us: u64,
    /// End.
    pub end_us: u64,
    /// How it ended.
    pub end: CallEnd,
    /// HTTP status, 0 without an answer.
    pub status: u16,
    /// Outcome header.
    pub outcome: String,
    /// Request id header.
    pub request: String,
    /// True when the answer said when to come back.
    pub retry_after: bool,
    /// Time inside olivegate, all hops, in microseconds.
    pub own_us: u64,
    /// Time that back ends worked for the call, in microseconds.
    pub work_us: u64,
}

/// One execution at a back end.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Execution {
    /// Token of the root call, followed by `/` and a number for each call on behalf.
    pub token: String,
    /// Root request as named by the nodes; empty in arms without nodes.
    pub request: String,
    /// Method and path.
    pub call: String,
    /// Instance.
    pub instance: String,
    /// Idempotency key that reached the back end.
    pub key: Option<String>,
    /// Attempt within the hop, as said by the node.
    pub attempt: u32,
    /// Start, Unix time in microseconds.
    pub start_us: u64,
    /// End, Unix time in microseconds; 0 while running.
    pub end_us: u64,
    /// True when it ran to its end and answered well.
    pub completed: bool,
}

/// Something that the experiment did.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Event {
    /// When, Unix time in microseconds.
    pub at_us: u64,
    /// What.
    pub what: EventKind,
}

/// Kinds of events.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum EventKind {
    /// A node was killed.
    Kill(String),
    /// A node was stopped in the planned way.
    PlannedStop(String),
    /// A planned stop ended with calls cut off, as the node itself says.
    StopCutOff(String),
    /// A node was started.
    Start(String),
    /// A node was frozen for some milliseconds.
    Freeze(String, u64),
    /// The links from and to a zone were cut.
    Cut(String),
    /// Only the links from a zone to others were cut.
    CutOneWay(String),
    /// All links are whole again.
    Heal,
    /// An instance announced that it is leaving.
    Leaving(String),
    /// A leaving instance is live again.
    Back(String),
    /// A service became slower by a factor.
    Slow(String, f64),
    /// The configuration service went away or came back.
    Configuration(bool),
    /// A bundle version was published.
    Publish(u64, String),
    /// The trigger of an overload ended.
    TriggerEnd,
}

/// The bundle version that a node showed.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct VersionSample {
    /// When, Unix time in microseconds.
    pub at_us: u64,
    /// Node, with the number of its life: `name#life`.
    pub node: String,
    /// Version; 0 when none is in force.
    pub version: u64,
    /// Digest.
    pub digest: String,
}

/// Everything that one arm recorded.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct History {
    /// Calls of clients.
    pub calls: Vec<ClientCall>,
    /// Executions at back ends.
    pub executions: Vec<Execution>,
    /// What was done.
    pub events: Vec<Event>,
    /// Versions seen.
    pub versions: Vec<VersionSample>,
    /// Retries allowed per root request.
    pub retry_bound: u32,
    /// True when nodes took part, so that their promises are judged.
    pub judged: bool,
}
