//! Shared connections to the data ports of other nodes.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use hyper::client::conn::http2::{Builder, SendRequest};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use tokio::net::TcpStream;

use crate::body::AnyBody;
use crate::state::lock;

/// Longest time for a new connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Flow-control window of one answer, in bytes.
const STREAM_WINDOW: u32 = 1 << 20;
/// Flow-control window of a connection, in bytes.
const CONNECTION_WINDOW: u32 = 8 << 20;
/// Time between two keep-alive pings.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Time without an answer to a ping after which a connection is closed.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(2);

type Shared = Arc<tokio::sync::Mutex<Option<SendRequest<AnyBody>>>>;

/// One multiplexed connection per peer.
#[derive(Default)]
pub struct PeerPool {
    connections: Mutex<HashMap<SocketAddr, Shared>>,
}

/// The peer can't be reached.
#[derive(Debug, Clone, Copy)]
pub struct PeerUnreachable;

impl PeerPool {
    /// The connection to `address`, made when there is none.
    pub async fn get(&self, address: SocketAddr) -> Result<SendRequest<AnyBody>, PeerUnreachable> {
        let shared = lock(&self.connections).entry(address).or_default().clone();
        let mut held = shared.lock().await;
        if let Some(connection) = held.as_ref().filter(|connection| !connection.is_closed()) {
            return Ok(connection.clone());
        }
        let connection = connect(address).await?;
        *held = Some(connection.clone());
        Ok(connection)
    }
}

async fn connect(address: SocketAddr) -> Result<SendRequest<AnyBody>, PeerUnreachable> {
    let connecting = async {
        let stream = TcpStream::connect(address).await.map_err(|_| PeerUnreachable)?;
        stream.set_nodelay(true).map_err(|_| PeerUnreachable)?;
        let handshake = Builder::new(TokioExecutor::new())
            .timer(TokioTimer::new())
            .initial_stream_window_size(STREAM_WINDOW)
            .initial_connection_window_size(CONNECTION_WINDOW)
            .keep_alive_interval(KEEP_ALIVE_INTERVAL)
            .keep_alive_timeout(KEEP_ALIVE_TIMEOUT)
            .handshake(TokioIo::new(stream));
        let (sender, connection) = handshake.await.map_err(|_| PeerUnreachable)?;
        tokio::spawn(async move {
            let _ = connection.await;
        });
        Ok(sender)
    };
    tokio::time::timeout(CONNECT_TIMEOUT, connecting).await.map_err(|_| PeerUnreachable)?
}
