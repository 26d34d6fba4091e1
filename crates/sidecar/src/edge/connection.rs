//! Serves one connection of a client or of the instance.
//!
//! Pipelined requests are read ahead, so that one request need not wait for the response to the one before;
//! responses are written in the order of the requests. The node notices when a client closes the connection
//! while its requests wait or run, and drops them together with the connection.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::{BufMut, BytesMut};
use futures::StreamExt;
use futures::future::LocalBoxFuture;
use futures::stream::FuturesOrdered;
use olivegate_http1::head::{write_chunk, write_last_chunk};
use olivegate_http1::{BodyLength, DecodeError, Frame, RequestDecoder, RequestHead};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::oneshot;
use tokio::time::Instant;
use tokio_util::codec::FramedRead;

use crate::connection_limit::ConnectionPermit;
use crate::edge::local_response::LocalResponse;
use crate::edge::request_assembly::{AssembledRequest, Rejection, RequestAssembler};
use crate::edge::request_handler;
use crate::lineage::ConnectionEvidence;
use crate::reply::{Body, IncompleteBody, Response};
use crate::state::Node;
use crate::stop::InFlightGuard;

/// Maximum number of requests of one connection that are read ahead.
const MAX_PIPELINED: usize = 32;

/// Size of the buffer into which unwanted input is read and discarded.
const DISCARD_BUFFER_BYTES: usize = 512;

/// A response that is ready to be written.
struct ReadyResponse {
    response: Response,
    keep_alive: bool,
    is_head: bool,
    _in_flight: InFlightGuard,
}

struct Connection {
    node: Rc<Node>,
    requests: FramedRead<OwnedReadHalf, RequestDecoder>,
    output: OwnedWriteHalf,
    assembler: RequestAssembler,
    pending: FuturesOrdered<LocalBoxFuture<'static, ReadyResponse>>,
    last_active: Instant,
    permit: ConnectionPermit,
    /// Evidence from its requests on whether the connection belongs to a client or to the instance.
    evidence: Rc<Cell<ConnectionEvidence>>,
    /// No more requests are read: the client announced that it closes, or sent malformed input.
    input_ended: bool,
}

/// Which side ends a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ClosedBy {
    /// The client closed or aborted the connection.
    Client,
    /// The node closes it.
    Node,
}

/// Serves a connection until it ends.
pub async fn serve(node: Rc<Node>, stream: TcpStream, permit: ConnectionPermit) {
    let (input, output) = stream.into_split();
    let decoder = RequestDecoder::following(node.request_limits());
    let mut connection = Connection {
        node,
        requests: FramedRead::new(input, decoder),
        output,
        assembler: RequestAssembler::default(),
        pending: FuturesOrdered::new(),
        last_active: Instant::now(),
        permit,
        evidence: Rc::default(),
        input_ended: false,
    };
    while connection.step().await.is_ok() {}
}

/// The next frame of a request; `None` when the client has closed. Once no more requests are to be read,
/// further input is discarded and only the end of the connection is reported.
async fn next_frame(
    requests: &mut FramedRead<OwnedReadHalf, RequestDecoder>,
    input_ended: bool,
) -> Option<Result<Frame<RequestHead>, DecodeError>> {
    if !input_ended {
        return requests.next().await;
    }
    let input = requests.get_mut();
    let mut discarded = [0; DISCARD_BUFFER_BYTES];
    while matches!(input.read(&mut discarded).await, Ok(1..)) {}
    None
}

/// Handles a request. If the rest of its body is rejected meanwhile, it is cancelled, and the rejection is its
/// response.
async fn respond(
    node: &Rc<Node>,
    mut assembled: AssembledRequest,
    evidence: &Cell<ConnectionEvidence>,
) -> Response {
    let request_id = assembled.head.fields.get(node.wire_names.request_id).cloned();
    let rejection = assembled.rejection.take();
    tokio::select! {
        biased;
        response = request_handler::handle(node, assembled, evidence) => response,
        rejected = rejection_of(rejection) => rejected.response.to_response(&node.wire_names, request_id.as_ref()),
    }
}

/// Waits until the rest of a request's body is rejected; never completes if it is not.
async fn rejection_of(rejection: Option<oneshot::Receiver<Rejection>>) -> Rejection {
    if let Some(rejection) = rejection
        && let Ok(rejection) = rejection.await
    {
        return rejection;
    }
    futures::future::pending().await
}

/// Events that a connection waits for.
enum Event {
    Ready(ReadyResponse),
    Frame(Option<Result<Frame<RequestHead>, DecodeError>>),
    ChunkForwarded,
    Timer,
    Close,
}

impl Connection {
    /// Waits for one event and handles it.
    async fn step(&mut self) -> Result<(), ClosedBy> {
        match self.next_event().await {
            Event::Ready(ready) => self.write(ready).await,
            Event::Frame(Some(Ok(frame))) => {
                self.last_active = Instant::now();
                self.on_frame(frame).await
            }
            Event::Frame(Some(Err(error))) => self.reject(&error),
            Event::Frame(None) => Err(ClosedBy::Client),
            Event::ChunkForwarded => Ok(()),
            Event::Timer => self.check_timeouts(),
            Event::Close => {
                if self.is_idle() {
                    Err(ClosedBy::Node)
                } else {
                    Ok(())
                }
            }
        }
    }

    async fn next_event(&mut self) -> Event {
        let may_read = !self.assembler.is_blocked() && !self.input_ended && self.pending.len() < MAX_PIPELINED;
        let watches_for_close = self.input_ended && !self.pending.is_empty();
        let is_blocked = self.assembler.is_blocked();
        let has_pending = !self.pending.is_empty();
        let idle = self.is_idle();
        if idle {
            self.permit.mark_idle();
        } else {
            self.permit.mark_busy();
        }
        let tick = Instant::now() + self.node.client_limits().head_timeout.duration();
        tokio::select! {
            biased;
            // Polled first: a client that has already disconnected must not be served.
            frame = next_frame(&mut self.requests, self.input_ended),
                if may_read || watches_for_close => Event::Frame(frame),
            Some(ready) = self.pending.next(), if has_pending => Event::Ready(ready),
            () = self.assembler.forward_waiting(), if is_blocked => Event::ChunkForwarded,
            () = self.node.stop.closing(), if idle => Event::Close,
            () = self.permit.evicted(), if idle => Event::Close,
            () = tokio::time::sleep_until(tick), if !has_pending => Event::Timer,
        }
    }

    /// True between requests, with nothing buffered and no response outstanding.
    fn is_idle(&self) -> bool {
        self.pending.is_empty() && self.assembler.is_idle() && self.requests.read_buffer().is_empty()
    }

    async fn on_frame(&mut self, frame: Frame<RequestHead>) -> Result<(), ClosedBy> {
        if let Frame::Head(head, _) = &frame
            && head.fields.lists_token("expect", "100-continue")
            && self.pending.is_empty()
        {
            self.output.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await.map_err(|_| ClosedBy::Client)?;
        }
        if let Some(assembled) = self.assembler.accept(frame) {
            self.start_request(assembled);
        }
        Ok(())
    }

    fn start_request(&mut self, assembled: AssembledRequest) {
        let keep_alive = assembled.head.keeps_connection();
        let is_head = assembled.head.method == "HEAD";
        self.input_ended |= !keep_alive && self.assembler.is_idle();
        let node = self.node.clone();
        let evidence = self.evidence.clone();
        let in_flight = node.stop.track_request();
        self.pending.push_back(Box::pin(async move {
            let response = respond(&node, assembled, &evidence).await;
            ReadyResponse { response, keep_alive, is_head, _in_flight: in_flight }
        }));
    }

    /// Rejects input that cannot be decoded; nothing after it on this connection can be decoded either.
    fn reject(&mut self, error: &DecodeError) -> Result<(), ClosedBy> {
        let (status, reason) = match error {
            DecodeError::Io(_) | DecodeError::Incomplete => return Err(ClosedBy::Client),
            DecodeError::HeadTooLarge => (431, "head-too-large"),
            DecodeError::BodyTooLarge => (413, "body-too-large"),
            DecodeError::Malformed(reason) => (400, *reason),
        };
        self.reject_with(status, reason);
        Ok(())
    }

    fn reject_with(&mut self, status: u16, reason: &'static str) {
        self.input_ended = true;
        let rejection = LocalResponse::Rejected { status, reason };
        if self.assembler.reject(rejection) {
            return;
        }
        let response = rejection.to_response(&self.node.wire_names, None);
        let ready = ReadyResponse {
            response,
            keep_alive: false,
            is_head: false,
            _in_flight: self.node.stop.track_request(),
        };
        self.pending.push_back(Box::pin(std::future::ready(ready)));
    }

    /// Closes the connection after its idle timeout, and rejects a request whose head takes too long to
    /// arrive.
    fn check_timeouts(&mut self) -> Result<(), ClosedBy> {
        let idle_for = self.last_active.elapsed();
        if self.is_idle() {
            return if idle_for >= self.node.client_limits().idle_timeout.duration() {
                Err(ClosedBy::Node)
            } else {
                Ok(())
            };
        }
        if idle_for >= self.node.client_limits().head_timeout.duration() && self.assembler.is_idle() {
            self.reject_with(408, "head-too-slow");
        }
        Ok(())
    }

    async fn write(&mut self, ready: ReadyResponse) -> Result<(), ClosedBy> {
        let ReadyResponse { response, keep_alive, is_head, _in_flight } = ready;
        let is_last =
            self.pending.is_empty() && self.assembler.is_idle() && self.requests.read_buffer().is_empty();
        let is_after_input = self.input_ended && self.pending.is_empty();
        let is_stopping = self.node.stop.is_stopping() && is_last;
        let closes = !keep_alive || is_stopping || is_after_input || self.request_body_unread();
        let limit = self.node.client_limits().idle_timeout.duration().max(Duration::from_secs(1));
        let writing = write_response(&mut self.output, response, !closes, is_head, limit);
        writing.await.map_err(|_| ClosedBy::Client)?;
        self.last_active = Instant::now();
        if closes { Err(ClosedBy::Node) } else { Ok(()) }
    }

    /// True when a request was answered before its body had been read completely.
    fn request_body_unread(&self) -> bool {
        self.assembler.is_streaming() && self.pending.is_empty()
    }
}

/// Writes a response; each write must complete within `limit`.
async fn write_response(
    out: &mut OwnedWriteHalf,
    response: Response,
    keep: bool,
    is_head: bool,
    limit: Duration,
) -> Result<(), IncompleteBody> {
    let Response { head, body, .. } = response;
    let mut buffer = BytesMut::new();
    match body {
        Body::Whole(bytes) => {
            let length = if bytes.is_empty() { BodyLength::None } else { BodyLength::Known(bytes.len() as u64) };
            head.write(length, keep, &mut buffer);
            if !is_head {
                buffer.put_slice(&bytes);
            }
            write_bytes(out, &buffer, limit).await
        }
        Body::Stream(mut chunks, length) => {
            let framing = length.map_or(BodyLength::Chunked, BodyLength::Known);
            head.write(framing, keep, &mut buffer);
            while let Some(chunk) = chunks.next().await {
                let chunk = chunk?;
                match framing {
                    BodyLength::Chunked => write_chunk(&chunk, &mut buffer),
                    _ => buffer.put_slice(&chunk),
                }
                write_bytes(out, &buffer, limit).await?;
                buffer.clear();
            }
            if framing == BodyLength::Chunked {
                write_last_chunk(&mut buffer);
            }
            write_bytes(out, &buffer, limit).await
        }
    }
}

async fn write_bytes(out: &mut OwnedWriteHalf, bytes: &[u8], limit: Duration) -> Result<(), IncompleteBody> {
    match tokio::time::timeout(limit, out.write_all(bytes)).await {
        Ok(Ok(())) => Ok(()),
        _ => Err(IncompleteBody),
    }
}
