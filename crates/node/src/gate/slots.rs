//! The queue of an instance with the futures that wait in it.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use olivegate_overload::{
    AdaptiveLimit, Admission, Arrival, ClassKey, ExpectedTimes, GateLevels, InstanceQueue, QueueSettings,
    SlotRequest, TicketId,
};
use olivegate_types::{KindName, Moment, Refusal, RefusalReason};
use tokio::sync::oneshot;

use crate::connections::ConnectionPool;
use crate::state::lock;
use olivegate_clock as clock;

/// A wait may be this much longer than the longest one accepted in prediction.
const WAIT_TOLERANCE: f64 = 1.25;

type Grant = Result<(), RefusalReason>;

struct QueueState {
    queue: InstanceQueue,
    waiters: HashMap<TicketId, oneshot::Sender<Grant>>,
    levels: GateLevels,
    service_times: ExpectedTimes,
    max_wait: Duration,
}

impl QueueState {
    /// How an accepted demand counts for the admission level of its class.
    fn accepted(&self, demand: &SlotRequest, now: Moment) -> Arrival {
        if self.queue.has_free_slots() {
            return Arrival::Accepted { wait_ratio: 0.0 };
        }
        let wait = self.queue.predicted_wait(demand, now).as_secs_f64();
        Arrival::Accepted { wait_ratio: wait / self.max_wait.as_secs_f64() }
    }

    fn note(&mut self, class: &ClassKey, arrival: Arrival, now: Moment) {
        let has_free_slots = self.queue.has_free_slots();
        self.levels.record(class, arrival, has_free_slots, now);
    }
}

/// Queue, limit and connections of one instance.
pub struct InstanceGate {
    address: SocketAddr,
    state: Mutex<QueueState>,
    connections: Arc<ConnectionPool>,
}

/// A slot of the instance; dropped when the call has left it.
pub struct Slot {
    gate: Arc<InstanceGate>,
    ticket: TicketId,
}

/// A ticket that waits or holds a slot; released when dropped.
struct Ticket {
    gate: Arc<InstanceGate>,
    ticket: Option<TicketId>,
}

/// What a gate shows of itself.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct GateStatus {
    /// Calls that hold a slot.
    pub in_flight: u32,
    /// Calls that wait.
    pub waiting: u32,
    /// Calls that may hold a slot.
    pub limit: u32,
}

impl InstanceGate {
    /// The gate of the instance at `address` with `slots`.
    pub fn new(address: SocketAddr, settings: QueueSettings, slots: u32) -> Self {
        let state = QueueState {
            queue: InstanceQueue::new(settings, AdaptiveLimit::new(slots, false)),
            waiters: HashMap::new(),
            levels: GateLevels::default(),
            service_times: ExpectedTimes::default(),
            max_wait: settings.max_wait,
        };
        InstanceGate { address, state: Mutex::new(state), connections: Arc::new(ConnectionPool::new(address)) }
    }

    /// Address of the instance.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Connections to the instance.
    pub fn connections(&self) -> &Arc<ConnectionPool> {
        &self.connections
    }

    /// Follows a new bundle.
    pub fn configure(&self, settings: QueueSettings, slots: u32) {
        let mut state = lock(&self.state);
        state.max_wait = settings.max_wait;
        state.queue.configure(settings, slots);
    }

    /// Counts for status.
    pub fn status(&self) -> GateStatus {
        let state = lock(&self.state);
        GateStatus {
            in_flight: state.queue.in_flight(),
            waiting: state.queue.waiting(),
            limit: state.queue.current_limit(),
        }
    }

    /// Calls in flight and waiting, over the limit.
    pub fn occupancy(&self) -> f64 {
        lock(&self.state).queue.occupancy()
    }

    /// Admission level of a class at this instance.
    pub fn level(&self, class: &ClassKey) -> f64 {
        lock(&self.state).levels.level(class)
    }

    /// Expected service time of a kind, as a call with this time left is judged by; `unseen` before the
    /// first observation.
    pub fn expected(&self, kind: &KindName, unseen: Duration, time_left: Duration) -> Duration {
        lock(&self.state).service_times.for_request(kind.as_str(), unseen, time_left, clock::now())
    }

    /// Notes that the instance answered a call of `kind` after `service`.
    pub fn on_answer(&self, kind: &KindName, service: Duration) {
        let mut state = lock(&self.state);
        let in_flight = state.queue.in_flight();
        state.queue.limit_mut().on_success(in_flight);
        state.service_times.record(kind.as_str(), service, clock::now());
    }

    /// Notes that the instance refused before starting.
    pub fn on_refused(&self) {
        lock(&self.state).queue.limit_mut().on_refused(clock::now());
    }

    /// Notes a broken connection.
    pub fn on_failure(&self) {
        lock(&self.state).queue.limit_mut().on_failure(clock::now());
    }

    /// Waits for a slot, or is refused.
    pub async fn acquire(self: &Arc<Self>, demand: SlotRequest, class: &ClassKey) -> Result<Slot, Refusal> {
        let now = clock::now();
        let (ticket, waiting) = match self.arrive(demand.clone(), class, now) {
            Ok(arrived) => arrived,
            Err(refusal) => return Err(refusal),
        };
        let mut guard = Ticket { gate: self.clone(), ticket: Some(ticket) };
        if let Some(waiting) = waiting {
            self.wait(waiting, &demand, class, now).await?;
        }
        guard.ticket = None;
        Ok(Slot { gate: self.clone(), ticket })
    }

    fn arrive(
        &self,
        demand: SlotRequest,
        class: &ClassKey,
        now: Moment,
    ) -> Result<(TicketId, Option<oneshot::Receiver<Grant>>), Refusal> {
        let mut state = lock(&self.state);
        let accepted = state.accepted(&demand, now);
        let admission = state.queue.submit(demand, now);
        let refused = matches!(admission, Admission::Refuse(_));
        state.note(class, if refused { Arrival::Refused } else { accepted }, now);
        match admission {
            Admission::Dispatch(ticket) => Ok((ticket, None)),
            Admission::Wait { ticket, displaced } => {
                let (sender, receiver) = oneshot::channel();
                state.waiters.insert(ticket, sender);
                if let Some(displaced) = displaced.and_then(|ticket| state.waiters.remove(&ticket)) {
                    let _ = displaced.send(Err(RefusalReason::Displaced));
                }
                Ok((ticket, Some(receiver)))
            }
            Admission::Refuse(refusal) => Err(refusal),
        }
    }

    async fn wait(
        &self,
        waiting: oneshot::Receiver<Grant>,
        demand: &SlotRequest,
        class: &ClassKey,
        arrived: Moment,
    ) -> Result<(), Refusal> {
        let until = self.wait_until(demand, arrived);
        let granted = tokio::time::timeout_at(clock::instant_of(until), waiting).await;
        let reason = match granted {
            Ok(Ok(Ok(()))) => None,
            Ok(Ok(Err(reason))) => Some(reason),
            Ok(Err(_)) | Err(_) => Some(RefusalReason::QueueTimeout),
        };
        let Some(reason) = reason else {
            return Ok(());
        };
        let mut state = lock(&self.state);
        state.note(class, Arrival::Refused, clock::now());
        Err(state.queue.refusal(reason, demand))
    }

    /// Point at which a waiting call gives up: it could no longer be answered in time,
    /// or, below the protected importance, its wait is longer than the objective allows.
    fn wait_until(&self, demand: &SlotRequest, arrived: Moment) -> Moment {
        let longest = lock(&self.state).queue.max_wait(demand, arrived);
        let by_deadline = demand.deadline.saturating_sub(demand.expected);
        by_deadline.min(arrived + longest.mul_f64(WAIT_TOLERANCE))
    }

    /// Gives up a ticket, whether it waits or holds a slot, and wakes the next.
    fn release(&self, ticket: TicketId) {
        let now = clock::now();
        let mut state = lock(&self.state);
        state.waiters.remove(&ticket);
        if !state.queue.cancel(ticket) {
            state.queue.finish(ticket, now);
        }
        while let Some(next) = state.queue.next(now) {
            if let Some(waiter) = state.waiters.remove(&next) {
                let _ = waiter.send(Ok(()));
            }
        }
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket.take() {
            self.gate.release(ticket);
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.gate.release(self.ticket);
    }
}
