//! Kept connections to the gates of other machines.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;

use crate::gate_protocol::{self, GateStream};
use crate::transport;

/// Time limit of a connection to a gate.
const CONNECT_LIMIT: Duration = Duration::from_millis(400);
/// Rest after which a connection is not used again.
const LONGEST_REST: Duration = Duration::from_secs(20);
/// Most connections that rest, for each gate.
const MOST_RESTING: usize = 48;

struct Resting {
    stream: GateStream,
    since: Instant,
}

/// Connections that rest, by gate.
#[derive(Default)]
pub struct GateConnectionPool {
    resting: RefCell<HashMap<SocketAddr, Vec<Resting>>>,
}

/// True when the connection is open and nothing has arrived on it.
fn is_clean(stream: &GateStream) -> bool {
    let mut byte = [0];
    let nothing = stream.get_ref().try_read(&mut byte);
    let is_waiting = matches!(nothing, Err(error) if error.kind() == std::io::ErrorKind::WouldBlock);
    is_waiting && stream.read_buffer().is_empty()
}

impl GateConnectionPool {
    /// A connection to the gate at `address`: one that rests, or a new one.
    pub async fn connection(&self, address: SocketAddr) -> std::io::Result<GateStream> {
        match self.take(address) {
            Some(stream) => Ok(stream),
            None => Ok(gate_protocol::framed(transport::connect(address, CONNECT_LIMIT).await?)),
        }
    }

    fn take(&self, address: SocketAddr) -> Option<GateStream> {
        let now = Instant::now();
        let mut all = self.resting.borrow_mut();
        let resting = all.get_mut(&address)?;
        while let Some(candidate) = resting.pop() {
            if now.duration_since(candidate.since) < LONGEST_REST && is_clean(&candidate.stream) {
                return Some(candidate.stream);
            }
        }
        None
    }

    /// Keeps a connection whose exchange is whole.
    pub fn keep(&self, address: SocketAddr, stream: GateStream) {
        let mut all = self.resting.borrow_mut();
        let resting = all.entry(address).or_default();
        if resting.len() >= MOST_RESTING {
            resting.remove(0);
        }
        resting.push(Resting { stream, since: Instant::now() });
    }
}
