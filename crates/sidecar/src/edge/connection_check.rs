//! Checks whether a gate that sends nothing on a reused connection replies on a new one. If it does, the reused
//! connection has failed silently; if it doesn't, the gate itself may be frozen or cut off.

use std::net::SocketAddr;

use futures::FutureExt;
use futures::future::LocalBoxFuture;

use crate::edge::gate_connection_pool;
use crate::gate_protocol::GateStream;
use crate::peers::fetch;
use crate::state::Node;

/// State of the check.
pub enum ConnectionCheck<'a> {
    /// The connection can be checked.
    NotStarted,
    /// The gate is asked over a new connection.
    Running(LocalBoxFuture<'a, Option<GateStream>>),
    /// There is nothing more to check: the new connection on which the gate replied, if any.
    Done(Option<GateStream>),
}

impl<'a> ConnectionCheck<'a> {
    /// The check of a connection. A new one needs none: it worked a moment ago.
    pub fn new(is_reused: bool) -> Self {
        if is_reused { ConnectionCheck::NotStarted } else { ConnectionCheck::Done(None) }
    }

    /// Starts the check of a connection to the gate at `address`, unless it was started before.
    pub fn start(&mut self, node: &'a Node, address: SocketAddr) {
        if matches!(self, ConnectionCheck::NotStarted) {
            *self = ConnectionCheck::Running(reply_on_new_connection(node, address).boxed_local());
        }
    }

    /// Waits until the running check is done, and returns true if the gate replied. Never completes while no
    /// check is running.
    pub async fn is_replying(&mut self) -> bool {
        let ConnectionCheck::Running(check) = self else { return futures::future::pending().await };
        let replied = check.await;
        let is_replying = replied.is_some();
        *self = ConnectionCheck::Done(replied);
        is_replying
    }

    /// Takes the new connection on which the gate replied.
    pub fn take_new_connection(&mut self) -> Option<GateStream> {
        match std::mem::replace(self, ConnectionCheck::Done(None)) {
            ConnectionCheck::Done(stream) => stream,
            ConnectionCheck::NotStarted | ConnectionCheck::Running(_) => None,
        }
    }
}

/// A new connection to the gate at `address`, once it has replied to a fetch there.
async fn reply_on_new_connection(node: &Node, address: SocketAddr) -> Option<GateStream> {
    let mut stream = gate_connection_pool::connect(address).await.ok()?;
    fetch::fetch_over(node, address.ip(), &mut stream).await.ok()?;
    Some(stream)
}
