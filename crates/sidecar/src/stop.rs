//! Graceful shutdown without cutting off requests.
//!
//! The node first reports itself as not ready. Clients notice this after a few readiness checks and keep
//! sending until then; each response asks them to close the connection. After the time for clients to leave,
//! idle connections are closed. The process ends once no request is in flight and the last responses have been
//! sent: what a socket still holds is lost if input arrives after the process has ended. Requests of other
//! nodes that still run count too, because the instance beside the node makes its calls through it.
//!
//! No request is given more time than the process has. Shortly before the end, whatever is still open gets its
//! final response from the node, and nothing more is passed on.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use olivegate_clock as clock;
use olivegate_types::Moment;
use tokio::sync::Notify;

/// Time after the stop signal at which idle client connections are closed. Readiness is checked once per
/// second, and two failed checks take the node out.
pub const CLIENTS_LEAVE_WITHIN: Duration = Duration::from_millis(2_300);
/// Part of the grace period that is reserved for ending the process.
const SHUTDOWN_RESERVE: Duration = Duration::from_millis(400);
/// Time before the end at which the requests that are still open are answered, so that the responses are sent.
const FINAL_RESPONSES_TIME: Duration = Duration::from_millis(150);
/// Interval at which the number of requests in flight is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Shutdown state and number of requests in flight.
#[derive(Debug, Default)]
pub struct StopState {
    stopping: Cell<bool>,
    closing: Cell<bool>,
    /// When the requests that are still open are answered; `None` before the shutdown.
    ends_at: Cell<Option<Moment>>,
    ending: Cell<bool>,
    in_flight: Cell<usize>,
    deliveries: Cell<usize>,
    changed: Notify,
}

/// Counts a request as in flight until it is dropped, when its response has been sent or it was given up.
#[derive(Debug)]
pub struct InFlightGuard(Rc<StopState>);

/// Counts a closing connection until it is dropped, when its last response has been sent.
#[derive(Debug)]
pub struct DeliveryGuard(Rc<StopState>);

impl StopState {
    /// Starts the shutdown.
    pub fn begin(&self) {
        self.stopping.set(true);
        self.changed.notify_waiters();
    }

    /// Returns true once the shutdown has started.
    pub fn is_stopping(&self) -> bool {
        self.stopping.get()
    }

    /// Returns true once clients have had time to leave. New requests of theirs are then refused, so that
    /// those in flight can complete in time. Calls of the instance are still accepted.
    pub fn is_closing(&self) -> bool {
        self.closing.get()
    }

    /// Waits until idle connections are to be closed.
    pub async fn closing(&self) {
        self.wait_for(&self.closing).await;
    }

    /// Returns `deadline`, or the end of the shutdown if that comes first.
    pub fn limit(&self, deadline: Moment) -> Moment {
        self.ends_at.get().map_or(deadline, |ends_at| deadline.min(ends_at))
    }

    /// Returns the time until the shutdown ends; `None` if there is none.
    pub fn time_left(&self, now: Moment) -> Option<Duration> {
        self.ends_at.get().map(|ends_at| ends_at.since(now))
    }

    /// Waits until the requests that are still open are to be answered.
    pub async fn ending(&self) {
        self.wait_for(&self.ending).await;
    }

    async fn wait_for(&self, state: &Cell<bool>) {
        loop {
            let changed = self.changed.notified();
            if state.get() {
                return;
            }
            changed.await;
        }
    }

    /// Counts a request as in flight until the result is dropped.
    pub fn track_request(self: &Rc<Self>) -> InFlightGuard {
        self.in_flight.set(self.in_flight.get() + 1);
        InFlightGuard(self.clone())
    }

    /// Counts a connection whose last response is being sent until the result is dropped.
    pub fn track_delivery(self: &Rc<Self>) -> DeliveryGuard {
        self.deliveries.set(self.deliveries.get() + 1);
        DeliveryGuard(self.clone())
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.get()
    }

    /// Runs the shutdown to completion. Returns true if all requests were completed before its end.
    pub async fn run(&self, grace_period: Duration) -> bool {
        self.begin();
        let available = grace_period.saturating_sub(SHUTDOWN_RESERVE + FINAL_RESPONSES_TIME);
        self.ends_at.set(Some(clock::now() + available));
        let leave = CLIENTS_LEAVE_WITHIN.min(available / 2);
        tokio::time::sleep(leave).await;
        self.closing.set(true);
        self.changed.notify_waiters();
        let is_drained = tokio::time::timeout(available.saturating_sub(leave), self.drained()).await.is_ok();
        if !is_drained {
            self.ending.set(true);
            self.changed.notify_waiters();
            // Those that run for other nodes get no response; their edges see the connections end.
            let _ = tokio::time::timeout(FINAL_RESPONSES_TIME, self.drained()).await;
        }
        is_drained
    }

    /// Waits until no request is in flight and all responses have been sent.
    async fn drained(&self) {
        loop {
            // Idle connections with unsent data count only once they have noticed that they are to close.
            tokio::time::sleep(POLL_INTERVAL).await;
            if self.in_flight.get() + self.deliveries.get() == 0 {
                return;
            }
        }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
    }
}

impl Drop for DeliveryGuard {
    fn drop(&mut self) {
        self.0.deliveries.set(self.0.deliveries.get() - 1);
    }
}
