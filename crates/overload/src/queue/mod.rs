//! The queue in front of one back-end instance.
//!
//! Order of service: larger importance first; within it, work of already admitted
//! roots (deeper hops) before new roots; then the group that has used the least
//! capacity for its weight; then first come, first served. Capacity is counted in
//! slot-seconds: an estimate at dispatch, corrected on completion.
//!
//! A demand is refused at once when its predicted wait is longer than the
//! objective or the deadline allows. Use one queue per instance, held by its gate.

mod load;
mod share;

use std::time::Duration;

use olivegate_types::{GroupName, Importance, Moment, Refusal, RefusalReason, SheddingRank};

use crate::limit::AdaptiveLimit;
use crate::pressure::Pace;
use crate::retry_after::retry_after;
use load::{Class, ClassLoad};
use share::Shares;

/// A deeper hop may wait this much longer than a root request.
const DEEPER_HOP_WAITS: u32 = 3;

/// Part of the slots assumed to be left by higher classes at the least.
const LEAST_LEFT: f64 = 0.02;

/// Identifies a demand in one queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TicketId(pub u64);

/// A call that asks for a slot.
#[derive(Debug, Clone)]
pub struct Demand {
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
    pub longest_wait: Option<Duration>,
}

/// Settings of a queue, from the bundle.
#[derive(Debug, Clone, Copy)]
pub struct Settings {
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
    demand: Demand,
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
    settings: Settings,
    limit: AdaptiveLimit,
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

fn class_of(demand: &Demand) -> Class {
    (demand.importance, demand.hop > 0)
}

impl InstanceQueue {
    /// An empty queue.
    pub fn new(settings: Settings, limit: AdaptiveLimit) -> Self {
        InstanceQueue {
            settings,
            limit,
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
    pub fn with_least_share(mut self, share: f64) -> Self {
        self.least_share = share.clamp(0.0, 1.0);
        self
    }

    /// Follows a new bundle.
    pub fn configure(&mut self, settings: Settings, slots: u32) {
        self.settings = settings;
        self.limit.set_slots(slots);
    }

    /// The adaptive limit, to feed it with what the instance did.
    pub fn limit_mut(&mut self) -> &mut AdaptiveLimit {
        &mut self.limit
    }

    /// Follows the pace of the process that holds this queue.
    pub fn follow_pace(&mut self, pace: Pace) {
        let in_flight = self.in_flight();
        self.limit.follow_pace(pace, in_flight);
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
    pub fn arrive(&mut self, demand: Demand, now: Moment) -> Admission {
        let ticket = TicketId(self.next_ticket);
        self.next_ticket += 1;
        if demand.deadline <= now + demand.expected / 2 {
            return Admission::Refuse(self.refusal(RefusalReason::DeadlineExceeded, &demand));
        }
        self.shares.join(&demand.group, self.is_backlogged(&demand.group));
        if self.has_free_slots() {
            self.start(ticket, &demand, now);
            return Admission::Dispatch(ticket);
        }
        if self.predicted_wait(&demand, now) > self.longest_wait(&demand, now) {
            return Admission::Refuse(self.refusal(RefusalReason::PredictedWait, &demand));
        }
        let displaced = match self.make_room(&demand) {
            Ok(displaced) => displaced,
            Err(()) => return Admission::Refuse(self.refusal(RefusalReason::PredictedWait, &demand)),
        };
        self.waiting.push(Waiting { ticket, demand, since: now });
        Admission::Wait { ticket, displaced }
    }

    /// Longest wait after which the demand may still be served: bound by its deadline,
    /// and below the protected importance by the objective, which is wider for deeper
    /// hops since work has been done for them.
    pub fn longest_wait(&self, demand: &Demand, now: Moment) -> Duration {
        let by_deadline = demand.deadline.since(now).saturating_sub(demand.expected);
        if let Some(longest) = demand.longest_wait {
            return by_deadline.min(longest);
        }
        if demand.importance.is_protected() {
            return by_deadline;
        }
        let factor = if demand.hop > 0 { DEEPER_HOP_WAITS } else { 1 };
        by_deadline.min(self.settings.max_wait * factor)
    }

    /// Wait predicted from the work in front of `demand`, served by the slots that
    /// higher classes have been leaving; at least as long as the demand's own group and
    /// class has been waiting already.
    pub fn predicted_wait(&self, demand: &Demand, now: Moment) -> Duration {
        let mut ahead = Duration::ZERO;
        let mut own_group = Duration::ZERO;
        let mut same_class = Duration::ZERO;
        let mut longest_waited = Duration::ZERO;
        let mut weights: Vec<(&GroupName, u32)> = vec![(&demand.group, demand.weight)];
        for other in &self.waiting {
            if other.class() > class_of(demand) {
                ahead += other.demand.expected;
            } else if other.class() == class_of(demand) {
                same_class += other.demand.expected;
                if other.demand.group == demand.group {
                    own_group += other.demand.expected;
                    longest_waited = longest_waited.max(now.since(other.since));
                } else if !weights.iter().any(|(group, _)| **group == other.demand.group) {
                    weights.push((&other.demand.group, other.demand.weight));
                }
            }
        }
        let total_weight: u32 = weights.iter().map(|(_, weight)| weight).sum();
        let share = f64::from(total_weight) / f64::from(demand.weight.max(1));
        ahead += own_group.mul_f64(share).min(same_class);
        let service = if self.mean_service.is_zero() { demand.expected } else { self.mean_service };
        let limit = f64::from(self.limit.current());
        let left = (limit - self.load.slots_above(class_of(demand), now)).max(limit * LEAST_LEFT);
        let in_order = (ahead + service).div_f64(left);
        let in_own_share = if self.least_share > 0.0 {
            (same_class + service).div_f64((limit * self.least_share).max(1.0))
        } else {
            Duration::MAX
        };
        in_order.min(in_own_share).max(longest_waited)
    }

    /// Finds room in a full queue: at the cost of the last demand of the lowest class, or,
    /// within the demand's own class, of the group that waits with most for its weight.
    fn make_room(&mut self, demand: &Demand) -> Result<Option<TicketId>, ()> {
        let most = (self.settings.waiting_per_slot * self.limit.current()).max(1) as usize;
        if self.waiting.len() < most {
            return Ok(None);
        }
        let victim = self.lowest_below(class_of(demand)).or_else(|| self.last_of_greediest(demand));
        victim.map(|index| Some(self.waiting.swap_remove(index).ticket)).ok_or(())
    }

    /// The waiting demand of the lowest class below `class` that is shed first.
    fn lowest_below(&self, class: Class) -> Option<usize> {
        let below = self.waiting.iter().enumerate().filter(|(_, other)| other.class() < class);
        let first_shed = below.min_by_key(|(_, other)| (other.class(), std::cmp::Reverse(other.demand.rank)));
        first_shed.map(|(index, _)| index)
    }

    /// The last demand of the group that, in the class of `demand`, waits with more for
    /// its weight than the demand's group would.
    fn last_of_greediest(&self, demand: &Demand) -> Option<usize> {
        let in_class = |other: &&Waiting| other.class() == class_of(demand);
        let mut groups: Vec<(&GroupName, f64)> = vec![(&demand.group, 1.0 / f64::from(demand.weight.max(1)))];
        for other in self.waiting.iter().filter(in_class) {
            let share = 1.0 / f64::from(other.demand.weight.max(1));
            match groups.iter_mut().find(|(group, _)| **group == other.demand.group) {
                Some((_, pressure)) => *pressure += share,
                None => groups.push((&other.demand.group, share)),
            }
        }
        let own = groups[0].1;
        let greedier = groups[1..].iter().filter(|(_, pressure)| *pressure > own);
        let (greediest, _) = greedier.max_by(|left, right| left.1.total_cmp(&right.1))?;
        let of_greediest = self
            .waiting
            .iter()
            .enumerate()
            .filter(|(_, other)| in_class(other) && other.demand.group == **greediest);
        of_greediest.max_by_key(|(_, other)| other.ticket).map(|(index, _)| index)
    }

    /// A refusal whose time to come back follows the depth of the queue.
    pub fn refusal(&self, reason: RefusalReason, demand: &Demand) -> Refusal {
        let admitted = 1.0 / self.occupancy().max(1.0);
        Refusal::new(reason, retry_after(admitted, demand.rank.fraction()))
    }

    fn is_backlogged(&self, group: &GroupName) -> bool {
        self.waiting.iter().any(|other| other.demand.group == *group)
            || self.running.iter().any(|running| running.group == *group)
    }

    fn start(&mut self, ticket: TicketId, demand: &Demand, now: Moment) {
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
        let kept = (f64::from(self.limit.current()) * self.least_share) as usize;
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
    pub fn longest_waited(&self, now: Moment) -> Duration {
        self.waiting.iter().map(|other| now.since(other.since)).max().unwrap_or_default()
    }

    /// Capacity used by `group` for its weight, in slot-seconds per unit of weight.
    pub fn used_share(&self, group: &GroupName) -> f64 {
        self.shares.used(group)
    }
}
