//! From a request that may begin to its answer: instance, attempts.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use olivegate_http1::RequestHead;
use olivegate_quarantine::{FatalRun, ReportedEnd};
use olivegate_routing::balance::{Candidate, Health, Observation};
use olivegate_types::{InstanceName, Moment, RefusalReason, ServiceName};

use crate::edge::attempts::{Attempts, Next};
use crate::edge::call_context::RequestLineage;
use crate::edge::local_response::OwnAnswer;
use crate::edge::outcome::{log_failed_attempt, log_offer};
use crate::edge::remote;
use crate::edge::request::CheckedRequest;
use crate::gate;
use crate::gate::confirmation::Confirmation;
use crate::gate_protocol::{Offer, OfferedBody};
use crate::model::{Instance, RetrySafety};
use crate::reply::{Body, BodyStream, Failure, FailureReason, GateReply, Load, Response, ResponseFault};
use crate::state::Node;
use olivegate_clock as clock;

/// Part of the target latency that a request may wait for a slot: a refusal after that comes
/// too late for a second try.
const WAIT_PART: u32 = 4;
/// Longest wait at the gate of an instance that declares a rate, while another instance takes more.
const PACED_WAIT: Duration = Duration::from_millis(20);
/// Kept back from the time of a request, for the way of a refusal or of a time-out.
const EDGE_RESERVE: Duration = Duration::from_millis(10);

/// One request on its way.
struct Dispatch<'a> {
    node: &'a Rc<Node>,
    request: CheckedRequest,
    /// Where it comes from, and what it hands down to its calls.
    lineage: RequestLineage,
    service: ServiceName,
    head: RequestHead,
    whole_body: Bytes,
    streamed: Option<(BodyStream, Option<u64>)>,
    /// A streamed body was given to an attempt: it can't be sent again.
    body_is_spent: bool,
    /// The failure of an instance, while others are tried. It is better than no answer.
    failed_answer: Option<Response>,
    /// Runs of it with which their instance ended.
    fatal_runs: Vec<(InstanceName, FatalRun)>,
    arrived: Moment,
    deadline: Moment,
}

/// Carries a request that may begin to its answer.
pub async fn dispatch(
    node: &Rc<Node>,
    head: RequestHead,
    body: Body,
    request: CheckedRequest,
    lineage: RequestLineage,
    arrived: Moment,
    trail: &mut String,
) -> Result<Response, OwnAnswer> {
    let dealt = node.weighted_round_robin.borrow_mut().next_service(&request.route);
    let service = dealt.ok_or(OwnAnswer::Rejected { status: 404, reason: "no-service" })?;
    let deadline = arrived + request.time;
    let body_bytes = body.held_bytes();
    let (whole_body, streamed) = match body {
        Body::Whole(bytes) => (bytes, None),
        Body::Stream(pieces, length) => (Bytes::new(), Some((pieces, length))),
    };
    let mut dispatch = Dispatch {
        node,
        request,
        lineage,
        service,
        head,
        whole_body,
        streamed,
        body_is_spent: false,
        failed_answer: None,
        fatal_runs: Vec::new(),
        arrived,
        deadline,
    };
    let limit = clock::instant_of(deadline);
    let mut attempts = Attempts::new(dispatch.request.route.safety, dispatch.request.route.attempts);
    let result = tokio::time::timeout_at(limit, dispatch.run(&mut attempts)).await;
    *trail = attempts.trail().to_string();
    let result = match (result.unwrap_or(Err(OwnAnswer::TimedOut)), dispatch.failed_answer.take()) {
        (Err(_), Some(failed)) => Ok(failed),
        (result, _) => result,
    };
    if let Ok(answer) = &result {
        node.note_request_bytes(body_bytes + answer.body.held_bytes());
    }
    result
}

impl Dispatch<'_> {
    /// The answer when it is final; `None` when another instance is to be tried, since this one
    /// failed the request by itself and it may run again.
    fn after_answer(&mut self, attempts: &mut Attempts, answer: Response) -> Option<Response> {
        let is_own_failure = answer.fault == ResponseFault::Instance && !self.body_is_spent;
        if is_own_failure && attempts.on_instance_failed() == Next::TryAnother {
            self.failed_answer = Some(answer);
            return None;
        }
        Some(answer)
    }

    /// Offers the request until there is an answer or nothing is left to try.
    async fn run(&mut self, attempts: &mut Attempts) -> Result<Response, OwnAnswer> {
        loop {
            let Some(instance) = self.choose(attempts) else {
                return Err(attempts.on_no_candidate().into());
            };
            attempts.on_offer(&instance.name);
            let offered = clock::now();
            let reply = self.offer(&instance, attempts).await;
            let next = match reply {
                GateReply::Answered(answer) => match self.after_answer(attempts, answer) {
                    Some(answer) => return Ok(answer),
                    None => Next::TryAnother,
                },
                GateReply::Refused { refusal, successor } => {
                    self.follow_successor(&instance, successor);
                    if refusal.reason == RefusalReason::InstanceLeaving {
                        self.remove_unlisted(&instance);
                    }
                    attempts.on_refused(refusal)
                }
                GateReply::Failed(failure) => {
                    self.note_failure(&instance, failure);
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
            if let Next::GiveUp(verdict) = next {
                return Err(verdict.into());
            }
            let is_late = clock::now() + EDGE_RESERVE >= self.deadline;
            if is_late && attempts.may_have_run() {
                return Err(OwnAnswer::TimedOut);
            }
            if is_late || self.body_is_spent {
                return Err(attempts.on_no_candidate().into());
            }
        }
    }

    /// The instance for the next attempt; `None` when each was tried.
    fn choose(&self, attempts: &Attempts) -> Option<Rc<Instance>> {
        let settings = self.node.settings();
        let instances = self.node.cluster.borrow().directory.ready_instances(&self.service);
        let untried: Vec<&Rc<Instance>> =
            instances.iter().filter(|instance| attempts.may_go_to(&instance.name)).collect();
        let candidates: Vec<Candidate> = untried
            .iter()
            .map(|instance| Candidate {
                instance: instance.name.clone(),
                same_zone: instance.zone == settings.zone,
                own_gate: instance.address.ip() == settings.ip(),
            })
            .collect();
        let slots = untried.first().map_or(1, |instance| instance.slots);
        let mut balancer = self.node.balancer.borrow_mut();
        let now = clock::now();
        let chosen = self.node.random(|random| balancer.choose(&candidates, &[], slots, now, random))?;
        Some(untried[chosen].clone())
    }

    /// Offers the request to the gate of `instance`.
    async fn offer(&mut self, instance: &Instance, attempts: &Attempts) -> GateReply {
        let settings = self.node.settings();
        let is_remote = instance.address.ip() != settings.ip();
        let offer = self.offer_message(instance, is_remote, attempts);
        let name = instance.name.clone();
        let mut sent = SentGuard { node: self.node, name: &name, observation: Observation::Neutral };
        self.node.balancer.borrow_mut().on_send(&name);
        log_offer(self.node, &self.request, instance, self.deadline);
        let (reply, load) = if !is_remote {
            let body = self.take_body();
            let reply = gate::run_offer(self.node, offer, body, Confirmation::NotNeeded).await;
            (reply, Some(self.node.gate.load(self.node, &name, &self.lineage.root, self.lineage.hop)))
        } else {
            let address = settings.inbound_of(instance.address.ip());
            let body = self.take_stream().map(|(pieces, _)| pieces);
            let remote = remote::offer(self.node, address, offer, body).await;
            (remote.reply, remote.load)
        };
        sent.observation = observation_of(&reply);
        if let Some(load) = load {
            self.note_load(instance, load);
        }
        reply
    }

    /// The fatal runs, as the next gate is told of them: its node may not have heard yet.
    fn reported_ends(&self) -> Vec<ReportedEnd> {
        let now = clock::now();
        self.fatal_runs.iter().map(|(instance, run)| ReportedEnd::of(instance, *run, now)).collect()
    }

    fn take_body(&mut self) -> Body {
        match self.take_stream() {
            Some((pieces, length)) => Body::Stream(pieces, length),
            None => Body::Whole(self.whole_body.clone()),
        }
    }

    fn take_stream(&mut self) -> Option<(BodyStream, Option<u64>)> {
        let stream = self.streamed.take();
        self.body_is_spent |= stream.is_some();
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
            time_left_ms: milliseconds(time_left),
            max_slot_wait_ms: milliseconds(self.longest_wait(instance, attempts, now)),
            target_latency_ms: route.target_latency.0,
            root: self.lineage.root.clone(),
            hop: self.lineage.hop,
            safety: route.safety,
            is_retry: attempts.has_arrived(),
            reported_ends: self.reported_ends(),
            parent_retry_probability: self.lineage.parent_retry_probability,
            declared: self.node.declared_rates.borrow().record_for(&instance.name),
            needs_confirmation: is_remote && route.safety == RetrySafety::Unsafe,
        }
    }

    /// A client that is refused early comes back in time; a chain of calls that each wait
    /// long is late as a whole.
    fn longest_wait(&self, instance: &Instance, attempts: &Attempts, now: Moment) -> Duration {
        let whole = self.request.route.target_latency.duration() / WAIT_PART;
        let longest = whole.saturating_sub(now.since(self.arrived)).min(self.deadline.since(now));
        let is_limited = self.node.declared_rates.borrow().rate_of(&instance.name).is_some();
        if is_limited && self.has_open_alternative(attempts, now) { longest.min(PACED_WAIT) } else { longest }
    }

    /// True when another instance may be tried whose gate does not ask to be left alone.
    fn has_open_alternative(&self, attempts: &Attempts, now: Moment) -> bool {
        let instances = self.node.cluster.borrow().directory.ready_instances(&self.service);
        let balancer = self.node.balancer.borrow();
        instances
            .iter()
            .any(|other| attempts.may_go_to(&other.name) && !balancer.is_rate_limited(&other.name, now))
    }

    /// True when each instance of the service declares a rate: together these are all that there is.
    fn is_service_limited(&self) -> bool {
        let instances = self.node.cluster.borrow().directory.ready_instances(&self.service);
        let rates = self.node.declared_rates.borrow();
        instances.iter().all(|instance| rates.rate_of(&instance.name).is_some())
    }

    /// The gate met another instance than the one that was meant.
    fn follow_successor(&self, meant: &Instance, successor: Option<Box<Instance>>) {
        let Some(successor) = successor else { return };
        let now = clock::now();
        self.node.update_directory("gate", |directory| {
            let gone = directory.note_gone(&meant.name, now);
            directory.observe(*successor, now) || gone
        });
    }

    /// An instance that the source does not list was not found either.
    fn remove_unlisted(&self, instance: &Instance) {
        let now = clock::now();
        self.node.update_directory("gate", |directory| directory.remove_unlisted(&instance.name, now));
    }

    fn note_load(&self, instance: &Instance, load: Load) {
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
        // What one instance lacks is no lack of the service, as long as others take what comes.
        if report.declared.rate.is_some() && !self.is_service_limited() {
            return;
        }
        let class = self.lineage.root.class();
        let hop = self.lineage.hop;
        self.node.levels.borrow_mut().on_report(&class, &self.service, hop, f64::from(load.level), now);
    }

    fn note_failure(&self, instance: &Instance, failure: Failure) {
        self.node.metrics.failed_attempts.with_label_values(&[failure.reason.as_str()]).inc();
        log_failed_attempt(self.node, &self.request, instance, failure);
    }
}

/// Tells the balancer that a request ended, also when it was dropped.
struct SentGuard<'a> {
    node: &'a Node,
    name: &'a InstanceName,
    observation: Observation,
}

impl Drop for SentGuard<'_> {
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

fn milliseconds(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
