//! How a request fared, and the log lines that tell it.

use std::rc::Rc;
use std::time::Duration;

use olivegate_types::Moment;

use crate::edge::own_answer::OwnAnswer;
use crate::event::{LineClass, shown};
use crate::model::Route;
use crate::reply::Answer;
use crate::state::Node;
use olivegate_clock as clock;

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

/// Tells of a request whose client left before its answer: dropped with the request.
pub struct CancelLog<'a> {
    node: &'a Node,
    id: &'a [u8],
    arrived: Moment,
    is_answered: bool,
}

impl<'a> CancelLog<'a> {
    /// A request that arrived at `arrived`.
    pub fn begin(node: &'a Node, id: &'a [u8], arrived: Moment) -> Self {
        CancelLog { node, id, arrived, is_answered: false }
    }

    /// It has an answer.
    pub fn answered(mut self) {
        self.is_answered = true;
    }
}

impl Drop for CancelLog<'_> {
    fn drop(&mut self) {
        if !self.is_answered && self.node.may_log(LineClass::Routine, self.id) {
            let elapsed = clock::now().since(self.arrived);
            log::info!("event=cancelled request={} after_ms={}", shown(self.id), elapsed.as_millis());
        }
    }
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
