//! Offers a request to the gate on another machine.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures::{SinkExt, StreamExt};
use olivegate_types::{InstanceName, Refusal};
use tokio::time::Instant;

use crate::gate_protocol::{self, EdgeMessage, GateMessage, GateStream, Offer, SILENCE_LIMIT, SUSPECT_AFTER};
use crate::reply::{Body, BodyStream, Failure, FailureReason, GateReply, IncompleteBody, Load, Response};
use crate::state::Node;
use olivegate_clock as clock;

/// A gate's reply and its load, where it told that.
pub struct RemoteReply {
    /// The reply.
    pub reply: GateReply,
    /// The gate's load.
    pub load: Option<Load>,
}

impl From<Failure> for RemoteReply {
    fn from(failure: Failure) -> Self {
        RemoteReply { reply: GateReply::Failed(failure), load: None }
    }
}

/// Offers a request and waits for what becomes of it. A request that may run only once and
/// was confirmed is not given up when the gate falls silent: nothing better can be done with
/// it than wait.
pub async fn offer(node: &Rc<Node>, address: SocketAddr, offer: Offer, body: Option<BodyStream>) -> RemoteReply {
    let Ok(stream) = node.gate_connections.connection(address).await else {
        return Failure::not_sent(FailureReason::GateLost).into();
    };
    let instance = offer.instance.clone();
    let progress = Progress { needs_confirmation: offer.needs_confirmation, confirmed: false, heard: false };
    let mut exchange = Exchange { node, instance, stream, sending: body, progress };
    let message = EdgeMessage::Offer(Box::new(offer));
    if exchange.send(message).await.is_err() {
        return exchange.progress.failure(FailureReason::GateLost).into();
    }
    match exchange.reply().await {
        Ok(message) => {
            let whole_request = exchange.sending.is_none();
            take_reply(node, address, exchange.stream, message, whole_request)
        }
        Err(failure) => failure.into(),
    }
}

/// How far an offer has come, as the edge knows.
#[derive(Debug, Clone, Copy)]
struct Progress {
    needs_confirmation: bool,
    confirmed: bool,
    /// The gate said something about the offer.
    heard: bool,
}

impl Progress {
    /// What is sure when the exchange fails now.
    fn failure(self, reason: FailureReason) -> Failure {
        if self.needs_confirmation && !self.confirmed {
            return Failure::not_sent(reason);
        }
        // A gate that lives says so in time; one that said nothing has not passed it on.
        let arrived = self.heard || reason != FailureReason::GateSilent;
        Failure { reason, may_have_run: true, arrived }
    }

    /// A body follows the confirmation, where one is needed: the gate reads it only then.
    fn takes_body(self) -> bool {
        !self.needs_confirmation || self.confirmed
    }

    fn patience(self) -> Duration {
        if self.needs_confirmation && self.confirmed { Duration::from_secs(3_600) } else { SILENCE_LIMIT }
    }
}

/// One offer on its connection.
struct Exchange<'a> {
    node: &'a Node,
    instance: InstanceName,
    stream: GateStream,
    sending: Option<BodyStream>,
    progress: Progress,
}

impl Exchange<'_> {
    async fn send(&mut self, message: EdgeMessage) -> std::io::Result<()> {
        self.stream.send(gate_protocol::encode(&message)).await
    }

    /// The gate's reply; sends the body meanwhile and confirms when a slot is granted.
    async fn reply(&mut self) -> Result<GateMessage, Failure> {
        let mut silent_since = Instant::now();
        loop {
            let suspect_at = silent_since + SUSPECT_AFTER;
            let is_suspected = Instant::now() >= suspect_at;
            let limit = if is_suspected { silent_since + self.progress.patience() } else { suspect_at };
            tokio::select! {
                biased;
                frame = self.stream.next() => {
                    silent_since = Instant::now();
                    self.progress.heard = true;
                    match self.message_of(frame)? {
                        GateMessage::Progress => {}
                        GateMessage::Granted => self.confirm().await?,
                        message => return Ok(message),
                    }
                }
                piece = next_piece(&mut self.sending), if self.progress.takes_body() => {
                    self.send_piece(piece).await?;
                }
                () = tokio::time::sleep_until(limit) => {
                    if is_suspected {
                        return Err(self.progress.failure(FailureReason::GateSilent));
                    }
                    self.node.balancer.borrow_mut().on_silence(&self.instance, clock::now());
                }
            }
        }
    }

    fn message_of(&self, frame: Option<std::io::Result<BytesMut>>) -> Result<GateMessage, Failure> {
        let lost = || self.progress.failure(FailureReason::GateLost);
        let frame = frame.and_then(Result::ok).ok_or_else(lost)?;
        gate_protocol::decode(&frame).map_err(|_| lost())
    }

    async fn confirm(&mut self) -> Result<(), Failure> {
        self.progress.confirmed = true;
        let sent = self.send(EdgeMessage::Confirm).await;
        sent.map_err(|_| self.progress.failure(FailureReason::GateLost))
    }

    async fn send_piece(&mut self, piece: Option<Result<Bytes, IncompleteBody>>) -> Result<(), Failure> {
        let message = match piece {
            Some(Ok(data)) => EdgeMessage::Data(data),
            Some(Err(IncompleteBody)) => return Err(Failure::unknown(FailureReason::RequestBroken)),
            None => {
                self.sending = None;
                EdgeMessage::End
            }
        };
        // A gate that has replied already may have closed; its reply is read next.
        let _ = self.send(message).await;
        Ok(())
    }
}

async fn next_piece(body: &mut Option<BodyStream>) -> Option<Result<Bytes, IncompleteBody>> {
    match body {
        Some(pieces) => pieces.next().await,
        None => futures::future::pending().await,
    }
}

fn take_reply(
    node: &Rc<Node>,
    address: SocketAddr,
    stream: GateStream,
    message: GateMessage,
    whole_request: bool,
) -> RemoteReply {
    let keep = |stream| {
        if whole_request {
            node.gate_connections.keep(address, stream);
        }
    };
    match message {
        GateMessage::Refused { reason, retry_after_ms, successor, load } => {
            keep(stream);
            let refusal = Refusal::new(reason, Duration::from_millis(u64::from(retry_after_ms)));
            RemoteReply { reply: GateReply::Refused { refusal, successor }, load: Some(load) }
        }
        GateMessage::Failed { failure, load } => {
            keep(stream);
            RemoteReply { reply: GateReply::Failed(failure), load: Some(load) }
        }
        GateMessage::Answered { head, body: Some(bytes), fault, load, .. } => {
            keep(stream);
            let answer = Response { head, body: Body::Whole(bytes), fault };
            RemoteReply { reply: GateReply::Answered(answer), load: Some(load) }
        }
        GateMessage::Answered { head, body: None, length, fault, load } => {
            let answer = Response { head, body: Body::Stream(streamed_body(stream), length), fault };
            RemoteReply { reply: GateReply::Answered(answer), load: Some(load) }
        }
        _ => Failure::unknown(FailureReason::GateLost).into(),
    }
}

/// The pieces that follow on the connection, which ends with them.
fn streamed_body(stream: GateStream) -> BodyStream {
    let pieces = futures::stream::unfold(Some(stream), |state| async move {
        let mut stream = state?;
        let message = match stream.next().await {
            Some(Ok(frame)) => gate_protocol::decode(&frame).ok(),
            _ => None,
        };
        match message {
            Some(GateMessage::Data(data)) => Some((Ok(data), Some(stream))),
            Some(GateMessage::End) => None,
            _ => Some((Err(IncompleteBody), None)),
        }
    });
    pieces.boxed_local()
}
