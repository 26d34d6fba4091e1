//! Messages between edge and gate: `borsh` in frames with a length.
//!
//! A connection carries one offer at a time. What may run only once is offered in two steps:
//! the gate grants a slot, and runs the request only when the edge has confirmed it. An edge
//! that gives up before it confirmed knows that the request will never run. An edge that gives up closes it; the gate
//! then drops the request, in its queue or in the instance. While an offer waits or runs
//! the gate says so every [`PROGRESS_INTERVAL`]; an edge that hears nothing for
//! [`SILENCE_LIMIT`] knows that the gate is cut off, frozen or gone.

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

/// Interval of the gate's signs of life.
pub const PROGRESS_INTERVAL: Duration = Duration::from_millis(200);
/// A gate that says nothing for this long is suspected: others are preferred.
pub const SUSPECT_AFTER: Duration = Duration::from_millis(280);
/// An edge that hears nothing for this long gives the gate up.
pub const SILENCE_LIMIT: Duration = Duration::from_millis(600);
/// A gate waits so long for the edge's confirmation.
pub const CONFIRM_LIMIT: Duration = Duration::from_millis(600);
/// Name of the only group of callers: the platform knows none.
pub const CALLER_GROUP: &str = "all";
/// Longest frame in bytes: a knowledge transfer at the target size fits.
const MAX_FRAME_BYTES: usize = 64 * 1024 * 1024;

/// Body of an offer.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum OfferedBody {
    /// All of it.
    Whole(Bytes),
    /// It follows in [`EdgeMessage::Data`]; its length where that is known.
    Streamed(Option<u64>),
}

/// The request at the root of a call graph, as all calls made for it are told.
#[derive(Debug, Clone, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct RootRequest {
    /// Name of its route.
    pub route: String,
    /// Its importance: more important ones go first, wherever their calls meet.
    pub importance: Importance,
    /// Its place among requests of the same importance, drawn once.
    pub rank: SheddingRank,
    /// Part of such requests that its edge let begin, above 0 and at most 1: each stands for
    /// `1 / admitted` requests that wanted to.
    pub admitted_fraction: f32,
}

impl RootRequest {
    /// The class that it is shed with.
    pub fn class(&self) -> ClassKey {
        class_of(&self.route, self.importance)
    }
}

/// The class of the requests of `route`.
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
    /// Its head, as the instance is to get it but for the fields that the gate sets.
    pub head: RequestHead,
    /// Its body.
    pub body: OfferedBody,
    /// Its id.
    pub request_id: Bytes,
    /// Time until the edge gives up, in milliseconds.
    pub time_left_ms: u32,
    /// Longest wait for a slot that is worth it, in milliseconds.
    pub max_slot_wait_ms: u32,
    /// Target latency of the route, in milliseconds.
    pub target_latency_ms: u32,
    /// The request that it is made for: itself, when a client made it.
    pub root: RootRequest,
    /// 0 for a client's request; a call has one more than the request that makes it.
    pub hop: u8,
    /// Whether it may run more than once.
    pub safety: RetrySafety,
    /// True when it has arrived at an instance before.
    pub is_retry: bool,
    /// Instances that ended with it at work.
    pub reported_ends: Vec<ReportedEnd>,
    /// Probability that the run which makes this call is a repeat; 0 for a client's request.
    pub parent_retry_probability: f32,
    /// True when it may run only once the edge has confirmed it.
    pub needs_confirmation: bool,
    /// The rate that the instance declares, as the edge was told, where it has ever declared one.
    pub declared: Option<RateRecord>,
}

/// What a node knows, to compare with what another one knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, BorshSerialize, BorshDeserialize)]
pub struct KnownState {
    /// Version of its configuration; 0 for none.
    pub configuration: ConfigurationVersion,
    /// State of its directory.
    pub directory: Revision,
}

/// Messages of an edge.
#[derive(Debug, Clone, PartialEq, BorshSerialize, BorshDeserialize)]
pub enum EdgeMessage {
    /// A request.
    Offer(Box<Offer>),
    /// A piece of its body.
    Data(Bytes),
    /// Its body is whole.
    End,
    /// The granted request may run.
    Confirm,
    /// Asks for everything that is newer than this.
    Fetch(KnownState),
}

/// Messages of a gate.
#[derive(Debug, Clone, PartialEq, BorshSerialize, BorshDeserialize)]
pub enum GateMessage {
    /// The offer waits or runs.
    Progress,
    /// The offer has a slot and waits to be confirmed.
    Granted,
    /// The request was not run and never will be.
    Refused {
        /// Why.
        reason: RefusalReason,
        /// When to come back, in milliseconds.
        retry_after_ms: u32,
        /// The instance that is there in place of the one that was meant.
        successor: Option<Box<Instance>>,
        /// The gate's load.
        load: Load,
    },
    /// The exchange with the instance gave no answer.
    Failed {
        /// Why, and whether the request may have run.
        failure: Failure,
        /// The gate's load.
        load: Load,
    },
    /// The instance's answer.
    Answered {
        /// Its head.
        head: ResponseHead,
        /// Its whole body; `None` when it follows in [`GateMessage::Data`].
        body: Option<Bytes>,
        /// Length of a body that follows, where that is known.
        length: Option<u64>,
        /// What it failed by, if it did.
        fault: ResponseFault,
        /// The gate's load.
        load: Load,
    },
    /// A piece of the answer's body.
    Data(Bytes),
    /// The answer is whole.
    End,
    /// The rest of the answer can't be had.
    Broken,
    /// What the other node lacked.
    ClusterUpdate {
        /// A newer configuration.
        configuration: Option<Configuration>,
        /// A newer directory.
        directory: Option<DirectoryUpdate>,
        /// The latest reading of the source that it knows of.
        reading: Option<AnnouncedReading>,
    },
}

/// A connection between an edge and a gate.
pub type GateStream = Framed<TcpStream, LengthDelimitedCodec>;

/// Frames a connection.
pub fn framed(stream: TcpStream) -> GateStream {
    let codec = LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec();
    Framed::new(stream, codec)
}

/// A message in its frame's form.
pub fn encode<Message: BorshSerialize>(message: &Message) -> Bytes {
    borsh::to_vec(message).map(Bytes::from).unwrap_or_default()
}

/// The message of a frame.
pub fn decode<Message: BorshDeserialize>(frame: &[u8]) -> std::io::Result<Message> {
    borsh::from_slice(frame)
}
