//! A client: connections to a sidecar, and the answers that it receives.

use std::io::{self, ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use crate::deployment::HOST;
use crate::http::{Reader, Summary};

/// How an answer ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// It is complete.
    Complete,
    /// The connection was closed or reset before that.
    Cut,
    /// Nothing more came within the time limit.
    TimedOut,
}

/// An answer, as far as it came.
#[derive(Debug, Clone)]
pub struct Received {
    /// 0 if no head came.
    pub status: u16,
    pub id: String,
    pub is_signed: bool,
    pub closes: bool,
    pub body: Summary,
    pub end: End,
    pub error: String,
}

impl Received {
    /// Text for the record.
    pub fn text(&self) -> String {
        format!(
            "status {}, id {}, signed {}, close {}, body of {} bytes, {:?} {}",
            self.status, self.id, self.is_signed, self.closes, self.body.length, self.end, self.error
        )
    }
}

/// A connection of a client.
pub struct Client {
    stream: TcpStream,
    reader: Reader,
}

/// Head of a request; `framing` holds the header lines on its body.
pub fn request_head(method: &str, path: &str, id: &str, timeout_ms: u32, framing: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\nX-Timeout-Ms: {timeout_ms}\r\n{framing}\r\n"
    )
}

impl Client {
    /// Connects to a sidecar.
    pub fn connect(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        Ok(Client { reader: Reader::new(stream.try_clone()?), stream })
    }

    /// The stream for writing requests.
    pub fn stream(&mut self) -> &mut TcpStream {
        &mut self.stream
    }

    /// Sends a request without a body.
    pub fn get(&mut self, path: &str, id: &str, timeout_ms: u32) -> io::Result<()> {
        self.stream.write_all(request_head("GET", path, id, timeout_ms, "").as_bytes())
    }

    /// Reads one answer until `until`.
    pub fn receive(&mut self, until: Instant) -> Received {
        let mut received = Received {
            status: 0,
            id: String::new(),
            is_signed: false,
            closes: false,
            body: Summary::empty(),
            end: End::Cut,
            error: String::new(),
        };
        let left = until.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
        // The limit holds for each read; answers that stall are found at the first read that brings nothing.
        let _ = self.stream.set_read_timeout(Some(left));
        let result = self.reader.head().and_then(|head| {
            received.status = head.word(1).parse().unwrap_or(0);
            received.id = head.field("x-request-id").unwrap_or_default().to_string();
            received.is_signed = head.field("x-server-signature").is_some();
            received.closes = head.field("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"));
            let (body, result) = self.reader.body(&head);
            received.body = body;
            result
        });
        match result {
            Ok(()) => received.end = End::Complete,
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                received.end = End::TimedOut;
            }
            Err(error) => received.error = format!("({:?})", error.kind()),
        }
        received
    }
}
