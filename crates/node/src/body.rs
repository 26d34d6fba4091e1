//! Bodies of requests and responses.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Empty, Full};
use olivegate_types::Moment;
use tokio::time::Sleep;

use crate::error::NodeError;
use olivegate_clock as clock;

/// A body that a node forwards. It is streamed; only small bodies are ever buffered as a whole.
pub type AnyBody = UnsyncBoxBody<Bytes, NodeError>;

/// A body with the given bytes.
pub fn full(bytes: impl Into<Bytes>) -> AnyBody {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// An empty body.
pub fn empty() -> AnyBody {
    Empty::new().map_err(|never| match never {}).boxed_unsync()
}

/// A body received from a peer.
pub fn incoming(body: hyper::body::Incoming) -> AnyBody {
    body.map_err(|_| NodeError::Body).boxed_unsync()
}

/// A streamed body that holds `guard` until it ends and fails if it has not ended by a point in time.
///
/// The guard is a slot, a retry account or the like. It is released when the body ends or
/// fails, and when the body is dropped because the receiver has gone away. A body that runs
/// out of time ends with an error, which closes the connection, so that the receiver never
/// takes a truncated body for a complete one.
pub struct GuardedBody<G> {
    inner: AnyBody,
    guard: Option<G>,
    until: Pin<Box<Sleep>>,
}

impl<G> GuardedBody<G> {
    /// Holds `guard` until `inner` ends, at most until `until`.
    pub fn new(inner: AnyBody, guard: G, until: Moment) -> Self {
        let until = Box::pin(tokio::time::sleep_until(clock::instant_of(until)));
        GuardedBody { inner, guard: Some(guard), until }
    }
}

impl<G: Unpin> Body for GuardedBody<G> {
    type Data = Bytes;
    type Error = NodeError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, NodeError>>> {
        let polled = Pin::new(&mut self.inner).poll_frame(context);
        match polled {
            Poll::Ready(None) | Poll::Ready(Some(Err(_))) => self.guard = None,
            Poll::Ready(Some(Ok(_))) => {
                if self.inner.is_end_stream() {
                    self.guard = None;
                }
            }
            Poll::Pending => {
                if self.until.as_mut().poll(context).is_ready() {
                    self.guard = None;
                    return Poll::Ready(Some(Err(NodeError::Body)));
                }
            }
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
