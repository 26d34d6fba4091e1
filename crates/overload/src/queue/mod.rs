//! The queue in front of one back-end instance.
//!
//! Order of service: larger importance first; within it, work of already admitted
//! roots (deeper hops) before new roots; then the group that has used the least
//! capacity for its weight; then first come, first served. Capacity is counted in
//! slot-seconds: an estimate at dispatch, corrected on completion.
//!
//! A demand is refused at once when its predicted wait is longer than the
//! objective or the deadline allows. An instance that declares a rate gets no more than that
//! ([`Pacer`]), however many slots are free. Use one queue per instance, held by its gate.

mod displacement;
mod load;
mod share;
mod wait;

use std::time::Duration;

use olivegate_types::{GroupName, Importance, Moment, Refusal, RefusalReason, SheddingRank};

use crate::limit::AdaptiveLimit;
use crate::pacer::Pacer;
use crate::pressure::ProcessPace;
use crate::retry_after::{retry_after, retry_after_wait};
use load::{Class, ClassLoad};
use share::Shares;

/// What is let begin over what a declared rate allows.
const PACED_HEADROOM: f64 = 1.2;

/// Identifies a demand in one queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TicketId(pub u64);

/// A call that asks for a slot.
#[derive(Debug, Clone)]
pub struct SlotRequest {
    /// Importance of the root request.
    pub importance: Importance,
    /// Group of the caller.
    pub group: GroupName,
    /// Weight of the group.
    pub weight: u32,
    /// Hop of the call; deeper hops go first.
    pub hop: u8,
    /// Shedding rank of the root request.
    pub rank: SheddingRank,
    /// Point at which the answer is worthless.
    pub deadline: Moment,
    /// Expected time in the slot.
    pub expected: Duration,
    /// Longest wait that is worth it, in place of the queue's own objective.
    pub max_wait: Option<Duration>,
}

/// QueueSettings of a queue, from the bundle.
#[derive(Debug, Clone, Copy)]
pub struct QueueSettings {
    /// Longest predicted wait below the protected importance.
    pub max_wait: Duration,
    /// Most demands waiting, as a multiple of the slots.
    pub waiting_per_slot: u32,
}

/// Answer to an arriving demand.
#[derive(Debug, Clone, PartialEq)]
pub enum Admission {
    /// It holds a slot now.
    Dispatch(TicketId),
    /// It waits; [`InstanceQueue::next`] will name it. `displaced` lost its place to it.
    Wait {
        /// The ticket that waits.
        ticket: TicketId,
        /// A ticket of a lower class that was refused to make room.
        displaced: Option<TicketId>,
    },
    /// It is refused and was not run.
    Refuse(Refusal),
}

#[derive(Debug, Clone)]
struct Waiting {
    ticket: TicketId,
    demand: SlotRequest,
    since: Moment,
}

#[derive(Debug, Clone)]
struct Running {
    ticket: TicketId,
    group: GroupName,
    weight: u32,
    class: Class,
    charged: Duration,
    started: Moment,
}

/// Slots, waiting demands and group shares of one instance.
#[derive(Debug)]
pub struct InstanceQueue {
    settings: QueueSettings,
    limit: AdaptiveLimit,
    pacer: Pacer,
    waiting: Vec<Waiting>,
    running: Vec<Running>,
    shares: Shares,
    load: ClassLoad,
    next_ticket: u64,
    mean_service: Duration,
    least_share: f64,
}

impl Waiting {
    /// Sort key of the class: a larger one is served first.
    fn class(&self) -> Class {
        class_of(&self.demand)
    }
}

fn class_of(demand: &SlotRequest) -> Class {
    (demand.importance, demand.hop > 0)
}

impl InstanceQueue {
    /// An empty queue.
    pub fn new(settings: QueueSettings, limit: AdaptiveLimit) -> Self {
        InstanceQueue {
            settings,
            limit,
            pacer: Pacer::default(),
            waiting: Vec::new(),
            running: Vec::new(),
            shares: Shares::default(),
            load: ClassLoad::default(),
            next_ticket: 0,
            mean_service: Duration::ZERO,
            least_share: 0.0,
        }
    }

    /// Keeps `share` of the slots for each class that waits behind a more important one, so
    /// that no class starves.
    pub fn with_min_share(mut self, share: f64) -> Self {
        self.least_share = share.clamp(0.0, 1.0);
        self
    }

    /// Follows a new bundle.
    pub fn configure(&mut self, settings: QueueSettings, slots: u32) {
        self.settings = settings;
        self.limit.set_slots(slots);
    }

    /// The adaptive limit, to feed it with what the instance did.
    pub fn limit_mut(&mut self) -> &mut AdaptiveLimit {
        &mut self.limit
    }

    /// The pace of the instance, to be told what it declares.
    pub fn pacer_mut(&mut self) -> &mut Pacer {
        &mut self.pacer
    }

    /// Slots that can be kept busy, on average: fewer than there are where the declared rate is low.
    pub fn sustained_slots(&self) -> f64 {
        let limit = f64::from(self.limit.current());
        match self.pacer.requests_per_second() {
            Some(per_second) if !self.mean_service.is_zero() => {
                limit.min(per_second * self.mean_service.as_secs_f64())
            }
            _ => limit,
        }
    }

    /// Slots by which new requests are let begin: some more than a low declared rate keeps busy, since few
    /// arrivals say little of what is asked for, and what the rate allows is not to be left unused.
    pub fn admitting_slots(&self) -> f64 {
        let sustained = self.sustained_slots();
        if self.pacer.rate().is_some() { sustained * PACED_HEADROOM } else { sustained }
    }

    /// Time until a waiting demand may start although none ends; `None` where nothing waits for that.
    pub fn time_to_next_token(&self, now: Moment) -> Option<Duration> {
        let waits_for_pace =
            self.pacer.rate().is_some() && !self.waiting.is_empty() && self.in_flight() < self.limit.current();
        waits_for_pace.then(|| self.pacer.wait_behind(0, now))
    }

    /// Follows the pace of the process that holds this queue.
    pub fn on_process_pace(&mut self, pace: ProcessPace) {
        let in_flight = self.in_flight();
        self.limit.on_process_pace(pace, in_flight);
    }

    /// Calls that hold a slot.
    pub fn in_flight(&self) -> u32 {
        self.running.len() as u32
    }

    /// Calls that wait.
    pub fn waiting(&self) -> u32 {
        self.waiting.len() as u32
    }

    /// Calls that may hold a slot now.
    pub fn current_limit(&self) -> u32 {
        self.limit.current()
    }

    /// True when a call could start at once.
    pub fn has_free_slots(&self) -> bool {
        self.waiting.is_empty() && self.in_flight() < self.limit.current()
    }

    /// Calls in flight and waiting, over the limit.
    pub fn occupancy(&self) -> f64 {
        (self.running.len() + self.waiting.len()) as f64 / f64::from(self.limit.current())
    }

    /// A demand arrives.
    pub fn submit(&mut self, demand: SlotRequest, now: Moment) -> Admission {
        let ticket = TicketId(self.next_ticket);
        self.next_ticket += 1;
        if demand.deadline <= now + demand.expected / 2 {
            return Admission::Refuse(self.refusal(RefusalReason::DeadlineExceeded, &demand));
        }
        self.shares.join(&demand.group, self.is_backlogged(&demand.group));
        if self.has_free_slots() && self.pacer.take(now) {
            self.start(ticket, &demand, now);
            return Admission::Dispatch(ticket);
        }
        let max_wait = self.max_wait(&demand, now);
        if self.paced_wait(&demand, now) > max_wait {
            return Admission::Refuse(self.paced_refusal(&demand, now));
        }
        if self.predicted_wait(&demand, now) > max_wait {
            return Admission::Refuse(self.refusal(RefusalReason::PredictedWait, &demand));
        }
        let displaced = match self.make_room(&demand) {
            Ok(displaced) => displaced,
            Err(()) => return Admission::Refuse(self.refusal(RefusalReason::PredictedWait, &demand)),
        };
        self.waiting.push(Waiting { ticket, demand, since: now });
        Admission::Wait { ticket, displaced }
    }

    /// A refusal whose time to come back follows the depth of the queue.
    pub fn refusal(&self, reason: RefusalReason, demand: &SlotRequest) -> Refusal {
        let admitted = 1.0 / self.occupancy().max(1.0);
        Refusal::new(reason, retry_after(admitted, demand.rank.fraction()))
    }

    /// The refusal of a demand that has waited for as long as it may.
    pub fn timeout_refusal(&self, demand: &SlotRequest, now: Moment) -> Refusal {
        let is_paced = self.in_flight() < self.limit.current() && self.pacer.rate().is_some();
        if is_paced { self.paced_refusal(demand, now) } else { self.refusal(RefusalReason::QueueTimeout, demand) }
    }

    /// A refusal whose time to come back follows the rate that the instance declares.
    fn paced_refusal(&self, demand: &SlotRequest, now: Moment) -> Refusal {
        let wait = self.pacer.wait_behind(self.waiting.len(), now);
        Refusal::new(RefusalReason::RateLimited, retry_after_wait(wait, demand.rank.fraction()))
    }

    fn is_backlogged(&self, group: &GroupName) -> bool {
        self.waiting.iter().any(|other| other.demand.group == *group)
            || self.running.iter().any(|running| running.group == *group)
    }

    fn start(&mut self, ticket: TicketId, demand: &SlotRequest, now: Moment) {
        self.load.note(class_of(demand), demand.expected, now);
        self.shares.charge(&demand.group, demand.expected, demand.weight);
        self.running.push(Running {
            ticket,
            class: class_of(demand),
            group: demand.group.clone(),
            weight: demand.weight,
            charged: demand.expected,
            started: now,
        });
    }

    /// The next waiting demand that gets a free slot; call until `None` after each
    /// [`InstanceQueue::finish`] and [`InstanceQueue::cancel`].
    pub fn next(&mut self, now: Moment) -> Option<TicketId> {
        if self.in_flight() >= self.limit.current() {
            return None;
        }
        let index = self.first_in_order()?;
        if !self.pacer.take(now) {
            return None;
        }
        let waiting = self.waiting.swap_remove(index);
        self.start(waiting.ticket, &waiting.demand, now);
        Some(waiting.ticket)
    }

    fn first_in_order(&self) -> Option<usize> {
        let best_class = self.below_its_share().or_else(|| self.waiting.iter().map(Waiting::class).max())?;
        let in_class = self.waiting.iter().enumerate().filter(|(_, other)| other.class() == best_class);
        let first = in_class.min_by(|(_, left), (_, right)| {
            let left_used = self.shares.used(&left.demand.group);
            let right_used = self.shares.used(&right.demand.group);
            left_used.total_cmp(&right_used).then(left.ticket.cmp(&right.ticket))
        });
        first.map(|(index, _)| index)
    }

    /// The least important waiting class that has fewer slots than are kept for it.
    fn below_its_share(&self) -> Option<Class> {
        let kept = (self.sustained_slots() * self.least_share) as usize;
        let running = |class: Class| self.running.iter().filter(|running| running.class == class).count();
        self.waiting.iter().map(Waiting::class).filter(|class| running(*class) < kept).min()
    }

    /// A call that held a slot ended; its use is charged to its group.
    pub fn finish(&mut self, ticket: TicketId, now: Moment) {
        let Some(index) = self.running.iter().position(|running| running.ticket == ticket) else {
            return;
        };
        let running = self.running.swap_remove(index);
        let used = now.since(running.started);
        self.shares.correct(&running.group, running.charged, used, running.weight);
        self.note_service(used);
    }

    /// A call that held a slot ended without having been sent to the instance.
    pub fn finish_unsent(&mut self, ticket: TicketId, now: Moment) {
        self.finish(ticket, now);
        self.pacer.refund(now);
    }

    fn note_service(&mut self, used: Duration) {
        self.mean_service =
            if self.mean_service.is_zero() { used } else { self.mean_service.mul_f64(0.95) + used.mul_f64(0.05) };
    }

    /// A waiting call gave up or ran out of time; true when it was waiting.
    pub fn cancel(&mut self, ticket: TicketId) -> bool {
        match self.waiting.iter().position(|other| other.ticket == ticket) {
            Some(index) => {
                self.waiting.swap_remove(index);
                true
            }
            None => false,
        }
    }

    /// Time that the longest waiting demand has waited.
    pub fn oldest_wait(&self, now: Moment) -> Duration {
        self.waiting.iter().map(|other| now.since(other.since)).max().unwrap_or_default()
    }

    /// Capacity used by `group` for its weight, in slot-seconds per unit of weight.
    pub fn used_share(&self, group: &GroupName) -> f64 {
        self.shares.used(group)
    }
}
