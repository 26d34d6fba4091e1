//! Handles the offers of other nodes: reads and runs them, and sends progress and replies.

use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use futures::{SinkExt, StreamExt};
use tokio::net::{TcpListener, TcpStream};

use crate::body_channel::{BodySender, body_channel};
use crate::closing;
use crate::connection_limit::ConnectionPermit;
use crate::gate::confirmation::{GrantRelay, confirmation};
use crate::gate::run_offer;
use crate::gate_protocol::{self, EdgeMessage, GateMessage, GateStream, Offer, OfferedBody, PROGRESS_INTERVAL};
use crate::peers;
use crate::reply::{Body, GateReply, IncompleteBody, Load, Response};
use crate::state::Node;
use crate::transport;

/// Accepts connections until the process ends.
pub async fn serve(node: Rc<Node>, listener: TcpListener) {
    let max_connections = node.settings().machine.max_connections();
    let serve = |stream, permit| connection(node.clone(), stream, permit);
    transport::serve_connections("inbound", listener, max_connections, serve).await;
}

async fn connection(node: Rc<Node>, stream: TcpStream, permit: ConnectionPermit) {
    let mut stream = gate_protocol::framed(stream);
    loop {
        let frame = tokio::select! {
            biased;
            frame = stream.next() => frame,
            () = permit.evicted() => return,
        };
        let Some(Ok(frame)) = frame else { return };
        permit.mark_busy();
        let is_reusable = match gate_protocol::decode::<EdgeMessage>(&frame) {
            Ok(EdgeMessage::Offer(offer)) => serve_offer(&node, &mut stream, *offer).await,
            Ok(EdgeMessage::Fetch(known)) => {
                let update = peers::fetch::cluster_update_for(&node, known);
                stream.send(gate_protocol::encode(&update)).await.is_ok()
            }
            Ok(EdgeMessage::Data(_) | EdgeMessage::End | EdgeMessage::Confirm) | Err(_) => false,
        };
        if !is_reusable {
            // The edge may still be sending a body that nobody reads any more, and has yet to read the reply.
            return closing::close(stream.into_inner()).await;
        }
        permit.mark_idle();
    }
}

/// The body of an offered request as it arrives from the edge.
struct ArrivingBody {
    /// `None` if the offer held the whole body.
    sender: Option<BodySender>,
    is_complete: bool,
}

impl ArrivingBody {
    /// The body of `offer` for the instance, and how its rest arrives.
    fn of(offer: &Offer) -> (Body, Self) {
        match &offer.body {
            OfferedBody::Whole(bytes) => {
                (Body::Whole(bytes.clone()), ArrivingBody { sender: None, is_complete: true })
            }
            OfferedBody::Streamed(length) => {
                let (sender, stream) = body_channel();
                (Body::Stream(stream, *length), ArrivingBody { sender: Some(sender), is_complete: false })
            }
        }
    }

    /// True while a part waits to be passed on; nothing more may be read then.
    fn is_blocked(&self) -> bool {
        self.sender.as_ref().is_some_and(BodySender::is_blocked)
    }

    fn add(&mut self, chunk: Bytes) {
        if let Some(sender) = &mut self.sender {
            sender.send(chunk);
        }
    }

    fn finish(&mut self) {
        self.is_complete = true;
        if let Some(sender) = &mut self.sender {
            sender.finish();
        }
    }

    /// Passes on the waiting part; never completes when there is none.
    async fn forward_waiting(&mut self) {
        match &mut self.sender {
            Some(sender) => sender.forward_waiting().await,
            None => futures::future::pending().await,
        }
    }
}

/// Serves one offer. Returns false if the connection can't be reused. If the edge closes the connection, the
/// request is cancelled, whether it is queued or running.
async fn serve_offer(node: &Rc<Node>, stream: &mut GateStream, offer: Offer) -> bool {
    let _in_flight = node.stop.track_request();
    let (instance, root, hop) = (offer.instance.clone(), offer.root.clone(), offer.hop);
    let (body, mut arriving) = ArrivingBody::of(&offer);
    let (confirmation, mut relay) = confirmation(offer.needs_confirmation);
    let running = run_offer(node, offer, body, confirmation);
    tokio::pin!(running);
    let mut progress =
        tokio::time::interval_at(tokio::time::Instant::now() + PROGRESS_INTERVAL, PROGRESS_INTERVAL);
    let reply = loop {
        let is_blocked = arriving.is_blocked();
        tokio::select! {
            biased;
            frame = stream.next(), if !is_blocked => {
                if !accept_frame(frame, &mut arriving, &mut relay) {
                    return false;
                }
            }
            () = relay.granted() => {
                if stream.send(gate_protocol::encode(&GateMessage::Granted)).await.is_err() {
                    return false;
                }
            }
            reply = &mut running => break reply,
            () = arriving.forward_waiting(), if is_blocked => {}
            _ = progress.tick() => {
                if stream.send(gate_protocol::encode(&GateMessage::Progress)).await.is_err() {
                    return false;
                }
            }
        }
    };
    send_reply(stream, node.gate.load(node, &instance, &root, hop), reply).await && arriving.is_complete
}

/// Applies a frame of the edge; false if the edge gave up or violated the protocol.
fn accept_frame(
    frame: Option<std::io::Result<BytesMut>>,
    arriving: &mut ArrivingBody,
    relay: &mut GrantRelay,
) -> bool {
    let Some(Ok(frame)) = frame else { return false };
    match gate_protocol::decode::<EdgeMessage>(&frame) {
        Ok(EdgeMessage::Confirm) => relay.confirm(),
        Ok(EdgeMessage::Data(chunk)) if !arriving.is_complete => arriving.add(chunk),
        Ok(EdgeMessage::End) if !arriving.is_complete => arriving.finish(),
        _ => return false,
    }
    true
}

async fn send_reply(stream: &mut GateStream, load: Load, reply: GateReply) -> bool {
    let message = match reply {
        GateReply::Refused { refusal, successor } => GateMessage::Refused {
            reason: refusal.reason,
            successor,
            retry_after_ms: u32::try_from(refusal.retry_after.as_millis()).unwrap_or(u32::MAX),
            load,
        },
        GateReply::Failed(failure) => GateMessage::Failed { failure, load },
        GateReply::Answered(response) => return send_response(stream, response, load).await,
    };
    stream.send(gate_protocol::encode(&message)).await.is_ok()
}

async fn send_response(stream: &mut GateStream, response: Response, load: Load) -> bool {
    let Response { head, body, fault } = response;
    match body {
        Body::Whole(bytes) => {
            let message = GateMessage::Answered { head, body: Some(bytes), length: None, fault, load };
            stream.send(gate_protocol::encode(&message)).await.is_ok()
        }
        Body::Stream(mut pieces, length) => {
            let message = GateMessage::Answered { head, body: None, length, fault, load };
            if stream.send(gate_protocol::encode(&message)).await.is_err() {
                return false;
            }
            loop {
                let message = match next_piece(stream, &mut pieces).await {
                    Some(message) => message,
                    None => return false,
                };
                let is_last = !matches!(message, GateMessage::Data(_));
                if stream.send(gate_protocol::encode(&message)).await.is_err() {
                    return false;
                }
                if is_last {
                    return true;
                }
            }
        }
    }
}

/// The next message of a streamed response; `None` if the edge gave up while the instance was slow.
async fn next_piece(stream: &mut GateStream, pieces: &mut crate::reply::BodyStream) -> Option<GateMessage> {
    loop {
        tokio::select! {
            biased;
            piece = pieces.next() => return Some(match piece {
                Some(Ok(data)) => GateMessage::Data(data),
                Some(Err(IncompleteBody)) => GateMessage::Broken,
                None => GateMessage::End,
            }),
            frame = stream.next() => {
                if !is_rest_of_request(frame) {
                    return None;
                }
            }
        }
    }
}

/// True for a part of the request's body, which the edge sent before it got the response.
fn is_rest_of_request(frame: Option<std::io::Result<BytesMut>>) -> bool {
    let Some(Ok(frame)) = frame else { return false };
    matches!(gate_protocol::decode(&frame), Ok(EdgeMessage::Data(_) | EdgeMessage::End))
}
