//! Assembles requests from the frames of a connection.

use bytes::{BufMut, BytesMut};
use olivegate_http1::{BodyLength, Frame, RequestHead};
use tokio::sync::oneshot;

use crate::body_channel::{BodySender, body_channel};
use crate::local_response::LocalResponse;
use crate::reply::Body;

/// A body up to this size is buffered completely before the request is handled.
const MAX_BUFFERED_BODY_BYTES: usize = 64 * 1024;

/// The response to a request whose body is rejected while it arrives.
pub struct Rejection {
    /// The response.
    pub response: LocalResponse,
    /// Keeps the body open until the request is dropped, so that it is cancelled and does not fail.
    _body: BodySender,
}

/// A request that is ready to be handled.
pub struct AssembledRequest {
    /// The request head.
    pub head: RequestHead,
    /// Its body, either complete or still arriving.
    pub body: Body,
    /// Receives the response if the rest of the body is rejected.
    pub rejection: Option<oneshot::Receiver<Rejection>>,
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
    /// Passing on a longer body while it arrives.
    Streaming {
        /// Where the body is sent.
        body: BodySender,
        /// Sends the response if the rest of the body is rejected.
        rejection: oneshot::Sender<Rejection>,
    },
    /// The body has arrived completely, and its end waits to be passed on.
    Ending {
        /// Where the body is sent.
        body: BodySender,
    },
}

impl RequestAssembler {
    /// True between requests.
    pub fn is_idle(&self) -> bool {
        matches!(self, RequestAssembler::Idle)
    }

    /// True while more of a longer body is to arrive.
    pub fn is_streaming(&self) -> bool {
        matches!(self, RequestAssembler::Streaming { .. })
    }

    /// True while a part of a body waits to be passed on; nothing more may be read then.
    pub fn is_blocked(&self) -> bool {
        match self {
            RequestAssembler::Idle | RequestAssembler::Buffering { .. } => false,
            RequestAssembler::Streaming { body, .. } | RequestAssembler::Ending { body } => body.is_blocked(),
        }
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
                Some(AssembledRequest { head, body: Body::Whole(body.freeze()), rejection: None })
            }
            (RequestAssembler::Buffering { head, length, mut body }, Frame::Data(data)) => {
                body.put_slice(&data);
                if body.len() <= MAX_BUFFERED_BODY_BYTES {
                    *self = RequestAssembler::Buffering { head, length, body };
                    return None;
                }
                Some(self.start_streaming(head, length, body))
            }
            (RequestAssembler::Streaming { mut body, rejection }, Frame::Data(data)) => {
                body.send(data);
                *self = RequestAssembler::Streaming { body, rejection };
                None
            }
            (RequestAssembler::Streaming { mut body, .. }, Frame::End) => {
                body.finish();
                if body.is_blocked() {
                    *self = RequestAssembler::Ending { body };
                }
                None
            }
            // Frames that are invalid in this state.
            _ => None,
        }
    }

    /// Starts to pass on a body that is too long to be buffered.
    fn start_streaming(&mut self, head: RequestHead, length: Option<u64>, first: BytesMut) -> AssembledRequest {
        let (mut sender, stream) = body_channel();
        sender.send(first.freeze());
        let (rejection, rejected) = oneshot::channel();
        *self = RequestAssembler::Streaming { body: sender, rejection };
        AssembledRequest { head, body: Body::Stream(stream, length), rejection: Some(rejected) }
    }

    /// Abandons the request whose input is rejected. Returns false if none was handed out whose body is still
    /// arriving; otherwise `response` becomes its response.
    pub fn reject(&mut self, response: LocalResponse) -> bool {
        match std::mem::take(self) {
            RequestAssembler::Streaming { body, rejection } => {
                // A request that has just been answered takes no other response.
                let _ = rejection.send(Rejection { response, _body: body });
                true
            }
            _ => false,
        }
    }

    /// Passes on the waiting part of a body; never completes when there is none.
    pub async fn forward_waiting(&mut self) {
        match self {
            RequestAssembler::Idle | RequestAssembler::Buffering { .. } => futures::future::pending().await,
            RequestAssembler::Streaming { body, .. } => body.forward_waiting().await,
            RequestAssembler::Ending { body } => {
                body.forward_waiting().await;
                *self = RequestAssembler::Idle;
            }
        }
    }
}
