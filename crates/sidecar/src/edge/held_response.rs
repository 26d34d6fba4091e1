//! Holds a streamed response until it is complete while further requests of its connection wait behind it.
//!
//! A response that breaks off after a part of it was written can only be told by closing the connection, and
//! with it go the responses behind it, whose requests have been passed on. While it is held, it can still be
//! replaced by a failure.

use std::cell::Cell;
use std::rc::Rc;

use bytes::{BufMut, Bytes, BytesMut};
use futures::StreamExt;

use crate::reply::{Body, BodyStream, IncompleteBody, Response};

/// Maximum size of a response that is held, in bytes. Larger ones are passed on while they arrive.
const MAX_HELD_RESPONSE_BYTES: usize = 1 << 20;

/// Limits the bytes that all held responses of a node occupy together.
#[derive(Debug)]
pub struct HeldBytes {
    max: usize,
    used: Cell<usize>,
}

/// The bytes of one held response, until it has been written.
#[derive(Debug)]
pub struct HeldBytesGuard {
    held: Rc<HeldBytes>,
    bytes: usize,
}

impl HeldBytes {
    /// Allows at most `max` bytes.
    pub fn new(max: usize) -> Rc<Self> {
        Rc::new(HeldBytes { max, used: Cell::new(0) })
    }
}

impl HeldBytesGuard {
    fn new(held: Rc<HeldBytes>) -> Self {
        HeldBytesGuard { held, bytes: 0 }
    }

    /// Reserves more bytes; false if there is no room for them.
    fn reserve(&mut self, bytes: usize) -> bool {
        let used = self.held.used.get() + bytes;
        if self.bytes + bytes > MAX_HELD_RESPONSE_BYTES || used > self.held.max {
            return false;
        }
        self.held.used.set(used);
        self.bytes += bytes;
        true
    }
}

impl Drop for HeldBytesGuard {
    fn drop(&mut self) {
        self.held.used.set(self.held.used.get() - self.bytes);
    }
}

/// A response that was held as far as there was room.
pub struct HeldResponse {
    /// The response; an error if its body broke off while it was held.
    pub response: Result<Response, IncompleteBody>,
    /// Its bytes, to be kept until it is written.
    pub bytes: HeldBytesGuard,
}

/// Holds `response` until its body is complete, or too large.
pub async fn hold(response: Response, held: Rc<HeldBytes>) -> HeldResponse {
    let mut bytes = HeldBytesGuard::new(held);
    let Response { head, body, fault } = response;
    let body = match body {
        Body::Whole(content) => Ok(Body::Whole(content)),
        Body::Stream(chunks, length) => collect(chunks, length, &mut bytes).await,
    };
    HeldResponse { response: body.map(|body| Response { head, body, fault }), bytes }
}

async fn collect(
    mut chunks: BodyStream,
    length: Option<u64>,
    bytes: &mut HeldBytesGuard,
) -> Result<Body, IncompleteBody> {
    let mut collected = BytesMut::new();
    while let Some(chunk) = chunks.next().await {
        let chunk = chunk?;
        let has_room = bytes.reserve(chunk.len());
        collected.put_slice(&chunk);
        if !has_room {
            return Ok(Body::Stream(chained(collected.freeze(), chunks), length));
        }
    }
    Ok(Body::Whole(collected.freeze()))
}

fn chained(first: Bytes, rest: BodyStream) -> BodyStream {
    futures::stream::once(async move { Ok(first) }).chain(rest).boxed_local()
}
