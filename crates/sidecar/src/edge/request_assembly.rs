//! Takes a client's request from the pieces of its message.

use bytes::{BufMut, Bytes, BytesMut};
use futures::StreamExt;
use olivegate_http1::{BodyLength, Frame, RequestHead};
use tokio::sync::mpsc;

use crate::reply::{Body, BodyStream, IncompleteBody};

/// A body up to this size is read whole before the request goes on.
const WHOLE_BODY_BYTES: usize = 64 * 1024;
/// Pieces of a longer body that may wait to be sent on.
const BODY_PIECES: usize = 4;

/// Sender of a body's pieces; the body is whole when it is dropped. Whoever gives a request
/// up drops the request before this sender.
pub type PieceSender = mpsc::Sender<Result<Bytes, IncompleteBody>>;

/// A request that can go on.
pub struct TakenRequest {
    /// Its head.
    pub head: RequestHead,
    /// Its body, whole or still coming.
    pub body: Body,
}

/// State of reading one request after the other.
#[derive(Default)]
pub enum Intake {
    /// Between requests.
    #[default]
    Idle,
    /// Reading a body whole.
    Buffering {
        /// The request's head.
        head: RequestHead,
        /// Length of its body, where that is known.
        length: Option<u64>,
        /// What has been read.
        body: BytesMut,
    },
    /// Handing on a longer body.
    Feeding {
        /// Where its pieces go; `None` when nobody wants them any more.
        sender: Option<PieceSender>,
        /// A piece that waits for room.
        waiting: Option<Bytes>,
    },
}

/// The pieces that arrive in `receiver`, as a body.
pub fn body_stream(receiver: mpsc::Receiver<Result<Bytes, IncompleteBody>>) -> BodyStream {
    futures::stream::unfold(receiver, |mut receiver| async move {
        receiver.recv().await.map(|piece| (piece, receiver))
    })
    .boxed_local()
}

impl Intake {
    /// True between requests.
    pub fn is_idle(&self) -> bool {
        matches!(self, Intake::Idle)
    }

    /// True while a piece waits for room: nothing more may be read.
    pub fn is_full(&self) -> bool {
        matches!(self, Intake::Feeding { waiting: Some(_), .. })
    }

    /// Takes the next piece of a message; a request once it can go on.
    pub fn accept(&mut self, frame: Frame<RequestHead>) -> Option<TakenRequest> {
        match (std::mem::take(self), frame) {
            (Intake::Idle, Frame::Head(head, length)) => {
                let length = match length {
                    BodyLength::Known(length) => Some(length),
                    _ => None,
                };
                *self = Intake::Buffering { head, length, body: BytesMut::new() };
                None
            }
            (Intake::Buffering { head, body, .. }, Frame::End) => {
                Some(TakenRequest { head, body: Body::Whole(body.freeze()) })
            }
            (Intake::Buffering { head, length, mut body }, Frame::Data(data)) => {
                body.put_slice(&data);
                if body.len() <= WHOLE_BODY_BYTES {
                    *self = Intake::Buffering { head, length, body };
                    return None;
                }
                let (sender, receiver) = mpsc::channel(BODY_PIECES);
                *self = Intake::Feeding { sender: Some(sender), waiting: Some(body.freeze()) };
                Some(TakenRequest { head, body: Body::Stream(body_stream(receiver), length) })
            }
            (Intake::Feeding { sender, .. }, Frame::Data(data)) => {
                let waiting = sender.is_some().then_some(data);
                *self = Intake::Feeding { sender, waiting };
                None
            }
            // The end of a longer body, and what can't follow here.
            _ => None,
        }
    }

    /// Hands the piece that waits on; never ends when none waits.
    pub async fn make_room(&mut self) {
        let Intake::Feeding { sender: Some(feeding), waiting } = self else {
            return futures::future::pending().await;
        };
        if let Ok(permit) = feeding.reserve().await {
            if let Some(piece) = waiting.take() {
                permit.send(Ok(piece));
            }
            return;
        }
        *self = Intake::Feeding { sender: None, waiting: None };
    }
}
