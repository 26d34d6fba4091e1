//! Clients of a sidecar.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::http::{Message, read_message};

/// Sends a request on an open connection.
pub fn send(
    stream: &mut TcpStream,
    method: &str,
    path: &str,
    id: &str,
    timeout_ms: u64,
    body: &[u8],
) -> std::io::Result<()> {
    let mut bytes = format!(
        "{method} {path} HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: {id}\r\nX-Timeout-Ms: {timeout_ms}\r\n\
         Content-Length: {}\r\n\r\n",
        body.len()
    )
    .into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// A client's connection.
pub struct Connection {
    pub input: BufReader<TcpStream>,
}

impl Connection {
    /// Opens a connection; each read waits for at most `limit`.
    pub fn open(address: SocketAddr, limit: Duration) -> std::io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(limit))?;
        Ok(Connection { input: BufReader::new(stream) })
    }

    /// Sends a `GET` and waits for its answer.
    pub fn get(&mut self, path: &str, id: &str, timeout_ms: u64) -> std::io::Result<Message> {
        send(self.input.get_mut(), "GET", path, id, timeout_ms, b"")?;
        read_message(&mut self.input)?.ok_or(std::io::ErrorKind::UnexpectedEof.into())
    }
}
