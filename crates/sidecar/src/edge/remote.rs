//! Offers a request to the gate on another machine.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures::{SinkExt, StreamExt};
use olivegate_types::{InstanceName, Refusal};
use tokio::time::Instant;

use crate::edge::connection_check::ConnectionCheck;
use crate::edge::gate_connection_pool::GateConnection;
use crate::gate_protocol::{self, EdgeMessage, GateMessage, GateStream, Offer, SILENCE_LIMIT, SUSPECT_AFTER};
use crate::reply::{Body, BodyStream, Failure, FailureReason, GateReply, IncompleteBody, Load, Response};
use crate::signature;
use crate::state::Node;
use olivegate_clock as clock;

/// A gate's reply and its load, if it reported one.
pub struct RemoteReply {
    /// The reply.
    pub reply: GateReply,
    /// The gate's load.
    pub load: Option<Load>,
    /// The failure of an offer before the one that got the reply, on a connection that had failed silently.
    pub unanswered: Option<Failure>,
}

impl From<Failure> for RemoteReply {
    fn from(failure: Failure) -> Self {
        RemoteReply { reply: GateReply::Failed(failure), load: None, unanswered: None }
    }
}

/// Offers a request and waits for the reply. A confirmed request that may run only once is not abandoned when
/// the gate stops responding: it can't be retried, so waiting is the best option. If a reused connection turns
/// out to have failed silently, the request is offered once more over a new one, provided that
/// `may_offer_again`.
pub async fn offer(
    node: &Rc<Node>,
    address: SocketAddr,
    offer: Offer,
    body: Option<BodyStream>,
    may_offer_again: bool,
) -> RemoteReply {
    let Ok(connection) = node.gate_connections.connection(address).await else {
        return Failure::not_sent(FailureReason::GateLost).into();
    };
    let mut exchange = Exchange::new(node, address, &offer, connection, body);
    let mut message = EdgeMessage::Offer(Box::new(offer));
    let mut result = exchange.run(&message).await;
    let mut unanswered = None;
    if let Err(first) = result
        && first.reason == FailureReason::GateSilent
        && may_offer_again
        && exchange.continue_on_new_connection()
    {
        if let EdgeMessage::Offer(offer) = &mut message {
            offer.reduce_time_left(exchange.began.elapsed());
            offer.is_retry |= first.may_have_run;
        }
        unanswered = Some(first);
        result = exchange.run(&message).await;
    }
    let reply = match result {
        Ok(message) => {
            let request_sent = exchange.unsent_body.is_none();
            to_remote_reply(node, address, exchange.stream, message, request_sent)
        }
        Err(failure) => failure.into(),
    };
    RemoteReply { unanswered, ..reply }
}

/// Progress of an offer, as known to the edge.
#[derive(Debug, Clone, Copy)]
struct OfferProgress {
    needs_confirmation: bool,
    confirmed: bool,
    /// The gate has sent a message about the offer.
    heard_from_gate: bool,
}

impl OfferProgress {
    fn new(needs_confirmation: bool) -> Self {
        OfferProgress { needs_confirmation, confirmed: false, heard_from_gate: false }
    }

    /// The failure to report if the exchange fails now.
    fn failure(self, reason: FailureReason) -> Failure {
        if self.needs_confirmation && !self.confirmed {
            return Failure::not_sent(reason);
        }
        // A running gate sends its first progress message in time; one that has sent nothing has not passed
        // the request on.
        let arrived = self.heard_from_gate || reason != FailureReason::GateSilent;
        Failure { reason, may_have_run: true, arrived }
    }

    /// True when the body may be sent. Where a confirmation is needed, the gate reads the body only after it.
    fn may_send_body(self) -> bool {
        !self.needs_confirmation || self.confirmed
    }

    fn silence_limit(self) -> Duration {
        if self.needs_confirmation && self.confirmed { Duration::from_secs(3_600) } else { SILENCE_LIMIT }
    }
}

/// One offer on its connection.
struct Exchange<'a> {
    node: &'a Node,
    address: SocketAddr,
    instance: InstanceName,
    stream: GateStream,
    unsent_body: Option<BodyStream>,
    body_started: bool,
    progress: OfferProgress,
    check: ConnectionCheck<'a>,
    began: Instant,
}

impl<'a> Exchange<'a> {
    fn new(
        node: &'a Node,
        address: SocketAddr,
        offer: &Offer,
        connection: GateConnection,
        body: Option<BodyStream>,
    ) -> Self {
        Exchange {
            node,
            address,
            instance: offer.instance.clone(),
            stream: connection.stream,
            unsent_body: body,
            body_started: false,
            progress: OfferProgress::new(offer.needs_confirmation),
            check: ConnectionCheck::new(connection.is_reused),
            began: Instant::now(),
        }
    }

    /// Replaces a connection on which nothing was received by the new one on which the gate replied. Returns
    /// false if there is none, or if the request can't be sent again. The gate drops an offer whose connection
    /// the edge closes.
    fn continue_on_new_connection(&mut self) -> bool {
        if self.body_started {
            return false;
        }
        let Some(stream) = self.check.take_new_connection() else { return false };
        self.stream = stream;
        self.progress = OfferProgress::new(self.progress.needs_confirmation);
        true
    }

    /// Offers the request and waits for the reply.
    async fn run(&mut self, offer: &EdgeMessage) -> Result<GateMessage, Failure> {
        let sent = self.send(offer).await;
        sent.map_err(|_| self.progress.failure(FailureReason::GateLost))?;
        self.reply().await
    }

    /// The gate replies on a new connection. If it has sent nothing on this one, this one has failed silently,
    /// and so have most likely those that were idle beside it.
    fn on_gate_replying(&self) {
        if !self.progress.heard_from_gate {
            self.node.metrics.silent_connections.inc();
            self.node.gate_connections.discard_idle_since(self.address, self.began);
        }
    }

    async fn send(&mut self, message: &EdgeMessage) -> std::io::Result<()> {
        self.stream.send(gate_protocol::encode(message)).await
    }

    /// Waits for the gate's reply; meanwhile sends the body, and confirms when a slot is granted.
    async fn reply(&mut self) -> Result<GateMessage, Failure> {
        let mut silent_since = Instant::now();
        loop {
            let suspect_at = silent_since + SUSPECT_AFTER;
            let is_suspected = Instant::now() >= suspect_at;
            let limit = if is_suspected { silent_since + self.progress.silence_limit() } else { suspect_at };
            tokio::select! {
                biased;
                frame = self.stream.next() => {
                    silent_since = Instant::now();
                    self.progress.heard_from_gate = true;
                    match self.message_of(frame)? {
                        GateMessage::Progress => {}
                        GateMessage::Granted => self.confirm().await?,
                        message => return Ok(message),
                    }
                }
                chunk = next_chunk(&mut self.unsent_body), if self.progress.may_send_body() => {
                    self.body_started = true;
                    self.send_chunk(chunk).await?;
                }
                () = tokio::time::sleep_until(limit) => {
                    if is_suspected {
                        return Err(self.progress.failure(FailureReason::GateSilent));
                    }
                    self.node.balancer.borrow_mut().on_silence(&self.instance, clock::now());
                    if !self.progress.heard_from_gate {
                        self.check.start(self.node, self.address);
                    }
                }
                true = self.check.is_replying() => self.on_gate_replying(),
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
        let sent = self.send(&EdgeMessage::Confirm).await;
        sent.map_err(|_| self.progress.failure(FailureReason::GateLost))
    }

    async fn send_chunk(&mut self, chunk: Option<Result<Bytes, IncompleteBody>>) -> Result<(), Failure> {
        let message = match chunk {
            Some(Ok(data)) => EdgeMessage::Data(data),
            Some(Err(IncompleteBody)) => return Err(Failure::unknown(FailureReason::RequestBroken)),
            None => {
                self.unsent_body = None;
                EdgeMessage::End
            }
        };
        // A gate that has already replied may have closed the connection; its reply is read next.
        let _ = self.send(&message).await;
        Ok(())
    }
}

async fn next_chunk(body: &mut Option<BodyStream>) -> Option<Result<Bytes, IncompleteBody>> {
    match body {
        Some(chunks) => chunks.next().await,
        None => futures::future::pending().await,
    }
}

fn to_remote_reply(
    node: &Rc<Node>,
    address: SocketAddr,
    stream: GateStream,
    message: GateMessage,
    request_sent: bool,
) -> RemoteReply {
    let keep = |stream| {
        if request_sent {
            node.gate_connections.keep(address, stream);
        }
    };
    match message {
        // A gate of an earlier release passes on what is no response.
        GateMessage::Answered { head, .. } if !head.is_final() => {
            Failure::unknown(FailureReason::Malformed).into()
        }
        GateMessage::Answered { head, .. } if signature::is_missing(&head, &node.wire_names) => {
            Failure::unknown(FailureReason::Unsigned).into()
        }
        GateMessage::Refused { reason, retry_after_ms, successor, load } => {
            keep(stream);
            let refusal = Refusal::new(reason, Duration::from_millis(u64::from(retry_after_ms)));
            RemoteReply { reply: GateReply::Refused { refusal, successor }, load: Some(load), unanswered: None }
        }
        GateMessage::Failed { failure, load } => {
            keep(stream);
            RemoteReply { reply: GateReply::Failed(failure), load: Some(load), unanswered: None }
        }
        GateMessage::Answered { head, body: Some(bytes), fault, load, .. } => {
            keep(stream);
            let response = Response { head, body: Body::Whole(bytes), fault };
            RemoteReply { reply: GateReply::Answered(response), load: Some(load), unanswered: None }
        }
        GateMessage::Answered { head, body: None, length, fault, load } => {
            let response = Response { head, body: Body::Stream(streamed_body(stream), length), fault };
            RemoteReply { reply: GateReply::Answered(response), load: Some(load), unanswered: None }
        }
        _ => Failure::unknown(FailureReason::GateLost).into(),
    }
}

/// The chunks that follow on the connection, which is closed after them.
fn streamed_body(stream: GateStream) -> BodyStream {
    let chunks = futures::stream::unfold(Some(stream), |state| async move {
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
    chunks.boxed_local()
}
