//! An HTTP/1.1 test client and the requests that it sends.

use std::net::SocketAddr;

use futures::StreamExt;
use olivegate_http1::{Frame, ResponseDecoder, ResponseHead};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio_util::codec::FramedRead;

/// A response as a client receives it.
#[derive(Debug, Clone)]
pub struct ClientResponse {
    pub head: ResponseHead,
    pub body: String,
    /// False when the connection ended before the end of the response.
    pub is_complete: bool,
}

impl ClientResponse {
    pub fn field(&self, name: &str) -> Option<String> {
        self.head.fields.text(name).map(str::to_string)
    }
}

/// The responses on a client connection.
pub type Responses = FramedRead<OwnedReadHalf, ResponseDecoder>;

/// A client connection.
pub struct Client {
    pub writer: OwnedWriteHalf,
    pub responses: Responses,
}

impl Client {
    pub async fn connect(address: SocketAddr) -> Self {
        let (reader, writer) = TcpStream::connect(address).await.unwrap().into_split();
        Client { writer, responses: FramedRead::new(reader, ResponseDecoder::new(65_536)) }
    }

    pub async fn send(&mut self, text: &str) {
        self.writer.write_all(text.as_bytes()).await.unwrap();
    }

    /// Reads the next response; `None` when the connection ended before its head.
    pub async fn next_response(&mut self) -> Option<ClientResponse> {
        Client::read_response(&mut self.responses).await
    }

    /// Reads the next response of `responses`; `None` when the connection ended before its head.
    pub async fn read_response(responses: &mut Responses) -> Option<ClientResponse> {
        let mut head = None;
        let mut body = Vec::new();
        loop {
            match responses.next().await {
                Some(Ok(Frame::Head(read, _))) => head = Some(read),
                Some(Ok(Frame::Data(data))) => body.extend_from_slice(&data),
                Some(Ok(Frame::End)) => {
                    let body = String::from_utf8_lossy(&body).into_owned();
                    return head.map(|head| ClientResponse { head, body, is_complete: true });
                }
                Some(Err(_)) | None => {
                    let body = String::from_utf8_lossy(&body).into_owned();
                    return head.map(|head| ClientResponse { head, body, is_complete: false });
                }
            }
        }
    }

    /// Sends a request and waits for the response.
    pub async fn request(&mut self, text: &str) -> ClientResponse {
        self.send(text).await;
        self.next_response().await.expect("the connection ended before the response")
    }
}

/// Sends one request on a connection of its own, with content of its own in its path. A `POST` has a body.
pub async fn request_once(edge: SocketAddr, method: &str, path: &str, id: &str) -> ClientResponse {
    let mut client = Client::connect(edge).await;
    client.responses.decoder_mut().expect_response_to_head(method == "HEAD");
    let head = format!("{method} {path}{id} HTTP/1.1\r\nHost: shop\r\nx-id: {id}\r\nx-time: 2000\r\n");
    let body = if method == "POST" { "Content-Length: 1\r\n\r\nx" } else { "\r\n" };
    client.request(&(head + body)).await
}

/// A request without a body.
pub fn get(path: &str, id: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nHost: shop\r\nx-id: {id}\r\nx-time: 2000\r\n\r\n")
}

/// A request with an API key and a forged tenant header.
pub fn keyed(path: &str, id: &str, key: &str) -> String {
    format!(
        "GET {path} HTTP/1.1\r\nHost: shop\r\nx-id: {id}\r\nx-time: 2000\r\nx-key: {key}\r\nx-holder: forged\r\n\r\n"
    )
}

/// A call with its own timeout in milliseconds.
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
