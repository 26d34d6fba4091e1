//! Queue and concurrency limit of one instance, and the wait for a slot.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use olivegate_overload::{
    AdaptiveLimit, Admission, ClassKey, DemandLevels, ExpectedTimes, InstanceQueue, ProcessPace, QueueSettings,
    RateError, SlotRequest, TicketId,
};
use olivegate_types::{InstanceName, Moment, Refusal, RefusalReason};
use tokio::sync::oneshot;
use tokio::task::spawn_local;

use crate::declared::{RateChange, RateRecord, RateTracker};
use crate::gate::instance_connection::InstanceConnections;
use crate::gate::instance_end::InstanceEnd;
use crate::gate::notice::RateNotice;
use crate::gate::shedding::ShedTracker;
use crate::gate::slot::Slot;
use crate::gate_protocol::Offer;
use crate::model::{Incarnation, Instance, Millis};
use crate::reply::{Load, SelfReport};
use olivegate_clock as clock;

/// Fraction of an instance's slots that is used: some instances slow down when nearly full.
const USED_FRACTION: f64 = 0.95;
/// Fraction of the slots reserved for each class that waits behind a more important one.
const MIN_SHARE: f64 = 0.2;
/// Fraction of the used slots that admission levels assume to be available.
const LEVEL_SLOTS: f64 = 1.0;
/// Weight of a new sample in moving averages.
pub(super) const SAMPLE_WEIGHT: f64 = 0.1;
/// Weight of one exchange in the moving average of the failure rate.
const FAILURE_WEIGHT: f64 = 0.04;
/// Expected time in the instance for a route without samples, as a fraction of its target latency.
const UNSEEN_FRACTION: f64 = 0.1;
/// Number of consecutive responses closing their connection after which the instance counts as leaving.
/// Single ones occur at any time.
const LEAVING_CLOSES: u32 = 3;
/// Bounds of the queue; each request has its own maximum wait in addition.
const QUEUE: QueueSettings = QueueSettings { max_wait: Duration::from_millis(100), waiting_per_slot: 4 };

/// Queue, concurrency limit and connections of one instance.
pub struct InstanceSlots {
    pub(super) queue: RefCell<InstanceQueue>,
    waiting: RefCell<HashMap<TicketId, oneshot::Sender<Result<(), Refusal>>>>,
    pub(super) expected_times: RefCell<ExpectedTimes>,
    pub(super) latency_ratio: RefCell<f64>,
    failure_rate: Cell<f64>,
    closes_in_a_row: Cell<u32>,
    demand_levels: RefCell<DemandLevels>,
    pub(super) shedding: ShedTracker,
    declared_rate: Cell<RateTracker>,
    wakeup_scheduled: Cell<bool>,
    is_rate_unreadable: Cell<bool>,
    connections: InstanceConnections,
    end: InstanceEnd,
    incarnation: Cell<Incarnation>,
}

/// Change of the rate that an instance declares.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum RateUpdate {
    /// The rate is unchanged.
    None,
    /// The rate has changed.
    Changed(RateChange),
    /// The declared value can't be parsed; reported once per incarnation of an instance.
    Unreadable(RateError),
}

/// Guard of a queued request. Dropping it removes the request from the queue unless it got its slot.
struct WaitGuard {
    slots: Rc<InstanceSlots>,
    ticket: TicketId,
    is_served: bool,
}

fn default_expected_time(offer: &Offer) -> Duration {
    Duration::from_millis(u64::from(offer.target_latency_ms)).mul_f64(UNSEEN_FRACTION)
}

fn used_slots(slots: u32) -> u32 {
    ((f64::from(slots) * USED_FRACTION) as u32).max(1)
}

impl InstanceSlots {
    /// Creates the state for an instance that hasn't been used yet.
    pub fn new(slots: u32) -> Self {
        InstanceSlots {
            queue: RefCell::new(
                InstanceQueue::new(QUEUE, AdaptiveLimit::new(used_slots(slots), false)).with_min_share(MIN_SHARE),
            ),
            waiting: RefCell::default(),
            expected_times: RefCell::default(),
            latency_ratio: RefCell::new(0.0),
            failure_rate: Cell::new(0.0),
            closes_in_a_row: Cell::new(0),
            demand_levels: RefCell::new(DemandLevels::new(MIN_SHARE)),
            shedding: ShedTracker::default(),
            declared_rate: Cell::default(),
            wakeup_scheduled: Cell::new(false),
            is_rate_unreadable: Cell::new(false),
            connections: InstanceConnections::default(),
            end: InstanceEnd::default(),
            incarnation: Cell::default(),
        }
    }

    /// Updates the slots from the listed instance. Returns false if the instance has restarted: nothing
    /// learnt about its previous incarnation applies then.
    pub fn update_from(&self, instance: &Instance) -> bool {
        if instance.incarnation.differs_from(self.incarnation.get()) {
            return false;
        }
        self.incarnation.set(instance.incarnation);
        let mut declared = self.declared_rate.get();
        declared.set_incarnation(instance.incarnation);
        self.declared_rate.set(declared);
        self.queue.borrow_mut().configure(QUEUE, used_slots(instance.slots));
        true
    }

    /// Incarnation of the instance, if known.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation.get()
    }

    /// Name of the present incarnation of the instance `name`.
    pub fn start_name(&self, name: &InstanceName) -> InstanceName {
        self.incarnation.get().start_name(name)
    }

    /// Reacts to whether this process keeps up.
    pub fn on_process_pace(&self, pace: ProcessPace) {
        self.queue.borrow_mut().on_process_pace(pace);
    }

    /// Concurrency limit of the instance.
    pub fn limit(&self) -> u32 {
        self.queue.borrow().current_limit()
    }

    /// Connection pool of the instance.
    pub fn connections(&self) -> &InstanceConnections {
        &self.connections
    }

    /// Whether the instance has ended.
    pub fn end(&self) -> &InstanceEnd {
        &self.end
    }

    /// Applies the rate notice of a response.
    pub fn note_rate_notice(self: &Rc<Self>, notice: RateNotice) -> RateUpdate {
        let rate = match notice {
            RateNotice::Unlimited => None,
            RateNotice::Limited(rate) => Some(rate),
            RateNotice::Unreadable(error) => {
                let was_reported = self.is_rate_unreadable.replace(true);
                return if was_reported { RateUpdate::None } else { RateUpdate::Unreadable(error) };
            }
        };
        let mut declared = self.declared_rate.get();
        let change = declared.on_response(rate);
        self.declared_rate.set(declared);
        self.apply_rate_change(change)
    }

    /// True when the instance declares a rate.
    pub fn is_limited(&self) -> bool {
        self.declared_rate.get().record().rate.is_some()
    }

    /// Counts an identity check against the declared rate.
    pub fn count_identity_check(&self) {
        self.queue.borrow_mut().pacer_mut().debit(clock::now());
    }

    /// Applies the declared rate that an edge reports back.
    pub fn note_edge_report(self: &Rc<Self>, reported: RateRecord) -> RateUpdate {
        let mut declared = self.declared_rate.get();
        let change = declared.on_edge_report(reported);
        self.declared_rate.set(declared);
        self.apply_rate_change(change)
    }

    fn apply_rate_change(self: &Rc<Self>, change: Option<RateChange>) -> RateUpdate {
        let Some(change) = change else { return RateUpdate::None };
        self.queue.borrow_mut().pacer_mut().set_rate(change.now, clock::now());
        self.dispatch_waiting();
        RateUpdate::Changed(change)
    }

    /// Records whether a response closes its connection.
    pub fn note_close(&self, closes: bool) {
        self.closes_in_a_row.set(if closes { self.closes_in_a_row.get() + 1 } else { 0 });
    }

    /// True when the instance closes its connections like one that is leaving.
    pub fn is_leaving(&self) -> bool {
        self.closes_in_a_row.get() >= LEAVING_CLOSES
    }

    /// Records that a request arrived while no process was listening.
    pub fn note_not_listening(&self) {
        self.note_outcome(true);
    }

    pub(super) fn note_outcome(&self, failed: bool) {
        let sample = f64::from(u8::from(failed));
        let failure_rate = self.failure_rate.get();
        self.failure_rate.set(failure_rate + (sample - failure_rate) * FAILURE_WEIGHT);
    }

    /// True while requests are running or waiting.
    pub fn in_use(&self) -> bool {
        let queue = self.queue.borrow();
        queue.in_flight() + queue.waiting() > 0
    }

    /// Fraction of the arriving requests that the instance refuses without running them, although it has free
    /// slots.
    pub fn shed_fraction(&self) -> f64 {
        self.shedding.fraction(clock::now())
    }

    /// Load of the instance, for the reply to an offer of `class`. `retry_rate` is the number of retries per
    /// second that the gate may let through.
    pub fn load(&self, class: &ClassKey, retry_rate: f64) -> Load {
        let slots = self.queue.borrow().admitting_slots() * LEVEL_SLOTS;
        let now = clock::now();
        let by_slots = self.demand_levels.borrow().level(class, slots, now);
        let by_retries = self.shedding.level(class, retry_rate, now);
        Load {
            occupancy: self.queue.borrow().occupancy() as f32,
            latency_ratio: *self.latency_ratio.borrow() as f32,
            failure_rate: self.failure_rate.get() as f32,
            level: by_slots.min(by_retries) as f32,
            self_report: None,
        }
    }

    /// What the instance has declared about itself; `None` if it has declared nothing. `is_leaving` tells
    /// whether the node knows the instance to be leaving.
    pub fn self_report(&self, is_leaving: bool) -> Option<SelfReport> {
        let declared = self.declared_rate.get().record();
        let has_report = is_leaving || declared.was_ever_limited();
        has_report.then(|| {
            let retry_after = Millis::from_duration(self.retry_after(clock::now()));
            SelfReport { declared, is_leaving, retry_after }
        })
    }

    /// Time after which an edge may offer again; zero unless the declared rate is used up.
    fn retry_after(&self, now: Moment) -> Duration {
        let mut queue = self.queue.borrow_mut();
        let pacer = queue.pacer_mut();
        if pacer.wait_behind(0, now).is_zero() { Duration::ZERO } else { pacer.retry_after(now) }
    }

    /// Queue and limit, as fields of a log line.
    pub fn status(&self) -> String {
        let queue = self.queue.borrow();
        format!("in_flight={} waiting={} limit={}", queue.in_flight(), queue.waiting(), queue.current_limit())
    }

    /// Expected time of an offer in the instance.
    pub fn expected(&self, offer: &Offer) -> Duration {
        self.expected_times.borrow().get(&offer.route, default_expected_time(offer))
    }

    /// Expected time of an offer in the instance, for admission with this remaining time. Now and then an
    /// offer whose remaining time is too short is let through, to see whether it still is too short.
    pub fn expected_within(&self, offer: &Offer, time_left: Duration) -> Duration {
        self.expected_times.borrow_mut().for_request(
            &offer.route,
            default_expected_time(offer),
            time_left,
            clock::now(),
        )
    }

    /// Records the demand of an offer that asks for a slot.
    pub fn record_demand(&self, offer: &Offer, now: Moment) {
        // No request takes longer than the time that it has left.
        let slot_time = self.expected(offer).min(Duration::from_millis(u64::from(offer.time_left_ms)));
        self.demand_levels.borrow_mut().record(
            &offer.root.class(),
            slot_time,
            f64::from(offer.root.admitted_fraction),
            now,
        );
        self.shedding.record_demand(offer, now);
    }

    /// Waits for a slot. Dropping the future removes the request from the queue.
    pub async fn acquire(self: &Rc<Self>, request: SlotRequest) -> Result<Slot, Refusal> {
        let now = clock::now();
        let max_wait = self.queue.borrow().max_wait(&request, now);
        let admission = self.queue.borrow_mut().submit(request.clone(), now);
        match admission {
            Admission::Dispatch(ticket) => Ok(Slot { slots: self.clone(), ticket, is_sent: false }),
            Admission::Refuse(refusal) => Err(refusal),
            Admission::Wait { ticket, displaced } => {
                if let Some(displaced) = displaced {
                    self.displace(displaced, &request);
                }
                self.schedule_wakeup();
                self.wait(ticket, &request, max_wait).await
            }
        }
    }

    fn displace(&self, ticket: TicketId, by: &SlotRequest) {
        let refusal = self.queue.borrow().refusal(RefusalReason::Displaced, by);
        if let Some(waiting) = self.waiting.borrow_mut().remove(&ticket) {
            // The request may have been dropped meanwhile.
            let _ = waiting.send(Err(refusal));
        }
    }

    async fn wait(
        self: &Rc<Self>,
        ticket: TicketId,
        request: &SlotRequest,
        max_wait: Duration,
    ) -> Result<Slot, Refusal> {
        let (sender, receiver) = oneshot::channel();
        self.waiting.borrow_mut().insert(ticket, sender);
        let mut guard = WaitGuard { slots: self.clone(), ticket, is_served: false };
        match tokio::time::timeout(max_wait, receiver).await {
            Ok(Ok(Ok(()))) => {
                guard.is_served = true;
                Ok(Slot { slots: self.clone(), ticket, is_sent: false })
            }
            Ok(Ok(Err(refusal))) => Err(refusal),
            Ok(Err(_)) | Err(_) => Err(self.queue.borrow().timeout_refusal(request, clock::now())),
        }
    }

    /// Frees a slot. `is_sent` tells whether its request was sent to the instance.
    pub(super) fn release(self: &Rc<Self>, ticket: TicketId, is_sent: bool) {
        let mut queue = self.queue.borrow_mut();
        if is_sent {
            queue.finish(ticket, clock::now());
        } else {
            queue.finish_unsent(ticket, clock::now());
        }
        drop(queue);
        self.dispatch_waiting();
    }

    /// Gives free slots to waiting requests.
    fn dispatch_waiting(self: &Rc<Self>) {
        loop {
            let next = self.queue.borrow_mut().next(clock::now());
            let Some(ticket) = next else { break };
            let waiting = self.waiting.borrow_mut().remove(&ticket);
            let taken = waiting.is_some_and(|waiting| waiting.send(Ok(())).is_ok());
            if !taken {
                self.queue.borrow_mut().finish_unsent(ticket, clock::now());
            }
        }
        self.schedule_wakeup();
    }

    /// Schedules the dispatch of waiting requests for when the declared rate allows the next one.
    fn schedule_wakeup(self: &Rc<Self>) {
        let Some(wait) = self.queue.borrow().time_to_next_token(clock::now()) else { return };
        if self.wakeup_scheduled.replace(true) {
            return;
        }
        let slots = Rc::downgrade(self);
        spawn_local(async move {
            tokio::time::sleep(wait).await;
            let Some(slots) = slots.upgrade() else { return };
            slots.wakeup_scheduled.set(false);
            slots.dispatch_waiting();
        });
    }
}

impl Drop for WaitGuard {
    fn drop(&mut self) {
        if self.is_served {
            return;
        }
        self.slots.waiting.borrow_mut().remove(&self.ticket);
        let was_waiting = self.slots.queue.borrow_mut().cancel(self.ticket);
        if !was_waiting {
            // The request got its slot just as it stopped waiting.
            self.slots.release(self.ticket, false);
        }
    }
}
