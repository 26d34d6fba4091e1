//! Writes responses to a client's connection.

use std::time::Duration;

use bytes::{BufMut, BytesMut};
use futures::StreamExt;
use olivegate_http1::BodyLength;
use olivegate_http1::head::{write_chunk, write_last_chunk};
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;

use crate::reply::{Body, IncompleteBody, Response};

/// Writes a response; each write must complete within `limit`.
pub async fn write_response(
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
