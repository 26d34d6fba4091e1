//! Offers of other nodes: reads them, runs them, and says how it goes.

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

/// Pieces of a request's body that may wait for the instance.
const BODY_PIECES: usize = 4;

/// Takes connections until the process ends.
pub async fn serve(node: Rc<Node>, listener: TcpListener) {
    let most = node.settings().machine.max_connections();
    let serve = |stream, place| connection(node.clone(), stream, place);
    transport::serve_connections("inbound", listener, most, serve).await;
}

async fn connection(node: Rc<Node>, stream: TcpStream, place: ConnectionPermit) {
    let mut stream = gate_protocol::framed(stream);
    loop {
        let frame = tokio::select! {
            biased;
            frame = stream.next() => frame,
            () = place.evicted() => return,
        };
        let Some(Ok(frame)) = frame else { return };
        place.mark_busy();
        let goes_on = match gate_protocol::decode::<EdgeMessage>(&frame) {
            Ok(EdgeMessage::Offer(offer)) => serve_offer(&node, &mut stream, *offer).await,
            Ok(EdgeMessage::Fetch(known)) => {
                let update = peers::cluster_update_for(&node, known);
                stream.send(gate_protocol::encode(&update)).await.is_ok()
            }
            Ok(EdgeMessage::Data(_) | EdgeMessage::End | EdgeMessage::Confirm) | Err(_) => false,
        };
        if !goes_on {
            return;
        }
        place.mark_idle();
    }
}

/// The way from the connection to the request's body.
enum Feed {
    /// The body is whole, or nobody wants more of it.
    Closed,
    /// Pieces go to the sender.
    Open(mpsc::Sender<Result<Bytes, IncompleteBody>>),
    /// A piece that waits for room.
    Full(mpsc::Sender<Result<Bytes, IncompleteBody>>, Bytes),
}

fn body_of(offer: &Offer) -> (Body, Feed) {
    match &offer.body {
        OfferedBody::Whole(bytes) => (Body::Whole(bytes.clone()), Feed::Closed),
        OfferedBody::Streamed(length) => {
            let (sender, receiver) = mpsc::channel(BODY_PIECES);
            (Body::Stream(crate::edge::request_assembly::body_stream(receiver), *length), Feed::Open(sender))
        }
    }
}

/// Serves one offer; false when the connection can't be used again. When the edge closes
/// the connection the request is dropped, wherever it is.
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
        let is_full = matches!(feed, Feed::Full(..));
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
            next = make_room(&mut feed), if is_full => feed = next,
            _ = progress.tick() => {
                if stream.send(gate_protocol::encode(&GateMessage::Progress)).await.is_err() {
                    return false;
                }
            }
        }
    };
    let whole_request = matches!(feed, Feed::Closed);
    send_reply(stream, node.gate.load(node, &instance, &root, hop), reply).await && whole_request
}

/// What a frame makes of the feed; `None` when the edge gave up or broke the protocol.
fn next_feed(feed: Feed, frame: Option<std::io::Result<bytes::BytesMut>>, relay: &mut GrantRelay) -> Option<Feed> {
    let frame = frame?.ok()?;
    match (gate_protocol::decode::<EdgeMessage>(&frame).ok()?, feed) {
        (EdgeMessage::Confirm, feed) => {
            relay.confirm();
            Some(feed)
        }
        (EdgeMessage::Data(data), Feed::Open(sender)) => Some(Feed::Full(sender, data)),
        (EdgeMessage::Data(_), Feed::Closed) => Some(Feed::Closed),
        (EdgeMessage::End, Feed::Open(_)) => Some(Feed::Closed),
        (EdgeMessage::End, Feed::Closed) => Some(Feed::Closed),
        _ => None,
    }
}

/// Hands the piece that waits on; a body that nobody reads any more is dropped. An
/// unfinished body must not look whole, so its end is told as broken.
async fn make_room(feed: &mut Feed) -> Feed {
    let Feed::Full(sender, data) = feed else { return futures::future::pending().await };
    match sender.reserve().await {
        Ok(permit) => {
            permit.send(Ok(std::mem::take(data)));
            Feed::Open(sender.clone())
        }
        Err(_) => Feed::Closed,
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
        GateReply::Answered(answer) => return send_answer(stream, answer, load).await,
    };
    stream.send(gate_protocol::encode(&message)).await.is_ok()
}

async fn send_answer(stream: &mut GateStream, answer: Response, load: Load) -> bool {
    let Response { head, body, fault } = answer;
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

/// The next piece of an answer; `None` when the edge gave up while the instance was slow.
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
