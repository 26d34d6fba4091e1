//! How a request fared, and the log lines that tell it.

use std::rc::Rc;
use std::time::Duration;

use olivegate_authentication::Tenant;
use olivegate_types::Moment;

use crate::edge::local_response::OwnAnswer;
use crate::edge::request::CheckedRequest;
use crate::event::{LogClass, display_id};
use crate::lineage::Origin;
use crate::model::{Instance, Route};
use crate::reply::{Failure, Response};
use crate::state::Node;
use olivegate_clock as clock;

/// How a request fared before its answer was made.
pub struct Outcome {
    /// Its route, where it has one.
    pub route: Option<Rc<Route>>,
    /// Where it came from.
    pub origin: Origin,
    /// The tenant that makes it, if one does.
    pub tenant: Option<Rc<Tenant>>,
    /// When its sender gives it up.
    pub deadline: Moment,
    /// What became of each attempt.
    pub trail: String,
}

impl Outcome {
    /// Nothing is known of the request but when it arrived.
    pub fn begin(arrived: Moment) -> Self {
        Outcome { route: None, origin: Origin::Client, tenant: None, deadline: arrived, trail: String::new() }
    }

    /// Name of its route, for log lines and metrics.
    pub fn route_name(&self) -> &str {
        self.route.as_ref().map_or("none", |route| route.name.as_str())
    }

    /// Counts its answer.
    pub fn count(&self, node: &Node, result: &str, elapsed: Duration) {
        node.metrics.on_answer(self.route_name(), result, elapsed);
        if let Some(tenant) = &self.tenant {
            node.metrics.on_tenant_answer(&tenant.name, result);
        }
    }

    /// Name of its tenant, for log lines.
    pub fn tenant_name(&self) -> &str {
        self.tenant.as_ref().map_or("none", |tenant| tenant.name.as_str())
    }
}

/// Age in milliseconds of what is proven of the configuration, for log lines.
fn proof_age(node: &Node) -> String {
    node.access.proof_age(clock::now()).map_or_else(|| "none".into(), |age| age.as_millis().to_string())
}

/// Logs an answer that the node gives itself.
pub fn log_own_answer(node: &Node, id: &[u8], outcome: &Outcome, own: OwnAnswer, elapsed: Duration) {
    let class = match own {
        OwnAnswer::NotRun { .. } | OwnAnswer::OverQuota { .. } | OwnAnswer::Rejected { .. } => LogClass::Refusal,
        _ => LogClass::Failure,
    };
    if !node.may_log(class, id) {
        return;
    }
    log::info!(
        "event=own_answer request={} route={} tenant={} origin={} status={} reason={} version={} proof_ms={} \
         after_ms={} attempts={:?}",
        display_id(id),
        outcome.route_name(),
        outcome.tenant_name(),
        outcome.origin.as_str(),
        own.status(),
        own.reason(),
        node.known_state().configuration,
        proof_age(node),
        elapsed.as_millis(),
        outcome.trail,
    );
}

/// Age in milliseconds of a gate's last report, for log lines; none where it never reported.
fn report_age(age: Duration) -> String {
    if age == Duration::MAX { "none".into() } else { age.as_millis().to_string() }
}

/// Logs to which instance a request is offered, and what decided it.
pub fn log_offer(node: &Node, request: &CheckedRequest, instance: &Instance, deadline: Moment) {
    if !node.may_log(LogClass::Routine, &request.id) {
        return;
    }
    let now = clock::now();
    let occupancy = node.balancer.borrow().reported(&instance.name, now);
    log::info!(
        "event=offered request={} route={} instance={} zone={} occupancy={:.2} report_age_ms={} left_ms={}",
        display_id(&request.id),
        request.route.name,
        instance.name,
        instance.zone,
        occupancy.occupancy,
        report_age(occupancy.age),
        deadline.since(now).as_millis(),
    );
}

/// Logs an attempt that gave no answer.
pub fn log_failed_attempt(node: &Node, request: &CheckedRequest, instance: &Instance, failure: Failure) {
    if !node.may_log(LogClass::Failure, &request.id) {
        return;
    }
    log::info!(
        "event=attempt_failed request={} route={} instance={} reason={} may_have_run={}",
        display_id(&request.id),
        request.route.name,
        instance.name,
        failure.reason.as_str(),
        failure.may_have_run,
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
        if !self.is_answered && self.node.may_log(LogClass::Routine, self.id) {
            let elapsed = clock::now().since(self.arrived);
            log::info!("event=cancelled request={} after_ms={}", display_id(self.id), elapsed.as_millis());
        }
    }
}

/// Logs an instance's answer: failures always, others for sampled requests.
pub fn log_answer(node: &Node, id: &[u8], outcome: &Outcome, answer: &Response, elapsed: Duration) {
    let class = if answer.head.status < 500 { LogClass::Routine } else { LogClass::Failure };
    if node.may_log(class, id) {
        log::info!(
            "event=answered request={} route={} tenant={} origin={} status={} fault={} after_ms={} attempts={:?}",
            display_id(id),
            outcome.route_name(),
            outcome.tenant_name(),
            outcome.origin.as_str(),
            answer.head.status,
            answer.fault.as_str(),
            elapsed.as_millis(),
            outcome.trail,
        );
    }
}
