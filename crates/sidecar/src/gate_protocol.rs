//! Messages between edge and gate, encoded with `borsh` in length-prefixed frames.
//!
//! A connection carries one offer at a time. A request that may run only once is offered in two steps: the
//! gate grants a slot, and runs the request only after the edge has confirmed it. An edge that gives up
//! before it has confirmed therefore knows that the request will never run. An edge that gives up closes the
//! connection; the gate then drops the request, in its queue or in the instance. While an offer waits or
//! runs, the gate sends a progress message every [`PROGRESS_INTERVAL`]; an edge that receives nothing for
//! [`SILENCE_LIMIT`] assumes that the gate is partitioned, frozen or gone.

use std::time::Duration;

use borsh::{BorshDeserialize, BorshSerialize};
use bytes::Bytes;
use olivegate_http1::{RequestHead, ResponseHead};
use olivegate_overload::ClassKey;
use olivegate_quarantine::ReportedEnd;
use olivegate_types::{GroupName, Importance, InstanceName, KindName, RefusalReason, SheddingRank};
use tokio::net::TcpStream;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::declared::RateRecord;
use crate::directory::peer_update::DirectoryUpdate;
use crate::model::{Configuration, ConfigurationVersion, Instance, RetrySafety, Revision};
use crate::peers::AnnouncedReading;
use crate::reply::{Failure, Load, ResponseFault};

/// Interval of the gate's progress messages.
pub const PROGRESS_INTERVAL: Duration = Duration::from_millis(200);
/// A gate that has sent nothing for this long is suspected, and other gates are preferred.
pub const SUSPECT_AFTER: Duration = Duration::from_millis(280);
/// An edge that has received nothing for this long gives up on the gate.
pub const SILENCE_LIMIT: Duration = Duration::from_millis(600);
/// How long a gate waits for the edge's confirmation.
pub const CONFIRM_LIMIT: Duration = Duration::from_millis(600);
/// Name of the only group of callers: the platform does not distinguish any.
pub const CALLER_GROUP: &str = "all";
/// Maximum length of a frame in bytes; a transfer of the whole configuration and directory at the target
/// cluster size fits.
const MAX_FRAME_BYTES: usize = 64 * 1024 * 1024;

/// Body of an offered request.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum OfferedBody {
    /// The complete body.
    Whole(Bytes),
    /// The body follows in [`EdgeMessage::Data`] messages; its length, if known.
    Streamed(Option<u64>),
}

/// The request at the root of a call graph, as passed on with every call made for it.
#[derive(Debug, Clone, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct RootRequest {
    /// Name of its route.
    pub route: String,
    /// Its importance: requests of higher importance are preferred wherever calls are admitted or queued.
    pub importance: Importance,
    /// Its order among requests of the same importance, drawn at random once.
    pub rank: SheddingRank,
    /// Fraction of such requests that its edge admitted, above 0 and at most 1: each admitted request stands
    /// for `1 / admitted_fraction` requests that were sent.
    pub admitted_fraction: f32,
}

impl RootRequest {
    /// The class by which it is shed.
    pub fn class(&self) -> ClassKey {
        class_of(&self.route, self.importance)
    }
}

/// The shedding class of requests of `route`.
pub fn class_of(route: &str, importance: Importance) -> ClassKey {
    ClassKey { root_kind: KindName::new(route), group: GroupName::new(CALLER_GROUP), importance }
}

/// A request that an edge offers to a gate.
#[derive(Debug, Clone, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct Offer {
    /// The instance that is to run it.
    pub instance: InstanceName,
    /// Name of its route.
    pub route: String,
    /// Its head as forwarded to the instance, except for the fields that the gate sets.
    pub head: RequestHead,
    /// Its body.
    pub body: OfferedBody,
    /// Its request id.
    pub request_id: Bytes,
    /// Time until the edge gives up, in milliseconds.
    pub time_left_ms: u32,
    /// Longest useful wait for a slot, in milliseconds.
    pub max_slot_wait_ms: u32,
    /// Target latency of the route, in milliseconds.
    pub target_latency_ms: u32,
    /// The root of its call graph: the request itself, if a client made it.
    pub root: RootRequest,
    /// Depth in the call graph: 0 for a client's request, and one more for a call than for the request that
    /// made it.
    pub hop: u8,
    /// Whether it may run more than once.
    pub safety: RetrySafety,
    /// True when it has been sent to an instance before.
    pub is_retry: bool,
    /// Instances that terminated while they ran it.
    pub reported_ends: Vec<ReportedEnd>,
    /// Probability that the run which makes this call is a retry; 0 for a client's request.
    pub parent_retry_probability: f32,
    /// True when it may run only after the edge has confirmed it.
    pub needs_confirmation: bool,
    /// The rate that the instance declares, as far as the edge knows; `None` if it has never declared one.
    pub declared: Option<RateRecord>,
}

impl Offer {
    /// Accounts for the time that passed before the request was offered again.
    pub fn reduce_time_left(&mut self, elapsed: Duration) {
        let elapsed = u32::try_from(elapsed.as_millis()).unwrap_or(u32::MAX);
        self.time_left_ms = self.time_left_ms.saturating_sub(elapsed);
        self.max_slot_wait_ms = self.max_slot_wait_ms.saturating_sub(elapsed);
    }
}

/// Versions of what a node knows, for comparison with another node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, BorshSerialize, BorshDeserialize)]
pub struct KnownState {
    /// Version of its configuration; 0 for none.
    pub configuration: ConfigurationVersion,
    /// Revision of its directory.
    pub directory: Revision,
}

/// Messages sent by an edge.
#[derive(Debug, Clone, PartialEq, BorshSerialize, BorshDeserialize)]
pub enum EdgeMessage {
    /// Offers a request.
    Offer(Box<Offer>),
    /// A chunk of the request's body.
    Data(Bytes),
    /// The request's body is complete.
    End,
    /// Confirms a granted request, which may now run.
    Confirm,
    /// Asks for everything that is newer than this state.
    Fetch(KnownState),
}

/// Messages sent by a gate.
#[derive(Debug, Clone, PartialEq, BorshSerialize, BorshDeserialize)]
pub enum GateMessage {
    /// The offer is still waiting or running.
    Progress,
    /// The offer has been granted a slot and waits for confirmation.
    Granted,
    /// The request was not run and never will be.
    Refused {
        /// Why it was refused.
        reason: RefusalReason,
        /// When to retry, in milliseconds.
        retry_after_ms: u32,
        /// The instance that was found in place of the intended one.
        successor: Option<Box<Instance>>,
        /// The gate's load.
        load: Load,
    },
    /// The exchange with the instance gave no response.
    Failed {
        /// Why, and whether the request may have run.
        failure: Failure,
        /// The gate's load.
        load: Load,
    },
    /// The instance's response.
    Answered {
        /// Its head.
        head: ResponseHead,
        /// Its complete body; `None` when it follows in [`GateMessage::Data`] messages.
        body: Option<Bytes>,
        /// Length of a body that follows, if known.
        length: Option<u64>,
        /// What a failure in it is attributed to.
        fault: ResponseFault,
        /// The gate's load.
        load: Load,
    },
    /// A chunk of the response's body.
    Data(Bytes),
    /// The response is complete.
    End,
    /// The rest of the response is lost.
    Broken,
    /// Reply to [`EdgeMessage::Fetch`].
    ClusterUpdate {
        /// The configuration, if newer.
        configuration: Option<Configuration>,
        /// The directory, if newer.
        directory: Option<DirectoryUpdate>,
        /// The latest read of the source that the node knows of.
        reading: Option<AnnouncedReading>,
    },
}

/// A connection between an edge and a gate.
pub type GateStream = Framed<TcpStream, LengthDelimitedCodec>;

/// Adds framing to a connection.
pub fn framed(stream: TcpStream) -> GateStream {
    let codec = LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec();
    Framed::new(stream, codec)
}

/// Encodes a message as the content of a frame.
pub fn encode<Message: BorshSerialize>(message: &Message) -> Bytes {
    borsh::to_vec(message).map(Bytes::from).unwrap_or_default()
}

/// Decodes the content of a frame.
pub fn decode<Message: BorshDeserialize>(frame: &[u8]) -> std::io::Result<Message> {
    borsh::from_slice(frame)
}
