//! Clients and the requests that they write.

use std::net::SocketAddr;

use futures::StreamExt;
use olivegate_http1::{Frame, ResponseDecoder, ResponseHead};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio_util::codec::FramedRead;

/// A whole answer as a client sees it.
#[derive(Debug, Clone)]
pub struct ClientAnswer {
    pub head: ResponseHead,
    pub body: String,
    /// False when the connection ended inside the answer.
    pub whole: bool,
}

impl ClientAnswer {
    pub fn field(&self, name: &str) -> Option<String> {
        self.head.fields.text(name).map(str::to_string)
    }
}

/// A client's connection.
pub struct Client {
    pub writing: tokio::net::tcp::OwnedWriteHalf,
    answers: FramedRead<tokio::net::tcp::OwnedReadHalf, ResponseDecoder>,
}

impl Client {
    pub async fn connect(address: SocketAddr) -> Self {
        let (reading, writing) = TcpStream::connect(address).await.unwrap().into_split();
        Client { writing, answers: FramedRead::new(reading, ResponseDecoder::new(65_536)) }
    }

    pub async fn send(&mut self, text: &str) {
        self.writing.write_all(text.as_bytes()).await.unwrap();
    }

    /// The next answer; `None` when the connection ended before it.
    pub async fn answer(&mut self) -> Option<ClientAnswer> {
        let mut head = None;
        let mut body = Vec::new();
        loop {
            match self.answers.next().await {
                Some(Ok(Frame::Head(read, _))) => head = Some(read),
                Some(Ok(Frame::Data(data))) => body.extend_from_slice(&data),
                Some(Ok(Frame::End)) => {
                    let body = String::from_utf8_lossy(&body).into_owned();
                    return head.map(|head| ClientAnswer { head, body, whole: true });
                }
                Some(Err(_)) | None => {
                    let body = String::from_utf8_lossy(&body).into_owned();
                    return head.map(|head| ClientAnswer { head, body, whole: false });
                }
            }
        }
    }

    pub async fn ask(&mut self, text: &str) -> ClientAnswer {
        self.send(text).await;
        self.answer().await.expect("an answer")
    }
}

/// A request without a body.
pub fn get(path: &str, id: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nHost: shop\r\nx-id: {id}\r\nx-time: 2000\r\n\r\n")
}

/// A request with a key, by a client that names itself another tenant.
pub fn keyed(path: &str, id: &str, key: &str) -> String {
    format!(
        "GET {path} HTTP/1.1\r\nHost: shop\r\nx-id: {id}\r\nx-time: 2000\r\nx-key: {key}\r\nx-holder: forged\r\n\r\n"
    )
}

/// A call with a limit of its own, in milliseconds.
pub fn call(path: &str, id: &str, limit_ms: u64) -> String {
    format!("GET {path} HTTP/1.1\r\nHost: shop\r\nx-id: {id}\r\nx-time: {limit_ms}\r\n\r\n")
}

/// A request with a body.
pub fn post(path: &str, id: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "POST {path} HTTP/1.1\r\nHost: shop\r\nx-id: {id}\r\nx-time: 2000\r\nContent-Length: {length}\r\n\r\n{body}"
    )
}
