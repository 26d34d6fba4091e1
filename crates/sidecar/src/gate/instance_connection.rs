//! Pool of keep-alive connections to the instance beside the node.
//!
//! A connection carries one exchange at a time. It is reused only if the exchange was completed and no
//! further data has arrived since.

use std::cell::{Cell, RefCell};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use olivegate_http1::ResponseDecoder;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::time::Instant;
use tokio_util::codec::FramedRead;

use crate::gate::idle_closes::IdleCloses;
use crate::gate::idle_reuse::IdleReuseLimit;
use crate::model::RetrySafety;
use crate::transport;
use olivegate_clock as clock;

/// Maximum size of a response head in bytes.
const MAX_RESPONSE_HEAD: usize = 64 * 1024;
/// Time limit for connecting to the instance.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Idle time after which a connection isn't reused if the instance announces no timeout.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(6);
/// Safety margin subtracted from the idle timeout that the instance announces.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_millis(800);

/// A connection to the instance.
pub struct InstanceConnection {
    /// Reading half, decoding responses.
    pub responses: FramedRead<OwnedReadHalf, ResponseDecoder>,
    /// Writing half, for requests.
    pub requests: OwnedWriteHalf,
    /// Time for which the connection was idle before this exchange; `None` for a new connection.
    idle_time: Option<Duration>,
}

struct IdleConnection {
    connection: InstanceConnection,
    since: Instant,
    until: Instant,
}

/// Pool of idle connections.
#[derive(Default)]
pub struct InstanceConnections {
    idle: RefCell<Vec<IdleConnection>>,
    reuse_limit: Cell<IdleReuseLimit>,
    closes: Cell<IdleCloses>,
    /// An idle connection was found closed in a way that suggests the end of the instance.
    suspects_end: Cell<bool>,
}

/// State in which an idle connection is found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum IdleState {
    /// The connection is open and nothing has arrived on it.
    Clean,
    /// Data has arrived that belongs to no request.
    UnexpectedData,
    /// The instance has closed the connection.
    Closed,
}

impl InstanceConnection {
    fn new(stream: TcpStream) -> Self {
        let (reading, requests) = stream.into_split();
        let responses = FramedRead::new(reading, ResponseDecoder::new(MAX_RESPONSE_HEAD));
        InstanceConnection { responses, requests, idle_time: None }
    }

    /// State of the connection after it was idle. Reads at most one byte.
    fn idle_state(&self) -> IdleState {
        let mut byte = [0];
        match self.responses.get_ref().try_read(&mut byte) {
            Err(error) if error.kind() != ErrorKind::WouldBlock => IdleState::Closed,
            Ok(0) => IdleState::Closed,
            Err(_) if self.responses.read_buffer().is_empty() => IdleState::Clean,
            Ok(_) | Err(_) => IdleState::UnexpectedData,
        }
    }
}

impl InstanceConnections {
    /// Takes the most recently used idle connection that may carry a request of this retry safety; `None` if
    /// there is none.
    pub fn take(&self, safety: RetrySafety) -> Option<InstanceConnection> {
        let now = Instant::now();
        let max_idle_time = self.reuse_limit.get().max_idle_time(safety, clock::now());
        loop {
            let entry = self.idle.borrow_mut().pop()?;
            let idle_time = now - entry.since;
            if idle_time > max_idle_time {
                self.put_back_or_clear(entry, safety);
                return None;
            }
            let mut connection = entry.connection;
            if now >= entry.until {
                continue;
            }
            match connection.idle_state() {
                IdleState::Clean => {
                    connection.idle_time = Some(idle_time);
                    // A process that ends would have closed this connection, too.
                    self.note_alive();
                    return Some(connection);
                }
                IdleState::Closed => self.note_closed(idle_time),
                IdleState::UnexpectedData => {}
            }
        }
    }

    /// True if, since the last call, a connection was found closed in a way that suggests the end of the
    /// instance: it may have ended while no request was running.
    pub fn take_suspected_end(&self) -> bool {
        self.suspects_end.take()
    }

    /// The instance was seen alive after all closes found so far.
    pub fn note_alive(&self) {
        self.suspects_end.set(false);
        let mut closes = self.closes.get();
        closes.on_alive();
        self.closes.set(closes);
    }

    fn note_closed(&self, idle_time: Duration) {
        let mut closes = self.closes.get();
        if closes.on_closed(idle_time) {
            self.suspects_end.set(true);
        }
        self.closes.set(closes);
    }

    fn note_ended(&self) {
        let mut closes = self.closes.get();
        closes.on_ended();
        self.closes.set(closes);
    }

    /// Handles a connection that was idle for too long; those below it in the pool were idle even longer.
    /// They stay in the pool for requests that are safe to retry. If even those can't use them, the pool is
    /// cleared.
    fn put_back_or_clear(&self, entry: IdleConnection, safety: RetrySafety) {
        let mut idle = self.idle.borrow_mut();
        match safety {
            RetrySafety::Unsafe => idle.push(entry),
            RetrySafety::Safe => idle.clear(),
        }
    }

    /// An exchange broke before its response began. Learns from it if the connection had been idle.
    pub fn on_broken(&self, connection: &InstanceConnection) {
        if let Some(idle_time) = connection.idle_time {
            let mut reuse_limit = self.reuse_limit.get();
            reuse_limit.on_broken(idle_time, clock::now());
            self.reuse_limit.set(reuse_limit);
        }
    }

    /// Opens a new connection.
    pub async fn connect(&self, address: SocketAddr) -> std::io::Result<InstanceConnection> {
        let stream = transport::connect(address, CONNECT_TIMEOUT).await.inspect_err(|error| {
            if error.kind() == ErrorKind::ConnectionRefused {
                self.note_ended();
            }
        })?;
        Ok(InstanceConnection::new(stream))
    }

    /// Returns a connection to the pool after a completed exchange. `idle_timeout` is the one that the
    /// instance announced, if any. The pool holds at most `max_idle` connections.
    pub fn keep(&self, connection: InstanceConnection, idle_timeout: Option<Duration>, max_idle: u32) {
        let idle_timeout =
            idle_timeout.map_or(DEFAULT_IDLE_TIMEOUT, |timeout| timeout.saturating_sub(IDLE_TIMEOUT_MARGIN));
        let since = Instant::now();
        let until = since + idle_timeout;
        let mut idle = self.idle.borrow_mut();
        idle.push(IdleConnection { connection, since, until });
        // The first connection has been idle longest; removing at most one per call keeps the list short.
        let is_expired = idle.first().is_some_and(|oldest| oldest.until < since);
        if is_expired || idle.len() > max_idle as usize {
            idle.remove(0);
        }
    }
}
