//! Which requests may begin at this node.

use std::time::Duration;

use olivegate_overload::retry_after::{retry_after, retry_after_level};
use olivegate_types::{Moment, RefusalReason};
use rand::RngExt;

use crate::edge::local_response::OwnAnswer;
use crate::gate_protocol::{RootRequest, class_of};
use crate::importance::importance_of;
use crate::model::Route;
use crate::state::Node;

/// When to come back to a node that holds as many requests as its memory allows.
const FULL_RETRY_AFTER: Duration = Duration::from_millis(300);
/// When to come back to a node that is about to end.
const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(400);

/// Lets a client's request begin as the root of its calls, or refuses it because requests like
/// it fail further down. Calls are never held back: work has been done for them.
pub fn admit(
    node: &Node,
    route: &Route,
    tenant_priority: Option<u32>,
    now: Moment,
) -> Result<RootRequest, OwnAnswer> {
    if node.stop.is_closing() {
        return Err(OwnAnswer::NotRun { reason: RefusalReason::NodeNotReady, retry_after: STOPPING_RETRY_AFTER });
    }
    if node.is_at_request_limit() {
        return Err(OwnAnswer::NotRun { reason: RefusalReason::PredictedWait, retry_after: FULL_RETRY_AFTER });
    }
    let part = node.pressure.borrow().admitted_fraction();
    draw(node, part, RefusalReason::NodeOverloaded)?;
    let class = class_of(&route.name, importance_of(tenant_priority, route.priority));
    let level = node.levels.borrow().level(&class, 0, now);
    let root = RootRequest::new(node, route, tenant_priority, level);
    if root.rank.fraction() < level {
        return Ok(root);
    }
    let jitter = node.random(|random| random.random::<f64>());
    let retry_after = retry_after_level(level, jitter);
    Err(OwnAnswer::NotRun { reason: RefusalReason::AdmissionLevel, retry_after })
}

/// Lets `part` of the requests begin, drawn at random, and refuses the others for `reason`.
fn draw(node: &Node, part: f64, reason: RefusalReason) -> Result<(), OwnAnswer> {
    if part >= 1.0 || node.random(|random| random.random::<f64>()) < part {
        return Ok(());
    }
    let jitter = node.random(|random| random.random::<f64>());
    Err(OwnAnswer::NotRun { reason, retry_after: retry_after(part, jitter) })
}
