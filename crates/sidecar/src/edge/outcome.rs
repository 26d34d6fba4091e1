//! How a request fared, and the log lines that tell it.

use std::rc::Rc;
use std::time::Duration;

use crate::edge::own_answer::OwnAnswer;
use crate::event::{LineClass, shown};
use crate::model::Route;
use crate::reply::Answer;
use crate::state::Node;

/// How a request fared before its answer was made.
pub struct Outcome {
    /// Its route, where it has one.
    pub route: Option<Rc<Route>>,
    /// What became of each attempt.
    pub trail: String,
}

impl Outcome {
    /// Name of its route, for log lines and metrics.
    pub fn route_name(&self) -> &str {
        self.route.as_ref().map_or("none", |route| route.name.as_str())
    }
}

/// Logs an answer that the node gives itself.
pub fn log_own_answer(node: &Node, id: &[u8], outcome: &Outcome, own: OwnAnswer, elapsed: Duration) {
    let class = match own {
        OwnAnswer::NotRun { .. } | OwnAnswer::Rejected { .. } => LineClass::Refusal,
        _ => LineClass::Failure,
    };
    if !node.may_log(class, id) {
        return;
    }
    log::info!(
        "event=own_answer request={} route={} status={} reason={} version={} after_ms={} attempts={:?}",
        shown(id),
        outcome.route_name(),
        own.status(),
        own.reason(),
        node.known_state().configuration,
        elapsed.as_millis(),
        outcome.trail,
    );
}

/// Logs an instance's answer: failures always, others for sampled requests.
pub fn log_answer(node: &Node, id: &[u8], outcome: &Outcome, answer: &Answer, elapsed: Duration) {
    let class = if answer.head.status < 500 { LineClass::Routine } else { LineClass::Failure };
    if node.may_log(class, id) {
        log::info!(
            "event=answered request={} route={} status={} fault={} after_ms={} attempts={:?}",
            shown(id),
            outcome.route_name(),
            answer.head.status,
            answer.fault.as_str(),
            elapsed.as_millis(),
            outcome.trail,
        );
    }
}
