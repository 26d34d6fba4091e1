//! Length of a message body.

use bytes::Bytes;

use crate::error::DecodeError;
use crate::fields::Fields;

/// How the length of a body is determined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyLength {
    /// There is no body.
    None,
    /// This many bytes; never 0.
    Known(u64),
    /// Chunked transfer coding.
    Chunked,
    /// The body ends when the connection closes; responses only.
    UntilClose,
}

/// The length that all `Content-Length` fields agree on.
fn content_length(fields: &Fields) -> Result<Option<u64>, DecodeError> {
    let mut length = None;
    for value in fields.all("content-length") {
        let parsed = parse_length(value)?;
        if length.is_some_and(|known| known != parsed) {
            return Err(DecodeError::Malformed("two lengths"));
        }
        length = Some(parsed);
    }
    Ok(length)
}

fn parse_length(value: &Bytes) -> Result<u64, DecodeError> {
    let digits = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
    let text = std::str::from_utf8(value).ok().filter(|_| digits);
    text.and_then(|text| text.parse().ok()).ok_or(DecodeError::Malformed("content length"))
}

/// True when the body is chunked; any other transfer coding is rejected.
fn is_chunked(fields: &Fields) -> Result<bool, DecodeError> {
    let mut codings = fields.all("transfer-encoding");
    match (codings.next(), codings.next()) {
        (None, _) => Ok(false),
        (Some(coding), None) if coding.eq_ignore_ascii_case(b"chunked") => Ok(true),
        _ => Err(DecodeError::Malformed("transfer coding")),
    }
}

fn from_content_length(length: u64) -> BodyLength {
    if length == 0 { BodyLength::None } else { BodyLength::Known(length) }
}

/// Length of a request's body. A request with both `Content-Length` and chunks is rejected, because
/// another recipient could split the same bytes into other requests (request smuggling).
pub fn request_body_length(fields: &Fields) -> Result<BodyLength, DecodeError> {
    match (is_chunked(fields)?, content_length(fields)?) {
        (true, Some(_)) => Err(DecodeError::Malformed("length and chunks")),
        (true, None) => Ok(BodyLength::Chunked),
        (false, length) => Ok(from_content_length(length.unwrap_or(0))),
    }
}

/// Length of a response's body; `to_head` is true for a response to a `HEAD` request.
pub fn response_body_length(status: u16, fields: &Fields, to_head: bool) -> Result<BodyLength, DecodeError> {
    if to_head || (100..200).contains(&status) || status == 204 || status == 304 {
        return Ok(BodyLength::None);
    }
    match (is_chunked(fields)?, content_length(fields)?) {
        (true, Some(_)) => Err(DecodeError::Malformed("length and chunks")),
        (true, None) => Ok(BodyLength::Chunked),
        (false, Some(length)) => Ok(from_content_length(length)),
        (false, None) => Ok(BodyLength::UntilClose),
    }
}
