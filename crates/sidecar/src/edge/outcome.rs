//! The result of a request, and the log lines that report it.

use std::rc::Rc;
use std::time::Duration;

use olivegate_authentication::Tenant;
use olivegate_types::Moment;

use crate::edge::request::ValidatedRequest;
use crate::event::{LogClass, display_id};
use crate::lineage::Origin;
use crate::local_response::LocalResponse;
use crate::metrics::NO_ROUTE;
use crate::model::{Instance, Route};
use crate::reply::{Failure, Response};
use crate::state::Node;
use olivegate_clock as clock;

/// What is known of a request's handling, for its log line and metrics.
pub struct Outcome {
    /// Its route, once one has matched.
    pub route: Option<Rc<Route>>,
    /// Whether it comes from a client or from the instance.
    pub origin: Origin,
    /// Its authenticated tenant, if any.
    pub tenant: Option<Rc<Tenant>>,
    /// When its sender gives up.
    pub deadline: Moment,
    /// Result of each attempt, in order.
    pub attempt_log: String,
}

impl Outcome {
    /// Creates the outcome of a request of which only the arrival time is known.
    pub fn new(arrived: Moment) -> Self {
        Outcome {
            route: None,
            origin: Origin::Client,
            tenant: None,
            deadline: arrived,
            attempt_log: String::new(),
        }
    }

    /// Name of its route, for log lines and metrics.
    pub fn route_name(&self) -> &str {
        self.route.as_ref().map_or(NO_ROUTE, |route| route.name.as_str())
    }

    /// Counts its response in the metrics.
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

/// Age in milliseconds of the proof that the configuration is current, for log lines.
fn proof_age(node: &Node) -> String {
    node.access.proof_age(clock::now()).map_or_else(|| "none".into(), |age| age.as_millis().to_string())
}

/// Logs a response that the node generated itself.
pub fn log_local_response(node: &Node, id: &[u8], outcome: &Outcome, response: LocalResponse, elapsed: Duration) {
    let class = match response {
        LocalResponse::NotRun { .. } | LocalResponse::OverQuota { .. } | LocalResponse::Rejected { .. } => {
            LogClass::Refusal
        }
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
        response.status(),
        response.reason(),
        node.known_state().configuration,
        proof_age(node),
        elapsed.as_millis(),
        outcome.attempt_log,
    );
}

/// Age in milliseconds of a gate's last load report, for log lines; `none` if it never reported.
fn report_age(age: Duration) -> String {
    if age == Duration::MAX { "none".into() } else { age.as_millis().to_string() }
}

/// Logs to which instance a request is offered, with the values that the choice was based on.
pub fn log_offer(node: &Node, request: &ValidatedRequest, instance: &Instance, deadline: Moment) {
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

/// Logs an attempt that gave no response.
pub fn log_failed_attempt(node: &Node, request: &ValidatedRequest, instance: &Instance, failure: Failure) {
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

/// Logs a request whose client disconnected before the response, when it is dropped with the request.
pub struct CancellationLog<'a> {
    node: &'a Node,
    id: &'a [u8],
    arrived: Moment,
    is_answered: bool,
}

impl<'a> CancellationLog<'a> {
    /// Creates the log guard of a request that arrived at `arrived`.
    pub fn new(node: &'a Node, id: &'a [u8], arrived: Moment) -> Self {
        CancellationLog { node, id, arrived, is_answered: false }
    }

    /// Marks the request as answered, so that no cancellation is logged.
    pub fn mark_answered(mut self) {
        self.is_answered = true;
    }
}

impl Drop for CancellationLog<'_> {
    fn drop(&mut self) {
        if !self.is_answered && self.node.may_log(LogClass::Routine, self.id) {
            let elapsed = clock::now().since(self.arrived);
            log::info!("event=cancelled request={} after_ms={}", display_id(self.id), elapsed.as_millis());
        }
    }
}

/// Logs an instance's response: server errors as failures, others only for sampled requests.
pub fn log_response(node: &Node, id: &[u8], outcome: &Outcome, response: &Response, elapsed: Duration) {
    let class = if response.head.status < 500 { LogClass::Routine } else { LogClass::Failure };
    if node.may_log(class, id) {
        log::info!(
            "event=answered request={} route={} tenant={} origin={} status={} fault={} after_ms={} attempts={:?}",
            display_id(id),
            outcome.route_name(),
            outcome.tenant_name(),
            outcome.origin.as_str(),
            response.head.status,
            response.fault.as_str(),
            elapsed.as_millis(),
            outcome.attempt_log,
        );
    }
}
