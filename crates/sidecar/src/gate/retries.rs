//! Repeats that this gate lets through to its instance.
//!
//! The bound on repeats is one of a service over all nodes. Its gates keep it: each takes from
//! a budget of what arrived at it. An edge marks an offer whose request has arrived at an
//! instance before, and says with a call how probably the run that calls is a repeat itself.

use std::cell::RefCell;

use olivegate_retry::{RetryPolicy, WindowRetryBudget};
use olivegate_types::Moment;

use crate::gate_protocol::Offer;
use crate::reply::ResponseFault;
use crate::state::Node;

/// Part of the bound's ratio that is used: what calls inherit is known by probability only.
const RATIO_PART: f64 = 0.75;
/// Part of the bound's slack that the gates of a service divide among them. A gate that
/// restarts has forgotten what it used.
const SLACK_PART: f64 = 0.4;
/// Part of the budget that requests of clients may use: they come back by themselves, while
/// for a call work has been done that is lost without it.
const CLIENTS_PART: f64 = 0.5;

/// The budget of a gate.
#[derive(Debug, Default)]
pub struct GateRepeats {
    budget: RefCell<WindowRetryBudget>,
}

fn policy(node: &Node) -> RetryPolicy {
    let settings = node.settings();
    let gates = node.cluster.borrow().directory.ready_instances(&settings.service).len().max(1);
    RetryPolicy {
        ratio: settings.bounds.repeat_ratio * RATIO_PART,
        slack: settings.bounds.repeat_slack * SLACK_PART / gates as f64,
        window: settings.bounds.repeat_window,
    }
}

fn part_of(offer: &Offer) -> f64 {
    if offer.hop > 0 { 1.0 } else { CLIENTS_PART }
}

impl GateRepeats {
    /// True when the offer is no repeat, or one that the budget has room for.
    pub fn allows(&self, node: &Node, offer: &Offer, now: Moment) -> bool {
        !offer.is_retry || self.budget.borrow().allows(&policy(node), part_of(offer), now)
    }

    /// Counts an offer that is about to be sent to the instance; false when it is a repeat that
    /// the budget has no room for.
    pub fn begin(&self, node: &Node, offer: &Offer, now: Moment) -> bool {
        let mut budget = self.budget.borrow_mut();
        if offer.is_retry {
            return budget.try_retry(&policy(node), part_of(offer), now);
        }
        budget.on_inherited(&policy(node), f64::from(offer.parent_retry_probability), now);
        true
    }

    /// Counts a first arrival that the instance refused unrun: it is a request of the service like
    /// any other, and its repeats are refused as often.
    pub fn on_shed(&self, node: &Node, offer: &Offer, now: Moment) {
        if !offer.is_retry {
            let share = 1.0 - f64::from(offer.parent_retry_probability);
            self.budget.borrow_mut().on_answered(&policy(node), share, now);
        }
    }

    /// Repeats a second that the gate may let through.
    pub fn rate(&self, node: &Node, now: Moment) -> f64 {
        self.budget.borrow().rate(&policy(node), now)
    }

    /// Counts an answer. Only requests that were answered have made all their calls.
    pub fn on_answer(&self, node: &Node, offer: &Offer, fault: ResponseFault, now: Moment) {
        if !offer.is_retry && fault != ResponseFault::Instance {
            let share = 1.0 - f64::from(offer.parent_retry_probability);
            self.budget.borrow_mut().on_answered(&policy(node), share, now);
        }
    }
}
