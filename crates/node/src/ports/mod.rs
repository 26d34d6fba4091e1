//! The node's ports.
//!
//! - [`caller`]: plain HTTP/1.1 from callers and back ends.
//! - [`data`]: HTTP/1.1 from other nodes' edges to this node's gates.
//! - [`control`]: tarpc calls from other nodes.
//! - [`admin`]: status, metrics and explanations for operators.

pub mod admin;
pub mod caller;
pub mod control;
pub mod data;

use std::net::SocketAddr;
use std::time::Duration;

use error_stack::{Report, ResultExt};
use tokio::net::{TcpListener, TcpStream};

use crate::error::NodeError;
use crate::stop::StopSignal;

/// Most connections of one port.
pub const MAX_CONNECTIONS: usize = 20_000;
/// Pause after a failed accept, such as when no file descriptor is left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Binds a port.
pub async fn bind(port: &'static str, address: SocketAddr) -> Result<TcpListener, Report<NodeError>> {
    TcpListener::bind(address).await.change_context(NodeError::Bind { port, address })
}

/// Accepts connections until `stop`, at most [`MAX_CONNECTIONS`] at a time.
pub async fn accept<F, Fut>(listener: TcpListener, stop: StopSignal, serve: F)
where
    F: Fn(TcpStream) -> Fut,
    Fut: Future<Output = ()> + Send + 'static,
{
    let permits = std::sync::Arc::new(tokio::sync::Semaphore::new(MAX_CONNECTIONS));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.stopped() => return,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let Ok(permit) = permits.clone().try_acquire_owned() else {
            continue;
        };
        let _ = stream.set_nodelay(true);
        let serving = serve(stream);
        tokio::spawn(async move {
            serving.await;
            drop(permit);
        });
    }
}
