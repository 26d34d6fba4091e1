//! The gate, the only component that sends requests to the instance beside this node.
//!
//! An instance accepts connections only from processes of its own machine, so the gate's count of requests in
//! flight is exact. A request that the gate refuses never reached the instance, so an edge may offer it
//! elsewhere.
//!
//! - [`slots`]: queue and concurrency limit of one instance.
//! - [`slot`]: a slot held by a request.
//! - [`instance_connection`]: pool of connections to the instance.
//! - [`admission`]: admission control of client requests by the load of downstream services.
//! - [`instance_end`]: detects whether the instance process has ended.
//! - [`identity`]: which instance is known to be listening.
//! - [`presence`]: checks whether the expected instance is listening.
//! - [`declared_rate`]: the rate limit that the instance declares.
//! - [`exchange`]: one request and its response on a connection.
//! - [`notice`]: what an instance declares about itself in a response.
//! - [`promise`]: withholds a status that promises what the instance does not.
//! - [`running`]: registers a request while the instance runs it.
//! - [`shedding`]: admission levels for call chains while the instance sheds load.
//! - [`retries`]: budget of retries that the gate lets through.
//! - [`quarantine`]: requests that end the instances running them.
//! - [`idle_closes`]: distinguishes idle timeouts of the instance from its end.
//! - [`idle_reuse`]: how long an idle connection may be reused.
//! - [`confirmation`]: second step of an offer that may run at most once.
//! - [`serve`]: handles the offers of other nodes.

pub mod admission;
pub mod confirmation;
pub mod declared_rate;
pub mod exchange;
pub mod identity;
pub mod idle_closes;
pub mod idle_reuse;
pub mod instance_connection;
pub mod instance_end;
pub mod notice;
pub mod presence;
pub mod promise;
pub mod quarantine;
pub mod retries;
pub mod running;
pub mod serve;
pub mod shedding;
pub mod slot;
pub mod slots;

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use olivegate_overload::{ClassKey, ProcessPace, SlotRequest};
use olivegate_types::{GroupName, InstanceName, Moment, Refusal, RefusalReason};

use crate::directory::InstanceStatus;
use crate::event::{LogClass, display_id};
use crate::gate_protocol::{CALLER_GROUP, Offer, RootRequest};
use crate::lateness;
use crate::model::{Incarnation, Instance, InstanceState};
use crate::reload::{ReloadTrigger, reload};
use crate::reply::{Body, Failure, FailureReason, GateReply, Load, refused};
use crate::state::Node;
use confirmation::Confirmation;
use declared_rate::RateSource;
use identity::{IdentityEpoch, InstanceIdentity};
use olivegate_clock as clock;
use presence::reply_for_absent;
use quarantine::run_content::RunContent;
use quarantine::watched_run::WatchedRun;
use quarantine::{GateQuarantine, RunPermit};
use retries::GateRetries;
use running::RunningGuard;
use slots::InstanceSlots;

/// Slots assumed for an instance that the directory doesn't list yet.
const UNLISTED_SLOTS: u32 = 8;
/// Retry-after of refusals that have nothing to do with load.
const SHORT_RETRY_AFTER: Duration = Duration::from_millis(250);
/// Occupancy that a stopping node adds to its own.
const STOPPING_OCCUPANCY: f32 = 2.0;
/// Reserved from the remaining time for returning the response; the instance gets the rest.
const RESPONSE_TRANSIT_TIME: Duration = Duration::from_millis(15);

/// The instances beside this node: the present one, and earlier ones that still respond.
#[derive(Default)]
pub struct Gate {
    instances: RefCell<HashMap<InstanceName, Rc<InstanceSlots>>>,
    retries: GateRetries,
    /// Which instance is known to be listening.
    pub identity: InstanceIdentity,
    /// Quarantine of requests that end instances.
    pub quarantine: GateQuarantine,
}

impl Gate {
    fn slots_of(&self, node: &Node, name: &InstanceName) -> Rc<InstanceSlots> {
        if let Some(slots) = self.instances.borrow().get(name) {
            return slots.clone();
        }
        let listed = node.cluster.borrow().directory.instance(name);
        let count = listed.as_ref().map_or(UNLISTED_SLOTS, |instance| instance.slots);
        let slots = Rc::new(InstanceSlots::new(count));
        listed.into_iter().for_each(|instance| {
            slots.update_from(&instance);
        });
        self.instances.borrow_mut().insert(name.clone(), slots.clone());
        slots
    }

    /// Updates the slots from the directory: slot counts change, and instances that are gone or have
    /// restarted are removed. An instance that restarted under the same name must not inherit the leaving or
    /// ended state of its previous incarnation.
    pub fn follow_directory(&self, node: &Node) {
        let cluster = node.cluster.borrow();
        self.instances.borrow_mut().retain(|name, slots| {
            let is_same_incarnation =
                cluster.directory.instance(name).is_none_or(|instance| slots.update_from(&instance));
            let is_needed = cluster.directory.status(name) != InstanceStatus::Gone || slots.in_use();
            let is_kept = is_same_incarnation && is_needed;
            if !is_kept && slots.is_limited() {
                declared_rate::log_rate_forgotten(&slots.start_name(name), &node.metrics);
            }
            is_kept
        });
    }

    /// Passes on whether this process keeps up: it has to supply the instances with requests.
    pub fn on_process_pace(&self, pace: ProcessPace) {
        self.instances.borrow().values().for_each(|slots| slots.on_process_pace(pace));
    }

    /// Queue and limit of one instance, as fields of a log line.
    pub fn status(&self, name: &InstanceName) -> String {
        self.instances.borrow().get(name).map(|slots| slots.status()).unwrap_or_default()
    }

    /// True when the instance closes its connections like one that is leaving.
    pub fn is_leaving(&self, name: &InstanceName) -> bool {
        self.instances.borrow().get(name).is_some_and(|slots| slots.is_leaving())
    }

    /// Retries per second that are available to calls; unlimited while the instance sheds nothing.
    fn retry_rate_for(&self, node: &Node, slots: &InstanceSlots) -> f64 {
        if slots.shed_fraction() > 0.0 { self.retries.rate(node, clock::now()) } else { f64::MAX }
    }

    fn load_of(&self, node: &Node, name: &InstanceName, slots: &InstanceSlots, class: &ClassKey) -> Load {
        let is_leaving = node.cluster.borrow().directory.has_announced_leaving(name, slots.incarnation());
        Load { self_report: slots.self_report(is_leaving), ..slots.load(class, self.retry_rate_for(node, slots)) }
    }

    /// Load of one instance, for the reply to an offer made for `root` at `hop`. The level is the lower one
    /// of this instance and the services further downstream. A stopping node reports itself as busy, so that
    /// edges choose it only as a last resort.
    pub fn load(&self, node: &Node, name: &InstanceName, root: &RootRequest, hop: u8) -> Load {
        let class = root.class();
        let slots = self.instances.borrow().get(name).cloned();
        let mut load = slots.map(|slots| self.load_of(node, name, &slots, &class)).unwrap_or_default();
        let downstream_level = node.levels.borrow().headroom(&class, hop.saturating_add(1), clock::now());
        load.level = load.level.min(downstream_level as f32);
        if node.stop.is_stopping() {
            load.occupancy += STOPPING_OCCUPANCY;
        }
        load
    }
}

/// Runs an offer: waits for a slot, then sends the request to the instance. Dropping the future cancels the
/// request, whether it is queued or running.
pub async fn run_offer(node: &Rc<Node>, mut offer: Offer, body: Body, confirmation: Confirmation) -> GateReply {
    let arrived = clock::now();
    lateness::sample(node, arrived);
    let deadline = node.stop.limit(arrived + Duration::from_millis(u64::from(offer.time_left_ms)));
    if let Some(reason) = refusal_reason(node, &offer.instance) {
        let refusal = Refusal::new(reason, SHORT_RETRY_AFTER);
        let successor = successor_of(node, &offer.instance);
        return count_refusal(node, &offer, GateReply::Refused { refusal, successor });
    }
    let slots = node.gate.slots_of(node, &offer.instance);
    if let Some(reported) = offer.declared {
        let source = RateSource::Edge { request: &offer.request_id };
        declared_rate::apply_edge_report(&slots, &offer.instance, reported, source, &node.metrics);
    }
    if !node.gate.retries.allows(node, &offer, arrived) {
        return count_refusal(node, &offer, refused(RefusalReason::RepeatBudget, SHORT_RETRY_AFTER));
    }
    if let Err(refusal) = admission::admit_root(node, &mut offer, arrived) {
        return count_refusal(node, &offer, GateReply::Refused { refusal, successor: None });
    }
    // A client's retries have new request ids, so only the content shows that instances ended under the
    // request before. Without this check, one client's request ended 17 instance processes of four instances
    // within 16 s.
    let (content, body) = RunContent::of(node, &offer, body);
    let permit = match node.gate.quarantine.admit(node, &offer, &content).await {
        Ok(permit) => permit,
        Err(refusal) => return count_refusal(node, &offer, GateReply::Refused { refusal, successor: None }),
    };
    // The identity check comes after the other checks, so that requests that these refuse don't wait for it.
    if let Some(reply) = reply_for_absent(node, &offer, &slots).await {
        return count_refusal(node, &offer, reply);
    }
    slots.record_demand(&offer, arrived);
    let slot_request = slot_request_for(&offer, &slots, deadline);
    let slot = match slots.acquire(slot_request).await {
        Ok(slot) => slot,
        Err(refusal) => return count_refusal(node, &offer, GateReply::Refused { refusal, successor: None }),
    };
    if !confirmation.obtain().await {
        return count_refusal(node, &offer, refused(RefusalReason::GateUnreachable, SHORT_RETRY_AFTER));
    }
    if let Some(reason) = refusal_reason(node, &offer.instance) {
        return count_refusal(node, &offer, refused(reason, SHORT_RETRY_AFTER));
    }
    let body = node.gate.quarantine.buffer_suspected_body(&content, body).await;
    let permit = match node.gate.quarantine.admit_to_run(node, &content, permit) {
        Ok(permit) => permit,
        Err(refusal) => return count_refusal(node, &offer, GateReply::Refused { refusal, successor: None }),
    };
    run_in_slot(node, offer, body, (content, permit), slot, deadline).await
}

async fn run_in_slot(
    node: &Rc<Node>,
    offer: Offer,
    body: Body,
    (content, permit): (RunContent, RunPermit),
    mut slot: slot::Slot,
    deadline: Moment,
) -> GateReply {
    let started = clock::now();
    let time_left = deadline.since(started).saturating_sub(RESPONSE_TRANSIT_TIME);
    if time_left.is_zero() {
        return count_refusal(node, &offer, refused(RefusalReason::DeadlineExceeded, SHORT_RETRY_AFTER));
    }
    if !node.gate.retries.begin(node, &offer, started) {
        return count_refusal(node, &offer, refused(RefusalReason::RepeatBudget, SHORT_RETRY_AFTER));
    }
    let slots = slot.slots().clone();
    let connection = slots.connections().take(offer.safety);
    if slots.connections().take_suspected_end() {
        node.gate.identity.invalidate();
    }
    if let Some(reply) = reply_for_absent(node, &offer, &slots).await {
        return count_refusal(node, &offer, reply);
    }
    let epoch = node.gate.identity.epoch();
    log_start(node, &offer, time_left);
    let running_guard = RunningGuard::begin(&node.lineage, &offer, started + time_left);
    let mut watched = WatchedRun::begin(node, &offer, content, permit, slots.clone());
    slot.note_sent();
    let exchange_future = exchange::run(node, &slots, connection, &offer, body, time_left);
    let limit = clock::instant_of(deadline);
    let result = match tokio::time::timeout_at(limit, exchange_future).await {
        Ok(result) => result,
        Err(_) => Err(Failure::unknown(FailureReason::TimedOut)),
    };
    let elapsed = clock::now().since(started);
    // Time beyond `time_left` is a stall of this process: the instance didn't have longer than that.
    let time_in_instance = elapsed.min(time_left);
    match result {
        Ok(mut response) => {
            note_alive(node, &offer, &slots, epoch);
            response.fault =
                node.lineage.borrow_mut().attribute_fault(running_guard.key(), response.head.status, clock::now());
            node.metrics.exchanges.with_label_values(&["answered"]).inc();
            slot.note_response(&offer, response.fault, time_in_instance);
            node.gate.retries.on_response(node, &offer, response.fault, clock::now());
            let response = promise::withhold(node, &offer, watched.on_response(response));
            GateReply::Answered(slot::hold_until_read(response, slot))
        }
        Err(mut failure) => {
            failure.reason = watched.on_failure(failure.reason).await;
            node.metrics.exchanges.with_label_values(&[failure.reason.as_str()]).inc();
            slot.note_failure(&offer, failure, time_in_instance);
            if failure.reason == FailureReason::RefusedByInstance {
                node.gate.retries.on_shed(node, &offer, clock::now());
            }
            log_failure(node, &offer, failure, elapsed, watched.content());
            note_gone_instance(node, &offer, failure);
            GateReply::Failed(failure)
        }
    }
}

fn log_start(node: &Node, offer: &Offer, time_left: Duration) {
    if node.may_log(LogClass::Routine, &offer.request_id) {
        let status = node.gate.status(&offer.instance);
        log::info!(
            "event=started request={} route={} instance={} {status} waited_ms={} left_ms={}",
            display_id(&offer.request_id),
            offer.route,
            offer.instance,
            u128::from(offer.time_left_ms).saturating_sub((time_left + RESPONSE_TRANSIT_TIME).as_millis()),
            time_left.as_millis(),
        );
    }
}

fn log_failure(node: &Node, offer: &Offer, failure: Failure, elapsed: Duration, content: &RunContent) {
    let content =
        if failure.reason == FailureReason::InstanceEnded { content.digest_text() } else { "none".into() };
    if node.may_log(LogClass::Failure, &offer.request_id) {
        log::info!(
            "event=exchange_failed request={} route={} instance={} reason={} may_have_run={} after_ms={} \
             content={content}",
            display_id(&offer.request_id),
            offer.route,
            offer.instance,
            failure.reason.as_str(),
            failure.may_have_run,
            elapsed.as_millis(),
        );
    }
}

/// The reason for which requests to the instance are refused now, if any.
fn refusal_reason(node: &Node, name: &InstanceName) -> Option<RefusalReason> {
    if node.stop.is_closing() {
        return Some(RefusalReason::NodeNotReady);
    }
    match node.cluster.borrow().directory.status(name) {
        InstanceStatus::Ready | InstanceStatus::Unknown => None,
        InstanceStatus::Draining | InstanceStatus::Gone => Some(RefusalReason::InstanceLeaving),
    }
}

fn slot_request_for(offer: &Offer, slots: &InstanceSlots, deadline: Moment) -> SlotRequest {
    SlotRequest {
        importance: offer.root.importance,
        group: GroupName::new(CALLER_GROUP),
        weight: 1,
        hop: offer.hop,
        rank: offer.root.rank,
        deadline,
        expected: slots.expected_within(offer, deadline.since(clock::now())),
        max_wait: Some(Duration::from_millis(u64::from(offer.max_slot_wait_ms))),
    }
}

/// The instance that has replaced `expected` beside this node, if it is ready.
fn successor_of(node: &Node, expected: &InstanceName) -> Option<Box<Instance>> {
    let settings = node.settings();
    let cluster = node.cluster.borrow();
    let directory = &cluster.directory;
    let present = directory.instance_at(settings.instance)?;
    let is_successor = present.name != *expected && directory.status(&present.name) == InstanceStatus::Ready;
    is_successor.then(|| Box::new(Instance::clone(&present)))
}

/// Adds the instance beside this node to the directory after it has named itself. The source may not list it
/// yet if it has just started. It belongs to the service that the settings name now: its address may have been
/// that of an instance of another service.
fn observe_instance(node: &Node, name: InstanceName) {
    let is_known = node.cluster.borrow().directory.instance(&name).is_some();
    if !is_known {
        reload(node, ReloadTrigger::OtherInstance);
    }
    let settings = node.settings();
    let now = clock::now();
    let slots = node.cluster.borrow().directory.slots_of_service(&settings.service);
    let instance = Instance {
        name,
        incarnation: Incarnation::UNKNOWN,
        service: settings.service.clone(),
        address: settings.instance,
        zone: settings.zone.clone(),
        slots: slots.unwrap_or(UNLISTED_SLOTS),
        state: InstanceState::Ready,
    };
    node.update_directory("gate", |directory| directory.observe(instance, now));
}

/// The instance has responded to a request that was sent in `epoch`.
fn note_alive(node: &Node, offer: &Offer, slots: &InstanceSlots, epoch: IdentityEpoch) {
    let identity = &node.gate.identity;
    if epoch == identity.epoch() {
        identity.confirm(&offer.instance, epoch);
        slots.connections().note_alive();
    }
}

/// Marks an instance as gone when another one responds at its address, even if the source still lists it.
fn note_gone_instance(node: &Node, offer: &Offer, failure: Failure) {
    if failure.reason == FailureReason::WrongInstance {
        let now = clock::now();
        node.update_directory("gate", |directory| directory.note_gone(&offer.instance, now));
    }
}

fn count_refusal(node: &Node, offer: &Offer, reply: GateReply) -> GateReply {
    if let GateReply::Refused { refusal, .. } = &reply {
        node.metrics.refusals.with_label_values(&[refusal.reason.as_str()]).inc();
        if node.may_log(LogClass::Refusal, &offer.request_id) {
            let status = node.gate.status(&offer.instance);
            log::info!(
                "event=offer_refused request={} route={} instance={} reason={} {status} left_ms={}",
                display_id(&offer.request_id),
                offer.route,
                offer.instance,
                refusal.reason,
                offer.time_left_ms,
            );
        }
    }
    reply
}
