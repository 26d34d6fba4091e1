//! Requests and responses of emulated clients, and the checks that a response is complete and belongs to its
//! request.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::{BufMut, Bytes, BytesMut};
use futures::StreamExt;
use olivegate_http1::head::write_chunk;
use olivegate_http1::{BodyLength, Fields, Frame, RequestHead, ResponseDecoder, ResponseHead};
use olivegate_platform::WIRE_NAMES;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio_util::codec::FramedRead;

use super::body_sizes;
use super::record::CallEnd;

/// Maximum size of a response head in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Tenant that clients claim to be; no configuration contains it.
const FORGED_TENANT: &str = "forged";
/// Size of a request body in bytes.
const REQUEST_BODY_BYTES: usize = 1_200;
/// Size of the chunks of a body, in bytes.
const CHUNK_BYTES: usize = 10_000;

/// A request to be sent.
#[derive(Debug, Clone)]
pub struct Request {
    /// Request id.
    pub id: String,
    /// Method.
    pub method: String,
    /// Path.
    pub target: String,
    /// Host header.
    pub host: String,
    /// Credential, if it has one.
    pub key: Option<String>,
    /// Time after which its sender gives up.
    pub timeout: Duration,
    /// Its body is sent in chunks.
    pub is_chunked: bool,
    /// What goes wrong in the middle of its body.
    pub defect: Option<UploadDefect>,
}

/// What goes wrong in the middle of an upload in chunks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UploadDefect {
    /// The size of a chunk is malformed.
    MalformedChunk,
    /// A chunk does not end where its size says.
    MalformedChunkEnd,
    /// The trailer is longer than any limit.
    OversizedTrailer,
    /// The client closes its side of the connection.
    BreaksOff,
    /// The body is larger than the limit, and otherwise sound.
    OverLimit,
}

/// A client connection to a node.
pub struct Connection {
    responses: FramedRead<OwnedReadHalf, ResponseDecoder>,
    requests: OwnedWriteHalf,
}

/// Part of the path that marks requests whose content crashes the instances that run them.
const DEADLY_MARKER: &str = "/deadly-";

/// Path of the deadly content with this number, on a route that begins with `path`.
pub fn deadly_path(path: &str, number: usize) -> String {
    format!("{path}{DEADLY_MARKER}{number}/")
}

/// True for the path of a deadly content.
pub fn is_deadly_target(target: &str) -> bool {
    target.contains(DEADLY_MARKER)
}

/// Reasons in a node's own response that mean that no instance was available to run the request.
const NO_INSTANCE_REASONS: [&str; 2] = ["no-instance", "instance-leaving"];

/// The expected body of a request: different for each id, except for deadly contents, which are always the
/// same.
pub fn request_body(method: &str, target: &str, id: &str) -> Bytes {
    let text = if is_deadly_target(target) { target } else { id };
    let bytes = body_sizes::request_bytes(target).unwrap_or(REQUEST_BODY_BYTES);
    if method == "GET" { Bytes::new() } else { repeat_to_length(text, bytes) }
}

/// The body of a response: the id repeated, so that each chunk shows which request it belongs to.
pub fn response_body(id: &str, bytes: usize) -> Bytes {
    repeat_to_length(id, bytes.max(id.len() + 1))
}

fn repeat_to_length(id: &str, bytes: usize) -> Bytes {
    let mut body = BytesMut::with_capacity(bytes + id.len());
    while body.len() < bytes {
        body.put_slice(id.as_bytes());
        body.put_u8(b'/');
    }
    body.truncate(bytes);
    body.freeze()
}

/// The signature that an instance adds to a response.
pub fn signature(id: &str, status: u16, bytes: usize) -> String {
    format!("{id}.{status}.{bytes}")
}

impl Connection {
    /// Opens a new connection.
    pub async fn open(address: SocketAddr) -> std::io::Result<Self> {
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
        stream.set_nodelay(true)?;
        let (reading, requests) = stream.into_split();
        Ok(Connection { responses: FramedRead::new(reading, ResponseDecoder::new(MAX_HEAD_BYTES)), requests })
    }

    /// Sends a request and reads its response; also returns whether the connection may be reused.
    pub async fn exchange(&mut self, request: &Request) -> (CallEnd, bool) {
        // A node that rejects a body may respond and close the connection before all of it is sent.
        let is_sent = self.send(request).await.is_ok();
        if !is_sent && request.defect.is_none() {
            return (CallEnd::Cut, false);
        }
        self.receive(request).await
    }

    /// Sends a request.
    pub async fn send(&mut self, request: &Request) -> std::io::Result<()> {
        let mut fields = Fields::default();
        fields.add("Host", request.host.clone());
        fields.add(WIRE_NAMES.request_id, request.id.clone());
        fields.add(WIRE_NAMES.time_left_ms, request.timeout.as_millis().to_string());
        if let Some(key) = &request.key {
            fields.add(WIRE_NAMES.credential, key.clone());
            fields.add(WIRE_NAMES.tenant, FORGED_TENANT);
        }
        let (method, target) = (Bytes::from(request.method.clone()), Bytes::from(request.target.clone()));
        let head = RequestHead { method, target, minor_version: 1, fields };
        let body = request_body(&request.method, &request.target, &request.id);
        let length = match body.len() {
            _ if request.is_chunked => BodyLength::Chunked,
            0 => BodyLength::None,
            bytes => BodyLength::Known(bytes as u64),
        };
        let mut buffer = BytesMut::new();
        head.write(length, &mut buffer);
        if !request.is_chunked {
            buffer.put_slice(&body);
            return self.requests.write_all(&buffer).await;
        }
        self.requests.write_all(&buffer).await?;
        self.send_chunks(&body, request.defect).await
    }

    /// Sends a body in chunks. With a defect, at most the first half is sent as it should be.
    async fn send_chunks(&mut self, body: &[u8], defect: Option<UploadDefect>) -> std::io::Result<()> {
        let sound = match defect {
            None | Some(UploadDefect::OverLimit) => body,
            Some(_) => &body[..body.len() / 2],
        };
        let mut buffer = BytesMut::new();
        for chunk in sound.chunks(CHUNK_BYTES) {
            buffer.clear();
            write_chunk(chunk, &mut buffer);
            self.requests.write_all(&buffer).await?;
        }
        buffer.clear();
        match defect {
            None | Some(UploadDefect::OverLimit) => buffer.put_slice(b"0\r\nx-trailer: a\r\n\r\n"),
            Some(UploadDefect::MalformedChunk) => buffer.put_slice(b"size\r\n"),
            Some(UploadDefect::MalformedChunkEnd) => buffer.put_slice(b"2\r\nabc\r\n0\r\n\r\n"),
            Some(UploadDefect::OversizedTrailer) => {
                buffer.put_slice(b"0\r\nx-trailer: ");
                buffer.put_bytes(b'x', 2 * MAX_HEAD_BYTES);
            }
            Some(UploadDefect::BreaksOff) => return self.requests.shutdown().await,
        }
        self.requests.write_all(&buffer).await
    }

    /// Reads the response to a request that others may have been sent behind.
    pub async fn receive_in_order(&mut self, request: &Request) -> (CallEnd, bool) {
        self.receive_response(request, false).await
    }

    async fn receive(&mut self, request: &Request) -> (CallEnd, bool) {
        self.receive_response(request, true).await
    }

    /// Reads a response. If it `is_last`, nothing may follow it.
    async fn receive_response(&mut self, request: &Request, is_last: bool) -> (CallEnd, bool) {
        let mut head = None;
        let mut body = BytesMut::new();
        loop {
            match self.responses.next().await {
                Some(Ok(Frame::Head(read, _))) => head = Some(read),
                Some(Ok(Frame::Data(data))) => body.put_slice(&data),
                Some(Ok(Frame::End)) => break,
                Some(Err(_)) | None => return (CallEnd::Cut, false),
            }
        }
        let Some(head) = head else { return (CallEnd::Cut, false) };
        let surplus = is_last && !self.responses.read_buffer().is_empty();
        let end = if surplus { CallEnd::WrongAnswer } else { classify_response(request, &head, &body) };
        (end, head.keeps_connection() && !surplus)
    }
}

/// Classifies a complete response to a request.
fn classify_response(request: &Request, head: &ResponseHead, body: &[u8]) -> CallEnd {
    let own_id = head.fields.text(WIRE_NAMES.request_id) == Some(request.id.as_str());
    let signed = head.fields.text(WIRE_NAMES.signature);
    let expected_signature = signature(&request.id, head.status, body.len());
    let is_success = (200..300).contains(&head.status);
    match signed {
        Some(signed) if !own_id || signed != expected_signature => CallEnd::WrongAnswer,
        Some(_) if is_success && *body == response_body(&request.id, body.len())[..] => CallEnd::Answered,
        Some(_) if is_success => CallEnd::WrongAnswer,
        Some(_) => CallEnd::InstanceFailed(head.status),
        None if is_success => CallEnd::WrongAnswer,
        None => {
            let names_return = head.fields.get(WIRE_NAMES.retry_after).is_some();
            let is_named = |reason: &&str| reason.as_bytes() == body.trim_ascii();
            let lacks_instance = NO_INSTANCE_REASONS.into_iter().find(is_named);
            CallEnd::NodeFailed { status: head.status, names_return, lacks_instance }
        }
    }
}
