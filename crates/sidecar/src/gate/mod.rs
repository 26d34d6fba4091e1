//! The gate: the only place that sends requests to the instance beside this node.
//!
//! Since only processes of its own machine reach an instance, the count of requests in it
//! is exact. What the gate refuses never arrived, so an edge may offer it elsewhere.
//!
//! - [`slots`]: queue and limit of one instance, and waiting for a slot.
//! - [`slot`]: a slot while a request holds it.
//! - [`instance_connection`]: kept connections to the instance.
//! - [`admission`]: which requests of clients may go on to their calls.
//! - [`instance_end`]: whether the instance has ended.
//! - [`identity`]: which instance is known to be there.
//! - [`presence`]: whether the instance that is meant is there.
//! - [`declared_rate`]: the rate that the instance declares.
//! - [`exchange`]: one request and its answer on such a connection.
//! - [`notice`]: what an instance says of itself in an answer.
//! - [`running`]: a request for as long as the instance runs it.
//! - [`shedding`]: which chains may begin while the instance sheds.
//! - [`retries`]: how many repeats are let through.
//! - [`quarantine`]: requests with which instances end.
//! - [`idle_closes`]: which closes of idle connections are a sign of an end.
//! - [`idle_reuse`]: how long a kept connection may have rested.
//! - [`confirmation`]: the second step of an offer that may run only once.
//! - [`serve`]: offers of other nodes.

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
use crate::reply::{Body, Failure, FailureReason, GateReply, Load, refused};
use crate::state::Node;
use confirmation::Confirmation;
use declared_rate::LearntBy;
use identity::{Doubts, InstanceIdentity};
use olivegate_clock as clock;
use presence::reply_for_absent;
use quarantine::run_content::RunContent;
use quarantine::watched_run::WatchedRun;
use quarantine::{GateQuarantine, RunPermit};
use retries::GateRepeats;
use running::Running;
use slots::InstanceSlots;

/// Slots assumed for an instance that the directory does not list yet.
const UNLISTED_SLOTS: u32 = 8;
/// When to come back after a refusal that says nothing about load.
const SHORT_RETRY_AFTER: Duration = Duration::from_millis(250);
/// Occupancy that a stopping node adds to its own.
const STOPPING_OCCUPANCY: f32 = 2.0;
/// Kept back from the time that the instance gets, for the way of its answer.
const ANSWER_TRAVEL: Duration = Duration::from_millis(15);

/// Instances beside this node: the present one, and earlier ones that still answer.
#[derive(Default)]
pub struct Gate {
    instances: RefCell<HashMap<InstanceName, Rc<InstanceSlots>>>,
    repeats: GateRepeats,
    /// Which instance is known to be there.
    pub identity: InstanceIdentity,
    /// Requests with which instances end.
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
            slots.follow(&instance);
        });
        self.instances.borrow_mut().insert(name.clone(), slots.clone());
        slots
    }

    /// Follows the directory: slot counts, and instances that are gone or have started again. One
    /// that came back under its name must not pass for leaving, or ended, since the one before was.
    pub fn follow_directory(&self, node: &Node) {
        let cluster = node.cluster.borrow();
        self.instances.borrow_mut().retain(|name, slots| {
            let is_same = cluster.directory.instance(name).is_none_or(|instance| slots.follow(&instance));
            let is_of_use = cluster.directory.status(name) != InstanceStatus::Gone || slots.in_use();
            let is_kept = is_same && is_of_use;
            if !is_kept && slots.is_limited() {
                declared_rate::tell_forgotten(&slots.start_name(name), &node.metrics);
            }
            is_kept
        });
    }

    /// Follows the pace of this process, which has to feed the instances.
    pub fn on_process_pace(&self, pace: ProcessPace) {
        self.instances.borrow().values().for_each(|slots| slots.on_process_pace(pace));
    }

    /// Queue and limit of one instance, for log lines.
    pub fn status(&self, name: &InstanceName) -> String {
        self.instances.borrow().get(name).map(|slots| slots.status()).unwrap_or_default()
    }

    /// True when the instance closes its connections as one that leaves does.
    pub fn is_leaving(&self, name: &InstanceName) -> bool {
        self.instances.borrow().get(name).is_some_and(|slots| slots.is_leaving())
    }

    /// Repeats a second that calls to an instance which sheds may count on.
    fn repeats_for(&self, node: &Node, slots: &InstanceSlots) -> f64 {
        if slots.shed_part() > 0.0 { self.repeats.rate(node, clock::now()) } else { f64::MAX }
    }

    fn load_of(&self, node: &Node, name: &InstanceName, slots: &InstanceSlots, class: &ClassKey) -> Load {
        let is_leaving = node.cluster.borrow().directory.has_announced_leaving(name, slots.incarnation());
        Load { self_report: slots.self_report(is_leaving), ..slots.load(class, self.repeats_for(node, slots)) }
    }

    /// Load of one instance, to be told to the edge of an offer made for `root` at `hop`: with the
    /// level of its class here and further down. A node that stops seems busy, so that it
    /// is chosen only where nothing else is left.
    pub fn load(&self, node: &Node, name: &InstanceName, root: &RootRequest, hop: u8) -> Load {
        let class = root.class();
        let slots = self.instances.borrow().get(name).cloned();
        let mut load = slots.map(|slots| self.load_of(node, name, &slots, &class)).unwrap_or_default();
        let deeper = node.levels.borrow().headroom(&class, hop.saturating_add(1), clock::now());
        load.level = load.level.min(deeper as f32);
        if node.stop.is_stopping() {
            load.occupancy += STOPPING_OCCUPANCY;
        }
        load
    }
}

/// Runs an offer: waits for a slot, then has the instance run it. Dropping the future
/// cancels the request, wherever it is.
pub async fn run_offer(node: &Rc<Node>, mut offer: Offer, body: Body, confirmation: Confirmation) -> GateReply {
    let arrived = clock::now();
    lateness::sample(node, arrived);
    let deadline = arrived + Duration::from_millis(u64::from(offer.time_left_ms));
    if let Some(reason) = obstacle(node, &offer.instance) {
        let refusal = Refusal::new(reason, SHORT_RETRY_AFTER);
        let successor = successor_of(node, &offer.instance);
        return count_refusal(node, &offer, GateReply::Refused { refusal, successor });
    }
    let slots = node.gate.slots_of(node, &offer.instance);
    if let Some(told) = offer.declared {
        let by = LearntBy::Edge { request: &offer.request_id };
        declared_rate::take_reminder(&slots, &offer.instance, told, by, &node.metrics);
    }
    if !node.gate.repeats.allows(node, &offer, arrived) {
        return count_refusal(node, &offer, refused(RefusalReason::RepeatBudget, SHORT_RETRY_AFTER));
    }
    if let Err(refusal) = admission::admit_root(node, &mut offer, arrived) {
        return count_refusal(node, &offer, GateReply::Refused { refusal, successor: None });
    }
    // Each try comes under a new id: only its content shows that instances ended with it before. Without
    // this, 17 instances of four ended within 16 s under one client's request.
    let (content, body) = RunContent::of(node, &offer, body);
    let permit = match node.gate.quarantine.admit(node, &offer, &content).await {
        Ok(permit) => permit,
        Err(refusal) => return count_refusal(node, &offer, GateReply::Refused { refusal, successor: None }),
    };
    // What is refused anyway does not wait for who is there.
    if let Some(reply) = reply_for_absent(node, &offer, &slots).await {
        return count_refusal(node, &offer, reply);
    }
    slots.note_demand(&offer, arrived);
    let demand = demand_of(&offer, &slots, deadline);
    let slot = match slots.acquire(demand).await {
        Ok(slot) => slot,
        Err(refusal) => return count_refusal(node, &offer, GateReply::Refused { refusal, successor: None }),
    };
    if !confirmation.obtain().await {
        return count_refusal(node, &offer, refused(RefusalReason::GateUnreachable, SHORT_RETRY_AFTER));
    }
    if let Some(reason) = obstacle(node, &offer.instance) {
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
    let time_left = deadline.since(started).saturating_sub(ANSWER_TRAVEL);
    if time_left.is_zero() {
        return count_refusal(node, &offer, refused(RefusalReason::DeadlineExceeded, SHORT_RETRY_AFTER));
    }
    if !node.gate.repeats.begin(node, &offer, started) {
        return count_refusal(node, &offer, refused(RefusalReason::RepeatBudget, SHORT_RETRY_AFTER));
    }
    let slots = slot.slots().clone();
    let connection = slots.connections().take(offer.safety);
    if slots.connections().take_sign_of_end() {
        node.gate.identity.doubt();
    }
    if let Some(reply) = reply_for_absent(node, &offer, &slots).await {
        return count_refusal(node, &offer, reply);
    }
    let doubts = node.gate.identity.doubts();
    log_start(node, &offer, time_left);
    let parent = Running::begin(&node.lineage, &offer, started + time_left);
    let mut watched = WatchedRun::begin(node, &offer, content, permit, slots.clone());
    slot.note_sent();
    let running = exchange::run(node, &slots, connection, &offer, body, time_left);
    let limit = clock::instant_of(deadline);
    let result = match tokio::time::timeout_at(limit, running).await {
        Ok(result) => result,
        Err(_) => Err(Failure::unknown(FailureReason::TimedOut)),
    };
    let used = clock::now().since(started);
    // What goes beyond is a standstill of this process: the instance had no longer.
    let taken = used.min(time_left);
    match result {
        Ok(mut answer) => {
            note_alive(node, &offer, &slots, doubts);
            answer.fault =
                node.lineage.borrow_mut().attribute_fault(parent.key(), answer.head.status, clock::now());
            node.metrics.exchanges.with_label_values(&["answered"]).inc();
            slot.note_answer(&offer, answer.fault, taken);
            node.gate.repeats.on_answer(node, &offer, answer.fault, clock::now());
            GateReply::Answered(slot::holding(watched.on_answer(answer), slot))
        }
        Err(mut failure) => {
            failure.reason = watched.on_failure(failure.reason).await;
            node.metrics.exchanges.with_label_values(&[failure.reason.as_str()]).inc();
            slot.note_failure(&offer, failure, taken);
            if failure.reason == FailureReason::RefusedByInstance {
                node.gate.repeats.on_shed(node, &offer, clock::now());
            }
            log_failure(node, &offer, failure, used, watched.content());
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
            u128::from(offer.time_left_ms).saturating_sub((time_left + ANSWER_TRAVEL).as_millis()),
            time_left.as_millis(),
        );
    }
}

fn log_failure(node: &Node, offer: &Offer, failure: Failure, used: Duration, content: &RunContent) {
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
            used.as_millis(),
        );
    }
}

/// Why the instance may not get a request now.
fn obstacle(node: &Node, name: &InstanceName) -> Option<RefusalReason> {
    if node.stop.is_closing() {
        return Some(RefusalReason::NodeNotReady);
    }
    match node.cluster.borrow().directory.status(name) {
        InstanceStatus::Ready | InstanceStatus::Unknown => None,
        InstanceStatus::Draining | InstanceStatus::Gone => Some(RefusalReason::InstanceLeaving),
    }
}

fn demand_of(offer: &Offer, slots: &InstanceSlots, deadline: Moment) -> SlotRequest {
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

/// The instance beside this node that took the place of `meant`.
fn successor_of(node: &Node, meant: &InstanceName) -> Option<Box<Instance>> {
    let settings = node.settings();
    let cluster = node.cluster.borrow();
    let directory = &cluster.directory;
    let present = directory.instance_at(settings.instance)?;
    let takes_its_place = present.name != *meant && directory.status(&present.name) == InstanceStatus::Ready;
    takes_its_place.then(|| Box::new(Instance::clone(&present)))
}

/// The instance beside this node named itself. The source may not list it yet, when it has
/// just started; its service is the one of this machine.
fn meet_instance(node: &Node, name: &str) {
    let settings = node.settings();
    let now = clock::now();
    let slots = node.cluster.borrow().directory.slots_of_service(&settings.service);
    let instance = Instance {
        name: InstanceName::new(name),
        incarnation: Incarnation::UNKNOWN,
        service: settings.service.clone(),
        address: settings.instance,
        zone: settings.zone.clone(),
        slots: slots.unwrap_or(UNLISTED_SLOTS),
        state: InstanceState::Ready,
    };
    node.update_directory("gate", |directory| directory.observe(instance, now));
}

/// The instance has answered a request that was sent after these doubts of it.
fn note_alive(node: &Node, offer: &Offer, slots: &InstanceSlots, doubts: Doubts) {
    let identity = &node.gate.identity;
    if doubts == identity.doubts() {
        identity.confirm(&offer.instance, doubts);
        slots.connections().note_alive();
    }
}

/// An instance that another one answers for is gone, whatever the source says.
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
