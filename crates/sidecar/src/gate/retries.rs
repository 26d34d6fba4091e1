//! Budget of the retries that this gate sends to its instance.
//!
//! The bound on retries applies to a service across all nodes. Its gates enforce it: each has a budget that
//! grows with the requests arriving at it. An edge marks an offer as a retry if its request has arrived at an
//! instance before. For a call, it also sends the probability that the run making the call is itself a retry.

use std::cell::RefCell;

use olivegate_retry::{RetryPolicy, WindowRetryBudget};
use olivegate_types::Moment;

use crate::gate_protocol::Offer;
use crate::reply::ResponseFault;
use crate::state::Node;

/// Fraction of the configured ratio that is used: for calls, it is only known with some probability whether
/// their parent is a retry.
const RATIO_FRACTION: f64 = 0.75;
/// Fraction of the configured slack that the gates of a service share. A restarted gate doesn't know how much
/// it has used before.
const SLACK_FRACTION: f64 = 0.4;
/// Fraction of the budget that client requests may use: clients retry by themselves, whereas a refused call
/// wastes the work that was already done for its parent.
const CLIENTS_FRACTION: f64 = 0.5;

/// Retry budget of a gate.
#[derive(Debug, Default)]
pub struct GateRetries {
    budget: RefCell<WindowRetryBudget>,
}

fn policy(node: &Node) -> RetryPolicy {
    let settings = node.settings();
    let gates = node.cluster.borrow().directory.ready_instances(&settings.service).len().max(1);
    RetryPolicy {
        ratio: settings.bounds.repeat_ratio * RATIO_FRACTION,
        slack: settings.bounds.repeat_slack * SLACK_FRACTION / gates as f64,
        window: settings.bounds.repeat_window,
    }
}

fn budget_fraction(offer: &Offer) -> f64 {
    if offer.hop > 0 { 1.0 } else { CLIENTS_FRACTION }
}

impl GateRetries {
    /// True when the offer is no retry, or a retry that the budget allows.
    pub fn allows(&self, node: &Node, offer: &Offer, now: Moment) -> bool {
        !offer.is_retry || self.budget.borrow().allows(&policy(node), budget_fraction(offer), now)
    }

    /// Counts an offer that is about to be sent to the instance. Returns false for a retry that the budget
    /// doesn't allow.
    pub fn begin(&self, node: &Node, offer: &Offer, now: Moment) -> bool {
        let mut budget = self.budget.borrow_mut();
        if offer.is_retry {
            return budget.try_retry(&policy(node), budget_fraction(offer), now);
        }
        budget.on_inherited(&policy(node), f64::from(offer.parent_retry_probability), now);
        true
    }

    /// Counts a first attempt that the instance refused without running it. It earns budget like any other
    /// request of the service, since its retries are refused just as often.
    pub fn on_shed(&self, node: &Node, offer: &Offer, now: Moment) {
        if !offer.is_retry {
            let first_attempt_probability = 1.0 - f64::from(offer.parent_retry_probability);
            self.budget.borrow_mut().on_answered(&policy(node), first_attempt_probability, now);
        }
    }

    /// Retries per second that the budget allows.
    pub fn rate(&self, node: &Node, now: Moment) -> f64 {
        self.budget.borrow().rate(&policy(node), now)
    }

    /// Counts a response. Only requests that got a response have made all their calls.
    pub fn on_response(&self, node: &Node, offer: &Offer, fault: ResponseFault, now: Moment) {
        if !offer.is_retry && fault != ResponseFault::Instance {
            let first_attempt_probability = 1.0 - f64::from(offer.parent_retry_probability);
            self.budget.borrow_mut().on_answered(&policy(node), first_attempt_probability, now);
        }
    }
}
