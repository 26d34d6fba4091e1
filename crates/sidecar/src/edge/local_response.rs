//! Answers that the node gives itself. They carry no instance's signature.

use std::time::Duration;

use bytes::Bytes;
use olivegate_http1::{Fields, ResponseHead};
use olivegate_types::RefusalReason;

use crate::edge::attempts::Verdict;
use crate::reply::{Body, Response, ResponseFault};
use crate::wire_names::WireNames;

/// Status of a request without a key that is known.
pub const UNAUTHORIZED: u16 = 401;

/// Why the node answers itself.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum OwnAnswer {
    /// The request is at fault.
    Rejected {
        /// Status.
        status: u16,
        /// What is wrong with it.
        reason: &'static str,
    },
    /// It was not run and never will be.
    NotRun {
        /// Why.
        reason: RefusalReason,
        /// When to come back.
        retry_after: Duration,
    },
    /// Its tenant has used up its quota; it was not run and never will be.
    OverQuota {
        /// When the tenant has room again.
        retry_after: Duration,
    },
    /// It may have run; the answer can't be had.
    Unknown,
    /// No answer in time; it may have run.
    TimedOut,
}

impl From<Verdict> for OwnAnswer {
    fn from(verdict: Verdict) -> Self {
        match verdict {
            Verdict::NotRun(refusal) => {
                OwnAnswer::NotRun { reason: refusal.reason, retry_after: refusal.retry_after }
            }
            Verdict::Unknown => OwnAnswer::Unknown,
        }
    }
}

impl OwnAnswer {
    /// Status of the answer.
    pub fn status(self) -> u16 {
        match self {
            OwnAnswer::Rejected { status, .. } => status,
            OwnAnswer::NotRun { .. } => 503,
            OwnAnswer::OverQuota { .. } => 429,
            OwnAnswer::Unknown => 502,
            OwnAnswer::TimedOut => 504,
        }
    }

    /// Text of log lines, metrics and the answer's body.
    pub fn reason(self) -> &'static str {
        match self {
            OwnAnswer::Rejected { reason, .. } => reason,
            OwnAnswer::NotRun { reason, .. } => reason.as_str(),
            OwnAnswer::OverQuota { .. } => "over-quota",
            OwnAnswer::Unknown => "unknown",
            OwnAnswer::TimedOut => "timed-out",
        }
    }

    /// True when the request was not served because there was no room for it. Where no
    /// instance is left at all, letting fewer requests begin helps nobody.
    pub fn is_capacity_shortage(self) -> bool {
        let OwnAnswer::NotRun { reason, .. } = self else { return false };
        reason.is_capacity_shortage()
    }

    /// The answer itself.
    pub fn to_answer(self, wire_names: &WireNames, request_id: Option<&Bytes>) -> Response {
        let mut fields = Fields::default();
        if let Some(id) = request_id {
            fields.add(wire_names.request_id, id.clone());
        }
        if let OwnAnswer::NotRun { retry_after, .. } | OwnAnswer::OverQuota { retry_after } = self {
            fields.add(wire_names.retry_after, format!("{:.2}", retry_after.as_secs_f64()));
        }
        if self.status() == UNAUTHORIZED {
            fields.add("WWW-Authenticate", "ApiKey");
        }
        fields.add("Content-Type", "text/plain");
        let fault = if self.is_capacity_shortage() { ResponseFault::Capacity } else { ResponseFault::None };
        let body = format!("{}\n", self.reason());
        let head = ResponseHead { status: self.status(), minor_version: 1, fields };
        Response { head, body: Body::Whole(body.into()), fault }
    }
}
