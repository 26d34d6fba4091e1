//! The edge: the outbound proxy for requests that originate on this machine.
//!
//! - [`connection`]: one connection of a client or of the instance.
//! - [`ready_response`]: produces the responses to its requests.
//! - [`response_writer`]: writes responses to it.
//! - [`held_response`]: holds a response that others wait behind.
//! - [`request_assembly`]: assembles requests from the frames of a connection.
//! - [`request`]: validates the head of a request.
//! - [`call_context`]: context that a request passes down to its calls.
//! - [`tenant_checks`]: authentication and quota of tenants.
//! - [`admission`]: admission control.
//! - [`request_handler`]: handles a request from arrival to response.
//! - [`dispatch`]: chooses instances and makes the attempts.
//! - [`attempts`]: decides whether to retry after an attempt without a response.
//! - [`remote`], [`gate_connection_pool`] and [`connection_check`]: offers to gates on other machines.
//! - [`body_deadline`]: ends a response whose body doesn't end in time.
//! - [`outcome`]: result of a request, and its log lines.

pub mod admission;
pub mod attempts;
pub mod body_deadline;
pub mod call_context;
pub mod connection;
pub mod connection_check;
pub mod dispatch;
pub mod gate_connection_pool;
pub mod held_response;
pub mod outcome;
pub mod ready_response;
pub mod remote;
pub mod request;
pub mod request_assembly;
pub mod request_handler;
pub mod response_writer;
pub mod tenant_checks;

use std::rc::Rc;

use tokio::net::TcpListener;

use crate::state::Node;
use crate::transport;

/// Accepts connections of clients and of the instance until the process ends.
pub async fn serve(node: Rc<Node>, listener: TcpListener) {
    let max_connections = node.settings().machine.max_connections();
    let serve = |stream, permit| connection::serve(node.clone(), stream, permit);
    transport::serve_connections("outbound", listener, max_connections, serve).await;
}
