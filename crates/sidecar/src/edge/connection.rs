//! One connection of a client or of the instance.
//!
//! Requests are read ahead, so that those a client sends before the first is answered do
//! not wait in a row; answers go out in the order of the requests. A client that closes is
//! noticed while its requests wait or run, and they are dropped with the connection.

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
use tokio::time::Instant;
use tokio_util::codec::FramedRead;

use crate::connection_limit::ConnectionPermit;
use crate::edge::local_response::OwnAnswer;
use crate::edge::request_assembly::{Intake, TakenRequest};
use crate::edge::request_handler;
use crate::lineage::ConnectionEvidence;
use crate::model::ClientLimits;
use crate::reply::{Body, IncompleteBody, Response};
use crate::state::Node;
use crate::stop::InFlightGuard;

/// Most requests of one connection that are read ahead.
const READ_AHEAD: usize = 32;

/// Bytes that are read over at a time.
const READ_OVER_BYTES: usize = 512;

/// An answer that is ready to be written.
struct Ready {
    answer: Response,
    client_keeps: bool,
    is_head: bool,
    _in_flight: InFlightGuard,
}

struct Connection {
    node: Rc<Node>,
    limits: ClientLimits,
    requests: FramedRead<OwnedReadHalf, RequestDecoder>,
    answers: OwnedWriteHalf,
    intake: Intake,
    pending: FuturesOrdered<LocalBoxFuture<'static, Ready>>,
    last_active: Instant,
    place: ConnectionPermit,
    /// What its requests showed of whose connection it is.
    evidence: Rc<Cell<ConnectionEvidence>>,
    /// No more requests are read: the client said that it closes, or sent what can't be read.
    input_ended: bool,
}

/// Why a connection ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    /// The client closed or broke off.
    Client,
    /// The node closes it.
    Node,
}

/// Serves a connection to its end.
pub async fn serve(node: Rc<Node>, stream: TcpStream, place: ConnectionPermit) {
    let limits = node.routes().map(|routes| routes.limits()).unwrap_or_default();
    let (reading, answers) = stream.into_split();
    let decoder = RequestDecoder::new(limits.max_head_bytes as usize, limits.max_body_bytes);
    let mut connection = Connection {
        node,
        limits,
        requests: FramedRead::new(reading, decoder),
        answers,
        intake: Intake::default(),
        pending: FuturesOrdered::new(),
        last_active: Instant::now(),
        place,
        evidence: Rc::default(),
        input_ended: false,
    };
    while connection.step().await.is_ok() {}
}

/// The next piece of a request; `None` when the client has closed. Once no more requests are to
/// be read, what still comes is read over and only the end is told.
async fn next_frame(
    requests: &mut FramedRead<OwnedReadHalf, RequestDecoder>,
    input_ended: bool,
) -> Option<Result<Frame<RequestHead>, DecodeError>> {
    if !input_ended {
        return requests.next().await;
    }
    let input = requests.get_mut();
    let mut read_over = [0; READ_OVER_BYTES];
    while matches!(input.read(&mut read_over).await, Ok(1..)) {}
    None
}

/// What a connection waits for.
enum Event {
    Ready(Ready),
    Frame(Option<Result<Frame<RequestHead>, DecodeError>>),
    Room,
    Timer,
    Closing,
}

impl Connection {
    /// Waits for one event and follows it.
    async fn step(&mut self) -> Result<(), End> {
        match self.next_event().await {
            Event::Ready(ready) => self.write(ready).await,
            Event::Frame(Some(Ok(frame))) => {
                self.last_active = Instant::now();
                self.take_frame(frame).await
            }
            Event::Frame(Some(Err(error))) => self.reject(&error),
            Event::Frame(None) => Err(End::Client),
            Event::Room => Ok(()),
            Event::Timer => self.check_rest(),
            Event::Closing => {
                if self.is_at_rest() {
                    Err(End::Node)
                } else {
                    Ok(())
                }
            }
        }
    }

    async fn next_event(&mut self) -> Event {
        let may_read = !self.intake.is_full() && !self.input_ended && self.pending.len() < READ_AHEAD;
        let watches_end = self.input_ended && !self.pending.is_empty();
        let is_full = self.intake.is_full();
        let waits = !self.pending.is_empty();
        let at_rest = self.is_at_rest();
        if at_rest {
            self.place.mark_idle();
        } else {
            self.place.mark_busy();
        }
        let tick = Instant::now() + self.limits.head_timeout.duration();
        tokio::select! {
            biased;
            // First: a client that has left already is not to be served.
            frame = next_frame(&mut self.requests, self.input_ended), if may_read || watches_end => Event::Frame(frame),
            Some(ready) = self.pending.next(), if waits => Event::Ready(ready),
            () = self.intake.make_room(), if is_full => Event::Room,
            () = self.node.stop.closing(), if at_rest => Event::Closing,
            () = self.place.evicted(), if at_rest => Event::Closing,
            () = tokio::time::sleep_until(tick), if !waits => Event::Timer,
        }
    }

    /// True between requests, with nothing read or to be written.
    fn is_at_rest(&self) -> bool {
        self.pending.is_empty() && self.intake.is_idle() && self.requests.read_buffer().is_empty()
    }

    async fn take_frame(&mut self, frame: Frame<RequestHead>) -> Result<(), End> {
        if let Frame::Head(head, _) = &frame
            && head.fields.lists_token("expect", "100-continue")
            && self.pending.is_empty()
        {
            self.answers.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await.map_err(|_| End::Client)?;
        }
        if let Some(taken) = self.intake.accept(frame) {
            self.start(taken);
        }
        Ok(())
    }

    fn start(&mut self, taken: TakenRequest) {
        let client_keeps = taken.head.keeps_connection();
        let is_head = taken.head.method == "HEAD";
        self.input_ended |= !client_keeps && self.intake.is_idle();
        let node = self.node.clone();
        let evidence = self.evidence.clone();
        let in_flight = node.stop.track_request();
        self.pending.push_back(Box::pin(async move {
            let answer = request_handler::answer(&node, taken, &evidence).await;
            Ready { answer, client_keeps, is_head, _in_flight: in_flight }
        }));
    }

    /// Answers what can't be read; nothing behind it on this connection can be read either.
    fn reject(&mut self, error: &DecodeError) -> Result<(), End> {
        let (status, reason) = match error {
            DecodeError::Io(_) | DecodeError::Incomplete => return Err(End::Client),
            DecodeError::HeadTooLarge => (431, "head-too-large"),
            DecodeError::BodyTooLarge => (413, "body-too-large"),
            DecodeError::Malformed(reason) => (400, *reason),
        };
        self.reject_with(status, reason);
        Ok(())
    }

    fn reject_with(&mut self, status: u16, reason: &'static str) {
        self.input_ended = true;
        self.intake = Intake::Idle;
        let answer = OwnAnswer::Rejected { status, reason }.to_answer(&self.node.wire_names, None);
        let ready =
            Ready { answer, client_keeps: false, is_head: false, _in_flight: self.node.stop.track_request() };
        self.pending.push_back(Box::pin(std::future::ready(ready)));
    }

    /// Looks whether the connection has rested, or a head has been on its way, too long.
    fn check_rest(&mut self) -> Result<(), End> {
        let rested = self.last_active.elapsed();
        if self.is_at_rest() {
            return if rested >= self.limits.idle_timeout.duration() { Err(End::Node) } else { Ok(()) };
        }
        if rested >= self.limits.head_timeout.duration() && self.intake.is_idle() {
            self.reject_with(408, "head-too-slow");
        }
        Ok(())
    }

    async fn write(&mut self, ready: Ready) -> Result<(), End> {
        let Ready { answer, client_keeps, is_head, _in_flight } = ready;
        let is_last = self.pending.is_empty() && self.intake.is_idle() && self.requests.read_buffer().is_empty();
        let keep = client_keeps && !(self.node.stop.is_stopping() && is_last) && !self.intake_was_cut();
        let limit = self.limits.idle_timeout.duration().max(Duration::from_secs(1));
        let writing = write_answer(&mut self.answers, answer, keep, is_head, limit);
        writing.await.map_err(|_| End::Client)?;
        self.last_active = Instant::now();
        if keep { Ok(()) } else { Err(End::Node) }
    }

    /// True when a request was answered before its body was read whole.
    fn intake_was_cut(&self) -> bool {
        matches!(self.intake, Intake::Feeding { .. }) && self.pending.is_empty()
    }
}

/// Writes an answer; each piece has to go out within `limit`.
async fn write_answer(
    out: &mut OwnedWriteHalf,
    answer: Response,
    keep: bool,
    is_head: bool,
    limit: Duration,
) -> Result<(), IncompleteBody> {
    let Response { head, body, .. } = answer;
    let mut buffer = BytesMut::new();
    match body {
        Body::Whole(bytes) => {
            let length = if bytes.is_empty() { BodyLength::None } else { BodyLength::Known(bytes.len() as u64) };
            head.write(length, keep, &mut buffer);
            if !is_head {
                buffer.put_slice(&bytes);
            }
            write_piece(out, &buffer, limit).await
        }
        Body::Stream(mut pieces, length) => {
            let framing = length.map_or(BodyLength::Chunked, BodyLength::Known);
            head.write(framing, keep, &mut buffer);
            while let Some(piece) = pieces.next().await {
                let piece = piece?;
                match framing {
                    BodyLength::Chunked => write_chunk(&piece, &mut buffer),
                    _ => buffer.put_slice(&piece),
                }
                write_piece(out, &buffer, limit).await?;
                buffer.clear();
            }
            if framing == BodyLength::Chunked {
                write_last_chunk(&mut buffer);
            }
            write_piece(out, &buffer, limit).await
        }
    }
}

async fn write_piece(out: &mut OwnedWriteHalf, bytes: &[u8], limit: Duration) -> Result<(), IncompleteBody> {
    match tokio::time::timeout(limit, out.write_all(bytes)).await {
        Ok(Ok(())) => Ok(()),
        _ => Err(IncompleteBody),
    }
}
