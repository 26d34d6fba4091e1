//! Serves one connection of a client or of the instance.
//!
//! Pipelined requests are read ahead, so that one request need not wait for the response to the one before;
//! responses are written in the order of the requests. The node notices when a client closes the connection
//! while its requests wait or run, and drops them together with the connection.

use std::cell::Cell;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use futures::StreamExt;
use futures::future::LocalBoxFuture;
use futures::stream::FuturesOrdered;
use olivegate_http1::{DecodeError, Frame, RequestDecoder, RequestHead};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::time::Instant;
use tokio_util::codec::FramedRead;

use crate::closing::{self, Closing};
use crate::connection_limit::ConnectionPermit;
use crate::edge::ready_response::{ReadyResponse, respond};
use crate::edge::request_assembly::{AssembledRequest, RequestAssembler};
use crate::edge::response_writer::{WriteError, write_response};
use crate::lineage::ConnectionEvidence;
use crate::local_response::LocalResponse;
use crate::state::Node;

/// Maximum number of requests of one connection that are read ahead.
const MAX_PIPELINED: usize = 32;

struct Connection {
    node: Rc<Node>,
    requests: FramedRead<OwnedReadHalf, RequestDecoder>,
    /// A frame that arrived while a response was written.
    read_ahead: Option<InputFrame>,
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

/// Why a connection ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    /// The client closed or aborted the connection.
    ClosedByClient,
    /// The node closes it, after a response or while it is idle.
    ClosedByNode,
}

/// Serves a connection until it ends.
pub async fn serve(node: Rc<Node>, stream: TcpStream, permit: ConnectionPermit) {
    let (input, output) = stream.into_split();
    let decoder = RequestDecoder::following(node.request_limits());
    let mut connection = Connection {
        node,
        requests: FramedRead::new(input, decoder),
        read_ahead: None,
        output,
        assembler: RequestAssembler::default(),
        pending: FuturesOrdered::new(),
        last_active: Instant::now(),
        permit,
        evidence: Rc::default(),
        input_ended: false,
    };
    loop {
        match connection.step().await {
            Ok(()) => {}
            Err(End::ClosedByClient) => return,
            Err(End::ClosedByNode) => return connection.close().await,
        }
    }
}

/// A frame of a request, or why it can't be decoded.
type InputFrame = Result<Frame<RequestHead>, DecodeError>;

/// True if the connection has ended or failed.
fn has_client_left(frame: &Option<InputFrame>) -> bool {
    matches!(frame, None | Some(Err(DecodeError::Io(_) | DecodeError::Incomplete)))
}

/// The next frame of a request; `None` when the client has closed. Once no more requests are to be read,
/// further input is discarded and only the end of the connection is reported.
async fn next_frame(
    read_ahead: &mut Option<InputFrame>,
    requests: &mut FramedRead<OwnedReadHalf, RequestDecoder>,
    input_ended: bool,
) -> Option<InputFrame> {
    if let Some(frame) = read_ahead.take() {
        return Some(frame);
    }
    if !input_ended {
        return requests.next().await;
    }
    closing::discard_input(requests.get_mut()).await;
    None
}

/// Events that a connection waits for.
enum Event {
    Ready(ReadyResponse),
    Frame(Option<InputFrame>),
    ChunkForwarded,
    Timer,
    Close,
}

impl Connection {
    /// Waits for one event and handles it.
    async fn step(&mut self) -> Result<(), End> {
        match self.next_event().await {
            Event::Ready(ready) if ready.is_incomplete() && self.has_requests_behind(&ready) => {
                self.hold(ready);
                Ok(())
            }
            Event::Ready(ready) => self.write(ready).await,
            Event::Frame(Some(Ok(frame))) => {
                self.last_active = Instant::now();
                self.on_frame(frame).await
            }
            Event::Frame(Some(Err(error))) => self.reject(&error),
            Event::Frame(None) => Err(End::ClosedByClient),
            Event::ChunkForwarded => Ok(()),
            Event::Timer => self.check_timeouts(),
            Event::Close => {
                if self.is_idle() {
                    Err(End::ClosedByNode)
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
            frame = next_frame(&mut self.read_ahead, &mut self.requests, self.input_ended),
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
        self.pending.is_empty() && self.has_no_input()
    }

    /// True if nothing of a further request has arrived.
    fn has_no_input(&self) -> bool {
        self.assembler.is_idle() && self.read_ahead.is_none() && self.requests.read_buffer().is_empty()
    }

    async fn on_frame(&mut self, frame: Frame<RequestHead>) -> Result<(), End> {
        if let Frame::Head(head, _) = &frame
            && head.fields.lists_token("expect", "100-continue")
            && self.pending.is_empty()
        {
            self.output.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await.map_err(|_| End::ClosedByClient)?;
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
            ReadyResponse::new(response, keep_alive, is_head, in_flight)
        }));
    }

    /// Rejects input that cannot be decoded; nothing after it on this connection can be decoded either.
    fn reject(&mut self, error: &DecodeError) -> Result<(), End> {
        let (status, reason) = match error {
            DecodeError::Io(_) | DecodeError::Incomplete => return Err(End::ClosedByClient),
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
        let ready = ReadyResponse::new(response, false, false, self.node.stop.track_request());
        self.pending.push_back(Box::pin(std::future::ready(ready)));
    }

    /// Closes the connection after its idle timeout, and rejects a request whose head takes too long to
    /// arrive.
    fn check_timeouts(&mut self) -> Result<(), End> {
        let idle_for = self.last_active.elapsed();
        if self.is_idle() {
            return if idle_for >= self.node.client_limits().idle_timeout.duration() {
                Err(End::ClosedByNode)
            } else {
                Ok(())
            };
        }
        if idle_for >= self.node.client_limits().head_timeout.duration() && self.assembler.is_idle() {
            self.reject_with(408, "head-too-slow");
        }
        Ok(())
    }

    /// True if responses to further requests are to be written after this one.
    fn has_requests_behind(&self, ready: &ReadyResponse) -> bool {
        ready.keep_alive && !self.pending.is_empty()
    }

    /// Holds a response that may break off. It stays the next one to be written.
    fn hold(&mut self, ready: ReadyResponse) {
        let node = self.node.clone();
        self.pending.push_front(Box::pin(async move { ready.hold(&node).await }));
    }

    async fn write(&mut self, ready: ReadyResponse) -> Result<(), End> {
        let ReadyResponse { response, keep_alive, is_head, guards: _guards } = ready;
        let is_last = self.is_idle();
        let is_after_input = self.input_ended && self.pending.is_empty();
        let is_stopping = self.node.stop.is_stopping() && is_last;
        let closes = !keep_alive || is_stopping || is_after_input || self.request_body_unread();
        let limit = self.node.client_limits().idle_timeout.duration().max(Duration::from_secs(1));
        let mut writing = pin!(write_response(&mut self.output, response, !closes, is_head, limit));
        let written = loop {
            let may_read = self.read_ahead.is_none() && !self.assembler.is_blocked();
            tokio::select! {
                biased;
                written = &mut writing => break written,
                frame = next_frame(&mut self.read_ahead, &mut self.requests, self.input_ended), if may_read => {
                    if has_client_left(&frame) {
                        return Err(End::ClosedByClient);
                    }
                    self.read_ahead = frame;
                }
            }
        };
        written.map_err(|error| match error {
            WriteError::BodyIncomplete => End::ClosedByNode,
            WriteError::Connection => End::ClosedByClient,
        })?;
        self.last_active = Instant::now();
        if closes { Err(End::ClosedByNode) } else { Ok(()) }
    }

    /// Closes the connection so that the client receives all that was written. The node does not stop before.
    async fn close(self) {
        let Connection { node, requests, output, permit, pending, assembler, .. } = self;
        drop((pending, assembler));
        let Ok(stream) = requests.into_inner().reunite(output) else { return };
        let mut closing = Closing::new(stream);
        let delivery = node.stop.track_delivery();
        permit.mark_busy();
        closing.send_rest().await;
        permit.mark_idle();
        // Everything was sent. A stop does not wait until the client notices the close: where clients keep
        // coming, there is always one that has not.
        drop(delivery);
        tokio::select! {
            () = closing.wait_for_peer() => {}
            () = permit.evicted() => {}
        }
    }

    /// True when a request was answered before its body had been read completely.
    fn request_body_unread(&self) -> bool {
        self.assembler.is_streaming() && self.pending.is_empty()
    }
}
