//! Ends a response whose instance is slow or silent in the middle of the body at its deadline.

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

/// The body, broken off if the instance keeps the client waiting for it after the deadline.
pub fn end_at_deadline(body: Body, deadline: Moment) -> Body {
    match body {
        Body::Whole(bytes) => Body::Whole(bytes),
        Body::Stream(chunks, length) => {
            let deadline = clock::instant_of(deadline);
            Body::Stream(TimedBody { chunks, deadline, wait_left: MAX_WAIT_AFTER_DEADLINE }.into_stream(), length)
        }
    }
}

/// A body with the time for which it may still be waited for.
struct TimedBody {
    chunks: BodyStream,
    deadline: Instant,
    wait_left: Duration,
}

impl TimedBody {
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
        self.wait_left = self.wait_left.saturating_sub(Instant::now().saturating_duration_since(began));
        chunk.unwrap_or(Some(Err(IncompleteBody)))
    }
}
