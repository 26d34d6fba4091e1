//! Setup of TCP sockets.

use std::net::SocketAddr;
use std::time::Duration;

use socket2::SockRef;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::spawn_local;

use crate::connection_limit::{ConnectionLimit, ConnectionPermit};

/// Maximum number of connections waiting to be accepted.
const BACKLOG: u32 = 1024;
/// A connection is closed if the peer acknowledges nothing for this long.
const ACK_TIMEOUT: Duration = Duration::from_secs(4);

/// Delay after a failed accept, for example for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Binds a listener to `address`.
pub fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Sets the options of every connection, accepted or initiated. A socket that has just failed cannot take
/// them; its next use returns the error.
pub fn configure(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let _ = socket.set_tcp_nodelay(true);
    let _ = socket.set_tcp_user_timeout(Some(ACK_TIMEOUT));
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

/// Serves each connection accepted by `listener` in a task of its own until the process ends. At most `max`
/// are open at a time; idle ones are closed to make room for new ones. `port` names the listener in log
/// lines.
pub async fn serve_connections<Serving>(
    port: &str,
    listener: TcpListener,
    max: usize,
    serve: impl Fn(TcpStream, ConnectionPermit) -> Serving,
) where
    Serving: Future<Output = ()> + 'static,
{
    let limit = ConnectionLimit::new(max);
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                configure(&stream);
                let permit = limit.acquire().await;
                spawn_local(serve(stream, permit));
            }
            Err(error) => {
                log::warn!("event=accept_failed port={port} error={error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}
