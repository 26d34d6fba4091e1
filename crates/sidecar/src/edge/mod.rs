//! The edge: requests that begin on this machine.
//!
//! - [`connection`]: one connection of a client or of the instance.
//! - [`request_assembly`]: a request from the pieces of its message.
//! - [`request`]: what the headers of a request say.
//! - [`call_context`]: what a request hands down to its calls.
//! - [`tenant_checks`]: whose a request is, and whether its tenant has room for it.
//! - [`admission`]: which requests may begin.
//! - [`request_handler`]: a request's way to its one answer.
//! - [`dispatch`]: instance and attempts.
//! - [`attempts`]: what follows an attempt without an answer.
//! - [`remote`] and [`gate_connection_pool`]: offers to gates on other machines.
//! - [`outcome`]: how a request fared, and the log lines that tell it.
//! - [`local_response`]: answers that the node gives itself.

pub mod admission;
pub mod attempts;
pub mod call_context;
pub mod connection;
pub mod dispatch;
pub mod gate_connection_pool;
pub mod local_response;
pub mod outcome;
pub mod remote;
pub mod request;
pub mod request_assembly;
pub mod request_handler;
pub mod tenant_checks;

use std::rc::Rc;

use tokio::net::TcpListener;

use crate::state::Node;
use crate::transport;

/// Takes connections of clients and of the instance until the process ends.
pub async fn serve(node: Rc<Node>, listener: TcpListener) {
    let most = node.settings().machine.max_connections();
    let serve = |stream, place| connection::serve(node.clone(), stream, place);
    transport::serve_connections("outbound", listener, most, serve).await;
}
