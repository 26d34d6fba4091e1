//! The queue of an instance and the tasks that wait in it for a slot.

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

/// A call leaves the queue after this factor times the longest predicted wait that is accepted.
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
    /// The arrival that is recorded for the admission level of a class if the queue accepts the request.
    fn accepted_arrival(&self, request: &SlotRequest, now: Moment) -> Arrival {
        if self.queue.has_free_slots() {
            return Arrival::Accepted { wait_ratio: 0.0 };
        }
        let wait = self.queue.predicted_wait(request, now).as_secs_f64();
        Arrival::Accepted { wait_ratio: wait / self.max_wait.as_secs_f64() }
    }

    fn record(&mut self, class: &ClassKey, arrival: Arrival, now: Moment) {
        let has_free_slots = self.queue.has_free_slots();
        self.levels.record(class, arrival, has_free_slots, now);
    }
}

/// Queue, concurrency limit and connections of one instance.
pub struct InstanceGate {
    address: SocketAddr,
    state: Mutex<QueueState>,
    connections: Arc<ConnectionPool>,
}

/// A slot of the instance; dropping it releases the slot and wakes the next waiting call.
pub struct Slot {
    gate: Arc<InstanceGate>,
    ticket: TicketId,
}

/// Releases a ticket that waits or holds a slot when a call is cancelled or refused while it waits.
struct TicketGuard {
    gate: Arc<InstanceGate>,
    ticket: Option<TicketId>,
}

/// Counters of a gate for the status page.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct GateStatus {
    /// Calls that hold a slot.
    pub in_flight: u32,
    /// Calls that wait for a slot.
    pub waiting: u32,
    /// Concurrency limit: calls that may hold a slot at the same time.
    pub limit: u32,
}

impl InstanceGate {
    /// The gate of the instance at `address`; `slots` is the initial concurrency limit.
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

    /// Connection pool of the instance.
    pub fn connections(&self) -> &Arc<ConnectionPool> {
        &self.connections
    }

    /// Applies new queue settings and slots.
    pub fn configure(&self, settings: QueueSettings, slots: u32) {
        let mut state = lock(&self.state);
        state.max_wait = settings.max_wait;
        state.queue.configure(settings, slots);
    }

    /// Counters for the status page.
    pub fn status(&self) -> GateStatus {
        let state = lock(&self.state);
        GateStatus {
            in_flight: state.queue.in_flight(),
            waiting: state.queue.waiting(),
            limit: state.queue.current_limit(),
        }
    }

    /// Calls in flight and waiting, divided by the concurrency limit.
    pub fn occupancy(&self) -> f64 {
        lock(&self.state).queue.occupancy()
    }

    /// Admission level of a class at this instance.
    pub fn level(&self, class: &ClassKey) -> f64 {
        lock(&self.state).levels.level(class)
    }

    /// Expected service time of a kind against which a call with this time left is checked; `default`
    /// before the first observation.
    pub fn expected_service_time(&self, kind: &KindName, default: Duration, time_left: Duration) -> Duration {
        lock(&self.state).service_times.for_request(kind.as_str(), default, time_left, clock::now())
    }

    /// Records that the instance answered a call of `kind` after `service_time`.
    pub fn on_answer(&self, kind: &KindName, service_time: Duration) {
        let mut state = lock(&self.state);
        let in_flight = state.queue.in_flight();
        state.queue.limit_mut().on_success(in_flight);
        state.service_times.record(kind.as_str(), service_time, clock::now());
    }

    /// Records that the instance refused a call without starting it.
    pub fn on_refused(&self) {
        lock(&self.state).queue.limit_mut().on_refused(clock::now());
    }

    /// Records a failed connection or exchange.
    pub fn on_failure(&self) {
        lock(&self.state).queue.limit_mut().on_failure(clock::now());
    }

    /// Acquires a slot, waiting in the queue if necessary, or returns the refusal.
    pub async fn acquire(self: &Arc<Self>, request: SlotRequest, class: &ClassKey) -> Result<Slot, Refusal> {
        let now = clock::now();
        let (ticket, waiting) = match self.submit(request.clone(), class, now) {
            Ok(submitted) => submitted,
            Err(refusal) => return Err(refusal),
        };
        let mut guard = TicketGuard { gate: self.clone(), ticket: Some(ticket) };
        if let Some(waiting) = waiting {
            self.wait(waiting, &request, class, now).await?;
        }
        guard.ticket = None;
        Ok(Slot { gate: self.clone(), ticket })
    }

    fn submit(
        &self,
        request: SlotRequest,
        class: &ClassKey,
        now: Moment,
    ) -> Result<(TicketId, Option<oneshot::Receiver<Grant>>), Refusal> {
        let mut state = lock(&self.state);
        let accepted = state.accepted_arrival(&request, now);
        let admission = state.queue.submit(request, now);
        let refused = matches!(admission, Admission::Refuse(_));
        state.record(class, if refused { Arrival::Refused } else { accepted }, now);
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
        request: &SlotRequest,
        class: &ClassKey,
        arrived: Moment,
    ) -> Result<(), Refusal> {
        let deadline = self.wait_deadline(request, arrived);
        let granted = tokio::time::timeout_at(clock::instant_of(deadline), waiting).await;
        let reason = match granted {
            Ok(Ok(Ok(()))) => None,
            Ok(Ok(Err(reason))) => Some(reason),
            Ok(Err(_)) | Err(_) => Some(RefusalReason::QueueTimeout),
        };
        let Some(reason) = reason else {
            return Ok(());
        };
        let mut state = lock(&self.state);
        state.record(class, Arrival::Refused, clock::now());
        Err(state.queue.refusal(reason, request))
    }

    /// The time at which a waiting call is refused: when it could no longer be answered before its
    /// deadline, or, below the protected importance, when it has waited longer than the objective allows.
    fn wait_deadline(&self, request: &SlotRequest, arrived: Moment) -> Moment {
        let max_wait = lock(&self.state).queue.max_wait(request, arrived);
        let by_deadline = request.deadline.saturating_sub(request.expected);
        by_deadline.min(arrived + max_wait.mul_f64(WAIT_TOLERANCE))
    }

    /// Releases a ticket, whether it waits or holds a slot, and wakes the calls that get a slot.
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

impl Drop for TicketGuard {
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
