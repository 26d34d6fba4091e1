//! Pool of keep-alive connections to one address: an instance, or another node's data port.
//!
//! A connection carries one exchange at a time. It is reused only after the response body
//! was read to its end: hyper closes it when an exchange is dropped before that, so a late
//! response is never taken for the response to a later request.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::body::AnyBody;
use crate::state::lock;

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Time for a connection that was just released to become ready for its next request.
const READY_TIMEOUT: Duration = Duration::from_millis(5);

/// Idle connections to one address.
pub struct ConnectionPool {
    address: SocketAddr,
    idle: Mutex<Vec<SendRequest<AnyBody>>>,
}

/// No connection to the address could be opened.
#[derive(Debug, Clone, Copy)]
pub struct Unreachable;

impl ConnectionPool {
    /// An empty pool.
    pub fn new(address: SocketAddr) -> Self {
        ConnectionPool { address, idle: Mutex::default() }
    }

    /// An idle connection, or a new one if there is none. The flag is true for one that was used before.
    pub async fn acquire(&self) -> Result<(SendRequest<AnyBody>, bool), Unreachable> {
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

    /// Opens a new connection.
    pub async fn connect(&self) -> Result<SendRequest<AnyBody>, Unreachable> {
        let connect = async {
            let stream = TcpStream::connect(self.address).await.map_err(|_| Unreachable)?;
            stream.set_nodelay(true).map_err(|_| Unreachable)?;
            let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.map_err(|_| Unreachable)?;
            tokio::spawn(async move {
                let _ = connection.await;
            });
            Ok(sender)
        };
        tokio::time::timeout(CONNECT_TIMEOUT, connect).await.map_err(|_| Unreachable)?
    }

    /// Returns a connection to the pool after its exchange; a closed one is dropped.
    pub fn release(&self, connection: SendRequest<AnyBody>) {
        if !connection.is_closed() {
            lock(&self.idle).push(connection);
        }
    }

    /// Number of idle connections.
    pub fn idle_count(&self) -> usize {
        lock(&self.idle).len()
    }
}

/// A connection in use; dropping the guard returns it to its pool.
pub struct ConnectionGuard {
    pool: Arc<ConnectionPool>,
    connection: Option<SendRequest<AnyBody>>,
}

impl ConnectionGuard {
    /// Guards `connection`, which belongs to `pool`.
    pub fn new(pool: Arc<ConnectionPool>, connection: SendRequest<AnyBody>) -> Self {
        ConnectionGuard { pool, connection: Some(connection) }
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        if let Some(connection) = self.connection.take() {
            self.pool.release(connection);
        }
    }
}
