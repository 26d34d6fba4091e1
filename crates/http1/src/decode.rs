//! Decoders of requests and responses.

use std::cell::Cell;
use std::ops::RangeInclusive;
use std::rc::Rc;

use bytes::{Buf, Bytes, BytesMut};
use tokio_util::codec::Decoder;

use crate::body::{self, BodyLength};
use crate::error::DecodeError;
use crate::fields::Fields;
use crate::head::{RequestHead, ResponseHead};

/// Maximum number of header fields in a message.
const MAX_FIELDS: usize = 96;
/// Maximum length of a chunk size line, in bytes.
const MAX_CHUNK_LINE: usize = 1024;
/// Maximum length of all trailer lines together, in bytes.
const MAX_TRAILERS: usize = 16 * 1024;

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

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum DecodeState {
    Head,
    Known(u64),
    ChunkSize,
    ChunkData(u64),
    ChunkDataEnd,
    Trailers,
    UntilClose,
    Finished,
}

fn body_state(length: BodyLength) -> DecodeState {
    match length {
        BodyLength::None => DecodeState::Finished,
        BodyLength::Known(length) => DecodeState::Known(length),
        BodyLength::Chunked => DecodeState::ChunkSize,
        BodyLength::UntilClose => DecodeState::UntilClose,
    }
}

fn to_fields(parsed: &[httparse::Header<'_>], source: &Bytes) -> Fields {
    let mut fields = Fields::default();
    for header in parsed {
        fields.add(source.slice_ref(header.name.as_bytes()), source.slice_ref(header.value));
    }
    fields
}

/// Reads message bodies for both decoders.
#[derive(Debug)]
struct BodyReader {
    state: DecodeState,
    trailer_bytes: usize,
}

impl BodyReader {
    fn new() -> Self {
        BodyReader { state: DecodeState::Head, trailer_bytes: 0 }
    }

    fn start(&mut self, length: BodyLength) {
        self.state = body_state(length);
        self.trailer_bytes = 0;
    }

    /// The next frame of the body; call only after [`BodyReader::start`].
    fn next<Head>(&mut self, source: &mut BytesMut) -> Result<Option<Frame<Head>>, DecodeError> {
        loop {
            match self.state {
                DecodeState::Head => return Ok(None),
                DecodeState::Finished => {
                    self.state = DecodeState::Head;
                    return Ok(Some(Frame::End));
                }
                DecodeState::Known(left) => {
                    let Some(data) = take_up_to(source, left) else { return Ok(None) };
                    let left = left - data.len() as u64;
                    self.state = if left == 0 { DecodeState::Finished } else { DecodeState::Known(left) };
                    return Ok(Some(Frame::Data(data)));
                }
                DecodeState::UntilClose => {
                    return Ok(take_up_to(source, u64::MAX).map(Frame::Data));
                }
                DecodeState::ChunkSize => {
                    if !self.read_chunk_size(source)? {
                        return Ok(None);
                    }
                }
                DecodeState::ChunkData(left) => {
                    let Some(data) = take_up_to(source, left) else { return Ok(None) };
                    let left = left - data.len() as u64;
                    self.state = if left == 0 { DecodeState::ChunkDataEnd } else { DecodeState::ChunkData(left) };
                    return Ok(Some(Frame::Data(data)));
                }
                DecodeState::ChunkDataEnd => {
                    if source.len() < 2 {
                        return Ok(None);
                    }
                    if &source[..2] != b"\r\n" {
                        return Err(DecodeError::Malformed("chunk end"));
                    }
                    source.advance(2);
                    self.state = DecodeState::ChunkSize;
                }
                DecodeState::Trailers => {
                    if !self.read_trailer(source)? {
                        return Ok(None);
                    }
                }
            }
        }
    }

    /// Reads a chunk size line; false when more bytes are needed.
    fn read_chunk_size(&mut self, source: &mut BytesMut) -> Result<bool, DecodeError> {
        match httparse::parse_chunk_size(source) {
            Ok(httparse::Status::Complete((used, size))) => {
                source.advance(used);
                self.state = if size == 0 { DecodeState::Trailers } else { DecodeState::ChunkData(size) };
                Ok(true)
            }
            Ok(httparse::Status::Partial) if source.len() <= MAX_CHUNK_LINE => Ok(false),
            _ => Err(DecodeError::Malformed("chunk size")),
        }
    }

    /// Skips one trailer line; false when more bytes are needed.
    fn read_trailer(&mut self, source: &mut BytesMut) -> Result<bool, DecodeError> {
        let Some(end) = source.iter().position(|&byte| byte == b'\n') else {
            return if source.len() > MAX_TRAILERS { Err(DecodeError::HeadTooLarge) } else { Ok(false) };
        };
        self.trailer_bytes += end + 1;
        if self.trailer_bytes > MAX_TRAILERS {
            return Err(DecodeError::HeadTooLarge);
        }
        let is_last = matches!(&source[..end], b"" | b"\r");
        source.advance(end + 1);
        if is_last {
            self.state = DecodeState::Finished;
        }
        Ok(true)
    }

    /// Handles an orderly close of the connection.
    fn on_eof<Head>(&mut self, source: &BytesMut) -> Result<Option<Frame<Head>>, DecodeError> {
        match self.state {
            DecodeState::UntilClose => {
                self.state = DecodeState::Head;
                Ok(Some(Frame::End))
            }
            DecodeState::Head if source.is_empty() => Ok(None),
            _ => Err(DecodeError::Incomplete),
        }
    }
}

/// Up to `max` bytes; `None` when `source` is empty.
fn take_up_to(source: &mut BytesMut, max: u64) -> Option<Bytes> {
    let length = usize::try_from(max).unwrap_or(usize::MAX).min(source.len());
    (length > 0).then(|| source.split_to(length).freeze())
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
        if self.body.state == DecodeState::Head {
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
        if self.body.state == DecodeState::Head { self.head(source) } else { self.body.next(source) }
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

/// Skips empty lines before a request line, as RFC 9112 recommends.
fn skip_empty_lines(source: &mut BytesMut) {
    let empty = source.iter().take_while(|&&byte| byte == b'\r' || byte == b'\n').count();
    source.advance(empty);
}

/// Length of the head at the start of `source`; `None` while it is incomplete.
fn head_length(source: &BytesMut, max: usize) -> Result<Option<usize>, DecodeError> {
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
fn check_whole(parsed: httparse::Status<usize>, length: usize) -> Result<(), DecodeError> {
    if parsed == httparse::Status::Complete(length) { Ok(()) } else { Err(DecodeError::Malformed("head")) }
}

/// Rejects bytes that can't start a message at once, before a complete head has arrived.
fn check_start(source: &BytesMut) -> Result<Option<usize>, DecodeError> {
    let printable = source.iter().take(8).all(|byte| byte.is_ascii_graphic() || *byte == b' ');
    if printable { Ok(None) } else { Err(DecodeError::Malformed("start")) }
}
