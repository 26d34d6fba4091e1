//! One request to the instance and its response.
//!
//! The instance may send responses that belong to no request of this gate. Responses are matched by the
//! request id; those with another id are skipped. A small response is read completely before any of it is
//! forwarded, so that a response that breaks off is a failure and not a truncated response.

use std::io::ErrorKind;
use std::rc::Rc;
use std::time::Duration;

use bytes::{BufMut, Bytes, BytesMut};
use futures::StreamExt;
use olivegate_http1::head::{write_chunk, write_last_chunk};
use olivegate_http1::{BodyLength, DecodeError, Frame, RequestHead, ResponseHead};
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;

use crate::gate::declared_rate::{self, RateSource};
use crate::gate::instance_connection::{InstanceConnection, InstanceConnections};
use crate::gate::notice::{Notice, present_instance};
use crate::gate::slots::InstanceSlots;
use crate::gate_protocol::Offer;
use crate::reply::{Body, Failure, FailureReason, IncompleteBody, Response, ResponseFault};
use crate::signature;
use crate::state::Node;

/// A response body up to this size, in bytes, is read completely before the response is forwarded.
const MAX_BUFFERED_RESPONSE: usize = 64 * 1024;

/// Status with which an instance rejects a request intended for another instance.
const MISDIRECTED_REQUEST: u16 = 421;

/// Maximum number of responses to other requests that are skipped before the response to this one.
const MAX_SURPLUS_RESPONSES: usize = 16;
/// Maximum size of their bodies together, in bytes. A connection that carried a response too large to be buffered
/// isn't reused, so none of them is larger.
const MAX_SURPLUS_BYTES: usize = MAX_SURPLUS_RESPONSES * MAX_BUFFERED_RESPONSE;

/// The head of the response to the request.
struct MatchedHead {
    head: ResponseHead,
    length: BodyLength,
    request_sent: bool,
}

/// Runs a request on the `pooled` connection, or on a new one if there is none.
pub async fn run(
    node: &Rc<Node>,
    slots: &Rc<InstanceSlots>,
    pooled: Option<InstanceConnection>,
    offer: &Offer,
    body: Body,
    time_left: Duration,
) -> Result<Response, Failure> {
    let connections = slots.connections();
    let mut connection = match pooled {
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
    if matched.head.status != MISDIRECTED_REQUEST {
        let source = RateSource::Response { request: &offer.request_id, status: matched.head.status };
        declared_rate::apply_notice(slots, &offer.instance, notice.rate, source, &node.metrics);
        if notice.is_leaving {
            node.note_leaving(&offer.instance, slots.incarnation(), "instance");
        }
    }
    let is_reusable = matched.request_sent && !notice.closes;
    let whole_length = match matched.length {
        BodyLength::Known(length) => Some(length),
        _ => None,
    };
    let first_part = read_up_to(&mut connection, MAX_BUFFERED_RESPONSE).await?;
    check_refused(node, &matched.head)?;
    if signature::is_missing(&matched.head, &node.wire_names) {
        return Err(Failure::unknown(FailureReason::Unsigned));
    }
    let mut response_head = matched.head;
    response_head.fields.remove_connection_fields();
    let body = match first_part {
        FirstPart::Whole(bytes) => {
            if is_reusable && matched.length != BodyLength::UntilClose {
                connections.keep(connection, notice.idle_timeout, slots.limit());
            }
            Body::Whole(bytes)
        }
        FirstPart::More(bytes) => remaining_body(connection, bytes, whole_length),
    };
    Ok(Response { head: response_head, body, fault: ResponseFault::None })
}

async fn connect(node: &Node, connections: &InstanceConnections) -> Result<InstanceConnection, Failure> {
    node.metrics.connections.with_label_values(&["instance"]).inc();
    let connecting = connections.connect(node.settings().instance);
    connecting.await.map_err(|error| {
        if error.kind() == ErrorKind::ConnectionRefused {
            node.gate.identity.invalidate();
        }
        Failure::not_sent(FailureReason::Connect)
    })
}

/// The request head as it is sent to the instance.
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

/// Sends the request and reads up to the head of its response. If the instance responds before it has read
/// the whole request, the rest isn't sent.
async fn exchange_heads(
    node: &Node,
    connection: &mut InstanceConnection,
    head: &RequestHead,
    offer: &Offer,
    body: Body,
) -> Result<MatchedHead, Failure> {
    let responses = &mut connection.responses;
    responses.decoder_mut().expect_response_to_head(head.method == "HEAD");
    let mut sent_bytes = 0;
    let mut sent = None;
    let mut surplus = SurplusResponses::default();
    let result = {
        let sending = send_request(&mut connection.requests, head, body, &mut sent_bytes);
        tokio::pin!(sending);
        loop {
            tokio::select! {
                biased;
                frame = responses.next() => match matching_head(node, frame, &offer.request_id, &mut surplus) {
                    Ok(Some((head, length))) => break Ok((head, length)),
                    Ok(None) => {}
                    Err(reason) => break Err(reason),
                },
                result = &mut sending, if sent.is_none() => {
                    match result {
                        Ok(()) => {}
                        Err(SendError::Connection) => responses.decoder_mut().note_connection_failed(),
                        Err(SendError::Body) => break Err(FailureReason::RequestBroken),
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

/// Responses to other requests that were skipped. A faulty instance may send them without end.
#[derive(Debug, Default)]
struct SurplusResponses {
    heads: usize,
    bytes: usize,
}

impl SurplusResponses {
    fn skip_head(&mut self) -> Result<(), FailureReason> {
        self.heads += 1;
        if self.heads > MAX_SURPLUS_RESPONSES { Err(FailureReason::Malformed) } else { Ok(()) }
    }

    fn skip_data(&mut self, data: &Bytes) -> Result<(), FailureReason> {
        self.bytes += data.len();
        if self.bytes > MAX_SURPLUS_BYTES { Err(FailureReason::Malformed) } else { Ok(()) }
    }
}

/// The head in `frame` if it belongs to the response to `request_id`; frames of other responses are skipped.
fn matching_head(
    node: &Node,
    frame: Option<Result<Frame<ResponseHead>, DecodeError>>,
    request_id: &Bytes,
    surplus: &mut SurplusResponses,
) -> Result<Option<(ResponseHead, BodyLength)>, FailureReason> {
    match frame {
        Some(Ok(Frame::Head(head, length))) => {
            if head.fields.get(node.wire_names.request_id) == Some(request_id) {
                return Ok(Some((head, length)));
            }
            node.metrics.exchanges.with_label_values(&["surplus-answer"]).inc();
            surplus.skip_head().map(|()| None)
        }
        Some(Ok(Frame::Data(data))) => surplus.skip_data(&data).map(|()| None),
        Some(Ok(Frame::End)) => Ok(None),
        Some(Err(DecodeError::Io(_) | DecodeError::Incomplete)) | None => Err(FailureReason::Broken),
        Some(Err(_)) => Err(FailureReason::Malformed),
    }
}

/// Why a request could not be sent completely.
enum SendError {
    /// The connection to the instance failed.
    Connection,
    /// The body of the request from the client broke off.
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

/// Returns an error if the instance says that it didn't run the request.
fn check_refused(node: &Node, head: &ResponseHead) -> Result<(), Failure> {
    if head.status == MISDIRECTED_REQUEST {
        if let Some(present) = present_instance(head, &node.wire_names) {
            super::observe_instance(node, present);
        }
        return Err(Failure::not_run(FailureReason::WrongInstance));
    }
    let is_refusal = head.status >= 400 && head.fields.get(node.wire_names.not_run).is_some();
    if is_refusal { Err(Failure::not_run(FailureReason::RefusedByInstance)) } else { Ok(()) }
}

/// The first part of a response body.
enum FirstPart {
    /// The complete body.
    Whole(Bytes),
    /// More data follows.
    More(Bytes),
}

async fn read_up_to(connection: &mut InstanceConnection, max_bytes: usize) -> Result<FirstPart, Failure> {
    let mut body = BytesMut::new();
    loop {
        match connection.responses.next().await {
            Some(Ok(Frame::Data(data))) if body.is_empty() && data.len() < max_bytes => {
                body = BytesMut::from(data)
            }
            Some(Ok(Frame::Data(data))) => body.put_slice(&data),
            Some(Ok(Frame::End)) => return Ok(FirstPart::Whole(body.freeze())),
            Some(Ok(Frame::Head(..))) => return Err(Failure::unknown(FailureReason::Malformed)),
            Some(Err(DecodeError::Io(_) | DecodeError::Incomplete)) | None => {
                return Err(Failure::unknown(FailureReason::Broken));
            }
            Some(Err(_)) => return Err(Failure::unknown(FailureReason::Malformed)),
        }
        if body.len() >= max_bytes {
            return Ok(FirstPart::More(body.freeze()));
        }
    }
}

/// The body as a stream: the part that was already read, then the rest from the connection. A connection that
/// carried such a large response isn't reused.
fn remaining_body(connection: InstanceConnection, first_part: Bytes, length: Option<u64>) -> Body {
    let rest = futures::stream::unfold(Some(connection), |state| async move {
        let mut connection = state?;
        match connection.responses.next().await {
            Some(Ok(Frame::Data(data))) => Some((Ok(data), Some(connection))),
            Some(Ok(Frame::End)) => None,
            _ => Some((Err(IncompleteBody), None)),
        }
    });
    let first_part = futures::stream::once(async move { Ok(first_part) });
    Body::Stream(Box::pin(first_part.chain(rest)), length)
}
