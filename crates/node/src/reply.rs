//! Final answers that a node makes itself.

use std::time::Duration;

use hyper::{Response, StatusCode, header as http_header};
use olivegate_types::{Outcome, RequestId, header};
use rand::RngExt;

use crate::body::{self, AnyBody};

/// Longest `Retry-After` spread, as a part of the time.
const JITTER: f64 = 0.25;

/// A final answer to the caller.
#[derive(Debug, Clone)]
pub struct LocalResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// What became of the request.
    pub outcome: Outcome,
    /// Why.
    pub reason: String,
    /// When to come back; `None` when coming back won't help.
    pub retry_after: Option<Duration>,
}

impl LocalResponse {
    /// The request itself is at fault.
    pub fn bad_request(status: StatusCode, reason: impl Into<String>) -> Self {
        LocalResponse { status, outcome: Outcome::NotRun, reason: reason.into(), retry_after: None }
    }

    /// The request was not run; come back later.
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

    /// The HTTP response.
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

/// Sets a header; values that HTTP does not allow are left out.
pub fn insert(headers: &mut hyper::HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = hyper::header::HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

/// Sets `Retry-After` (whole seconds, at least one) and the finer header, with jitter.
pub fn insert_retry_after(headers: &mut hyper::HeaderMap, retry_after: Duration) {
    let spread = 1.0 + JITTER * rand::rng().random_range(-1.0..1.0);
    let millis = (retry_after.as_secs_f64() * spread * 1_000.0).max(1.0) as u64;
    insert(headers, header::RETRY_AFTER_MS, &millis.to_string());
    let seconds = millis.div_ceil(1_000).max(1).to_string();
    insert(headers, http_header::RETRY_AFTER.as_str(), &seconds);
}

/// Text of a header, if present and readable.
pub fn header_text<'a>(headers: &'a hyper::HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// A header parsed from text.
pub fn header_value<T: std::str::FromStr>(headers: &hyper::HeaderMap, name: &str) -> Option<T> {
    header_text(headers, name).and_then(|text| text.parse().ok())
}
