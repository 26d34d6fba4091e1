//! Admission control for requests that arrive at this node.

use std::time::Duration;

use olivegate_overload::retry_after::{retry_after, retry_after_level};
use olivegate_types::{Moment, RefusalReason};
use rand::RngExt;

use crate::gate_protocol::{RootRequest, class_of};
use crate::importance::importance_of;
use crate::local_response::LocalResponse;
use crate::model::{RetrySafety, Route};
use crate::state::Node;

/// Retry-After when the node holds as many requests as its memory allows.
const REQUEST_LIMIT_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Retry-After when the node is shutting down.
const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(400);

/// Response to a request that the node has no time for, because it is shutting down.
const STOPPING: LocalResponse =
    LocalResponse::NotRun { reason: RefusalReason::NodeNotReady, retry_after: STOPPING_RETRY_AFTER };

/// Admits a call, unless the node shuts down too soon for it. What may run once only is refused when it has less
/// than its target latency: if it is passed on and gets no response in time, nobody may make it again.
pub fn admit_call(node: &Node, route: &Route, now: Moment) -> Result<(), LocalResponse> {
    let Some(time_left) = node.stop.time_left(now) else { return Ok(()) };
    let needed = match route.safety {
        RetrySafety::Safe => Duration::ZERO,
        RetrySafety::Unsafe => route.target_latency.duration(),
    };
    if time_left > needed { Ok(()) } else { Err(STOPPING) }
}

/// Admits a client's request as the root of its call graph, or refuses it because requests of its class fail
/// further down the graph. Calls made for an admitted request are not held back so: work has already been done
/// for them.
pub fn admit(
    node: &Node,
    route: &Route,
    tenant_priority: Option<u32>,
    now: Moment,
) -> Result<RootRequest, LocalResponse> {
    if node.stop.is_closing() {
        return Err(STOPPING);
    }
    if node.is_at_request_limit() {
        return Err(LocalResponse::NotRun {
            reason: RefusalReason::PredictedWait,
            retry_after: REQUEST_LIMIT_RETRY_AFTER,
        });
    }
    let fraction = node.pressure.borrow().admitted_fraction();
    admit_fraction(node, fraction, RefusalReason::NodeOverloaded)?;
    let class = class_of(&route.name, importance_of(tenant_priority, route.priority));
    let level = node.levels.borrow().level(&class, 0, now);
    let root = RootRequest::new(node, route, tenant_priority, level);
    if root.rank.fraction() < level {
        return Ok(root);
    }
    let jitter = node.random(|random| random.random::<f64>());
    let retry_after = retry_after_level(level, jitter);
    Err(LocalResponse::NotRun { reason: RefusalReason::AdmissionLevel, retry_after })
}

/// Admits each request with probability `fraction` and refuses the others for `reason`.
fn admit_fraction(node: &Node, fraction: f64, reason: RefusalReason) -> Result<(), LocalResponse> {
    if fraction >= 1.0 || node.random(|random| random.random::<f64>()) < fraction {
        return Ok(());
    }
    let jitter = node.random(|random| random.random::<f64>());
    Err(LocalResponse::NotRun { reason, retry_after: retry_after(fraction, jitter) })
}
