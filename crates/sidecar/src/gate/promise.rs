//! Withholds responses whose status promises a client that its request has not run, although the instance does
//! not say so.

use crate::event::{LogClass, display_id};
use crate::gate_protocol::Offer;
use crate::local_response::LocalResponse;
use crate::reply::{Response, promises_not_run};
use crate::state::Node;

/// Replaces a response whose status promises that the request has not run: an instance that has not run one says
/// so in a field, too, and its response is then a failure of the exchange. The gate does this since edges of earlier
/// releases pass on every status.
pub fn withhold(node: &Node, offer: &Offer, response: Response) -> Response {
    let status = response.head.status;
    if !promises_not_run(status) {
        return response;
    }
    node.metrics.exchanges.with_label_values(&["ambiguous-refusal"]).inc();
    if node.may_log(LogClass::Failure, &offer.request_id) {
        log::info!(
            "event=promise_withheld request={} route={} instance={} status={status}",
            display_id(&offer.request_id),
            offer.route,
            offer.instance,
        );
    }
    let replacement = LocalResponse::AmbiguousRefusal.to_response(&node.wire_names, Some(&offer.request_id));
    Response { fault: response.fault, ..replacement }
}
