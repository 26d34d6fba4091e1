//! Offers a request to the gate on another machine.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures::{SinkExt, StreamExt};
use olivegate_types::Refusal;

use crate::hop::{self, EdgeMessage, GateMessage, HopStream, Offer, SILENCE_LIMIT};
use crate::model::RepeatSafety;
use crate::reply::{Answer, Body, BodyBroken, BodyStream, Failure, FailureReason, GateReply, Load};
use crate::state::Node;

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

/// Offers a request and waits for what becomes of it. A request that may run only once is
/// not given up when the gate falls silent: nothing better can be done with it than wait.
pub async fn offer(
    node: &Rc<Node>,
    address: SocketAddr,
    offer: Offer,
    body: Option<BodyStream>,
    safety: RepeatSafety,
) -> RemoteReply {
    let Ok(mut stream) = node.hops.connection(address).await else {
        return Failure::not_sent(FailureReason::GateLost).into();
    };
    let message = hop::encode(&EdgeMessage::Offer(Box::new(offer)));
    if stream.send(message).await.is_err() {
        return Failure::unknown(FailureReason::GateLost).into();
    }
    let mut sending = body;
    loop {
        let frame = tokio::select! {
            biased;
            frame = next_frame(&mut stream, safety) => frame,
            piece = next_piece(&mut sending) => {
                let (message, is_last) = match piece {
                    Some(Ok(data)) => (EdgeMessage::Data(data), false),
                    Some(Err(BodyBroken)) => return Failure::unknown(FailureReason::RequestBroken).into(),
                    None => (EdgeMessage::End, true),
                };
                if is_last {
                    sending = None;
                }
                // A gate that has replied already may have closed; its reply is read next.
                let _ = stream.send(hop::encode(&message)).await;
                continue;
            }
        };
        let message = match frame {
            Ok(GateMessage::Progress) => continue,
            Ok(message) => message,
            Err(reason) => return Failure::unknown(reason).into(),
        };
        return take_reply(node, address, stream, message, sending.is_none());
    }
}

async fn next_piece(body: &mut Option<BodyStream>) -> Option<Result<bytes::Bytes, BodyBroken>> {
    match body {
        Some(pieces) => pieces.next().await,
        None => futures::future::pending().await,
    }
}

async fn next_frame(stream: &mut HopStream, safety: RepeatSafety) -> Result<GateMessage, FailureReason> {
    let patience = match safety {
        RepeatSafety::Safe => SILENCE_LIMIT,
        RepeatSafety::Unsafe => Duration::from_secs(3_600),
    };
    match tokio::time::timeout(patience, stream.next()).await {
        Ok(Some(Ok(frame))) => hop::decode(&frame).map_err(|_| FailureReason::GateLost),
        Ok(_) => Err(FailureReason::GateLost),
        Err(_) => Err(FailureReason::GateSilent),
    }
}

fn take_reply(
    node: &Rc<Node>,
    address: SocketAddr,
    stream: HopStream,
    message: GateMessage,
    whole_request: bool,
) -> RemoteReply {
    let keep = |stream| {
        if whole_request {
            node.hops.keep(address, stream);
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
        GateMessage::Answered { head, body: Some(bytes), overloaded, load, .. } => {
            keep(stream);
            let answer = Answer { head, body: Body::Whole(bytes), overloaded };
            RemoteReply { reply: GateReply::Answered(answer), load: Some(load) }
        }
        GateMessage::Answered { head, body: None, length, overloaded, load } => {
            let answer = Answer { head, body: Body::Stream(streamed_body(stream), length), overloaded };
            RemoteReply { reply: GateReply::Answered(answer), load: Some(load) }
        }
        _ => Failure::unknown(FailureReason::GateLost).into(),
    }
}

/// The pieces that follow on the connection, which ends with them.
fn streamed_body(stream: HopStream) -> BodyStream {
    let pieces = futures::stream::unfold(Some(stream), |state| async move {
        let mut stream = state?;
        let message = match stream.next().await {
            Some(Ok(frame)) => hop::decode(&frame).ok(),
            _ => None,
        };
        match message {
            Some(GateMessage::Data(data)) => Some((Ok(data), Some(stream))),
            Some(GateMessage::End) => None,
            _ => Some((Err(BodyBroken), None)),
        }
    });
    pieces.boxed_local()
}
