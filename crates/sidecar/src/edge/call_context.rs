//! What a request hands down to the calls that are made for it.

use olivegate_types::SheddingRank;
use rand::RngExt;

use crate::gate_protocol::RootRequest;
use crate::importance::importance_of;
use crate::lineage::Parent;
use crate::model::Route;
use crate::state::Node;

/// Where a request stands in its call graph.
#[derive(Debug, Clone, PartialEq)]
pub struct RequestLineage {
    /// The request at the root.
    pub root: RootRequest,
    /// Calls between the root and this request.
    pub hop: u8,
    /// Probability that the run which makes this call is a repeat; 0 for a client's request.
    pub parent_retry_probability: f32,
}

impl RootRequest {
    /// A request of `route` of whose kind the part `admitted` is let begin, made by a tenant with
    /// this priority, if by any; draws its rank.
    pub fn new(node: &Node, route: &Route, tenant_priority: Option<u32>, admitted: f64) -> Self {
        RootRequest {
            route: route.name.clone(),
            importance: importance_of(tenant_priority, route.priority),
            rank: SheddingRank(node.random(|random| random.random())),
            admitted_fraction: admitted as f32,
        }
    }
}

impl RequestLineage {
    /// A client's request with this root.
    pub fn of_client(root: RootRequest) -> Self {
        RequestLineage { root, hop: 0, parent_retry_probability: 0.0 }
    }

    /// A call of the instance. Where its parent is unknown it goes by its own route.
    pub fn of_call(node: &Node, route: &Route, parent: Parent) -> Self {
        let lineage = node.lineage.borrow();
        let parent_retry_probability = lineage.retry_probability(parent) as f32;
        match parent.key().and_then(|key| lineage.request(key)) {
            Some(request) => RequestLineage {
                root: request.root.clone(),
                hop: request.hop.saturating_add(1),
                parent_retry_probability,
            },
            None => {
                RequestLineage { root: RootRequest::new(node, route, None, 1.0), hop: 1, parent_retry_probability }
            }
        }
    }
}
