//! The edge: requests that begin on this machine.
//!
//! - [`connection`]: one connection of a client or of the instance.
//! - [`intake`]: a request from the pieces of its message.
//! - [`request`]: what the headers of a request say.
//! - [`dispatch`]: route, instance, attempts, answer.
//! - [`attempts`]: what follows an attempt without an answer.
//! - [`remote`] and [`hop_pool`]: offers to gates on other machines.
//! - [`outcome`]: how a request fared, and the log lines that tell it.
//! - [`own_answer`]: answers that the node gives itself.

pub mod attempts;
pub mod connection;
pub mod dispatch;
pub mod hop_pool;
pub mod intake;
pub mod outcome;
pub mod own_answer;
pub mod remote;
pub mod request;

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::sync::Semaphore;

use crate::state::Node;
use crate::transport;

/// Pause after a connection could not be accepted, for want of descriptors for example.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Says that a connection could not be accepted, and waits a little.
pub async fn accept_failed(port: &str, error: &std::io::Error) {
    log::warn!("event=accept_failed port={port} error={error}");
    tokio::time::sleep(ACCEPT_PAUSE).await;
}

/// Takes connections of clients and of the instance until the process ends.
pub async fn serve(node: Rc<Node>, listener: TcpListener) {
    let room = Arc::new(Semaphore::new(node.settings().machine.most_connections()));
    loop {
        let Ok(place) = room.clone().acquire_owned().await else { return };
        match listener.accept().await {
            Ok((stream, _)) => {
                transport::configure(&stream);
                let serving = connection::serve(node.clone(), stream);
                tokio::task::spawn_local(async move {
                    serving.await;
                    drop(place);
                });
            }
            Err(error) => accept_failed("outbound", &error).await,
        }
    }
}
