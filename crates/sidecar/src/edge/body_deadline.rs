//! Ends a response whose instance is slow or silent in the middle of the body, or sends it without end, at its
//! deadline.

use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use olivegate_types::Moment;
use tokio::time::Instant;

use crate::reply::{Body, BodyStream, IncompleteBody};
use olivegate_clock as clock;

/// Total time after the deadline for which more of a body is waited for. Data that is there already, because
/// the client reads slowly, takes no such time.
const MAX_WAIT_AFTER_DEADLINE: Duration = Duration::from_millis(300);

/// Maximum size of what is passed on after the deadline, in bytes. A client that reads slowly still gets what was
/// there in time; a body that goes on for longer has no end that its client waits for.
const MAX_BYTES_AFTER_DEADLINE: usize = 64 << 20;
/// Size that a smaller chunk counts as, in bytes: passing on a chunk takes work, however small it is.
const MIN_CHUNK_BYTES: usize = 1 << 10;

/// The body, broken off if the instance keeps the client waiting for it after the deadline, or does not end it.
pub fn end_at_deadline(body: Body, deadline: Moment) -> Body {
    match body {
        Body::Whole(bytes) => Body::Whole(bytes),
        Body::Stream(chunks, length) => {
            let deadline = clock::instant_of(deadline);
            Body::Stream(TimedBody::new(chunks, deadline).into_stream(), length)
        }
    }
}

/// A body with what is left of its limits after the deadline.
struct TimedBody {
    chunks: BodyStream,
    deadline: Instant,
    /// Time for which it may still be waited for.
    wait_left: Duration,
    /// Bytes that may still be passed on.
    bytes_left: usize,
}

impl TimedBody {
    fn new(chunks: BodyStream, deadline: Instant) -> Self {
        let (wait_left, bytes_left) = (MAX_WAIT_AFTER_DEADLINE, MAX_BYTES_AFTER_DEADLINE);
        TimedBody { chunks, deadline, wait_left, bytes_left }
    }

    fn into_stream(self) -> BodyStream {
        let chunks = futures::stream::unfold(Some(self), |state| async move {
            let mut body = state?;
            match body.next().await {
                Some(Ok(chunk)) => Some((Ok(chunk), Some(body))),
                Some(Err(error)) => Some((Err(error), None)),
                None => None,
            }
        });
        chunks.boxed_local()
    }

    async fn next(&mut self) -> Option<Result<Bytes, IncompleteBody>> {
        let began = Instant::now().max(self.deadline);
        let chunk = tokio::time::timeout_at(began + self.wait_left, self.chunks.next()).await;
        let now = Instant::now();
        self.wait_left = self.wait_left.saturating_sub(now.saturating_duration_since(began));
        let chunk = chunk.unwrap_or(Some(Err(IncompleteBody)))?;
        Some(chunk.and_then(|chunk| self.count(chunk, now)))
    }

    /// The chunk, unless more than the limit came after the deadline.
    fn count(&mut self, chunk: Bytes, now: Instant) -> Result<Bytes, IncompleteBody> {
        if now >= self.deadline {
            let bytes = chunk.len().max(MIN_CHUNK_BYTES);
            self.bytes_left = self.bytes_left.checked_sub(bytes).ok_or(IncompleteBody)?;
        }
        Ok(chunk)
    }
}
