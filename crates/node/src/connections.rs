//! Kept-alive connections to one address: an instance, or another node's data port.
//!
//! A connection carries one exchange at a time. It goes back to the pool only when
//! the answer's body was read to its end; hyper closes it when an exchange is dropped
//! half-way, so a late answer never meets another request.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::body::AnyBody;
use crate::state::lock;

/// Longest time for a new connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Time for a connection that was just given back to become ready.
const READY_TIMEOUT: Duration = Duration::from_millis(5);

/// Idle connections to one address.
pub struct ConnectionPool {
    address: SocketAddr,
    idle: Mutex<Vec<SendRequest<AnyBody>>>,
}

/// The address can't be reached.
#[derive(Debug, Clone, Copy)]
pub struct Unreachable;

impl ConnectionPool {
    /// An empty pool.
    pub fn new(address: SocketAddr) -> Self {
        ConnectionPool { address, idle: Mutex::default() }
    }

    /// An idle connection, or a new one. `Ok((connection, true))` says it was used before.
    pub async fn take(&self) -> Result<(SendRequest<AnyBody>, bool), Unreachable> {
        while let Some(mut connection) = self.pop() {
            if connection.is_closed() {
                continue;
            }
            let ready = connection.is_ready()
                || matches!(tokio::time::timeout(READY_TIMEOUT, connection.ready()).await, Ok(Ok(())));
            if ready {
                return Ok((connection, true));
            }
        }
        self.connect().await.map(|connection| (connection, false))
    }

    fn pop(&self) -> Option<SendRequest<AnyBody>> {
        let mut idle = lock(&self.idle);
        match idle.iter().position(SendRequest::is_ready) {
            Some(index) => Some(idle.swap_remove(index)),
            None => idle.pop(),
        }
    }

    /// A new connection.
    pub async fn connect(&self) -> Result<SendRequest<AnyBody>, Unreachable> {
        let connecting = async {
            let stream = TcpStream::connect(self.address).await.map_err(|_| Unreachable)?;
            stream.set_nodelay(true).map_err(|_| Unreachable)?;
            let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.map_err(|_| Unreachable)?;
            tokio::spawn(async move {
                let _ = connection.await;
            });
            Ok(sender)
        };
        tokio::time::timeout(CONNECT_TIMEOUT, connecting).await.map_err(|_| Unreachable)?
    }

    /// Gives a connection back after its exchange.
    pub fn give_back(&self, connection: SendRequest<AnyBody>) {
        if !connection.is_closed() {
            lock(&self.idle).push(connection);
        }
    }

    /// Number of idle connections.
    pub fn idle_count(&self) -> usize {
        lock(&self.idle).len()
    }
}

/// A connection in use, given back when this value is dropped.
pub struct ConnectionGuard {
    pool: Arc<ConnectionPool>,
    connection: Option<SendRequest<AnyBody>>,
}

impl ConnectionGuard {
    /// Takes care of giving `connection` back to `pool`.
    pub fn new(pool: Arc<ConnectionPool>, connection: SendRequest<AnyBody>) -> Self {
        ConnectionGuard { pool, connection: Some(connection) }
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        if let Some(connection) = self.connection.take() {
            self.pool.give_back(connection);
        }
    }
}
