//! Responses that a node makes itself, and helpers for headers.

use std::time::Duration;

use hyper::{Response, StatusCode, header as http_header};
use olivegate_types::{Outcome, RequestId, header};
use rand::RngExt;

use crate::body::{self, AnyBody};

/// Maximum jitter of `Retry-After`, as a fraction of the time.
const MAX_JITTER: f64 = 0.25;

/// A response that the node makes itself instead of forwarding an instance's.
#[derive(Debug, Clone)]
pub struct LocalResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// What became of the request.
    pub outcome: Outcome,
    /// Reason, for the reason header and the body.
    pub reason: String,
    /// When the caller may retry; `None` when a retry of the same request can't succeed.
    pub retry_after: Option<Duration>,
}

impl LocalResponse {
    /// The request is invalid.
    pub fn bad_request(status: StatusCode, reason: impl Into<String>) -> Self {
        LocalResponse { status, outcome: Outcome::NotRun, reason: reason.into(), retry_after: None }
    }

    /// The request was not run; the caller may retry later.
    pub fn not_run(reason: impl Into<String>, retry_after: Duration) -> Self {
        LocalResponse {
            status: StatusCode::SERVICE_UNAVAILABLE,
            outcome: Outcome::NotRun,
            reason: reason.into(),
            retry_after: Some(retry_after),
        }
    }

    /// The request may have run.
    pub fn unknown(status: StatusCode, reason: impl Into<String>, retry_after: Duration) -> Self {
        LocalResponse { status, outcome: Outcome::Unknown, reason: reason.into(), retry_after: Some(retry_after) }
    }

    /// Builds the HTTP response.
    pub fn into_response(self, request: Option<RequestId>) -> Response<AnyBody> {
        let text = format!("{}: {}\n", self.outcome, self.reason);
        let mut response = Response::new(body::full(text));
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        insert(headers, http_header::CONTENT_TYPE.as_str(), "text/plain; charset=utf-8");
        insert(headers, header::OUTCOME, self.outcome.as_str());
        insert(headers, header::REASON, &self.reason);
        if let Some(request) = request {
            insert(headers, header::REQUEST_ID, &request.to_string());
        }
        if let Some(retry_after) = self.retry_after {
            insert_retry_after(headers, retry_after);
        }
        response
    }
}

/// Sets a header. A value that HTTP does not allow is ignored.
pub fn insert(headers: &mut hyper::HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = hyper::header::HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

/// Sets `Retry-After` (whole seconds, at least one) and the header in milliseconds, with jitter.
pub fn insert_retry_after(headers: &mut hyper::HeaderMap, retry_after: Duration) {
    let jitter = 1.0 + MAX_JITTER * rand::rng().random_range(-1.0..1.0);
    let millis = (retry_after.as_secs_f64() * jitter * 1_000.0).max(1.0) as u64;
    insert(headers, header::RETRY_AFTER_MS, &millis.to_string());
    let seconds = millis.div_ceil(1_000).max(1).to_string();
    insert(headers, http_header::RETRY_AFTER.as_str(), &seconds);
}

/// Value of a header, if it is present and visible ASCII.
pub fn header_text<'a>(headers: &'a hyper::HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// Parsed value of a header, if it is present and valid.
pub fn header_value<T: std::str::FromStr>(headers: &hyper::HeaderMap, name: &str) -> Option<T> {
    header_text(headers, name).and_then(|text| text.parse().ok())
}
