//! Kept connections to the instance beside the node.
//!
//! A connection carries one exchange at a time. It is kept only when the exchange went
//! through to its end and nothing else has arrived since.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;

use olivegate_http1::ResponseDecoder;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::time::Instant;
use tokio_util::codec::FramedRead;

use crate::transport;

/// Longest head of an answer in bytes.
const MAX_ANSWER_HEAD: usize = 64 * 1024;
/// Time limit of a connection to the instance.
const CONNECT_LIMIT: Duration = Duration::from_millis(500);
/// Rest after which a connection is not used again, where the instance names none.
const DEFAULT_REST: Duration = Duration::from_secs(6);
/// Kept back from the rest that the instance names.
const REST_RESERVE: Duration = Duration::from_millis(800);

/// A connection to the instance.
pub struct InstanceConnection {
    /// Answers.
    pub answers: FramedRead<OwnedReadHalf, ResponseDecoder>,
    /// Requests.
    pub requests: OwnedWriteHalf,
}

struct Resting {
    connection: InstanceConnection,
    until: Instant,
}

/// Connections that rest.
#[derive(Default)]
pub struct InstanceConnections {
    resting: RefCell<Vec<Resting>>,
}

impl InstanceConnection {
    fn new(stream: TcpStream) -> Self {
        let (reading, requests) = stream.into_split();
        InstanceConnection { answers: FramedRead::new(reading, ResponseDecoder::new(MAX_ANSWER_HEAD)), requests }
    }

    /// True when the connection is open and nothing has arrived on it.
    fn is_clean(&self) -> bool {
        let mut byte = [0];
        let nothing = self.answers.get_ref().try_read(&mut byte);
        let is_waiting = matches!(nothing, Err(error) if error.kind() == std::io::ErrorKind::WouldBlock);
        is_waiting && self.answers.read_buffer().is_empty()
    }
}

impl InstanceConnections {
    /// A connection that rests, the last used first; `None` when there is none to use.
    pub fn take(&self) -> Option<InstanceConnection> {
        let now = Instant::now();
        loop {
            let resting = self.resting.borrow_mut().pop()?;
            if now < resting.until && resting.connection.is_clean() {
                return Some(resting.connection);
            }
        }
    }

    /// A new connection.
    pub async fn connect(&self, address: SocketAddr) -> std::io::Result<InstanceConnection> {
        let stream = transport::connect(address, CONNECT_LIMIT).await?;
        Ok(InstanceConnection::new(stream))
    }

    /// Keeps a connection whose exchange is whole. `rest` is the time that the instance
    /// keeps it, where it named one.
    pub fn keep(&self, connection: InstanceConnection, rest: Option<Duration>) {
        let rest = rest.map_or(DEFAULT_REST, |rest| rest.saturating_sub(REST_RESERVE));
        let until = Instant::now() + rest;
        let mut resting = self.resting.borrow_mut();
        resting.push(Resting { connection, until });
        // Those at the bottom rest longest; one look a time keeps the list short.
        if resting.first().is_some_and(|oldest| oldest.until < Instant::now()) {
            resting.remove(0);
        }
    }
}
