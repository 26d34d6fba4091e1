//! Writes responses to a client's connection.

use std::time::Duration;

use bytes::{BufMut, BytesMut};
use futures::StreamExt;
use olivegate_http1::BodyLength;
use olivegate_http1::head::{write_chunk, write_last_chunk};
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;

use crate::reply::{Body, IncompleteBody, Response};

/// Why a response was not written completely.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteError {
    /// The body broke off. The client has to see that, so the connection must be closed.
    BodyIncomplete,
    /// The client closed the connection, or took nothing within the time limit.
    Connection,
}

impl From<IncompleteBody> for WriteError {
    fn from(_: IncompleteBody) -> Self {
        WriteError::BodyIncomplete
    }
}

/// Writes a response; the client must take some of it within `limit` each time.
pub async fn write_response(
    out: &mut OwnedWriteHalf,
    response: Response,
    keep: bool,
    is_head: bool,
    limit: Duration,
) -> Result<(), WriteError> {
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

async fn write_bytes(out: &mut OwnedWriteHalf, mut bytes: &[u8], limit: Duration) -> Result<(), WriteError> {
    while !bytes.is_empty() {
        let written = tokio::time::timeout(limit, out.write(bytes)).await;
        match written {
            Ok(Ok(count @ 1..)) => bytes = &bytes[count..],
            _ => return Err(WriteError::Connection),
        }
    }
    Ok(())
}
