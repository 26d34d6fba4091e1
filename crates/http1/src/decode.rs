//! Decoders of requests and responses.

use std::cell::Cell;
use std::ops::RangeInclusive;
use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use tokio_util::codec::Decoder;

use crate::body::{self, BodyLength};
use crate::body_reader::BodyReader;
use crate::error::DecodeError;
use crate::fields::Fields;
use crate::head::{RequestHead, ResponseHead};
use crate::head_end::{check_whole, head_length, skip_empty_lines};

/// Maximum number of header fields in a message.
const MAX_FIELDS: usize = 96;
/// Status codes of interim responses, which precede the final one.
const INTERIM_STATUSES: RangeInclusive<u16> = 100..=199;
/// Status of the response after which the connection carries another protocol. No request asks for one.
const SWITCHING_PROTOCOLS: u16 = 101;

/// A part of a message: its head, then data, then its end.
#[derive(Debug, PartialEq, Eq)]
pub enum Frame<Head> {
    /// The head, and the length of the body. [`Frame::End`] follows even if there is no body.
    Head(Head, BodyLength),
    /// Bytes of the body.
    Data(Bytes),
    /// The message is complete.
    End,
}

fn to_fields(parsed: &[httparse::Header<'_>], source: &Bytes) -> Fields {
    let mut fields = Fields::default();
    for header in parsed {
        fields.add(source.slice_ref(header.name.as_bytes()), source.slice_ref(header.value));
    }
    fields
}

/// Size limits of requests, in bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestLimits {
    /// Maximum size of a head.
    pub max_head_bytes: usize,
    /// Maximum size of a body.
    pub max_body_bytes: u64,
}

/// Decodes the requests of one connection.
///
/// The limits may change at any time. A head is held to those in force; a body to the larger of those in force
/// and those at its start, so that a limit that falls does not end a body that is arriving.
#[derive(Debug)]
pub struct RequestDecoder {
    limits: Rc<Cell<RequestLimits>>,
    /// Maximum size of the current body when it started, in bytes.
    max_body_bytes: u64,
    body_bytes: u64,
    body: BodyReader,
}

impl RequestDecoder {
    /// A decoder with fixed size limits for the head and the body of a request, in bytes.
    pub fn new(max_head_bytes: usize, max_body_bytes: u64) -> Self {
        RequestDecoder::following(Rc::new(Cell::new(RequestLimits { max_head_bytes, max_body_bytes })))
    }

    /// A decoder that applies the limits that `limits` holds at the time.
    pub fn following(limits: Rc<Cell<RequestLimits>>) -> Self {
        RequestDecoder { limits, max_body_bytes: 0, body_bytes: 0, body: BodyReader::new() }
    }

    fn head(&mut self, source: &mut BytesMut) -> Result<Option<Frame<RequestHead>>, DecodeError> {
        skip_empty_lines(source);
        if source.is_empty() {
            return Ok(None);
        }
        let limits = self.limits.get();
        let Some(used) = head_length(source, limits.max_head_bytes)? else { return Ok(None) };
        let bytes = source.split_to(used).freeze();
        let mut storage = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut parsed = httparse::Request::new(&mut storage);
        check_whole(parsed.parse(&bytes)?, bytes.len())?;
        let head = RequestHead {
            method: bytes.slice_ref(parsed.method.unwrap_or_default().as_bytes()),
            target: bytes.slice_ref(parsed.path.unwrap_or_default().as_bytes()),
            minor_version: parsed.version.unwrap_or(1),
            fields: to_fields(parsed.headers, &bytes),
        };
        let length = body::request_body_length(&head.fields)?;
        if matches!(length, BodyLength::Known(length) if length > limits.max_body_bytes) {
            return Err(DecodeError::BodyTooLarge);
        }
        self.max_body_bytes = limits.max_body_bytes;
        self.body_bytes = 0;
        self.body.start(length);
        Ok(Some(Frame::Head(head, length)))
    }
}

impl Decoder for RequestDecoder {
    type Item = Frame<RequestHead>;
    type Error = DecodeError;

    fn decode(&mut self, source: &mut BytesMut) -> Result<Option<Self::Item>, DecodeError> {
        if self.body.is_between_messages() {
            return self.head(source);
        }
        let frame = self.body.next(source)?;
        if let Some(Frame::Data(data)) = &frame {
            self.body_bytes += data.len() as u64;
            if self.body_bytes > self.max_body_bytes.max(self.limits.get().max_body_bytes) {
                return Err(DecodeError::BodyTooLarge);
            }
        }
        Ok(frame)
    }

    fn decode_eof(&mut self, source: &mut BytesMut) -> Result<Option<Self::Item>, DecodeError> {
        match self.decode(source)? {
            Some(frame) => Ok(Some(frame)),
            None => self.body.on_eof(source),
        }
    }
}

/// Decodes the responses of one connection.
#[derive(Debug)]
pub struct ResponseDecoder {
    max_head_bytes: usize,
    is_response_to_head: bool,
    has_connection_failed: bool,
    /// Bytes of the interim responses since the last final one.
    interim_bytes: usize,
    body: BodyReader,
}

impl ResponseDecoder {
    /// A decoder with a size limit for the head of a response, in bytes. The interim responses before it have
    /// the same limit together.
    pub fn new(max_head_bytes: usize) -> Self {
        ResponseDecoder {
            max_head_bytes,
            is_response_to_head: false,
            has_connection_failed: false,
            interim_bytes: 0,
            body: BodyReader::new(),
        }
    }

    /// Sets whether the next response is to a `HEAD` request, and so has no body.
    pub fn expect_response_to_head(&mut self, to_head: bool) {
        self.is_response_to_head = to_head;
    }

    /// Records that writing to the connection failed. The operating system reports an error of a connection
    /// once: after a write has got it, reads see an orderly end, which then completes no body.
    pub fn note_connection_failed(&mut self) {
        self.has_connection_failed = true;
    }

    fn head(&mut self, source: &mut BytesMut) -> Result<Option<Frame<ResponseHead>>, DecodeError> {
        loop {
            if source.is_empty() {
                return Ok(None);
            }
            let Some(used) = head_length(source, self.max_head_bytes)? else { return Ok(None) };
            let bytes = source.split_to(used).freeze();
            let mut storage = [httparse::EMPTY_HEADER; MAX_FIELDS];
            let mut parsed = httparse::Response::new(&mut storage);
            check_whole(parsed.parse(&bytes)?, bytes.len())?;
            let head = ResponseHead {
                status: parsed.code.unwrap_or_default(),
                minor_version: parsed.version.unwrap_or(1),
                fields: to_fields(parsed.headers, &bytes),
            };
            if is_interim(&head)? {
                self.interim_bytes += used;
                if self.interim_bytes > self.max_head_bytes {
                    return Err(DecodeError::HeadTooLarge);
                }
                continue;
            }
            self.interim_bytes = 0;
            let length = body::response_body_length(head.status, &head.fields, self.is_response_to_head)?;
            self.body.start(length);
            return Ok(Some(Frame::Head(head, length)));
        }
    }
}

impl Decoder for ResponseDecoder {
    type Item = Frame<ResponseHead>;
    type Error = DecodeError;

    fn decode(&mut self, source: &mut BytesMut) -> Result<Option<Self::Item>, DecodeError> {
        if self.body.is_between_messages() { self.head(source) } else { self.body.next(source) }
    }

    fn decode_eof(&mut self, source: &mut BytesMut) -> Result<Option<Self::Item>, DecodeError> {
        match self.decode(source)? {
            Some(frame) => Ok(Some(frame)),
            None if self.has_connection_failed => Err(DecodeError::Incomplete),
            None => self.body.on_eof(source),
        }
    }
}

/// True if the head is that of an interim response; an error if its status is none that may come. The parser
/// takes any three digits.
fn is_interim(head: &ResponseHead) -> Result<bool, DecodeError> {
    let is_interim = INTERIM_STATUSES.contains(&head.status) && head.status != SWITCHING_PROTOCOLS;
    if is_interim || head.is_final() { Ok(is_interim) } else { Err(DecodeError::Malformed("status")) }
}
