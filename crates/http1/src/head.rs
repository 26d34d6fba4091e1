//! Heads of requests and responses.

use std::ops::RangeInclusive;

use borsh::{BorshDeserialize, BorshSerialize};
use bytes::{BufMut, Bytes, BytesMut};

use crate::body::BodyLength;
use crate::fields::Fields;

/// Head of a request.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct RequestHead {
    /// Method.
    pub method: Bytes,
    /// Request target (path and query), as received.
    pub target: Bytes,
    /// Minor version: 0 or 1.
    pub minor_version: u8,
    /// Header fields.
    pub fields: Fields,
}

/// Head of a response.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct ResponseHead {
    /// Status code.
    pub status: u16,
    /// Minor version: 0 or 1.
    pub minor_version: u8,
    /// Header fields.
    pub fields: Fields,
}

/// True when the sender keeps the connection open after this message.
fn keeps_connection(minor_version: u8, fields: &Fields) -> bool {
    if fields.lists_token("connection", "close") {
        return false;
    }
    minor_version >= 1 || fields.lists_token("connection", "keep-alive")
}

impl RequestHead {
    /// The path, without the query.
    pub fn path(&self) -> &str {
        let target = std::str::from_utf8(&self.target).unwrap_or_default();
        target.split('?').next().unwrap_or_default()
    }

    /// The host in the `Host` field, without a port, in lower case.
    pub fn host(&self) -> Option<String> {
        let host = self.fields.text("host")?;
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        Some(name.to_ascii_lowercase())
    }

    /// True when the client keeps the connection open after the response.
    pub fn keeps_connection(&self) -> bool {
        keeps_connection(self.minor_version, &self.fields)
    }

    /// Writes the head; `length` determines the framing of the body.
    pub fn write(&self, length: BodyLength, out: &mut BytesMut) {
        out.put_slice(&self.method);
        out.put_u8(b' ');
        out.put_slice(&self.target);
        out.put_slice(b" HTTP/1.1\r\n");
        let empty_body = length == BodyLength::None && self.method != "GET" && self.method != "HEAD";
        write_fields(&self.fields, length, empty_body, out);
    }
}

/// Status codes of final responses. Codes above are invalid, and so are those below 100.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

impl ResponseHead {
    /// True if the status is that of a final response.
    pub fn is_final(&self) -> bool {
        FINAL_STATUSES.contains(&self.status)
    }

    /// True when the server keeps the connection open after the response.
    pub fn keeps_connection(&self) -> bool {
        keeps_connection(self.minor_version, &self.fields)
    }

    /// Writes the head; `length` determines the framing of the body. Without `keep_alive` the connection
    /// is announced to close.
    pub fn write(&self, length: BodyLength, keep_alive: bool, out: &mut BytesMut) {
        out.put_slice(format!("HTTP/1.1 {} {}\r\n", self.status, reason_phrase(self.status)).as_bytes());
        if !keep_alive {
            out.put_slice(b"Connection: close\r\n");
        }
        let allows_body = self.status >= 200 && self.status != 204 && self.status != 304;
        write_fields(&self.fields, length, allows_body && length == BodyLength::None, out);
    }
}

fn write_fields(fields: &Fields, length: BodyLength, write_zero_length: bool, out: &mut BytesMut) {
    for field in fields.iter() {
        out.put_slice(&field.name);
        out.put_slice(b": ");
        out.put_slice(&field.value);
        out.put_slice(b"\r\n");
    }
    match length {
        BodyLength::None if write_zero_length => out.put_slice(b"Content-Length: 0\r\n"),
        BodyLength::None | BodyLength::UntilClose => {}
        BodyLength::Known(length) => out.put_slice(format!("Content-Length: {length}\r\n").as_bytes()),
        BodyLength::Chunked => out.put_slice(b"Transfer-Encoding: chunked\r\n"),
    }
    out.put_slice(b"\r\n");
}

/// Writes one chunk of a chunked body.
pub fn write_chunk(data: &[u8], out: &mut BytesMut) {
    if data.is_empty() {
        return;
    }
    out.put_slice(format!("{:x}\r\n", data.len()).as_bytes());
    out.put_slice(data);
    out.put_slice(b"\r\n");
}

/// Writes the last chunk, which ends a chunked body.
pub fn write_last_chunk(out: &mut BytesMut) {
    out.put_slice(b"0\r\n\r\n");
}

/// The reason phrase of a status code.
fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        202 => "Accepted",
        204 => "No Content",
        304 => "Not Modified",
        400 => "Bad Request",
        404 => "Not Found",
        408 => "Request Timeout",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    }
}
