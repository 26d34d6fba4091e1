//! Context that a request passes down to the calls made for it.

use olivegate_types::SheddingRank;
use rand::RngExt;

use crate::gate_protocol::RootRequest;
use crate::importance::importance_of;
use crate::lineage::Parent;
use crate::model::Route;
use crate::state::Node;

/// A request's position in its call graph.
#[derive(Debug, Clone, PartialEq)]
pub struct CallContext {
    /// The request at the root of the graph.
    pub root: RootRequest,
    /// Number of calls between the root and this request.
    pub hop: u8,
    /// Probability that the run which makes this call is a retry; 0 for a client's request.
    pub parent_retry_probability: f32,
}

impl RootRequest {
    /// Creates the root for a request of `route`, from a tenant with `tenant_priority` if there is one, and
    /// draws its shedding rank. `admitted` is the fraction of such requests that are admitted.
    pub fn new(node: &Node, route: &Route, tenant_priority: Option<u32>, admitted: f64) -> Self {
        RootRequest {
            route: route.name.clone(),
            importance: importance_of(tenant_priority, route.priority),
            rank: SheddingRank(node.random(|random| random.random())),
            admitted_fraction: admitted as f32,
        }
    }
}

impl CallContext {
    /// The context of a client's request with this root.
    pub fn for_client(root: RootRequest) -> Self {
        CallContext { root, hop: 0, parent_retry_probability: 0.0 }
    }

    /// The context of a call made by the instance. Where its parent is unknown, a root is assumed that
    /// has the call's own route; the call still counts as a call, not as a client's request.
    pub fn for_call(node: &Node, route: &Route, parent: Parent) -> Self {
        let lineage = node.lineage.borrow();
        let parent_retry_probability = lineage.retry_probability(parent) as f32;
        match parent.key().and_then(|key| lineage.request(key)) {
            Some(request) => CallContext {
                root: request.root.clone(),
                hop: request.hop.saturating_add(1),
                parent_retry_probability,
            },
            None => {
                CallContext { root: RootRequest::new(node, route, None, 1.0), hop: 1, parent_retry_probability }
            }
        }
    }
}
