//! Pool of keep-alive connections to the gates of other machines.
//!
//! Open connections may fail silently, all at once and without a reset, while new ones work. An idle
//! connection shows this only by an exchange that gets no reply; the connections that have been idle since
//! before that exchange are then discarded together.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;

use crate::gate_protocol::{self, GateStream};
use crate::transport;

/// Timeout for connecting to a gate.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Idle time after which a connection is not reused.
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

/// Idle connections by gate.
#[derive(Default)]
pub struct GateConnectionPool {
    idle: RefCell<HashMap<SocketAddr, Vec<IdleConnection>>>,
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
            if now.duration_since(candidate.since) < MAX_IDLE_TIME && is_reusable(&candidate.stream) {
                return Some(candidate.stream);
            }
        }
        None
    }

    /// Discards the connections to the gate at `address` that have been idle since before `since`.
    pub fn discard_idle_since(&self, address: SocketAddr, since: Instant) {
        if let Some(idle) = self.idle.borrow_mut().get_mut(&address) {
            idle.retain(|candidate| candidate.since > since);
        }
    }

    /// Returns a connection to the pool after a complete exchange.
    pub fn keep(&self, address: SocketAddr, stream: GateStream) {
        let mut by_gate = self.idle.borrow_mut();
        let idle = by_gate.entry(address).or_default();
        if idle.len() >= MAX_IDLE_PER_GATE {
            idle.remove(0);
        }
        idle.push(IdleConnection { stream, since: Instant::now() });
    }
}
