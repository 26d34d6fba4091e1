//! Reads the bodies of messages for the decoders of requests and of responses.

use bytes::{Buf, Bytes, BytesMut};

use crate::body::BodyLength;
use crate::decode::Frame;
use crate::error::DecodeError;

/// Maximum length of a chunk size line, in bytes.
const MAX_CHUNK_LINE: usize = 1024;
/// Maximum length of all trailer lines together, in bytes.
const MAX_TRAILERS: usize = 16 * 1024;

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

/// Reads message bodies for both decoders.
#[derive(Debug)]
pub(crate) struct BodyReader {
    state: DecodeState,
    trailer_bytes: usize,
}

impl BodyReader {
    pub fn new() -> Self {
        BodyReader { state: DecodeState::Head, trailer_bytes: 0 }
    }

    /// True where the head of the next message is to be read.
    pub fn is_between_messages(&self) -> bool {
        self.state == DecodeState::Head
    }

    /// Begins a body of this length.
    pub fn start(&mut self, length: BodyLength) {
        self.state = body_state(length);
        self.trailer_bytes = 0;
    }

    /// The next frame of the body; call only after [`BodyReader::start`].
    pub fn next<Head>(&mut self, source: &mut BytesMut) -> Result<Option<Frame<Head>>, DecodeError> {
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
    pub fn on_eof<Head>(&mut self, source: &BytesMut) -> Result<Option<Frame<Head>>, DecodeError> {
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
