//! The node's listening ports.
//!
//! - [`caller`]: plain HTTP/1.1 from callers and back ends.
//! - [`data`]: HTTP/1.1 from other nodes' edges to this node's gates.
//! - [`control`]: control calls from other nodes, over tarpc.
//! - [`admin`]: status, metrics and explanations for operators.

pub mod admin;
pub mod caller;
pub mod control;
pub mod data;

use std::convert::Infallible;
use std::net::SocketAddr;
use std::time::Duration;

use error_stack::{Report, ResultExt};
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::Service;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};

use crate::body::AnyBody;
use crate::error::NodeError;
use crate::stop::StopSignal;

/// Maximum number of connections of one port.
pub const MAX_CONNECTIONS: usize = 20_000;
/// Pause after a failed accept, such as when no file descriptor is left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Binds a TCP port; `port` names it in the error.
pub async fn bind(port: &'static str, address: SocketAddr) -> Result<TcpListener, Report<NodeError>> {
    TcpListener::bind(address).await.change_context(NodeError::Bind { port, address })
}

/// Accepts connections until `stop`. Those beyond [`MAX_CONNECTIONS`] at a time are closed at once.
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

/// Serves one HTTP/1.1 connection until it ends or, in the last phase of a stop, until its exchange in
/// progress has ended.
pub async fn serve_until_closing<S>(
    connection: http1::Connection<TokioIo<TcpStream>, S>,
    stop: &StopSignal,
    port: &'static str,
) where
    S: Service<Request<Incoming>, Response = Response<AnyBody>, Error = Infallible>,
{
    let mut connection = std::pin::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = stop.closing() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        log::debug!("event=connection_ended port={port} error={error}");
    }
}

/// Adds `connection: close` to a response once the node is stopping.
pub fn close_when_stopping(response: &mut Response<AnyBody>, stop: &StopSignal) {
    if stop.is_stopping() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
}
