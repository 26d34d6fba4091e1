//! Handles the offers of other nodes: reads and runs them, and sends progress and replies.

use std::rc::Rc;

use bytes::Bytes;
use futures::{FutureExt, SinkExt, StreamExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

use crate::connection_limit::ConnectionPermit;
use crate::gate::confirmation::{GrantRelay, confirmation};
use crate::gate::run_offer;
use crate::gate_protocol::{self, EdgeMessage, GateMessage, GateStream, Offer, OfferedBody, PROGRESS_INTERVAL};
use crate::peers;
use crate::reply::{Body, GateReply, IncompleteBody, Load, Response};
use crate::state::Node;
use crate::transport;

/// Number of pieces of a request body that are buffered for the instance.
const BODY_BUFFER_PIECES: usize = 4;

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
            return;
        }
        permit.mark_idle();
    }
}

/// Forwarding of body pieces from the connection to the request.
enum BodyFeed {
    /// The body is complete, or the request no longer reads it.
    Closed,
    /// Pieces are passed to the sender.
    Open(mpsc::Sender<Result<Bytes, IncompleteBody>>),
    /// A piece waits for room in the buffer.
    Full(mpsc::Sender<Result<Bytes, IncompleteBody>>, Bytes),
}

fn body_of(offer: &Offer) -> (Body, BodyFeed) {
    match &offer.body {
        OfferedBody::Whole(bytes) => (Body::Whole(bytes.clone()), BodyFeed::Closed),
        OfferedBody::Streamed(length) => {
            let (sender, receiver) = mpsc::channel(BODY_BUFFER_PIECES);
            (Body::Stream(crate::edge::request_assembly::body_stream(receiver), *length), BodyFeed::Open(sender))
        }
    }
}

/// Serves one offer. Returns false if the connection can't be reused. If the edge closes the connection, the
/// request is cancelled, whether it is queued or running.
async fn serve_offer(node: &Rc<Node>, stream: &mut GateStream, offer: Offer) -> bool {
    let _in_flight = node.stop.track_request();
    let (instance, root, hop) = (offer.instance.clone(), offer.root.clone(), offer.hop);
    let (body, mut feed) = body_of(&offer);
    let (confirmation, mut relay) = confirmation(offer.needs_confirmation);
    let running = run_offer(node, offer, body, confirmation);
    tokio::pin!(running);
    let mut progress =
        tokio::time::interval_at(tokio::time::Instant::now() + PROGRESS_INTERVAL, PROGRESS_INTERVAL);
    let reply = loop {
        let is_full = matches!(feed, BodyFeed::Full(..));
        tokio::select! {
            biased;
            frame = stream.next(), if !is_full => match next_feed(feed, frame, &mut relay) {
                Some(next) => feed = next,
                None => return false,
            },
            () = relay.granted() => {
                if stream.send(gate_protocol::encode(&GateMessage::Granted)).await.is_err() {
                    return false;
                }
            }
            reply = &mut running => break reply,
            next = forward_pending(&mut feed), if is_full => feed = next,
            _ = progress.tick() => {
                if stream.send(gate_protocol::encode(&GateMessage::Progress)).await.is_err() {
                    return false;
                }
            }
        }
    };
    let is_request_complete = matches!(feed, BodyFeed::Closed);
    send_reply(stream, node.gate.load(node, &instance, &root, hop), reply).await && is_request_complete
}

/// Applies a frame to the feed; `None` if the edge gave up or violated the protocol.
fn next_feed(
    feed: BodyFeed,
    frame: Option<std::io::Result<bytes::BytesMut>>,
    relay: &mut GrantRelay,
) -> Option<BodyFeed> {
    let frame = frame?.ok()?;
    match (gate_protocol::decode::<EdgeMessage>(&frame).ok()?, feed) {
        (EdgeMessage::Confirm, feed) => {
            relay.confirm();
            Some(feed)
        }
        (EdgeMessage::Data(data), BodyFeed::Open(sender)) => Some(BodyFeed::Full(sender, data)),
        (EdgeMessage::Data(_), BodyFeed::Closed) => Some(BodyFeed::Closed),
        (EdgeMessage::End, BodyFeed::Open(_)) => Some(BodyFeed::Closed),
        (EdgeMessage::End, BodyFeed::Closed) => Some(BodyFeed::Closed),
        _ => None,
    }
}

/// Passes on the waiting piece once there is room. The rest of a body that is no longer read is discarded. An
/// incomplete body must not look complete, so its end is reported as broken.
async fn forward_pending(feed: &mut BodyFeed) -> BodyFeed {
    let BodyFeed::Full(sender, data) = feed else { return futures::future::pending().await };
    match sender.reserve().await {
        Ok(permit) => {
            permit.send(Ok(std::mem::take(data)));
            BodyFeed::Open(sender.clone())
        }
        Err(_) => BodyFeed::Closed,
    }
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
    tokio::select! {
        biased;
        piece = pieces.next() => Some(match piece {
            Some(Ok(data)) => GateMessage::Data(data),
            Some(Err(IncompleteBody)) => GateMessage::Broken,
            None => GateMessage::End,
        }),
        _ = stream.next().map(drop) => None,
    }
}
