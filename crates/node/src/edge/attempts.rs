//! Attempts of one call: choice of instance, sending, retries within the allowance.

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

/// Time to come back when no instance can be reached.
const NO_INSTANCE_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Time limit for asking the root's node for a retry credit.
const CREDIT_TIMEOUT: Duration = Duration::from_millis(100);

/// What became of all attempts.
pub enum AttemptResult {
    /// A back end answered.
    Answered(Response<AnyBody>),
    /// No back end started the request.
    NotRun(Refusal),
    /// A back end may have run the request.
    Unknown,
}

/// What to do after an attempt that was not answered.
enum Next {
    Retry,
    End(AttemptResult),
}

/// The attempts of one call.
pub struct Attempts<'a> {
    node: &'a Node,
    call: &'a mut Admitted,
    tried: Vec<InstanceName>,
    outside: Duration,
    maybe_ran: bool,
}

impl<'a> Attempts<'a> {
    /// No attempt yet.
    pub fn new(node: &'a Node, call: &'a mut Admitted) -> Self {
        Attempts { node, call, tried: Vec::new(), outside: Duration::ZERO, maybe_ran: false }
    }

    /// Time that the attempts spent waiting for slots and in instances.
    pub fn outside(&self) -> Duration {
        self.outside
    }

    /// Attempts until there is an answer, no allowance or no time.
    pub async fn run(&mut self) -> AttemptResult {
        let mut attempt = 0;
        loop {
            let Some((instance, gate)) = self.choose() else {
                return self.not_run(RefusalReason::NoInstance);
            };
            let Some(body) = self.call.body.for_attempt() else {
                return self.not_run(RefusalReason::InstanceUnreachable);
            };
            self.tried.push(instance.name.clone());
            let result = self.attempt(instance, gate, body, attempt).await;
            match self.judge(result).await {
                Next::Retry => attempt += 1,
                Next::End(result) => return result,
            }
        }
    }

    fn not_run(&self, reason: RefusalReason) -> AttemptResult {
        if self.maybe_ran {
            return AttemptResult::Unknown;
        }
        AttemptResult::NotRun(Refusal::new(reason, NO_INSTANCE_RETRY_AFTER))
    }

    /// The instance and its gate for the next attempt.
    fn choose(&self) -> Option<(Instance, MemberRecord)> {
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

    /// True when a refusal can be made good elsewhere: its cause is the instance or its
    /// gate, or another instance is known to have free slots.
    fn can_be_made_good(&self, reason: RefusalReason) -> bool {
        if reason.is_local_to_instance() {
            return true;
        }
        let for_lack_of_slots = matches!(reason, RefusalReason::PredictedWait | RefusalReason::Displaced);
        let now = clock::now();
        for_lack_of_slots && {
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
        node.note(self.call.context.request, self.call.context.hop, sent);
        let call = self.gate_call(instance, body, attempt);
        let mut ending = EndOfCall::begin(node, &name);
        let reply = if gate.name == *node.name() {
            dispatch(node, call).await
        } else {
            forward::forward(node, &gate, call).await
        };
        ending.observation = observation_of(&reply.result);
        drop(ending);
        self.learn(&name, &reply);
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

    /// Learns levels and occupancy from a reply.
    fn learn(&mut self, instance: &InstanceName, reply: &GateReply) {
        let now = clock::now();
        self.outside += reply.outside;
        let context = &self.call.context;
        let class = class_of(context);
        lock(&self.node.levels).on_report(&class, &self.call.kind.service, context.hop, reply.level, now);
        lock(&self.node.balancer).on_report(instance, reply.occupancy, now);
    }

    async fn judge(&mut self, result: GateResult) -> Next {
        match result {
            GateResult::Answered(response) => {
                if !response.status().is_server_error() {
                    lock(&self.node.budget).on_success();
                }
                Next::End(AttemptResult::Answered(response))
            }
            GateResult::Refused(refusal) => {
                if refusal.reason == RefusalReason::InstanceLeaving
                    && let Some(instance) = self.tried.last()
                {
                    self.node.write_directory().note_leaving(instance, clock::now());
                }
                if self.can_be_made_good(refusal.reason) && self.may_retry().await {
                    return Next::Retry;
                }
                let ran = self.maybe_ran;
                Next::End(if ran { AttemptResult::Unknown } else { AttemptResult::NotRun(refusal) })
            }
            GateResult::Broken => {
                self.maybe_ran = true;
                if self.call.kind.repeat_safe && self.may_retry().await {
                    return Next::Retry;
                }
                Next::End(AttemptResult::Unknown)
            }
        }
    }

    /// Asks for a retry: time must be left, the local budget must allow it, and the
    /// root's node must give a credit. No answer, no retry.
    async fn may_retry(&mut self) -> bool {
        if clock::now() >= self.call.deadline || !lock(&self.node.budget).try_take() {
            return false;
        }
        let granted = self.take_credit().await;
        if granted {
            self.node.metrics.retries.inc();
        }
        self.node.note(self.call.context.request, self.call.context.hop, Decision::Retry { granted });
        granted
    }

    async fn take_credit(&mut self) -> bool {
        let context = &self.call.context;
        if context.root_node == *self.node.name() {
            return lock(&self.node.ledger).take(context.request);
        }
        let address = self.node.dial(context.root_control);
        let request = context.request;
        let asked = self.node.control.call(address, CREDIT_TIMEOUT, |client, rpc| async move {
            client.take_retry_credit(rpc, request).await
        });
        asked.await.unwrap_or(false)
    }
}

fn observation_of(result: &GateResult) -> Observation {
    match result {
        GateResult::Answered(_) => Observation::Answered,
        GateResult::Broken => Observation::Failed,
        GateResult::Refused(refusal) => match refusal.reason {
            RefusalReason::InstanceUnreachable | RefusalReason::GateUnreachable => Observation::Failed,
            _ => Observation::Neutral,
        },
    }
}

/// Counts a call as outstanding until it ends, also when its future is dropped.
struct EndOfCall<'a> {
    node: &'a Node,
    instance: &'a InstanceName,
    observation: Observation,
}

impl<'a> EndOfCall<'a> {
    fn begin(node: &'a Node, instance: &'a InstanceName) -> Self {
        lock(&node.balancer).on_send(instance);
        EndOfCall { node, instance, observation: Observation::Neutral }
    }
}

impl Drop for EndOfCall<'_> {
    fn drop(&mut self) {
        let now: Moment = clock::now();
        lock(&self.node.balancer).on_end(self.instance, self.observation, now);
    }
}
