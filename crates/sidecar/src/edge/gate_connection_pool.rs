//! Pool of keep-alive connections to the gates of other machines.
//!
//! Open connections may fail silently, all at once and without a reset, while new ones work. An idle
//! connection shows this only by an exchange that gets no reply; the connections that have been idle since
//! before that exchange are then discarded together.
//!
//! An idle connection is closed when its machine leaves, when it has been idle for too long, and when the pool
//! has no room for it: each holds a descriptor, of which a node has few, and accepting a connection or asking
//! another node for the configuration needs one.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use tokio::time::Instant;

use crate::gate_protocol::{self, GateStream};
use crate::transport;

/// Timeout for connecting to a gate.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Idle time after which a connection is closed.
const MAX_IDLE_TIME: Duration = Duration::from_secs(20);
/// Maximum number of idle connections per gate.
const MAX_IDLE_PER_GATE: usize = 48;

struct IdleConnection {
    stream: GateStream,
    /// End of its last exchange.
    since: Instant,
}

/// A connection to a gate, taken from the pool or opened.
pub struct GateConnection {
    /// The connection.
    pub stream: GateStream,
    /// True when it was idle in the pool, so that it may have silently failed since its last exchange.
    pub is_reused: bool,
}

/// Idle connections by gate, the one that was used last at the end.
pub struct GateConnectionPool {
    max_idle: usize,
    idle: RefCell<HashMap<SocketAddr, Vec<IdleConnection>>>,
    idle_count: Cell<usize>,
}

/// True when the connection is open and no data has arrived on it.
fn is_reusable(stream: &GateStream) -> bool {
    let mut byte = [0];
    let result = stream.get_ref().try_read(&mut byte);
    let is_waiting = matches!(result, Err(error) if error.kind() == std::io::ErrorKind::WouldBlock);
    is_waiting && stream.read_buffer().is_empty()
}

/// Opens a new connection to the gate at `address`.
pub async fn connect(address: SocketAddr) -> std::io::Result<GateStream> {
    Ok(gate_protocol::framed(transport::connect(address, CONNECT_TIMEOUT).await?))
}

impl GateConnectionPool {
    /// Creates a pool that holds at most `max_idle` idle connections, to all gates together.
    pub fn new(max_idle: usize) -> Self {
        GateConnectionPool { max_idle, idle: RefCell::default(), idle_count: Cell::new(0) }
    }

    /// Takes an idle connection to the gate at `address`, or opens a new one.
    pub async fn connection(&self, address: SocketAddr) -> std::io::Result<GateConnection> {
        match self.take(address) {
            Some(stream) => Ok(GateConnection { stream, is_reused: true }),
            None => Ok(GateConnection { stream: connect(address).await?, is_reused: false }),
        }
    }

    fn take(&self, address: SocketAddr) -> Option<GateStream> {
        let now = Instant::now();
        let mut by_gate = self.idle.borrow_mut();
        let idle = by_gate.get_mut(&address)?;
        while let Some(candidate) = idle.pop() {
            self.idle_count.set(self.idle_count.get() - 1);
            if now.duration_since(candidate.since) < MAX_IDLE_TIME && is_reusable(&candidate.stream) {
                return Some(candidate.stream);
            }
        }
        None
    }

    /// Closes the idle connections that `is_kept` excludes.
    fn retain(&self, is_kept: impl Fn(&SocketAddr, &IdleConnection) -> bool) {
        let mut by_gate = self.idle.borrow_mut();
        by_gate.retain(|address, idle| {
            idle.retain(|candidate| is_kept(address, candidate));
            !idle.is_empty()
        });
        self.idle_count.set(by_gate.values().map(Vec::len).sum());
    }

    /// Discards the connections to the gate at `address` that have been idle since before `since`.
    pub fn discard_idle_since(&self, address: SocketAddr, since: Instant) {
        self.retain(|gate, candidate| *gate != address || candidate.since > since);
    }

    /// Closes the connections to machines other than `machines`.
    pub fn retain_machines(&self, machines: &HashSet<IpAddr>) {
        self.retain(|gate, _| machines.contains(&gate.ip()));
    }

    /// Closes the connections that have been idle for too long.
    pub fn expire(&self) {
        let now = Instant::now();
        self.retain(|_, candidate| now.duration_since(candidate.since) < MAX_IDLE_TIME);
    }

    /// Number of idle connections.
    pub fn idle_count(&self) -> usize {
        self.idle_count.get()
    }

    /// Returns a connection to the pool after a complete exchange. Where there is no room for it, the one that
    /// has been idle longest is closed.
    pub fn keep(&self, address: SocketAddr, stream: GateStream) {
        let own_count = self.idle.borrow().get(&address).map_or(0, Vec::len);
        if own_count >= MAX_IDLE_PER_GATE {
            self.close_longest_idle(Some(address));
        } else if self.idle_count.get() >= self.max_idle {
            self.close_longest_idle(None);
        }
        let connection = IdleConnection { stream, since: Instant::now() };
        self.idle.borrow_mut().entry(address).or_default().push(connection);
        self.idle_count.set(self.idle_count.get() + 1);
    }

    /// Closes the connection that has been idle longest, to this gate or to any.
    fn close_longest_idle(&self, gate: Option<SocketAddr>) {
        let mut by_gate = self.idle.borrow_mut();
        let candidates = by_gate.iter_mut().filter(|(address, _)| gate.is_none_or(|gate| gate == **address));
        let with_oldest = candidates.filter_map(|(_, idle)| Some((idle.first()?.since, idle)));
        let Some((_, idle)) = with_oldest.min_by_key(|(since, _)| *since) else { return };
        idle.remove(0);
        self.idle_count.set(self.idle_count.get() - 1);
    }
}
