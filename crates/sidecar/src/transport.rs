//! TCP sockets as the node needs them.

use std::net::SocketAddr;
use std::time::Duration;

use socket2::SockRef;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::spawn_local;

use crate::connection_limit::{ConnectionLimit, ConnectionPermit};

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1024;
/// A peer that acknowledges nothing for this long is given up.
const UNACKNOWLEDGED: Duration = Duration::from_secs(4);

/// Pause after a connection could not be accepted, for want of descriptors for example.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Listens on `address`.
pub fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Options of every connection, accepted or made. A socket that has just failed can't
/// take them; its next use says so.
pub fn configure(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let _ = socket.set_tcp_nodelay(true);
    let _ = socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED));
}

/// Connects to `address` within `limit`.
pub async fn connect(address: SocketAddr, limit: Duration) -> std::io::Result<TcpStream> {
    let connecting = TcpStream::connect(address);
    let stream = tokio::time::timeout(limit, connecting)
        .await
        .map_err(|_| std::io::Error::from(std::io::ErrorKind::TimedOut))??;
    configure(&stream);
    Ok(stream)
}

/// Serves each connection that `listener` accepts by a task of its own, at most `most` at a
/// time, until the process ends. Connections that rest make room for new ones. `port` names
/// the listener in log lines.
pub async fn serve_connections<Serving>(
    port: &str,
    listener: TcpListener,
    most: usize,
    serve: impl Fn(TcpStream, ConnectionPermit) -> Serving,
) where
    Serving: Future<Output = ()> + 'static,
{
    let limit = ConnectionLimit::new(most);
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                configure(&stream);
                let place = limit.acquire().await;
                spawn_local(serve(stream, place));
            }
            Err(error) => {
                log::warn!("event=accept_failed port={port} error={error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}
