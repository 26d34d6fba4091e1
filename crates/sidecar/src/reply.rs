//! What becomes of a request: an instance's answer, or what the node says instead.

use std::fmt;
use std::time::Duration;

use borsh::{BorshDeserialize, BorshSerialize};
use bytes::Bytes;
use futures::stream::LocalBoxStream;
use olivegate_http1::ResponseHead;
use olivegate_types::{Refusal, RefusalReason};

use crate::declared::RateRecord;
use crate::model::{Instance, Millis};

/// The rest of a body can't be had.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct IncompleteBody;

impl fmt::Display for IncompleteBody {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("the body broke off")
    }
}

impl std::error::Error for IncompleteBody {}

/// Pieces of a body; its end is the end of the stream.
pub type BodyStream = LocalBoxStream<'static, Result<Bytes, IncompleteBody>>;

/// A body, of a request or of an answer.
pub enum Body {
    /// All of it.
    Whole(Bytes),
    /// To be read on, with its length where that is known.
    Stream(BodyStream, Option<u64>),
}

/// Memory counted for a body that is not read whole, in bytes.
const STREAMED_BYTES: usize = 64 << 10;

impl Body {
    /// Memory that it holds, in bytes.
    pub fn held_bytes(&self) -> usize {
        match self {
            Body::Whole(bytes) => bytes.len(),
            Body::Stream(..) => STREAMED_BYTES,
        }
    }
}

impl fmt::Debug for Body {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Body::Whole(bytes) => write!(formatter, "Whole({} bytes)", bytes.len()),
            Body::Stream(_, length) => write!(formatter, "Stream({length:?})"),
        }
    }
}

/// Why an exchange with an instance gave no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum FailureReason {
    /// The instance can't be connected to.
    Connect,
    /// The connection ended or was reset.
    Broken,
    /// The connection ended, and the instance with it.
    InstanceEnded,
    /// What came back is no answer.
    Malformed,
    /// No answer in time.
    TimedOut,
    /// The instance refused it unrun.
    RefusedByInstance,
    /// Another instance has the address.
    WrongInstance,
    /// The gate fell silent.
    GateSilent,
    /// The connection to the gate ended.
    GateLost,
    /// The client's own request broke off.
    RequestBroken,
}

impl FailureReason {
    /// Text of log lines and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            FailureReason::Connect => "connect",
            FailureReason::Broken => "broken",
            FailureReason::InstanceEnded => "instance-ended",
            FailureReason::Malformed => "malformed",
            FailureReason::TimedOut => "timed-out",
            FailureReason::RefusedByInstance => "refused-by-instance",
            FailureReason::WrongInstance => "wrong-instance",
            FailureReason::GateSilent => "gate-silent",
            FailureReason::GateLost => "gate-lost",
            FailureReason::RequestBroken => "request-broken",
        }
    }
}

/// An exchange that gave no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Failure {
    /// Why.
    pub reason: FailureReason,
    /// False only when the instance certainly did not run the request and never will.
    pub may_have_run: bool,
    /// True when the request arrived at the instance, run or not.
    pub arrived: bool,
}

impl Failure {
    /// The request never reached the instance.
    pub fn not_sent(reason: FailureReason) -> Self {
        Failure { reason, may_have_run: false, arrived: false }
    }

    /// The instance has the request and says that it did not run it.
    pub fn not_run(reason: FailureReason) -> Self {
        Failure { reason, may_have_run: false, arrived: true }
    }

    /// Nobody can say whether the request ran.
    pub fn unknown(reason: FailureReason) -> Self {
        Failure { reason, may_have_run: true, arrived: true }
    }
}

/// What a failure in an answer is put down to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, BorshSerialize, BorshDeserialize)]
pub enum ResponseFault {
    /// It is no failure.
    #[default]
    None,
    /// There was no room for it, or for a call that it needed.
    Capacity,
    /// A call that it needed failed.
    Callee,
    /// The instance failed it by itself.
    Instance,
}

impl ResponseFault {
    /// Text of log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            ResponseFault::None => "none",
            ResponseFault::Capacity => "capacity",
            ResponseFault::Callee => "callee",
            ResponseFault::Instance => "instance",
        }
    }
}

/// An answer of an instance.
#[derive(Debug)]
pub struct Response {
    /// Its head, without fields that concern one connection.
    pub head: ResponseHead,
    /// Its body.
    pub body: Body,
    /// What it failed by, if it did.
    pub fault: ResponseFault,
}

/// How busy a gate is, told with each of its replies.
#[derive(Debug, Clone, Copy, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct Load {
    /// Requests in the instance and waiting, over the limit.
    pub occupancy: f32,
    /// Time in the instance over the target latency of the routes, on average.
    pub latency_ratio: f32,
    /// Fraction of exchanges that the instance failed by itself, on average.
    pub failure_rate: f32,
    /// Fraction of new requests of the root's class that may begin; above 1 where there is room
    /// for more.
    pub level: f32,
    /// What the instance has said of itself; `None` as long as it has said nothing.
    pub self_report: Option<SelfReport>,
}

/// What an instance has said of itself in its answers.
#[derive(Debug, Clone, Copy, PartialEq, Default, BorshSerialize, BorshDeserialize)]
pub struct SelfReport {
    /// The rate that it declares.
    pub declared: RateRecord,
    /// It leaves.
    pub is_leaving: bool,
    /// Time for which the edge is to prefer other instances, since the declared rate is used up.
    pub retry_after: Millis,
}

impl Default for Load {
    fn default() -> Self {
        Load { occupancy: 0.0, latency_ratio: 0.0, failure_rate: 0.0, level: 1.0, self_report: None }
    }
}

/// What a gate makes of an offer.
#[derive(Debug)]
pub enum GateReply {
    /// Not run, and never will be.
    Refused {
        /// Why, and when to come back.
        refusal: Refusal,
        /// The instance that is there in place of the one that was meant.
        successor: Option<Box<Instance>>,
    },
    /// No answer.
    Failed(Failure),
    /// The instance's answer.
    Answered(Response),
}

/// A refusal of the gate itself.
pub fn refused(reason: RefusalReason, retry_after: Duration) -> GateReply {
    GateReply::Refused { refusal: Refusal::new(reason, retry_after), successor: None }
}
