//! Bodies of calls and answers.

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

/// Any body that a node passes on, never collected as a whole unless it is small.
pub type AnyBody = UnsyncBoxBody<Bytes, NodeError>;

/// A body of the given bytes.
pub fn full(bytes: impl Into<Bytes>) -> AnyBody {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// A body without content.
pub fn empty() -> AnyBody {
    Empty::new().map_err(|never| match never {}).boxed_unsync()
}

/// Any body of hyper's.
pub fn incoming(body: hyper::body::Incoming) -> AnyBody {
    body.map_err(|_| NodeError::Body).boxed_unsync()
}

/// A streamed body that holds `guard` until its end and must end before a point in time.
///
/// The guard is a slot, a ledger account or the like: dropping the body, because it
/// ended or because the receiver went away, releases it. A body that runs out of time
/// ends with an error, which breaks the connection, so that a part never looks whole.
pub struct GuardedBody<G> {
    inner: AnyBody,
    guard: Option<G>,
    until: Pin<Box<Sleep>>,
}

impl<G> GuardedBody<G> {
    /// Guards `inner` until it ends, `until` at the latest.
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
