//! The queue in front of one back-end instance.
//!
//! Order of service: higher importance first; within it, calls of already admitted root requests (deeper
//! hops) before new roots; then the group that has used the least capacity for its weight; then first come,
//! first served. Capacity is counted in slot-seconds: an estimate at dispatch, corrected on completion.
//!
//! A request is refused immediately if its predicted wait is longer than the objective or the deadline
//! allows. An instance that declares a rate gets no more than that ([`Pacer`]), however many slots are free.
//! Use one queue per instance, held by its gate.

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

/// Capacity by which new requests are admitted, as a multiple of what a declared rate allows.
const PACED_HEADROOM: f64 = 1.2;

/// Identifies a request in one queue.
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
    /// Hop of the call; deeper hops are served first.
    pub hop: u8,
    /// Shedding rank of the root request.
    pub rank: SheddingRank,
    /// Time from which on the response is of no use.
    pub deadline: Moment,
    /// Expected time in the slot.
    pub expected: Duration,
    /// Longest acceptable wait, which replaces the queue's own objective.
    pub max_wait: Option<Duration>,
}

/// Settings of a queue, from the bundle.
#[derive(Debug, Clone, Copy)]
pub struct QueueSettings {
    /// Longest acceptable predicted wait below the protected importance.
    pub max_wait: Duration,
    /// Largest number of waiting requests, as a multiple of the concurrency limit.
    pub waiting_per_slot: u32,
}

/// Result of submitting a request.
#[derive(Debug, Clone, PartialEq)]
pub enum Admission {
    /// The request holds a slot now.
    Dispatch(TicketId),
    /// The request waits; [`InstanceQueue::next`] returns its ticket when it gets a slot.
    Wait {
        /// The ticket that waits.
        ticket: TicketId,
        /// A ticket that lost its place in the full queue to this one and is to be refused: of a lower class,
        /// or of the same class and another group.
        displaced: Option<TicketId>,
    },
    /// The request is refused and was not run.
    Refuse(Refusal),
}

#[derive(Debug, Clone)]
struct Waiting {
    ticket: TicketId,
    request: SlotRequest,
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

/// Slots, waiting requests and group shares of one instance.
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
    mean_service_time: Duration,
    min_share: f64,
}

impl Waiting {
    fn class(&self) -> Class {
        class_of(&self.request)
    }
}

fn class_of(request: &SlotRequest) -> Class {
    (request.importance, request.hop > 0)
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
            mean_service_time: Duration::ZERO,
            min_share: 0.0,
        }
    }

    /// Reserves `share` of the slots for each class that waits behind a more important one, so that no class
    /// starves.
    pub fn with_min_share(mut self, share: f64) -> Self {
        self.min_share = share.clamp(0.0, 1.0);
        self
    }

    /// Applies the settings of a new bundle.
    pub fn configure(&mut self, settings: QueueSettings, slots: u32) {
        self.settings = settings;
        self.limit.set_slots(slots);
    }

    /// The adaptive limit, which must be told of successes, refusals and failures of the instance.
    pub fn limit_mut(&mut self) -> &mut AdaptiveLimit {
        &mut self.limit
    }

    /// The token bucket, which must be told the rate that the instance declares.
    pub fn pacer_mut(&mut self) -> &mut Pacer {
        &mut self.pacer
    }

    /// Average number of slots that can be kept busy: fewer than the limit if the declared rate is low.
    pub fn sustained_slots(&self) -> f64 {
        let limit = f64::from(self.limit.current());
        match self.pacer.requests_per_second() {
            Some(per_second) if !self.mean_service_time.is_zero() => {
                limit.min(per_second * self.mean_service_time.as_secs_f64())
            }
            _ => limit,
        }
    }

    /// Number of slots by which new requests are admitted. It is somewhat above what a low declared rate
    /// keeps busy, because few arrivals give an imprecise measure of demand and the allowed rate should be
    /// used up.
    pub fn admitting_slots(&self) -> f64 {
        let sustained = self.sustained_slots();
        if self.pacer.rate().is_some() { sustained * PACED_HEADROOM } else { sustained }
    }

    /// Time until the declared rate lets a waiting request start although no running one ends; `None` if none
    /// waits for that.
    pub fn time_to_next_token(&self, now: Moment) -> Option<Duration> {
        let waits_for_token =
            self.pacer.rate().is_some() && !self.waiting.is_empty() && self.in_flight() < self.limit.current();
        waits_for_token.then(|| self.pacer.wait_behind(0, now))
    }

    /// Adapts the limit to the pace of the process that holds this queue.
    pub fn on_process_pace(&mut self, pace: ProcessPace) {
        let in_flight = self.in_flight();
        self.limit.on_process_pace(pace, in_flight);
    }

    /// Number of calls that hold a slot.
    pub fn in_flight(&self) -> u32 {
        self.running.len() as u32
    }

    /// Number of calls that wait for a slot.
    pub fn waiting(&self) -> u32 {
        self.waiting.len() as u32
    }

    /// Number of calls that may hold a slot now.
    pub fn current_limit(&self) -> u32 {
        self.limit.current()
    }

    /// True if a call could start immediately.
    pub fn has_free_slots(&self) -> bool {
        self.waiting.is_empty() && self.in_flight() < self.limit.current()
    }

    /// Calls in flight and waiting, divided by the limit.
    pub fn occupancy(&self) -> f64 {
        (self.running.len() + self.waiting.len()) as f64 / f64::from(self.limit.current())
    }

    /// Dispatches, queues or refuses a request.
    pub fn submit(&mut self, request: SlotRequest, now: Moment) -> Admission {
        let ticket = TicketId(self.next_ticket);
        self.next_ticket += 1;
        if request.deadline <= now + request.expected / 2 {
            return Admission::Refuse(self.refusal(RefusalReason::DeadlineExceeded, &request));
        }
        self.shares.activate(&request.group, self.is_backlogged(&request.group));
        if self.has_free_slots() && self.pacer.take(now) {
            self.start(ticket, &request, now);
            return Admission::Dispatch(ticket);
        }
        let max_wait = self.max_wait(&request, now);
        if self.rate_limit_wait(&request, now) > max_wait {
            return Admission::Refuse(self.rate_limit_refusal(&request, now));
        }
        if self.predicted_wait(&request, now) > max_wait {
            return Admission::Refuse(self.refusal(RefusalReason::PredictedWait, &request));
        }
        let displaced = match self.make_room(&request) {
            Ok(displaced) => displaced,
            Err(()) => return Admission::Refuse(self.refusal(RefusalReason::PredictedWait, &request)),
        };
        self.waiting.push(Waiting { ticket, request, since: now });
        Admission::Wait { ticket, displaced }
    }

    /// A refusal whose retry delay grows with the depth of the queue.
    pub fn refusal(&self, reason: RefusalReason, request: &SlotRequest) -> Refusal {
        let admitted = 1.0 / self.occupancy().max(1.0);
        Refusal::new(reason, retry_after(admitted, request.rank.fraction()))
    }

    /// The refusal of a request that has waited for as long as it may.
    pub fn timeout_refusal(&self, request: &SlotRequest, now: Moment) -> Refusal {
        let is_rate_limited = self.in_flight() < self.limit.current() && self.pacer.rate().is_some();
        if is_rate_limited {
            self.rate_limit_refusal(request, now)
        } else {
            self.refusal(RefusalReason::QueueTimeout, request)
        }
    }

    /// A refusal whose retry delay follows from the rate that the instance declares.
    fn rate_limit_refusal(&self, request: &SlotRequest, now: Moment) -> Refusal {
        let wait = self.pacer.wait_behind(self.waiting.len(), now);
        Refusal::new(RefusalReason::RateLimited, retry_after_wait(wait, request.rank.fraction()))
    }

    fn is_backlogged(&self, group: &GroupName) -> bool {
        self.waiting.iter().any(|other| other.request.group == *group)
            || self.running.iter().any(|running| running.group == *group)
    }

    fn start(&mut self, ticket: TicketId, request: &SlotRequest, now: Moment) {
        self.load.record(class_of(request), request.expected, now);
        self.shares.charge(&request.group, request.expected, request.weight);
        self.running.push(Running {
            ticket,
            class: class_of(request),
            group: request.group.clone(),
            weight: request.weight,
            charged: request.expected,
            started: now,
        });
    }

    /// The next waiting request that gets a free slot. Call this until it returns `None` after each
    /// [`InstanceQueue::finish`] and [`InstanceQueue::cancel`].
    pub fn next(&mut self, now: Moment) -> Option<TicketId> {
        if self.in_flight() >= self.limit.current() {
            return None;
        }
        let index = self.next_index()?;
        if !self.pacer.take(now) {
            return None;
        }
        let waiting = self.waiting.swap_remove(index);
        self.start(waiting.ticket, &waiting.request, now);
        Some(waiting.ticket)
    }

    fn next_index(&self) -> Option<usize> {
        let best_class = self.class_below_min_share().or_else(|| self.waiting.iter().map(Waiting::class).max())?;
        let in_class = self.waiting.iter().enumerate().filter(|(_, other)| other.class() == best_class);
        let first = in_class.min_by(|(_, left), (_, right)| {
            let left_used = self.shares.used(&left.request.group);
            let right_used = self.shares.used(&right.request.group);
            left_used.total_cmp(&right_used).then(left.ticket.cmp(&right.ticket))
        });
        first.map(|(index, _)| index)
    }

    /// The least important waiting class that holds fewer slots than its minimum share.
    fn class_below_min_share(&self) -> Option<Class> {
        let reserved = (self.sustained_slots() * self.min_share) as usize;
        let running = |class: Class| self.running.iter().filter(|running| running.class == class).count();
        self.waiting.iter().map(Waiting::class).filter(|class| running(*class) < reserved).min()
    }

    /// Ends a call that held a slot and charges the time used to its group.
    pub fn finish(&mut self, ticket: TicketId, now: Moment) {
        let Some(index) = self.running.iter().position(|running| running.ticket == ticket) else {
            return;
        };
        let running = self.running.swap_remove(index);
        let used = now.since(running.started);
        self.shares.correct(&running.group, running.charged, used, running.weight);
        self.record_service_time(used);
    }

    /// Ends a call that held a slot but was never sent to the instance.
    pub fn finish_unsent(&mut self, ticket: TicketId, now: Moment) {
        self.finish(ticket, now);
        self.pacer.refund(now);
    }

    fn record_service_time(&mut self, used: Duration) {
        self.mean_service_time = if self.mean_service_time.is_zero() {
            used
        } else {
            self.mean_service_time.mul_f64(0.95) + used.mul_f64(0.05)
        };
    }

    /// Removes a waiting call whose caller gave up or whose time ran out; true if it was waiting.
    pub fn cancel(&mut self, ticket: TicketId) -> bool {
        match self.waiting.iter().position(|other| other.ticket == ticket) {
            Some(index) => {
                self.waiting.swap_remove(index);
                true
            }
            None => false,
        }
    }

    /// Time that the oldest waiting request has waited.
    pub fn oldest_wait(&self, now: Moment) -> Duration {
        self.waiting.iter().map(|other| now.since(other.since)).max().unwrap_or_default()
    }

    /// Capacity used by `group`, in slot-seconds per unit of weight.
    pub fn used_share(&self, group: &GroupName) -> f64 {
        self.shares.used(group)
    }
}
