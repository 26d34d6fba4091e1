//! Where a message body ends.

use bytes::Bytes;

use crate::error::DecodeError;
use crate::fields::Fields;

/// How the end of a body is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyLength {
    /// There is no body.
    None,
    /// So many bytes, more than none.
    Known(u64),
    /// In chunks.
    Chunked,
    /// Until the connection ends; responses only.
    UntilClose,
}

/// The one length named by all `Content-Length` fields.
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

/// True when the body comes in chunks; any other transfer coding is refused.
fn is_chunked(fields: &Fields) -> Result<bool, DecodeError> {
    let mut codings = fields.all("transfer-encoding");
    match (codings.next(), codings.next()) {
        (None, _) => Ok(false),
        (Some(coding), None) if coding.eq_ignore_ascii_case(b"chunked") => Ok(true),
        _ => Err(DecodeError::Malformed("transfer coding")),
    }
}

fn of_known(length: u64) -> BodyLength {
    if length == 0 { BodyLength::None } else { BodyLength::Known(length) }
}

/// Length of a request's body. Both a length and chunks are refused: another reader of
/// the same bytes could see another request in them.
pub fn of_request(fields: &Fields) -> Result<BodyLength, DecodeError> {
    match (is_chunked(fields)?, content_length(fields)?) {
        (true, Some(_)) => Err(DecodeError::Malformed("length and chunks")),
        (true, None) => Ok(BodyLength::Chunked),
        (false, length) => Ok(of_known(length.unwrap_or(0))),
    }
}

/// Length of a response's body; `to_head` is true for an answer to a `HEAD` request.
pub fn of_response(status: u16, fields: &Fields, to_head: bool) -> Result<BodyLength, DecodeError> {
    if to_head || (100..200).contains(&status) || status == 204 || status == 304 {
        return Ok(BodyLength::None);
    }
    match (is_chunked(fields)?, content_length(fields)?) {
        (true, Some(_)) => Err(DecodeError::Malformed("length and chunks")),
        (true, None) => Ok(BodyLength::Chunked),
        (false, Some(length)) => Ok(of_known(length)),
        (false, None) => Ok(BodyLength::UntilClose),
    }
}
