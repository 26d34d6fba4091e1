//! One request to the instance, and its answer.
//!
//! The instance may send answers that belong to no request of ours; the request id in an
//! answer decides. Answers that are not ours are read over. A small answer is read whole
//! before anything is passed on, so that one that breaks off is a failure and not half an
//! answer.

use std::io::ErrorKind;
use std::rc::Rc;
use std::time::Duration;

use bytes::{BufMut, Bytes, BytesMut};
use futures::StreamExt;
use olivegate_http1::head::{write_chunk, write_last_chunk};
use olivegate_http1::{BodyLength, DecodeError, Frame, RequestHead, ResponseHead};
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;

use crate::gate::declared_rate::{self, LearntBy};
use crate::gate::instance_connection::{InstanceConnection, InstanceConnections};
use crate::gate::notice::Notice;
use crate::gate::slots::InstanceSlots;
use crate::gate_protocol::Offer;
use crate::reply::{Body, Failure, FailureReason, IncompleteBody, Response, ResponseFault};
use crate::state::Node;

/// An answer up to this size is read whole before it is passed on.
const WHOLE_ANSWER_BYTES: usize = 64 * 1024;

/// Status with which an instance rejects what is meant for another one.
const OTHER_INSTANCE: u16 = 421;

/// A head that belongs to the request.
struct MatchedHead {
    head: ResponseHead,
    length: BodyLength,
    request_sent: bool,
}

/// Runs a request on `kept`, or on a new connection to the instance.
pub async fn run(
    node: &Rc<Node>,
    slots: &Rc<InstanceSlots>,
    kept: Option<InstanceConnection>,
    offer: &Offer,
    body: Body,
    time_left: Duration,
) -> Result<Response, Failure> {
    let connections = slots.connections();
    let mut connection = match kept {
        Some(connection) => connection,
        None => connect(node, connections).await?,
    };
    let head = request_head(node, offer, time_left);
    let matched = match exchange_heads(node, &mut connection, &head, offer, body).await {
        Ok(matched) => matched,
        Err(failure) => {
            if failure.reason == FailureReason::Broken {
                connections.on_broken(&connection);
            }
            return Err(failure);
        }
    };
    let notice = Notice::of(&matched.head, &node.wire_names);
    slots.note_close(notice.closes);
    if matched.head.status != OTHER_INSTANCE {
        let by = LearntBy::Answer { request: &offer.request_id, status: matched.head.status };
        declared_rate::take_notice(slots, &offer.instance, notice.rate, by, &node.metrics);
        if notice.is_leaving {
            node.note_leaving(&offer.instance, slots.incarnation(), "instance");
        }
    }
    let reusable = matched.request_sent && !notice.closes;
    let whole_length = match matched.length {
        BodyLength::Known(length) => Some(length),
        _ => None,
    };
    let first = read_up_to(&mut connection, WHOLE_ANSWER_BYTES).await?;
    refusal_of(node, &matched.head)?;
    let mut answer_head = matched.head;
    answer_head.fields.remove_connection_fields();
    let body = match first {
        FirstPart::Whole(bytes) => {
            if reusable && matched.length != BodyLength::UntilClose {
                connections.keep(connection, notice.idle_timeout, slots.limit());
            }
            Body::Whole(bytes)
        }
        FirstPart::More(bytes) => rest_of_body(connection, bytes, whole_length),
    };
    Ok(Response { head: answer_head, body, fault: ResponseFault::None })
}

async fn connect(node: &Node, connections: &InstanceConnections) -> Result<InstanceConnection, Failure> {
    node.metrics.connections.with_label_values(&["instance"]).inc();
    let connecting = connections.connect(node.settings().instance);
    connecting.await.map_err(|error| {
        if error.kind() == ErrorKind::ConnectionRefused {
            node.gate.identity.doubt();
        }
        Failure::not_sent(FailureReason::Connect)
    })
}

/// The head as the instance gets it.
fn request_head(node: &Node, offer: &Offer, time_left: Duration) -> RequestHead {
    let wire_names = &node.wire_names;
    let mut head = offer.head.clone();
    head.fields.set(wire_names.time_left_ms, time_left.as_millis().max(1).to_string());
    head.fields.set(wire_names.expected_instance, Bytes::copy_from_slice(offer.instance.as_str().as_bytes()));
    head
}

fn length_of(body: &Body) -> BodyLength {
    match body {
        Body::Whole(bytes) if bytes.is_empty() => BodyLength::None,
        Body::Whole(bytes) => BodyLength::Known(bytes.len() as u64),
        Body::Stream(_, Some(length)) => BodyLength::Known(*length),
        Body::Stream(_, None) => BodyLength::Chunked,
    }
}

/// Sends the request and reads until the head of its own answer. An instance may answer
/// before it has read the whole request; the rest is then not sent.
async fn exchange_heads(
    node: &Node,
    connection: &mut InstanceConnection,
    head: &RequestHead,
    offer: &Offer,
    body: Body,
) -> Result<MatchedHead, Failure> {
    let answers = &mut connection.answers;
    answers.decoder_mut().expect_response_to_head(head.method == "HEAD");
    let mut sent_bytes = 0;
    let mut sent = None;
    let result = {
        let sending = send_request(&mut connection.requests, head, body, &mut sent_bytes);
        tokio::pin!(sending);
        loop {
            tokio::select! {
                biased;
                frame = answers.next() => match matching_head(node, frame, &offer.request_id) {
                    Ok(Some((head, length))) => break Ok((head, length)),
                    Ok(None) => {}
                    Err(reason) => break Err(reason),
                },
                result = &mut sending, if sent.is_none() => {
                    if let Err(SendError::Body) = result {
                        break Err(FailureReason::RequestBroken);
                    }
                    sent = Some(result.is_ok());
                }
            }
        }
    };
    match result {
        Ok((head, length)) => Ok(MatchedHead { head, length, request_sent: sent == Some(true) }),
        Err(reason) if sent_bytes == 0 => Err(Failure::not_sent(reason)),
        Err(reason) => Err(Failure::unknown(reason)),
    }
}

/// The head in `frame` if it answers `request_id`; the pieces of other answers are read over.
fn matching_head(
    node: &Node,
    frame: Option<Result<Frame<ResponseHead>, DecodeError>>,
    request_id: &Bytes,
) -> Result<Option<(ResponseHead, BodyLength)>, FailureReason> {
    match frame {
        Some(Ok(Frame::Head(head, length))) => {
            let is_own = head.fields.get(node.wire_names.request_id) == Some(request_id);
            if !is_own {
                node.metrics.exchanges.with_label_values(&["surplus-answer"]).inc();
            }
            Ok(is_own.then_some((head, length)))
        }
        Some(Ok(Frame::Data(_) | Frame::End)) => Ok(None),
        Some(Err(DecodeError::Io(_) | DecodeError::Incomplete)) | None => Err(FailureReason::Broken),
        Some(Err(_)) => Err(FailureReason::Malformed),
    }
}

/// Why a request could not be sent whole.
enum SendError {
    /// The connection failed.
    Connection,
    /// The request's own body broke off.
    Body,
}

async fn send_request(
    requests: &mut OwnedWriteHalf,
    head: &RequestHead,
    body: Body,
    sent_bytes: &mut usize,
) -> Result<(), SendError> {
    let length = length_of(&body);
    let mut buffer = BytesMut::new();
    head.write(length, &mut buffer);
    match body {
        Body::Whole(bytes) => {
            buffer.put_slice(&bytes);
            write_counted(requests, &buffer, sent_bytes).await
        }
        Body::Stream(mut pieces, _) => {
            write_counted(requests, &buffer, sent_bytes).await?;
            while let Some(piece) = pieces.next().await {
                let piece = piece.map_err(|_| SendError::Body)?;
                buffer.clear();
                match length {
                    BodyLength::Chunked => write_chunk(&piece, &mut buffer),
                    _ => buffer.put_slice(&piece),
                }
                write_counted(requests, &buffer, sent_bytes).await?;
            }
            buffer.clear();
            if length == BodyLength::Chunked {
                write_last_chunk(&mut buffer);
            }
            write_counted(requests, &buffer, sent_bytes).await
        }
    }
}

async fn write_counted(
    requests: &mut OwnedWriteHalf,
    mut bytes: &[u8],
    sent_bytes: &mut usize,
) -> Result<(), SendError> {
    while !bytes.is_empty() {
        let written = requests.write(bytes).await.map_err(|_| SendError::Connection)?;
        *sent_bytes += written;
        bytes = &bytes[written..];
    }
    Ok(())
}

/// What the instance says about not having run the request.
fn refusal_of(node: &Node, head: &ResponseHead) -> Result<(), Failure> {
    if head.status == OTHER_INSTANCE {
        if let Some(present) = head.fields.text(node.wire_names.instance) {
            super::meet_instance(node, present);
        }
        return Err(Failure::not_run(FailureReason::WrongInstance));
    }
    let is_refusal = head.status >= 400 && head.fields.get(node.wire_names.not_run).is_some();
    if is_refusal { Err(Failure::not_run(FailureReason::RefusedByInstance)) } else { Ok(()) }
}

/// The beginning of a body.
enum FirstPart {
    /// It is all there is.
    Whole(Bytes),
    /// More follows.
    More(Bytes),
}

async fn read_up_to(connection: &mut InstanceConnection, most: usize) -> Result<FirstPart, Failure> {
    let mut body = BytesMut::new();
    loop {
        match connection.answers.next().await {
            Some(Ok(Frame::Data(data))) if body.is_empty() && data.len() < most => body = BytesMut::from(data),
            Some(Ok(Frame::Data(data))) => body.put_slice(&data),
            Some(Ok(Frame::End)) => return Ok(FirstPart::Whole(body.freeze())),
            Some(Ok(Frame::Head(..))) => return Err(Failure::unknown(FailureReason::Malformed)),
            Some(Err(DecodeError::Io(_) | DecodeError::Incomplete)) | None => {
                return Err(Failure::unknown(FailureReason::Broken));
            }
            Some(Err(_)) => return Err(Failure::unknown(FailureReason::Malformed)),
        }
        if body.len() >= most {
            return Ok(FirstPart::More(body.freeze()));
        }
    }
}

/// The body as a stream: what was read already, then the rest of the connection's answer.
/// A connection that carried so large an answer is not kept.
fn rest_of_body(connection: InstanceConnection, first: Bytes, length: Option<u64>) -> Body {
    let rest = futures::stream::unfold(Some(connection), |state| async move {
        let mut connection = state?;
        match connection.answers.next().await {
            Some(Ok(Frame::Data(data))) => Some((Ok(data), Some(connection))),
            Some(Ok(Frame::End)) => None,
            _ => Some((Err(IncompleteBody), None)),
        }
    });
    let first = futures::stream::once(async move { Ok(first) });
    Body::Stream(Box::pin(first.chain(rest)), length)
}
