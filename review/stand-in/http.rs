//! Reading and writing of HTTP/1.1 messages, as much as the stand-ins need.

use std::io::{self, ErrorKind, Read, Write};
use std::net::TcpStream;

/// Head of a request or a response: the first line and the header fields.
pub struct Head {
    pub start: String,
    fields: Vec<(String, String)>,
}

impl Head {
    /// Value of a header field.
    pub fn field(&self, name: &str) -> Option<&str> {
        let found = self.fields.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// The word of the first line at `index`: method, target or status.
    pub fn word(&self, index: usize) -> &str {
        self.start.split(' ').nth(index).unwrap_or_default()
    }

    fn is_chunked(&self) -> bool {
        self.field("transfer-encoding").is_some_and(|coding| coding.eq_ignore_ascii_case("chunked"))
    }

    fn length(&self) -> usize {
        self.field("content-length").and_then(|length| length.parse().ok()).unwrap_or_default()
    }
}

/// What is known of a body: its length and a checksum, and whether its end has been seen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Summary {
    pub length: usize,
    pub checksum: u64,
    pub is_complete: bool,
}

impl Summary {
    /// Summary of a body of which nothing has been read yet.
    pub fn empty() -> Self {
        Summary { length: 0, checksum: 0xcbf2_9ce4_8422_2325, is_complete: false }
    }

    /// Summary of a complete body.
    pub fn of(body: &[u8]) -> Self {
        let mut summary = Summary::empty();
        summary.add(body);
        summary.is_complete = true;
        summary
    }

    fn add(&mut self, bytes: &[u8]) {
        self.length += bytes.len();
        for byte in bytes {
            self.checksum = (self.checksum ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }
}

/// Reads messages from a connection.
pub struct Reader {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    /// Reads from `stream`.
    pub fn new(stream: TcpStream) -> Self {
        Reader { stream, buffer: Vec::new() }
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut bytes = [0; 16 * 1024];
        let length = self.stream.read(&mut bytes)?;
        if length == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        self.buffer.extend_from_slice(&bytes[..length]);
        Ok(())
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|window| window == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                return Ok(line);
            }
            self.fill()?;
        }
    }

    /// Reads a head.
    pub fn head(&mut self) -> io::Result<Head> {
        let start = self.line()?;
        let mut fields = Vec::new();
        loop {
            let line = self.line()?;
            if line.is_empty() {
                return Ok(Head { start, fields });
            }
            let (name, value) = line.split_once(':').ok_or(ErrorKind::InvalidData)?;
            fields.push((name.to_string(), value.trim().to_string()));
        }
    }

    fn take(&mut self, mut length: usize, summary: &mut Summary) -> io::Result<()> {
        while length > 0 {
            if self.buffer.is_empty() {
                self.fill()?;
            }
            let part = length.min(self.buffer.len());
            summary.add(&self.buffer[..part]);
            self.buffer.drain(..part);
            length -= part;
        }
        Ok(())
    }

    /// Reads the body that belongs to `head`. The error says why it ended early.
    pub fn body(&mut self, head: &Head) -> (Summary, io::Result<()>) {
        let mut summary = Summary::empty();
        let result =
            if head.is_chunked() { self.chunks(&mut summary) } else { self.take(head.length(), &mut summary) };
        summary.is_complete = result.is_ok();
        (summary, result)
    }

    fn chunks(&mut self, summary: &mut Summary) -> io::Result<()> {
        loop {
            let line = self.line()?;
            let size = usize::from_str_radix(line.trim(), 16).map_err(|_| ErrorKind::InvalidData)?;
            self.take(size, summary)?;
            self.line()?;
            if size == 0 {
                return Ok(());
            }
        }
    }
}

/// Writes `body` in chunks of `size` bytes.
pub fn write_chunked(stream: &mut TcpStream, body: &[u8], size: usize) -> io::Result<()> {
    for chunk in body.chunks(size) {
        stream.write_all(format!("{:x}\r\n", chunk.len()).as_bytes())?;
        stream.write_all(chunk)?;
        stream.write_all(b"\r\n")?;
    }
    stream.write_all(b"0\r\n\r\n")
}

/// A body of `length` bytes that differs at every place.
pub fn pattern(length: usize) -> Vec<u8> {
    (0..length).map(|index| (index.wrapping_mul(2_654_435_761) >> 13) as u8).collect()
}
