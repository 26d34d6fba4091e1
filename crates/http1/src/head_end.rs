//! Where the head of a message ends.

use bytes::{Buf, BytesMut};

use crate::error::DecodeError;

/// Skips empty lines before a request line, as RFC 9112 recommends.
pub(crate) fn skip_empty_lines(source: &mut BytesMut) {
    let empty = source.iter().take_while(|&&byte| byte == b'\r' || byte == b'\n').count();
    source.advance(empty);
}

/// Length of the head at the start of `source`; `None` while it is incomplete.
pub(crate) fn head_length(source: &BytesMut, max: usize) -> Result<Option<usize>, DecodeError> {
    match empty_line_end(source)? {
        Some(length) if length > max => Err(DecodeError::HeadTooLarge),
        Some(length) => Ok(Some(length)),
        None if source.len() > max => Err(DecodeError::HeadTooLarge),
        None => check_start(source),
    }
}

/// Where the first empty line of `source` ends. A line that ends without a carriage return is malformed: the
/// parser would take it for a line too, and could find another end of the head.
fn empty_line_end(source: &[u8]) -> Result<Option<usize>, DecodeError> {
    let mut line_start = 0;
    for line_feed in memchr::memchr_iter(b'\n', source) {
        match &source[line_start..line_feed] {
            b"\r" => return Ok(Some(line_feed + 1)),
            [.., b'\r'] => line_start = line_feed + 1,
            _ => return Err(DecodeError::Malformed("line end")),
        }
    }
    Ok(None)
}

/// Checks that the parser found the end of a head where it is.
pub(crate) fn check_whole(parsed: httparse::Status<usize>, length: usize) -> Result<(), DecodeError> {
    if parsed == httparse::Status::Complete(length) { Ok(()) } else { Err(DecodeError::Malformed("head")) }
}

/// Rejects bytes that can't start a message at once, before a complete head has arrived.
fn check_start(source: &BytesMut) -> Result<Option<usize>, DecodeError> {
    let printable = source.iter().take(8).all(|byte| byte.is_ascii_graphic() || *byte == b' ');
    if printable { Ok(None) } else { Err(DecodeError::Malformed("start")) }
}
