//! Queue and limit of one instance, and waiting for a slot.

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

use crate::declared::{RateChange, RateRecord, RateWitness};
use crate::gate::instance_connection::InstanceConnections;
use crate::gate::instance_end::InstanceEnd;
use crate::gate::notice::RateNotice;
use crate::gate::shedding::Sheds;
use crate::gate::slot::Slot;
use crate::gate_protocol::Offer;
use crate::model::{Incarnation, Instance, Millis};
use crate::reply::{Load, SelfReport};
use olivegate_clock as clock;

/// Part of an instance's slots that is used: some instances slow down when nearly full.
const USED_FRACTION: f64 = 0.95;
/// Part of the slots kept for each class that waits behind a more important one.
const LEAST_SHARE: f64 = 0.2;
/// Part of the used slots that admission levels count on.
const LEVEL_SLOTS: f64 = 1.0;
/// Weight of a new sample in moving averages.
pub(super) const SAMPLE_WEIGHT: f64 = 0.1;
/// Weight of one exchange in the fraction that fails.
const FAILING_WEIGHT: f64 = 0.04;
/// Expected time in the instance of a route that was never seen, as a part of its target
/// latency.
const UNSEEN_PART: f64 = 0.1;
/// Answers in a row that close their connection and so show that the instance leaves: now and
/// then a single one does otherwise.
const CLOSES_OF_LEAVING: u32 = 3;
/// Bounds of the queue; each demand brings its own longest wait.
const QUEUE: QueueSettings = QueueSettings { max_wait: Duration::from_millis(100), waiting_per_slot: 4 };

/// Queue, limit and connections of one instance.
pub struct InstanceSlots {
    pub(super) queue: RefCell<InstanceQueue>,
    waiting: RefCell<HashMap<TicketId, oneshot::Sender<Result<(), Refusal>>>>,
    pub(super) expected: RefCell<ExpectedTimes>,
    pub(super) slowness: RefCell<f64>,
    failing: Cell<f64>,
    closes_in_a_row: Cell<u32>,
    demand: RefCell<DemandLevels>,
    pub(super) sheds: Sheds,
    declared: Cell<RateWitness>,
    is_waking: Cell<bool>,
    is_rate_unreadable: Cell<bool>,
    connections: InstanceConnections,
    end: InstanceEnd,
    incarnation: Cell<Incarnation>,
}

/// What is new about the rate that an instance declares.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum RateNews {
    /// Nothing.
    None,
    /// It has changed.
    Changed(RateChange),
    /// What stands in its place is no rate; told once for each start of an instance.
    Unreadable(RateError),
}

/// A place in the queue; dropped when the wait has ended, whichever way.
struct Place {
    slots: Rc<InstanceSlots>,
    ticket: TicketId,
    served: bool,
}

fn unseen_time(offer: &Offer) -> Duration {
    Duration::from_millis(u64::from(offer.target_latency_ms)).mul_f64(UNSEEN_PART)
}

fn used_slots(slots: u32) -> u32 {
    ((f64::from(slots) * USED_FRACTION) as u32).max(1)
}

impl InstanceSlots {
    /// Slots of an instance that was not used yet.
    pub fn new(slots: u32) -> Self {
        InstanceSlots {
            queue: RefCell::new(
                InstanceQueue::new(QUEUE, AdaptiveLimit::new(used_slots(slots), false))
                    .with_min_share(LEAST_SHARE),
            ),
            waiting: RefCell::default(),
            expected: RefCell::default(),
            slowness: RefCell::new(0.0),
            failing: Cell::new(0.0),
            closes_in_a_row: Cell::new(0),
            demand: RefCell::new(DemandLevels::new(LEAST_SHARE)),
            sheds: Sheds::default(),
            declared: Cell::default(),
            is_waking: Cell::new(false),
            is_rate_unreadable: Cell::new(false),
            connections: InstanceConnections::default(),
            end: InstanceEnd::default(),
            incarnation: Cell::default(),
        }
    }

    /// Follows what is listed of the instance. False when it has started again: then nothing that was
    /// learnt here holds for it.
    pub fn follow(&self, instance: &Instance) -> bool {
        if instance.incarnation.differs_from(self.incarnation.get()) {
            return false;
        }
        self.incarnation.set(instance.incarnation);
        let mut declared = self.declared.get();
        declared.set_incarnation(instance.incarnation);
        self.declared.set(declared);
        self.queue.borrow_mut().configure(QUEUE, used_slots(instance.slots));
        true
    }

    /// Start of the instance, where it is told.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation.get()
    }

    /// Name of the present start of the instance `name`.
    pub fn start_name(&self, name: &InstanceName) -> InstanceName {
        self.incarnation.get().start_name(name)
    }

    /// Follows the pace of this process.
    pub fn on_process_pace(&self, pace: ProcessPace) {
        self.queue.borrow_mut().on_process_pace(pace);
    }

    /// Requests that may be in the instance at a time.
    pub fn limit(&self) -> u32 {
        self.queue.borrow().current_limit()
    }

    /// Connections to the instance.
    pub fn connections(&self) -> &InstanceConnections {
        &self.connections
    }

    /// What is known of its end.
    pub fn end(&self) -> &InstanceEnd {
        &self.end
    }

    /// Notes what an answer says of the rate that the instance takes.
    pub fn note_rate(self: &Rc<Self>, notice: RateNotice) -> RateNews {
        let rate = match notice {
            RateNotice::Unlimited => None,
            RateNotice::Limited(rate) => Some(rate),
            RateNotice::Unreadable(error) => {
                let was_told = self.is_rate_unreadable.replace(true);
                return if was_told { RateNews::None } else { RateNews::Unreadable(error) };
            }
        };
        let mut declared = self.declared.get();
        let change = declared.on_answer(rate);
        self.declared.set(declared);
        self.follow_rate(change)
    }

    /// True when the instance declares a rate.
    pub fn is_limited(&self) -> bool {
        self.declared.get().record().rate.is_some()
    }

    /// Counts the question who is there in the pace of the instance.
    pub fn count_question(&self) {
        self.queue.borrow_mut().pacer_mut().debit(clock::now());
    }

    /// Notes what an edge was told of the rate that the instance takes.
    pub fn note_reminder(self: &Rc<Self>, told: RateRecord) -> RateNews {
        let mut declared = self.declared.get();
        let change = declared.on_told(told);
        self.declared.set(declared);
        self.follow_rate(change)
    }

    fn follow_rate(self: &Rc<Self>, change: Option<RateChange>) -> RateNews {
        let Some(change) = change else { return RateNews::None };
        self.queue.borrow_mut().pacer_mut().set_rate(change.now, clock::now());
        self.serve_waiting();
        RateNews::Changed(change)
    }

    /// Notes whether an answer closes its connection.
    pub fn note_close(&self, closes: bool) {
        self.closes_in_a_row.set(if closes { self.closes_in_a_row.get() + 1 } else { 0 });
    }

    /// True when the instance closes its connections as one that leaves does.
    pub fn is_leaving(&self) -> bool {
        self.closes_in_a_row.get() >= CLOSES_OF_LEAVING
    }

    /// Notes that a request came while no process was there.
    pub fn note_absent(&self) {
        self.note_failing(true);
    }

    pub(super) fn note_failing(&self, failed: bool) {
        let sample = f64::from(u8::from(failed));
        let failing = self.failing.get();
        self.failing.set(failing + (sample - failing) * FAILING_WEIGHT);
    }

    /// True while requests run or wait.
    pub fn in_use(&self) -> bool {
        let queue = self.queue.borrow();
        queue.in_flight() + queue.waiting() > 0
    }

    /// Part of what arrives that the instance refuses unrun although it has room.
    pub fn shed_part(&self) -> f64 {
        self.sheds.part(clock::now())
    }

    /// How busy the instance is, to be told with the reply to an offer of `class`. `repeats` are
    /// those a second that its gate may let through.
    pub fn load(&self, class: &ClassKey, repeats: f64) -> Load {
        let slots = self.queue.borrow().admitting_slots() * LEVEL_SLOTS;
        let now = clock::now();
        let by_slots = self.demand.borrow().level(class, slots, now);
        let by_repeats = self.sheds.level(class, repeats, now);
        Load {
            occupancy: self.queue.borrow().occupancy() as f32,
            latency_ratio: *self.slowness.borrow() as f32,
            failure_rate: self.failing.get() as f32,
            level: by_slots.min(by_repeats) as f32,
            self_report: None,
        }
    }

    /// What the instance has said of itself, and whether it leaves by what its node knows.
    pub fn self_report(&self, is_leaving: bool) -> Option<SelfReport> {
        let declared = self.declared.get().record();
        let has_said = is_leaving || declared.was_ever_limited();
        has_said.then(|| {
            let retry_after = Millis::from_duration(self.return_after(clock::now()));
            SelfReport { declared, is_leaving, retry_after }
        })
    }

    /// Time after which an edge may offer again, where the declared rate is used up.
    fn return_after(&self, now: Moment) -> Duration {
        let mut queue = self.queue.borrow_mut();
        let pacer = queue.pacer_mut();
        if pacer.wait_behind(0, now).is_zero() { Duration::ZERO } else { pacer.retry_after(now) }
    }

    /// Queue and limit, for log lines.
    pub fn status(&self) -> String {
        let queue = self.queue.borrow();
        format!("in_flight={} waiting={} limit={}", queue.in_flight(), queue.waiting(), queue.current_limit())
    }

    /// Expected time of an offer in the instance.
    pub fn expected(&self, offer: &Offer) -> Duration {
        self.expected.borrow().get(&offer.route, unseen_time(offer))
    }

    /// Expected time of an offer in the instance, as it is judged by with this time left: now and then one
    /// that is too short is let through, to see whether it still is.
    pub fn expected_within(&self, offer: &Offer, time_left: Duration) -> Duration {
        self.expected.borrow_mut().for_request(&offer.route, unseen_time(offer), time_left, clock::now())
    }

    /// Notes that an offer asks for a slot.
    pub fn note_demand(&self, offer: &Offer, now: Moment) {
        // No request takes longer than the time that it has left.
        let slot_time = self.expected(offer).min(Duration::from_millis(u64::from(offer.time_left_ms)));
        self.demand.borrow_mut().record(
            &offer.root.class(),
            slot_time,
            f64::from(offer.root.admitted_fraction),
            now,
        );
        self.sheds.note_demand(offer, now);
    }

    /// Waits for a slot. Dropping the future gives the place up.
    pub async fn acquire(self: &Rc<Self>, demand: SlotRequest) -> Result<Slot, Refusal> {
        let now = clock::now();
        let longest = self.queue.borrow().max_wait(&demand, now);
        let admission = self.queue.borrow_mut().submit(demand.clone(), now);
        match admission {
            Admission::Dispatch(ticket) => Ok(Slot { slots: self.clone(), ticket, is_sent: false }),
            Admission::Refuse(refusal) => Err(refusal),
            Admission::Wait { ticket, displaced } => {
                if let Some(displaced) = displaced {
                    self.displace(displaced, &demand);
                }
                self.wake_when_paced();
                self.wait(ticket, &demand, longest).await
            }
        }
    }

    fn displace(&self, ticket: TicketId, by: &SlotRequest) {
        let refusal = self.queue.borrow().refusal(RefusalReason::Displaced, by);
        if let Some(waiting) = self.waiting.borrow_mut().remove(&ticket) {
            // A request that was given up meanwhile needs no answer.
            let _ = waiting.send(Err(refusal));
        }
    }

    async fn wait(
        self: &Rc<Self>,
        ticket: TicketId,
        demand: &SlotRequest,
        longest: Duration,
    ) -> Result<Slot, Refusal> {
        let (sender, receiver) = oneshot::channel();
        self.waiting.borrow_mut().insert(ticket, sender);
        let mut place = Place { slots: self.clone(), ticket, served: false };
        match tokio::time::timeout(longest, receiver).await {
            Ok(Ok(Ok(()))) => {
                place.served = true;
                Ok(Slot { slots: self.clone(), ticket, is_sent: false })
            }
            Ok(Ok(Err(refusal))) => Err(refusal),
            Ok(Err(_)) | Err(_) => Err(self.queue.borrow().timeout_refusal(demand, clock::now())),
        }
    }

    /// A slot is free again; its request was sent to the instance, or was not.
    pub(super) fn release(self: &Rc<Self>, ticket: TicketId, is_sent: bool) {
        let mut queue = self.queue.borrow_mut();
        if is_sent {
            queue.finish(ticket, clock::now());
        } else {
            queue.finish_unsent(ticket, clock::now());
        }
        drop(queue);
        self.serve_waiting();
    }

    /// Gives free slots to those that wait.
    fn serve_waiting(self: &Rc<Self>) {
        loop {
            let next = self.queue.borrow_mut().next(clock::now());
            let Some(ticket) = next else { break };
            let waiting = self.waiting.borrow_mut().remove(&ticket);
            let taken = waiting.is_some_and(|waiting| waiting.send(Ok(())).is_ok());
            if !taken {
                self.queue.borrow_mut().finish_unsent(ticket, clock::now());
            }
        }
        self.wake_when_paced();
    }

    /// Serves those that wait once the declared rate allows the next one.
    fn wake_when_paced(self: &Rc<Self>) {
        let Some(wait) = self.queue.borrow().time_to_next_token(clock::now()) else { return };
        if self.is_waking.replace(true) {
            return;
        }
        let slots = Rc::downgrade(self);
        spawn_local(async move {
            tokio::time::sleep(wait).await;
            let Some(slots) = slots.upgrade() else { return };
            slots.is_waking.set(false);
            slots.serve_waiting();
        });
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        if self.served {
            return;
        }
        self.slots.waiting.borrow_mut().remove(&self.ticket);
        let was_waiting = self.slots.queue.borrow_mut().cancel(self.ticket);
        if !was_waiting {
            // The slot was given just as the wait was given up.
            self.slots.release(self.ticket, false);
        }
    }
}
