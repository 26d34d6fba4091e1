//! The part of HTTP/1.1 that the stand-ins need: heads, bodies with a length or in chunks.

use std::io::{BufRead, BufReader, Error, ErrorKind, Read, Result, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A request or a response.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// First line of the head.
    pub first_line: String,
    /// Header fields in their order.
    pub fields: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
}

impl Message {
    /// The value of the first field of this name.
    pub fn field(&self, name: &str) -> Option<&str> {
        let named = |(other, _): &&(String, String)| other.eq_ignore_ascii_case(name);
        self.fields.iter().find(named).map(|(_, value)| value.as_str())
    }

    /// The target of a request.
    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }

    /// The status of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

fn invalid(reason: &str) -> Error {
    Error::new(ErrorKind::InvalidData, reason.to_string())
}

fn read_line(input: &mut impl BufRead) -> Result<Option<String>> {
    let mut line = Vec::new();
    if input.read_until(b'\n', &mut line)? == 0 {
        return Ok(None);
    }
    if !line.ends_with(b"\n") {
        return Err(ErrorKind::UnexpectedEof.into());
    }
    while matches!(line.last(), Some(b'\n' | b'\r')) {
        line.pop();
    }
    String::from_utf8(line).map(Some).map_err(|_| invalid("head"))
}

fn read_exact(input: &mut impl Read, length: usize) -> Result<Vec<u8>> {
    let mut bytes = vec![0; length];
    input.read_exact(&mut bytes)?;
    Ok(bytes)
}

fn read_chunks(input: &mut impl BufRead) -> Result<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let line = read_line(input)?.ok_or(ErrorKind::UnexpectedEof)?;
        let size = line.split(';').next().unwrap_or_default().trim();
        let size = usize::from_str_radix(size, 16).map_err(|_| invalid("chunk size"))?;
        if size == 0 {
            while !read_line(input)?.ok_or(ErrorKind::UnexpectedEof)?.is_empty() {}
            return Ok(body);
        }
        body.extend(read_exact(input, size)?);
        read_line(input)?;
    }
}

/// Reads a message; `None` if the connection ended before it.
pub fn read(input: &mut BufReader<TcpStream>, is_response: bool) -> Result<Option<Message>> {
    let Some(first_line) = read_line(input)? else { return Ok(None) };
    let mut message = Message { first_line, ..Message::default() };
    loop {
        let line = read_line(input)?.ok_or(ErrorKind::UnexpectedEof)?;
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':').ok_or_else(|| invalid("field"))?;
        message.fields.push((name.to_string(), value.trim().to_string()));
    }
    let is_chunked = message.field("Transfer-Encoding").is_some();
    let length = message.field("Content-Length").and_then(|length| length.parse().ok());
    message.body = match (is_chunked, length) {
        (true, _) => read_chunks(input)?,
        (false, Some(length)) => read_exact(input, length)?,
        (false, None) if is_response => {
            let mut rest = Vec::new();
            input.read_to_end(&mut rest)?;
            rest
        }
        (false, None) => Vec::new(),
    };
    Ok(Some(message))
}

/// The bytes of a message with this first line, these fields and this body.
pub fn encode(first_line: &str, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{first_line}\r\n");
    for (name, value) in fields {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Sends one request on a connection of its own and returns the response.
pub fn exchange(address: SocketAddr, request: &[u8], limit: Duration) -> Result<Message> {
    let stream = TcpStream::connect_timeout(&address, limit)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    (&stream).write_all(request)?;
    read(&mut BufReader::new(stream), true)?.ok_or_else(|| ErrorKind::UnexpectedEof.into())
}
