//! Kept connections to the instance beside the node.
//!
//! A connection carries one exchange at a time. It is kept only when the exchange went
//! through to its end and nothing else has arrived since.

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
use crate::gate::idle_reuse::RestTrust;
use crate::model::RetrySafety;
use crate::transport;
use olivegate_clock as clock;

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
    /// How long it rested before this exchange; none when it is new.
    rested: Option<Duration>,
}

struct Resting {
    connection: InstanceConnection,
    since: Instant,
    until: Instant,
}

/// Connections that rest.
#[derive(Default)]
pub struct InstanceConnections {
    resting: RefCell<Vec<Resting>>,
    trust: Cell<RestTrust>,
    closes: Cell<IdleCloses>,
    /// One that rested was found closed in a way that is a sign of an end.
    shows_end: Cell<bool>,
}

/// What a connection that rested looks like.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RestedState {
    /// It is open and nothing has arrived on it.
    Clean,
    /// Bytes have arrived that belong to no request.
    Surplus,
    /// The instance has closed it.
    Closed,
}

impl InstanceConnection {
    fn new(stream: TcpStream) -> Self {
        let (reading, requests) = stream.into_split();
        let answers = FramedRead::new(reading, ResponseDecoder::new(MAX_ANSWER_HEAD));
        InstanceConnection { answers, requests, rested: None }
    }

    /// What has become of the connection while it rested; reads no more than a byte.
    fn rested_state(&self) -> RestedState {
        let mut byte = [0];
        match self.answers.get_ref().try_read(&mut byte) {
            Err(error) if error.kind() != ErrorKind::WouldBlock => RestedState::Closed,
            Ok(0) => RestedState::Closed,
            Err(_) if self.answers.read_buffer().is_empty() => RestedState::Clean,
            Ok(_) | Err(_) => RestedState::Surplus,
        }
    }
}

impl InstanceConnections {
    /// A connection that rests and may carry such a request, the last used first; `None` when
    /// there is none to use.
    pub fn take(&self, safety: RetrySafety) -> Option<InstanceConnection> {
        let now = Instant::now();
        let longest = self.trust.get().longest(safety, clock::now());
        loop {
            let resting = self.resting.borrow_mut().pop()?;
            let rested = now - resting.since;
            if rested > longest {
                self.leave(resting, safety);
                return None;
            }
            let mut connection = resting.connection;
            if now >= resting.until {
                continue;
            }
            match connection.rested_state() {
                RestedState::Clean => {
                    connection.rested = Some(rested);
                    // A process that ends closes this one, too.
                    self.note_alive();
                    return Some(connection);
                }
                RestedState::Closed => self.note_closed(rested),
                RestedState::Surplus => {}
            }
        }
    }

    /// True when a connection was found closed, since this was asked last, as by the end of the instance:
    /// it may have ended while nothing ran.
    pub fn take_sign_of_end(&self) -> bool {
        self.shows_end.take()
    }

    /// The instance was seen to live after all that was found here until now.
    pub fn note_alive(&self) {
        self.shows_end.set(false);
        let mut closes = self.closes.get();
        closes.on_alive();
        self.closes.set(closes);
    }

    fn note_closed(&self, rested: Duration) {
        let mut closes = self.closes.get();
        if closes.on_closed(rested) {
            self.shows_end.set(true);
        }
        self.closes.set(closes);
    }

    fn note_ended(&self) {
        let mut closes = self.closes.get();
        closes.on_ended();
        self.closes.set(closes);
    }

    /// Leaves a connection that rested too long, and those below, which rested longer, for
    /// requests that may run again; closes them when they don't do for those either.
    fn leave(&self, connection: Resting, safety: RetrySafety) {
        let mut resting = self.resting.borrow_mut();
        match safety {
            RetrySafety::Unsafe => resting.push(connection),
            RetrySafety::Safe => resting.clear(),
        }
    }

    /// An exchange on a connection that had rested broke before its answer began.
    pub fn on_broken(&self, connection: &InstanceConnection) {
        if let Some(rested) = connection.rested {
            let mut trust = self.trust.get();
            trust.on_broken(rested, clock::now());
            self.trust.set(trust);
        }
    }

    /// A new connection.
    pub async fn connect(&self, address: SocketAddr) -> std::io::Result<InstanceConnection> {
        let stream = transport::connect(address, CONNECT_LIMIT).await.inspect_err(|error| {
            if error.kind() == ErrorKind::ConnectionRefused {
                self.note_ended();
            }
        })?;
        Ok(InstanceConnection::new(stream))
    }

    /// Keeps a connection whose exchange is whole. `rest` is the time that the instance
    /// keeps it, where it named one. At most `most` rest at a time.
    pub fn keep(&self, connection: InstanceConnection, rest: Option<Duration>, most: u32) {
        let rest = rest.map_or(DEFAULT_REST, |rest| rest.saturating_sub(REST_RESERVE));
        let since = Instant::now();
        let until = since + rest;
        let mut resting = self.resting.borrow_mut();
        resting.push(Resting { connection, since, until });
        // Those at the bottom rest longest; one look a time keeps the list short.
        let is_over = resting.first().is_some_and(|oldest| oldest.until < since);
        if is_over || resting.len() > most as usize {
            resting.remove(0);
        }
    }
}
