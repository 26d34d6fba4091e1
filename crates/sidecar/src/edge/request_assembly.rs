//! Assembles requests from the frames of a connection.

use bytes::{BufMut, Bytes, BytesMut};
use futures::StreamExt;
use olivegate_http1::{BodyLength, Frame, RequestHead};
use tokio::sync::mpsc;

use crate::reply::{Body, BodyStream, IncompleteBody};

/// A body up to this size is buffered completely before the request is handled.
const MAX_BUFFERED_BODY_BYTES: usize = 64 * 1024;
/// Maximum number of chunks of a longer body that are queued for sending.
const MAX_QUEUED_CHUNKS: usize = 4;

/// Sender of a body's chunks; dropping it marks the body as complete. Code that abandons a request must drop
/// the request before this sender.
pub type ChunkSender = mpsc::Sender<Result<Bytes, IncompleteBody>>;

/// A request that is ready to be handled.
pub struct AssembledRequest {
    /// The request head.
    pub head: RequestHead,
    /// Its body, either complete or still arriving.
    pub body: Body,
}

/// State of assembling one request after the other.
#[derive(Default)]
pub enum RequestAssembler {
    /// Between requests.
    #[default]
    Idle,
    /// Buffering a body.
    Buffering {
        /// The request head.
        head: RequestHead,
        /// Length of the body, if known.
        length: Option<u64>,
        /// The part of the body read so far.
        body: BytesMut,
    },
    /// Passing on a longer body chunk by chunk.
    Streaming {
        /// Where the chunks are sent; `None` once the receiver is gone.
        sender: Option<ChunkSender>,
        /// A chunk that waits for space in the queue.
        pending: Option<Bytes>,
    },
}

/// The chunks from `receiver` as a body.
pub fn body_stream(receiver: mpsc::Receiver<Result<Bytes, IncompleteBody>>) -> BodyStream {
    futures::stream::unfold(receiver, |mut receiver| async move {
        receiver.recv().await.map(|chunk| (chunk, receiver))
    })
    .boxed_local()
}

impl RequestAssembler {
    /// True between requests.
    pub fn is_idle(&self) -> bool {
        matches!(self, RequestAssembler::Idle)
    }

    /// True while a chunk waits for space in the queue; nothing more may be read then.
    pub fn is_blocked(&self) -> bool {
        matches!(self, RequestAssembler::Streaming { pending: Some(_), .. })
    }

    /// Processes the next frame; returns the request once it can be handled.
    pub fn accept(&mut self, frame: Frame<RequestHead>) -> Option<AssembledRequest> {
        match (std::mem::take(self), frame) {
            (RequestAssembler::Idle, Frame::Head(head, length)) => {
                let length = match length {
                    BodyLength::Known(length) => Some(length),
                    _ => None,
                };
                *self = RequestAssembler::Buffering { head, length, body: BytesMut::new() };
                None
            }
            (RequestAssembler::Buffering { head, body, .. }, Frame::End) => {
                Some(AssembledRequest { head, body: Body::Whole(body.freeze()) })
            }
            (RequestAssembler::Buffering { head, length, mut body }, Frame::Data(data)) => {
                body.put_slice(&data);
                if body.len() <= MAX_BUFFERED_BODY_BYTES {
                    *self = RequestAssembler::Buffering { head, length, body };
                    return None;
                }
                let (sender, receiver) = mpsc::channel(MAX_QUEUED_CHUNKS);
                *self = RequestAssembler::Streaming { sender: Some(sender), pending: Some(body.freeze()) };
                Some(AssembledRequest { head, body: Body::Stream(body_stream(receiver), length) })
            }
            (RequestAssembler::Streaming { sender, .. }, Frame::Data(data)) => {
                let pending = sender.is_some().then_some(data);
                *self = RequestAssembler::Streaming { sender, pending };
                None
            }
            // The end of a longer body, and frames that are invalid in this state.
            _ => None,
        }
    }

    /// Passes on the waiting chunk; never completes when there is none.
    pub async fn forward_pending(&mut self) {
        let RequestAssembler::Streaming { sender: Some(sender), pending } = self else {
            return futures::future::pending().await;
        };
        if let Ok(permit) = sender.reserve().await {
            if let Some(chunk) = pending.take() {
                permit.send(Ok(chunk));
            }
            return;
        }
        *self = RequestAssembler::Streaming { sender: None, pending: None };
    }
}
