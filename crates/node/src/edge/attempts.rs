//! The attempts of one call: choosing an instance, sending, and retrying within the retry limits.

use std::time::Duration;

use hyper::Response;
use olivegate_membership::MemberRecord;
use olivegate_routing::{Candidate, Observation};
use olivegate_types::{InstanceName, Moment, Refusal, RefusalReason};

use crate::body::AnyBody;
use crate::directory::Instance;
use crate::edge::admit::Admitted;
use crate::edge::forward;
use crate::explain::Decision;
use crate::gate::dispatch::{GateResult, class_of};
use crate::gate::{GateCall, GateReply, dispatch};
use crate::state::{Node, lock};
use olivegate_clock as clock;

/// `Retry-After` when no instance can be reached.
const NO_INSTANCE_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Timeout for requesting a retry credit from the root's node.
const CREDIT_TIMEOUT: Duration = Duration::from_millis(100);

/// Result of all attempts of a call.
pub enum AttemptResult {
    /// An instance responded.
    Answered(Response<AnyBody>),
    /// No instance started the request.
    NotRun(Refusal),
    /// An instance may have run the request, but no response arrived.
    Unknown,
}

/// What follows an attempt.
enum NextStep {
    Retry,
    End(AttemptResult),
}

/// Runs the attempts of one call.
pub struct Attempts<'a> {
    node: &'a Node,
    call: &'a mut Admitted,
    tried: Vec<InstanceName>,
    excluded_time: Duration,
    may_have_run: bool,
}

impl<'a> Attempts<'a> {
    /// Starts without an attempt made.
    pub fn new(node: &'a Node, call: &'a mut Admitted) -> Self {
        Attempts { node, call, tried: Vec::new(), excluded_time: Duration::ZERO, may_have_run: false }
    }

    /// Time that the attempts spent waiting for slots, in instances and between nodes; it doesn't count
    /// as own processing.
    pub fn excluded_time(&self) -> Duration {
        self.excluded_time
    }

    /// Makes attempts until one is answered or no further one can be made: the failed one may not be retried,
    /// a retry limit or the deadline is reached, the body can't be sent again, or no instance is available.
    pub async fn run(&mut self) -> AttemptResult {
        let mut attempt = 0;
        loop {
            let Some((instance, gate)) = self.choose_instance() else {
                return self.not_run(RefusalReason::NoInstance);
            };
            let Some(body) = self.call.body.for_attempt() else {
                return self.not_run(RefusalReason::InstanceUnreachable);
            };
            self.tried.push(instance.name.clone());
            let result = self.attempt(instance, gate, body, attempt).await;
            match self.next_step(result).await {
                NextStep::Retry => attempt += 1,
                NextStep::End(result) => return result,
            }
        }
    }

    fn not_run(&self, reason: RefusalReason) -> AttemptResult {
        if self.may_have_run {
            return AttemptResult::Unknown;
        }
        AttemptResult::NotRun(Refusal::new(reason, NO_INSTANCE_RETRY_AFTER))
    }

    /// The instance for the next attempt, with the node that is its gate.
    fn choose_instance(&self) -> Option<(Instance, MemberRecord)> {
        let node = self.node;
        let now = clock::now();
        let with_gates = self.instances_with_gates(now);
        let candidates = self.candidates(&with_gates);
        let service = &self.call.kind.service;
        let slots = self.call.bundle.bundle().service(service).map_or(1, |service| service.slots);
        let mut balancer = lock(&node.balancer);
        for candidate in candidates.iter().filter(|candidate| candidate.own_gate) {
            if let Some(occupancy) = node.gates.occupancy(&candidate.instance) {
                balancer.on_report(&candidate.instance, occupancy, now);
            }
        }
        let chosen = balancer.choose(&candidates, &self.tried, slots, now, &mut rand::rng())?;
        with_gates.into_iter().nth(chosen)
    }

    fn instances_with_gates(&self, now: Moment) -> Vec<(Instance, MemberRecord)> {
        let node = self.node;
        let service = &self.call.kind.service;
        let instances: Vec<Instance> =
            node.read_directory().available(service, now).into_iter().cloned().collect();
        let with_gate = |instance: Instance| node.gate_of(&instance).map(|gate| (instance, gate));
        instances.into_iter().filter_map(with_gate).collect()
    }

    fn candidates(&self, with_gates: &[(Instance, MemberRecord)]) -> Vec<Candidate> {
        let candidate = |(instance, gate): &(Instance, MemberRecord)| Candidate {
            instance: instance.name.clone(),
            same_zone: instance.zone == self.node.settings.zone,
            own_gate: gate.name == *self.node.name(),
        };
        with_gates.iter().map(candidate).collect()
    }

    /// True when another instance may accept the refused call: the cause of the refusal is the
    /// instance or its gate, or another instance is known to have free slots.
    fn may_succeed_elsewhere(&self, reason: RefusalReason) -> bool {
        if reason.is_local_to_instance() {
            return true;
        }
        let lacks_slots = matches!(reason, RefusalReason::PredictedWait | RefusalReason::Displaced);
        let now = clock::now();
        lacks_slots && {
            let candidates = self.candidates(&self.instances_with_gates(now));
            lock(&self.node.balancer).has_free_alternative(&candidates, &self.tried, now)
        }
    }

    async fn attempt(
        &mut self,
        instance: Instance,
        gate: MemberRecord,
        body: AnyBody,
        attempt: u32,
    ) -> GateResult {
        let node = self.node;
        let name = instance.name.clone();
        let sent = Decision::Sent { instance: name.clone(), gate: gate.name.clone(), attempt };
        node.record_decision(self.call.context.request, self.call.context.hop, sent);
        let call = self.gate_call(instance, body, attempt);
        let mut outstanding = OutstandingCall::start(node, &name);
        let reply = if gate.name == *node.name() {
            dispatch(node, call).await
        } else {
            forward::forward(node, &gate, call).await
        };
        outstanding.observation = observation_of(&reply.result);
        drop(outstanding);
        self.record_report(&name, &reply);
        reply.result
    }

    fn gate_call(&self, instance: Instance, body: AnyBody, attempt: u32) -> GateCall {
        GateCall {
            context: self.call.context.clone(),
            bundle: self.call.bundle.clone(),
            kind: self.call.kind.clone(),
            instance,
            attempt,
            deadline: self.call.deadline,
            method: self.call.method.clone(),
            uri: self.call.uri.clone(),
            headers: self.call.headers.clone(),
            body,
        }
    }

    /// Records the admission level and the occupancy that a reply reports.
    fn record_report(&mut self, instance: &InstanceName, reply: &GateReply) {
        let now = clock::now();
        self.excluded_time += reply.excluded_time;
        let context = &self.call.context;
        let class = class_of(context);
        lock(&self.node.levels).on_report(&class, &self.call.kind.service, context.hop, reply.level, now);
        lock(&self.node.balancer).on_report(instance, reply.occupancy, now);
    }

    async fn next_step(&mut self, result: GateResult) -> NextStep {
        match result {
            GateResult::Answered(response) => {
                if !response.status().is_server_error() {
                    lock(&self.node.retry_budget).on_success();
                }
                NextStep::End(AttemptResult::Answered(response))
            }
            GateResult::Refused(refusal) => {
                if refusal.reason == RefusalReason::InstanceLeaving
                    && let Some(instance) = self.tried.last()
                {
                    self.node.write_directory().mark_leaving(instance, clock::now());
                }
                if self.may_succeed_elsewhere(refusal.reason) && self.may_retry().await {
                    return NextStep::Retry;
                }
                let may_have_run = self.may_have_run;
                NextStep::End(if may_have_run { AttemptResult::Unknown } else { AttemptResult::NotRun(refusal) })
            }
            GateResult::Interrupted => {
                self.may_have_run = true;
                if self.call.kind.repeat_safe && self.may_retry().await {
                    return NextStep::Retry;
                }
                NextStep::End(AttemptResult::Unknown)
            }
        }
    }

    /// True when a retry is allowed: the deadline has not passed, the local retry budget allows it and
    /// the root's node grants a credit. Without its reply there is no retry.
    async fn may_retry(&mut self) -> bool {
        if clock::now() >= self.call.deadline || !lock(&self.node.retry_budget).try_take() {
            return false;
        }
        let granted = self.take_credit().await;
        if granted {
            self.node.metrics.retries.inc();
        }
        self.node.record_decision(self.call.context.request, self.call.context.hop, Decision::Retry { granted });
        granted
    }

    async fn take_credit(&mut self) -> bool {
        let context = &self.call.context;
        if context.root_node == *self.node.name() {
            return lock(&self.node.retry_ledger).take(context.request);
        }
        let address = self.node.dial_address(context.root_control);
        let request = context.request;
        let reply = self.node.control.call(address, CREDIT_TIMEOUT, |client, rpc| async move {
            client.take_retry_credit(rpc, request).await
        });
        reply.await.unwrap_or(false)
    }
}

fn observation_of(result: &GateResult) -> Observation {
    match result {
        GateResult::Answered(_) => Observation::Answered,
        GateResult::Interrupted => Observation::Failed,
        GateResult::Refused(refusal) => match refusal.reason {
            RefusalReason::InstanceUnreachable | RefusalReason::GateUnreachable => Observation::Failed,
            _ => Observation::Neutral,
        },
    }
}

/// Counts a call as outstanding at the balancer; the drop ends it, also when the future of the call
/// is dropped.
struct OutstandingCall<'a> {
    node: &'a Node,
    instance: &'a InstanceName,
    observation: Observation,
}

impl<'a> OutstandingCall<'a> {
    fn start(node: &'a Node, instance: &'a InstanceName) -> Self {
        lock(&node.balancer).on_send(instance);
        OutstandingCall { node, instance, observation: Observation::Neutral }
    }
}

impl Drop for OutstandingCall<'_> {
    fn drop(&mut self) {
        let now: Moment = clock::now();
        lock(&self.node.balancer).on_end(self.instance, self.observation, now);
    }
}
