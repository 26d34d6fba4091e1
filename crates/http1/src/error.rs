//! Errors of the decoders.

use std::fmt;

/// Why a message can't be decoded.
#[derive(Debug)]
pub enum DecodeError {
    /// The connection failed.
    Io(std::io::Error),
    /// The bytes are not a valid message; the text names the invalid part.
    Malformed(&'static str),
    /// The head is longer than the limit.
    HeadTooLarge,
    /// The body is longer than the limit.
    BodyTooLarge,
    /// The connection ended inside a message.
    Incomplete,
}

impl fmt::Display for DecodeError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DecodeError::Io(error) => write!(formatter, "connection failed: {error}"),
            DecodeError::Malformed(reason) => write!(formatter, "malformed message: {reason}"),
            DecodeError::HeadTooLarge => formatter.write_str("message head is too large"),
            DecodeError::BodyTooLarge => formatter.write_str("message body is too large"),
            DecodeError::Incomplete => formatter.write_str("connection ended inside a message"),
        }
    }
}

impl std::error::Error for DecodeError {}

impl From<std::io::Error> for DecodeError {
    fn from(error: std::io::Error) -> Self {
        DecodeError::Io(error)
    }
}

impl From<httparse::Error> for DecodeError {
    fn from(error: httparse::Error) -> Self {
        match error {
            httparse::Error::TooManyHeaders => DecodeError::HeadTooLarge,
            httparse::Error::HeaderName => DecodeError::Malformed("header name"),
            httparse::Error::HeaderValue => DecodeError::Malformed("header value"),
            httparse::Error::NewLine => DecodeError::Malformed("line end"),
            httparse::Error::Status => DecodeError::Malformed("status"),
            httparse::Error::Token => DecodeError::Malformed("token"),
            httparse::Error::Version => DecodeError::Malformed("version"),
        }
    }
}
