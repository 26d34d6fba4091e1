//! Results of a request at a gate: an instance's response, a refusal or a failure.

use std::fmt;
use std::time::Duration;

use borsh::{BorshDeserialize, BorshSerialize};
use bytes::Bytes;
use futures::stream::LocalBoxStream;
use olivegate_http1::ResponseHead;
use olivegate_types::{Refusal, RefusalReason};

use crate::declared::RateRecord;
use crate::model::{Instance, Millis};

/// The rest of a body is lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct IncompleteBody;

impl fmt::Display for IncompleteBody {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("the body ended before it was complete")
    }
}

impl std::error::Error for IncompleteBody {}

/// Chunks of a body; the body is complete at the end of the stream.
pub type BodyStream = LocalBoxStream<'static, Result<Bytes, IncompleteBody>>;

/// The body of a request or a response.
pub enum Body {
    /// The complete body.
    Whole(Bytes),
    /// Chunks that are still to be read, and the length of the body, if known.
    Stream(BodyStream, Option<u64>),
}

/// Memory accounted for a body that is streamed, in bytes.
const STREAMED_BODY_BYTES: usize = 64 << 10;

impl Body {
    /// Memory that the body occupies, in bytes.
    pub fn memory_bytes(&self) -> usize {
        match self {
            Body::Whole(bytes) => bytes.len(),
            Body::Stream(..) => STREAMED_BODY_BYTES,
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

/// Why an exchange with an instance gave no response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum FailureReason {
    /// Connecting to the instance failed.
    Connect,
    /// The connection was closed or reset.
    Broken,
    /// The connection was closed because the instance terminated.
    InstanceEnded,
    /// The response is malformed.
    Malformed,
    /// No response in time.
    TimedOut,
    /// The instance refused the request without running it.
    RefusedByInstance,
    /// Another instance has the address.
    WrongInstance,
    /// The gate stopped responding.
    GateSilent,
    /// The connection to the gate was closed.
    GateLost,
    /// The client aborted its request.
    RequestBroken,
    /// The response is a success without the instance's signature.
    Unsigned,
}

impl FailureReason {
    /// Name in log lines and metrics.
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
            FailureReason::Unsigned => "unsigned",
        }
    }
}

/// An exchange that gave no response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Failure {
    /// Why.
    pub reason: FailureReason,
    /// False only when the instance certainly did not run the request and never will.
    pub may_have_run: bool,
    /// True when the request reached the instance, whether it ran or not.
    pub arrived: bool,
}

impl Failure {
    /// A request that never reached the instance.
    pub fn not_sent(reason: FailureReason) -> Self {
        Failure { reason, may_have_run: false, arrived: false }
    }

    /// A request that the instance received but reports not to have run.
    pub fn not_run(reason: FailureReason) -> Self {
        Failure { reason, may_have_run: false, arrived: true }
    }

    /// A request of which it is unknown whether it ran.
    pub fn unknown(reason: FailureReason) -> Self {
        Failure { reason, may_have_run: true, arrived: true }
    }
}

/// Statuses by which a client is told that its request has not run and never will, so that it may repeat it.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// True for a status that promises a client that its request has not run. An instance that has not run a request
/// says so in a field as well; without it, the status alone is no such promise.
pub fn promises_not_run(status: u16) -> bool {
    NOT_RUN_STATUSES.contains(&status)
}

/// What a failed response is attributed to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, BorshSerialize, BorshDeserialize)]
pub enum ResponseFault {
    /// The response is not a failure.
    #[default]
    None,
    /// The request, or a call made for it, was refused for lack of capacity.
    Capacity,
    /// A call made for the request failed.
    Callee,
    /// The instance itself failed the request.
    Instance,
}

impl ResponseFault {
    /// Name in log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            ResponseFault::None => "none",
            ResponseFault::Capacity => "capacity",
            ResponseFault::Callee => "callee",
            ResponseFault::Instance => "instance",
        }
    }
}

/// A response of an instance.
#[derive(Debug)]
pub struct Response {
    /// Its head, without hop-by-hop fields.
    pub head: ResponseHead,
    /// Its body.
    pub body: Body,
    /// What a failure in it is attributed to.
    pub fault: ResponseFault,
}

/// Load of a gate, reported with each of its replies.
#[derive(Debug, Clone, Copy, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct Load {
    /// Requests in the instance and in its queue, relative to the concurrency limit.
    pub occupancy: f32,
    /// Average time in the instance, relative to the target latency of the routes.
    pub latency_ratio: f32,
    /// Average fraction of exchanges in which the instance itself failed the request.
    pub failure_rate: f32,
    /// Fraction of new requests of the root's class that may be admitted; above 1 where there is capacity for
    /// more.
    pub level: f32,
    /// What the instance has reported about itself; `None` until it has reported anything.
    pub self_report: Option<SelfReport>,
}

/// What an instance has reported about itself in its responses.
#[derive(Debug, Clone, Copy, PartialEq, Default, BorshSerialize, BorshDeserialize)]
pub struct SelfReport {
    /// The rate that it declares.
    pub declared: RateRecord,
    /// True when it has announced that it is leaving.
    pub is_leaving: bool,
    /// How long the edge should prefer other instances, because the declared rate is used up.
    pub retry_after: Millis,
}

impl Default for Load {
    fn default() -> Self {
        Load { occupancy: 0.0, latency_ratio: 0.0, failure_rate: 0.0, level: 1.0, self_report: None }
    }
}

/// A gate's reply to an offer.
#[derive(Debug)]
pub enum GateReply {
    /// The request was not run and never will be.
    Refused {
        /// Why, and when to retry.
        refusal: Refusal,
        /// The instance that was found in place of the intended one.
        successor: Option<Box<Instance>>,
    },
    /// The exchange with the instance gave no response.
    Failed(Failure),
    /// The instance's response.
    Answered(Response),
}

/// Creates a refusal by the gate itself.
pub fn refused(reason: RefusalReason, retry_after: Duration) -> GateReply {
    GateReply::Refused { refusal: Refusal::new(reason, retry_after), successor: None }
}
