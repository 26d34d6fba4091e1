//! Passes on the body of a request while it still arrives.
//!
//! The end of the body is a message of its own. Whatever else ends the channel, such as a client that leaves or
//! sends malformed input, a body over the limit or a lost connection, leaves the body incomplete.

use bytes::Bytes;
use futures::StreamExt;
use tokio::sync::mpsc;
use tokio::sync::mpsc::error::TrySendError;

use crate::reply::{BodyStream, IncompleteBody};

/// Maximum number of parts of a body that are queued for sending.
const MAX_QUEUED_PARTS: usize = 4;

/// A part of a body.
#[derive(Debug)]
enum BodyPart {
    Chunk(Bytes),
    /// The body is complete.
    End,
}

/// Sends a body. Dropping it before [`BodySender::finish`] leaves the body incomplete.
#[derive(Debug)]
pub struct BodySender {
    /// `None` once the body is complete or nobody reads it any more.
    sender: Option<mpsc::Sender<BodyPart>>,
    /// A part that waits for room in the queue.
    waiting: Option<BodyPart>,
}

/// A sender of a body, and the body as it arrives.
pub fn body_channel() -> (BodySender, BodyStream) {
    let (sender, receiver) = mpsc::channel(MAX_QUEUED_PARTS);
    (BodySender { sender: Some(sender), waiting: None }, body_stream(receiver))
}

fn body_stream(receiver: mpsc::Receiver<BodyPart>) -> BodyStream {
    let chunks = futures::stream::unfold(Some(receiver), |state| async move {
        let mut receiver = state?;
        match receiver.recv().await {
            Some(BodyPart::Chunk(chunk)) => Some((Ok(chunk), Some(receiver))),
            Some(BodyPart::End) => None,
            None => Some((Err(IncompleteBody), None)),
        }
    });
    chunks.boxed_local()
}

impl BodySender {
    /// True while a part waits for room in the queue; nothing more may be sent then.
    pub fn is_blocked(&self) -> bool {
        self.waiting.is_some()
    }

    /// Sends a chunk. One that nobody reads any more is discarded.
    pub fn send(&mut self, chunk: Bytes) {
        self.push(BodyPart::Chunk(chunk));
    }

    /// Marks the body as complete.
    pub fn finish(&mut self) {
        self.push(BodyPart::End);
    }

    fn push(&mut self, part: BodyPart) {
        let Some(sender) = &self.sender else { return };
        let is_end = matches!(part, BodyPart::End);
        match sender.try_send(part) {
            Ok(()) if is_end => self.sender = None,
            Ok(()) => {}
            Err(TrySendError::Full(part)) => self.waiting = Some(part),
            Err(TrySendError::Closed(_)) => self.sender = None,
        }
    }

    /// Passes on the waiting part once there is room; never completes when there is none.
    pub async fn forward_waiting(&mut self) {
        let (Some(sender), true) = (&self.sender, self.waiting.is_some()) else {
            return futures::future::pending().await;
        };
        let permit = sender.reserve().await;
        let waiting = self.waiting.take();
        let is_end = matches!(waiting, Some(BodyPart::End));
        let is_read = match (permit, waiting) {
            (Ok(permit), Some(part)) => {
                permit.send(part);
                true
            }
            (Ok(_), None) => true,
            (Err(_), _) => false,
        };
        if is_end || !is_read {
            self.sender = None;
        }
    }
}
