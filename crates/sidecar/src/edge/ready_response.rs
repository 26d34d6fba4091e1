//! Produces the response to a request of a client's connection, and holds it if it may break off.

use std::cell::Cell;
use std::rc::Rc;

use tokio::sync::oneshot;

use crate::edge::held_response::{self, HeldBytesGuard, HeldResponse};
use crate::edge::request_assembly::{AssembledRequest, Rejection};
use crate::edge::request_handler;
use crate::lineage::ConnectionEvidence;
use crate::local_response::LocalResponse;
use crate::reply::{Body, IncompleteBody, Response};
use crate::state::Node;
use crate::stop::InFlightGuard;

/// A response that is ready to be written.
pub struct ReadyResponse {
    /// The response.
    pub response: Response,
    /// Whether the client keeps its connection.
    pub keep_alive: bool,
    /// Whether it responds to a `HEAD` request, and so has no body.
    pub is_head: bool,
    /// What the response occupies until it has been written.
    pub guards: ResponseGuards,
}

/// What a response occupies.
pub struct ResponseGuards {
    /// Bytes of a response that was held; `None` if it was not.
    held_bytes: Option<HeldBytesGuard>,
    _in_flight: InFlightGuard,
}

impl ReadyResponse {
    /// A response that is not held.
    pub fn new(response: Response, keep_alive: bool, is_head: bool, in_flight: InFlightGuard) -> Self {
        let guards = ResponseGuards { held_bytes: None, _in_flight: in_flight };
        ReadyResponse { response, keep_alive, is_head, guards }
    }

    /// True if the response may still break off, and was not held yet.
    pub fn is_incomplete(&self) -> bool {
        matches!(self.response.body, Body::Stream(..)) && self.guards.held_bytes.is_none()
    }

    /// Holds the response until it is complete. If it breaks off, the node responds itself: the request has run,
    /// and its response is lost.
    pub async fn hold(self, node: &Node) -> Self {
        let request_id = self.response.head.fields.get(node.wire_names.request_id).cloned();
        let HeldResponse { response, bytes } = held_response::hold(self.response, node.held_bytes.clone()).await;
        let response = response.unwrap_or_else(|IncompleteBody| {
            LocalResponse::Unknown.to_response(&node.wire_names, request_id.as_ref())
        });
        let guards = ResponseGuards { held_bytes: Some(bytes), ..self.guards };
        ReadyResponse { response, guards, ..self }
    }
}

/// Handles a request. If the rest of its body is rejected meanwhile, it is cancelled, and the rejection is its
/// response.
pub async fn respond(
    node: &Rc<Node>,
    mut assembled: AssembledRequest,
    evidence: &Cell<ConnectionEvidence>,
) -> Response {
    let request_id = assembled.head.fields.get(node.wire_names.request_id).cloned();
    let rejection = assembled.rejection.take();
    tokio::select! {
        biased;
        response = request_handler::handle(node, assembled, evidence) => response,
        rejected = rejection_of(rejection) => rejected.response.to_response(&node.wire_names, request_id.as_ref()),
    }
}

/// Waits until the rest of a request's body is rejected; never completes if it is not.
async fn rejection_of(rejection: Option<oneshot::Receiver<Rejection>>) -> Rejection {
    if let Some(rejection) = rejection
        && let Ok(rejection) = rejection.await
    {
        return rejection;
    }
    futures::future::pending().await
}
