//! Responses that the node generates itself. They carry no instance signature.

use std::time::Duration;

use bytes::Bytes;
use olivegate_http1::{Fields, ResponseHead};
use olivegate_types::RefusalReason;

use crate::edge::attempts::FinalFailure;
use crate::reply::{Body, Response, ResponseFault};
use crate::wire_names::WireNames;

/// Status of the response to a request whose key is missing or unknown.
pub const UNAUTHORIZED: u16 = 401;

/// Why the node responds itself.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LocalResponse {
    /// The request is invalid.
    Rejected {
        /// Status code.
        status: u16,
        /// What is wrong with the request.
        reason: &'static str,
    },
    /// The request was not run and never will be.
    NotRun {
        /// Why it was refused.
        reason: RefusalReason,
        /// When the client should retry.
        retry_after: Duration,
    },
    /// The tenant has exhausted its quota; the request was not run and never will be.
    OverQuota {
        /// When the tenant's quota allows the next request.
        retry_after: Duration,
    },
    /// The request may have run; its response is lost.
    Unknown,
    /// An instance responded with a status which promises that the request was not run, but did not say so: it
    /// may have run.
    AmbiguousRefusal,
    /// No response in time; the request may have run.
    TimedOut,
}

impl From<FinalFailure> for LocalResponse {
    fn from(final_failure: FinalFailure) -> Self {
        match final_failure {
            FinalFailure::NotRun(refusal) => {
                LocalResponse::NotRun { reason: refusal.reason, retry_after: refusal.retry_after }
            }
            FinalFailure::Unknown => LocalResponse::Unknown,
        }
    }
}

impl LocalResponse {
    /// Status code of the response.
    pub fn status(self) -> u16 {
        match self {
            LocalResponse::Rejected { status, .. } => status,
            LocalResponse::NotRun { .. } => 503,
            LocalResponse::OverQuota { .. } => 429,
            LocalResponse::Unknown | LocalResponse::AmbiguousRefusal => 502,
            LocalResponse::TimedOut => 504,
        }
    }

    /// Reason as written in log lines, metrics and the response body.
    pub fn reason(self) -> &'static str {
        match self {
            LocalResponse::Rejected { reason, .. } => reason,
            LocalResponse::NotRun { reason, .. } => reason.as_str(),
            LocalResponse::OverQuota { .. } => "over-quota",
            LocalResponse::Unknown => "unknown",
            LocalResponse::AmbiguousRefusal => "ambiguous-refusal",
            LocalResponse::TimedOut => "timed-out",
        }
    }

    /// True when the request was refused for lack of capacity. This excludes the case where no instance is
    /// left at all: admitting fewer requests does not help there.
    pub fn is_capacity_shortage(self) -> bool {
        let LocalResponse::NotRun { reason, .. } = self else { return false };
        reason.is_capacity_shortage()
    }

    /// Builds the response.
    pub fn to_response(self, wire_names: &WireNames, request_id: Option<&Bytes>) -> Response {
        let mut fields = Fields::default();
        if let Some(id) = request_id {
            fields.add(wire_names.request_id, id.clone());
        }
        if let LocalResponse::NotRun { retry_after, .. } | LocalResponse::OverQuota { retry_after } = self {
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
