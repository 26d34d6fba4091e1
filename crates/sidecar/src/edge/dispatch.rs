//! Dispatches an admitted request: chooses instances and retries until there is a response.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use olivegate_http1::RequestHead;
use olivegate_quarantine::{FatalRun, ReportedEnd};
use olivegate_routing::balance::{Candidate, Health, Observation};
use olivegate_types::{InstanceName, Moment, RefusalReason, ServiceName};

use crate::edge::attempts::{Attempts, NextStep};
use crate::edge::body_deadline::end_at_deadline;
use crate::edge::call_context::CallContext;
use crate::edge::outcome::{log_failed_attempt, log_offer};
use crate::edge::remote;
use crate::edge::request::ValidatedRequest;
use crate::gate;
use crate::gate::confirmation::Confirmation;
use crate::gate_protocol::{Offer, OfferedBody};
use crate::local_response::LocalResponse;
use crate::model::{Instance, RetrySafety};
use crate::reply::{Body, BodyStream, Failure, FailureReason, GateReply, Load, Response, ResponseFault};
use crate::state::Node;
use olivegate_clock as clock;

/// The target latency divided by this is the longest time that a request may wait for a slot: a refusal after
/// that comes too late for a second try.
const SLOT_WAIT_DIVISOR: u32 = 4;
/// Longest wait for a slot at the gate of an instance that declares a rate, while another instance still
/// accepts requests.
const RATE_LIMITED_SLOT_WAIT: Duration = Duration::from_millis(20);
/// Margin subtracted from a request's deadline, so that a refusal or a time-out still reaches the client in
/// time.
const EDGE_MARGIN: Duration = Duration::from_millis(10);

/// An admitted request that is being dispatched.
struct Dispatch<'a> {
    node: &'a Rc<Node>,
    request: ValidatedRequest,
    /// Its position in the call graph, and the context for the calls made for it.
    context: CallContext,
    service: ServiceName,
    head: RequestHead,
    whole_body: Bytes,
    streamed: Option<(BodyStream, Option<u64>)>,
    /// The streamed body was handed to an attempt, so it can't be sent again.
    body_consumed: bool,
    /// An instance's failed response, kept while other instances are tried. It is returned if none of them
    /// gives a response.
    failed_response: Option<Response>,
    /// Runs of the request during which their instance terminated.
    fatal_runs: Vec<(InstanceName, FatalRun)>,
    arrived: Moment,
    deadline: Moment,
}

/// Dispatches an admitted request and returns its response.
pub async fn dispatch(
    node: &Rc<Node>,
    head: RequestHead,
    body: Body,
    request: ValidatedRequest,
    context: CallContext,
    arrived: Moment,
    attempt_log: &mut String,
) -> Result<Response, LocalResponse> {
    let selected =
        node.random(|random| node.weighted_round_robin.borrow_mut().next_service(&request.route, random));
    let service = selected.ok_or(LocalResponse::Rejected { status: 404, reason: "no-service" })?;
    let deadline = node.stop.limit(arrived + request.timeout);
    let body_bytes = body.memory_bytes();
    let (whole_body, streamed) = match body {
        Body::Whole(bytes) => (bytes, None),
        Body::Stream(stream, length) => (Bytes::new(), Some((stream, length))),
    };
    let mut dispatch = Dispatch {
        node,
        request,
        context,
        service,
        head,
        whole_body,
        streamed,
        body_consumed: false,
        failed_response: None,
        fatal_runs: Vec::new(),
        arrived,
        deadline,
    };
    let limit = clock::instant_of(deadline);
    let mut attempts = Attempts::new(dispatch.request.route.safety, dispatch.request.route.attempts);
    let result = tokio::select! {
        biased;
        result = tokio::time::timeout_at(limit, dispatch.run(&mut attempts)) => {
            result.unwrap_or(Err(LocalResponse::TimedOut))
        }
        () = node.stop.ending() => Err(LocalResponse::TimedOut),
    };
    *attempt_log = attempts.attempt_log();
    let result = match (result, dispatch.failed_response.take()) {
        (Err(_), Some(failed)) => Ok(failed),
        (result, _) => result,
    };
    let response = result?;
    node.note_request_bytes(body_bytes + response.body.memory_bytes());
    Ok(Response { body: end_at_deadline(response.body, deadline), ..response })
}

impl Dispatch<'_> {
    /// The response when it is final; `None` when another instance is to be tried, because this one failed
    /// the request by itself and the request may run again.
    fn on_response(&mut self, attempts: &mut Attempts, response: Response) -> Option<Response> {
        let is_instance_failure = response.fault == ResponseFault::Instance && !self.body_consumed;
        if is_instance_failure && attempts.on_instance_failed() == NextStep::TryAnother {
            self.failed_response = Some(response);
            return None;
        }
        Some(response)
    }

    /// Offers the request to instances until there is a response or nothing is left to try.
    async fn run(&mut self, attempts: &mut Attempts) -> Result<Response, LocalResponse> {
        loop {
            let Some(instance) = self.choose(attempts) else {
                return Err(attempts.on_no_candidate().into());
            };
            attempts.on_offer(&instance.name);
            let offered = clock::now();
            let reply = self.offer(&instance, attempts).await;
            let next = match reply {
                GateReply::Answered(response) => match self.on_response(attempts, response) {
                    Some(response) => return Ok(response),
                    None => NextStep::TryAnother,
                },
                GateReply::Refused { refusal, successor } => {
                    self.record_successor(&instance, successor);
                    if refusal.reason == RefusalReason::InstanceLeaving {
                        self.remove_unlisted(&instance);
                    }
                    attempts.on_refused(refusal)
                }
                GateReply::Failed(failure) => {
                    self.record_failure(&instance, failure);
                    if failure.reason == FailureReason::InstanceEnded {
                        let ended = clock::now();
                        self.fatal_runs.push((instance.start_name(), FatalRun { ended, began: offered }));
                    }
                    if failure.reason == FailureReason::GateLost {
                        self.remove_unlisted(&instance);
                    }
                    attempts.on_failed(failure)
                }
            };
            if let NextStep::GiveUp(final_failure) = next {
                return Err(final_failure.into());
            }
            let is_late = clock::now() + EDGE_MARGIN >= self.deadline;
            if is_late && attempts.may_have_run() {
                return Err(LocalResponse::TimedOut);
            }
            if is_late || self.body_consumed {
                return Err(attempts.on_no_candidate().into());
            }
        }
    }

    /// Chooses the instance for the next attempt; `None` when there is no candidate left.
    fn choose(&self, attempts: &Attempts) -> Option<Rc<Instance>> {
        let settings = self.node.settings();
        let instances = self.node.cluster.borrow().directory.ready_instances(&self.service);
        let allowed: Vec<&Rc<Instance>> =
            instances.iter().filter(|instance| attempts.may_offer_to(&instance.name)).collect();
        let candidates: Vec<Candidate> = allowed
            .iter()
            .map(|instance| Candidate {
                instance: instance.name.clone(),
                same_zone: instance.zone == settings.zone,
                own_gate: instance.address.ip() == settings.ip(),
            })
            .collect();
        let slots = allowed.first().map_or(1, |instance| instance.slots);
        let mut balancer = self.node.balancer.borrow_mut();
        let now = clock::now();
        let chosen = self.node.random(|random| balancer.choose(&candidates, &[], slots, now, random))?;
        Some(allowed[chosen].clone())
    }

    /// Offers the request to the gate of `instance`.
    async fn offer(&mut self, instance: &Instance, attempts: &mut Attempts) -> GateReply {
        let settings = self.node.settings();
        let is_remote = instance.address.ip() != settings.ip();
        let offer = self.offer_message(instance, is_remote, attempts);
        let name = instance.name.clone();
        let mut sent = SentRequestGuard { node: self.node, name: &name, observation: Observation::Neutral };
        self.node.balancer.borrow_mut().on_send(&name);
        log_offer(self.node, &self.request, instance, self.deadline);
        let (reply, load) = if !is_remote {
            let body = self.take_body();
            let reply = gate::run_offer(self.node, offer, body, Confirmation::NotNeeded).await;
            (reply, Some(self.node.gate.load(self.node, &name, &self.context.root, self.context.hop)))
        } else {
            let address = settings.inbound_of(instance.address.ip());
            let body = self.take_stream().map(|(stream, _)| stream);
            // An offer without confirmation may have run where nothing more is heard of it.
            let may_offer_again = offer.needs_confirmation || attempts.allows_runs(2);
            let remote = remote::offer(self.node, address, offer, body, may_offer_again).await;
            if let Some(failure) = remote.unanswered {
                self.record_failure(instance, failure);
                attempts.on_unanswered(failure);
            }
            (remote.reply, remote.load)
        };
        sent.observation = observation_of(&reply);
        if let Some(load) = load {
            self.record_load(instance, load);
        }
        reply
    }

    /// The fatal runs as reported to the next gate, whose node may not have learnt of them yet.
    fn reported_ends(&self) -> Vec<ReportedEnd> {
        let now = clock::now();
        self.fatal_runs.iter().map(|(instance, run)| ReportedEnd::of(instance, *run, now)).collect()
    }

    fn take_body(&mut self) -> Body {
        match self.take_stream() {
            Some((stream, length)) => Body::Stream(stream, length),
            None => Body::Whole(self.whole_body.clone()),
        }
    }

    fn take_stream(&mut self) -> Option<(BodyStream, Option<u64>)> {
        let stream = self.streamed.take();
        self.body_consumed |= stream.is_some();
        stream
    }

    fn offer_message(&self, instance: &Instance, is_remote: bool, attempts: &Attempts) -> Offer {
        let now = clock::now();
        let time_left = self.deadline.since(now);
        let route = &self.request.route;
        let body = match &self.streamed {
            Some((_, length)) => OfferedBody::Streamed(*length),
            None => OfferedBody::Whole(self.whole_body.clone()),
        };
        Offer {
            instance: instance.name.clone(),
            route: route.name.clone(),
            head: self.head.clone(),
            body,
            request_id: self.request.id.clone(),
            time_left_ms: saturating_millis(time_left),
            max_slot_wait_ms: saturating_millis(self.max_slot_wait(instance, attempts, now)),
            target_latency_ms: route.target_latency.0,
            root: self.context.root.clone(),
            hop: self.context.hop,
            safety: route.safety,
            is_retry: attempts.has_reached_instance(),
            reported_ends: self.reported_ends(),
            parent_retry_probability: self.context.parent_retry_probability,
            declared: self.node.declared_rates.borrow().record_for(&instance.name),
            needs_confirmation: is_remote && route.safety == RetrySafety::Unsafe,
        }
    }

    /// The longest time to wait for a slot. A client that is refused early can retry in time; in a chain of
    /// calls that each wait long, the whole chain misses its deadline.
    fn max_slot_wait(&self, instance: &Instance, attempts: &Attempts, now: Moment) -> Duration {
        let budget = self.request.route.target_latency.duration() / SLOT_WAIT_DIVISOR;
        let longest = budget.saturating_sub(now.since(self.arrived)).min(self.deadline.since(now));
        let is_rate_limited = self.node.declared_rates.borrow().rate_of(&instance.name).is_some();
        if is_rate_limited && self.has_available_alternative(attempts, now) {
            longest.min(RATE_LIMITED_SLOT_WAIT)
        } else {
            longest
        }
    }

    /// True when the request may be offered to another instance that is not rate-limited for now.
    fn has_available_alternative(&self, attempts: &Attempts, now: Moment) -> bool {
        let instances = self.node.cluster.borrow().directory.ready_instances(&self.service);
        let balancer = self.node.balancer.borrow();
        instances
            .iter()
            .any(|other| attempts.may_offer_to(&other.name) && !balancer.is_rate_limited(&other.name, now))
    }

    /// True when every instance of the service declares a rate, so that the declared rates are its whole
    /// capacity.
    fn is_service_rate_limited(&self) -> bool {
        let instances = self.node.cluster.borrow().directory.ready_instances(&self.service);
        let rates = self.node.declared_rates.borrow();
        instances.iter().all(|instance| rates.rate_of(&instance.name).is_some())
    }

    /// Updates the directory when the gate found another instance in place of the intended one.
    fn record_successor(&self, intended: &Instance, successor: Option<Box<Instance>>) {
        let Some(successor) = successor else { return };
        let now = clock::now();
        self.node.update_directory("gate", |directory| {
            let gone = directory.note_gone(&intended.name, now);
            directory.observe(*successor, now) || gone
        });
    }

    /// Removes the instance from the directory if the source no longer lists it: it was not reachable either.
    fn remove_unlisted(&self, instance: &Instance) {
        let now = clock::now();
        self.node.update_directory("gate", |directory| directory.remove_unlisted(&instance.name, now));
    }

    fn record_load(&self, instance: &Instance, load: Load) {
        let now = clock::now();
        let name = &instance.name;
        let report = load.self_report.unwrap_or_default();
        if report.is_leaving {
            self.node.note_leaving(name, report.declared.incarnation.or(instance.incarnation), "gate");
        }
        let mut balancer = self.node.balancer.borrow_mut();
        balancer.on_report(name, f64::from(load.occupancy), now);
        let health =
            Health { latency_ratio: f64::from(load.latency_ratio), failure_rate: f64::from(load.failure_rate) };
        balancer.on_health(name, health, now);
        balancer.on_rate_limited(name, report.retry_after.duration(), now);
        drop(balancer);
        self.node.declared_rates.borrow_mut().note(name, report.declared);
        // A shortage at one rate-limited instance is no shortage of the service, as long as others accept its
        // requests.
        if report.declared.rate.is_some() && !self.is_service_rate_limited() {
            return;
        }
        let class = self.context.root.class();
        let hop = self.context.hop;
        self.node.levels.borrow_mut().on_report(&class, &self.service, hop, f64::from(load.level), now);
    }

    fn record_failure(&self, instance: &Instance, failure: Failure) {
        self.node.metrics.failed_attempts.with_label_values(&[failure.reason.as_str()]).inc();
        log_failed_attempt(self.node, &self.request, instance, failure);
    }
}

/// Tells the balancer that a request ended, also when its future is dropped.
struct SentRequestGuard<'a> {
    node: &'a Node,
    name: &'a InstanceName,
    observation: Observation,
}

impl Drop for SentRequestGuard<'_> {
    fn drop(&mut self) {
        self.node.balancer.borrow_mut().on_end(self.name, self.observation, clock::now());
    }
}

fn observation_of(reply: &GateReply) -> Observation {
    match reply {
        GateReply::Answered(_) => Observation::Answered,
        GateReply::Refused { refusal, .. } if refusal.reason.is_local_to_instance() => Observation::Failed,
        GateReply::Refused { .. } => Observation::Neutral,
        GateReply::Failed(failure) => match failure.reason {
            FailureReason::RequestBroken | FailureReason::RefusedByInstance => Observation::Neutral,
            _ => Observation::Failed,
        },
    }
}

fn saturating_millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
