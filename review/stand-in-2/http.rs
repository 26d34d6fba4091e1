//! Just enough HTTP/1.1 for the stand-ins: messages with a length or without a body, over blocking sockets.

use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::TcpStream;

/// Head and body of a request or a response.
#[derive(Debug, Default, Clone)]
pub struct Message {
    /// Request line or status line.
    pub first_line: String,
    /// Header fields with names in lower case.
    pub fields: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
}

impl Message {
    /// Value of the first field of this name (in lower case).
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(other, _)| other == name).map(|(_, value)| value.as_str())
    }

    /// Status of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }

    /// Target of a request.
    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }

    /// True if the sender closes the connection after this message.
    pub fn closes(&self) -> bool {
        self.field("connection").is_some_and(|value| value.to_ascii_lowercase().contains("close"))
    }
}

/// Reads the head of the next message; `None` if the connection ended before one began.
pub fn read_head(input: &mut BufReader<TcpStream>) -> std::io::Result<Option<Message>> {
    let mut message = Message::default();
    if input.read_line(&mut message.first_line)? == 0 {
        return Ok(None);
    }
    message.first_line = message.first_line.trim_end().to_string();
    loop {
        let mut line = String::new();
        if input.read_line(&mut line)? == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some(message));
        }
        if let Some((name, value)) = line.split_once(':') {
            message.fields.push((name.trim().to_ascii_lowercase(), value.trim().to_string()));
        }
    }
}

/// Reads the next message with its body; `None` if the connection ended before one began.
pub fn read_message(input: &mut BufReader<TcpStream>) -> std::io::Result<Option<Message>> {
    let Some(mut message) = read_head(input)? else { return Ok(None) };
    if message.field("transfer-encoding").is_some() {
        read_chunks(input, &mut message.body)?;
    } else if let Some(length) = message.field("content-length").and_then(|text| text.parse().ok()) {
        message.body = vec![0; length];
        input.read_exact(&mut message.body)?;
    }
    Ok(Some(message))
}

fn read_chunks(input: &mut BufReader<TcpStream>, body: &mut Vec<u8>) -> std::io::Result<()> {
    loop {
        let mut line = String::new();
        if input.read_line(&mut line)? == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        let size = usize::from_str_radix(line.trim_end(), 16).map_err(|_| ErrorKind::InvalidData)?;
        let mut chunk = vec![0; size + 2];
        input.read_exact(&mut chunk)?;
        if size == 0 {
            return Ok(());
        }
        body.extend_from_slice(&chunk[..size]);
    }
}

/// Writes a response with these fields and this body.
pub fn write_response(
    output: &mut TcpStream,
    status: &str,
    fields: &[(&str, &str)],
    body: &[u8],
) -> std::io::Result<()> {
    let mut head = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in fields {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    output.write_all(&bytes)
}
