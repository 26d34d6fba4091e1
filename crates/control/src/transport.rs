//! Frames of the control protocol: length, protocol version, borsh content, authentication tag.

use std::io;
use std::time::{Duration, Instant};

use borsh::{BorshDeserialize, BorshSerialize};
use bytes::{Bytes, BytesMut};
use futures::future::{Ready, ready};
use futures::{Sink, SinkExt, Stream, StreamExt};
use olivegate_types::DeploymentKey;
use tarpc::{ClientMessage, Request, Response, ServerError, context, trace};
use tokio::net::TcpStream;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// Maximum frame size, in bytes. It has to fit the records of all members of a large fleet, or a
/// whole bundle.
pub const MAX_FRAME: usize = 8 << 20;
/// First byte of the sealed content of each frame.
const PROTOCOL_VERSION: u8 = 1;

/// Frame sent by a client.
#[derive(BorshSerialize, BorshDeserialize)]
enum ClientFrame<T> {
    Request { id: u64, remaining_us: u64, message: T },
    Cancel { id: u64 },
}

/// Frame sent by a server.
#[derive(BorshSerialize, BorshDeserialize)]
struct ServerFrame<T> {
    id: u64,
    message: Result<T, String>,
}

fn framed(stream: TcpStream) -> Framed<TcpStream, LengthDelimitedCodec> {
    LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME).new_framed(stream)
}

fn encode(content: &impl BorshSerialize, key: &DeploymentKey) -> io::Result<Bytes> {
    let mut bytes = vec![PROTOCOL_VERSION];
    content.serialize(&mut bytes)?;
    Ok(Bytes::from(key.seal(bytes)))
}

fn decode<T: BorshDeserialize>(frame: io::Result<BytesMut>, key: &DeploymentKey) -> io::Result<T> {
    let frame = frame?;
    let content =
        key.open(&frame).ok_or_else(|| invalid("frame is not sealed with the key of this deployment"))?;
    match content.split_first() {
        Some((&PROTOCOL_VERSION, body)) => borsh::from_slice(body),
        _ => Err(invalid("unknown protocol version")),
    }
}

fn invalid(reason: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, reason)
}

fn client_frame<T>(message: ClientMessage<T>) -> io::Result<ClientFrame<T>> {
    match message {
        ClientMessage::Request(request) => {
            let remaining = request.context.deadline.saturating_duration_since(Instant::now());
            let remaining_us = remaining.as_micros() as u64;
            Ok(ClientFrame::Request { id: request.id, remaining_us, message: request.message })
        }
        ClientMessage::Cancel { request_id, .. } => Ok(ClientFrame::Cancel { id: request_id }),
        _ => Err(invalid("unknown client message")),
    }
}

fn client_message<T>(frame: ClientFrame<T>) -> ClientMessage<T> {
    match frame {
        ClientFrame::Request { id, remaining_us, message } => {
            let mut context = context::current();
            context.deadline = Instant::now() + Duration::from_micros(remaining_us);
            ClientMessage::Request(Request { context, id, message })
        }
        ClientFrame::Cancel { id } => {
            ClientMessage::Cancel { trace_context: trace::Context::default(), request_id: id }
        }
    }
}

/// Transport of the client side of a connection.
pub fn client_transport<Req, Resp>(
    stream: TcpStream,
    key: DeploymentKey,
) -> impl Stream<Item = io::Result<Response<Resp>>> + Sink<ClientMessage<Req>, Error = io::Error> + Unpin
where
    Req: BorshSerialize,
    Resp: BorshDeserialize,
{
    let read_key = key.clone();
    let write = move |message: ClientMessage<Req>| -> Ready<io::Result<Bytes>> {
        ready(client_frame(message).and_then(|frame| encode(&frame, &key)))
    };
    framed(stream).with(write).map(move |frame| {
        let frame: ServerFrame<Resp> = decode(frame, &read_key)?;
        let message = frame.message.map_err(|detail| ServerError::new(io::ErrorKind::Other, detail));
        Ok(Response { request_id: frame.id, message })
    })
}

/// Transport of the server side of a connection.
pub fn server_transport<Req, Resp>(
    stream: TcpStream,
    key: DeploymentKey,
) -> impl Stream<Item = io::Result<ClientMessage<Req>>> + Sink<Response<Resp>, Error = io::Error> + Unpin
where
    Req: BorshDeserialize,
    Resp: BorshSerialize,
{
    let read_key = key.clone();
    let write = move |response: Response<Resp>| -> Ready<io::Result<Bytes>> {
        let message = response.message.map_err(|error| error.detail);
        ready(encode(&ServerFrame { id: response.request_id, message }, &key))
    };
    framed(stream).with(write).map(move |frame| decode(frame, &read_key).map(client_message))
}
