//! Stopping without cutting off requests.
//!
//! Readiness ends first. Clients learn of it within some questions and until then go on
//! sending; each answer asks its connection to close. When clients have had time to leave,
//! idle connections close. The process ends once nothing is in flight: the instance beside
//! the node makes its calls through it, so requests of other nodes that still run count too.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;

/// Time after the stop signal at which idle connections of clients close: readiness is
/// asked for once a second, and two misses take the node out.
pub const CLIENTS_LEAVE_WITHIN: Duration = Duration::from_millis(2_300);
/// Part of the grace period that is kept for the end itself.
const RESERVE: Duration = Duration::from_millis(400);
/// How often the end looks for requests in flight.
const POLL: Duration = Duration::from_millis(10);

/// State of the stop and count of requests in flight.
#[derive(Debug, Default)]
pub struct StopState {
    stopping: Cell<bool>,
    closing: Cell<bool>,
    in_flight: Cell<usize>,
    changed: Notify,
}

/// A request in flight; dropped when its answer has been sent or it was given up.
#[derive(Debug)]
pub struct InFlightGuard(Rc<StopState>);

impl StopState {
    /// Begins the stop.
    pub fn begin(&self) {
        self.stopping.set(true);
        self.changed.notify_waiters();
    }

    /// True once the stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.stopping.get()
    }

    /// True once clients have had time to leave: new requests of theirs are refused, so that
    /// those in flight end in time. Calls of the instance go on.
    pub fn is_closing(&self) -> bool {
        self.closing.get()
    }

    /// Waits until idle connections are to close.
    pub async fn closing(&self) {
        loop {
            let changed = self.changed.notified();
            if self.closing.get() {
                return;
            }
            changed.await;
        }
    }

    /// Counts a request until the result is dropped.
    pub fn track_request(self: &Rc<Self>) -> InFlightGuard {
        self.in_flight.set(self.in_flight.get() + 1);
        InFlightGuard(self.clone())
    }

    /// Requests in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.get()
    }

    /// Runs the stop to its end. True when nothing was cut off.
    pub async fn run(&self, grace_period: Duration) -> bool {
        self.begin();
        let whole = grace_period.saturating_sub(RESERVE);
        let leave = CLIENTS_LEAVE_WITHIN.min(whole / 2);
        tokio::time::sleep(leave).await;
        self.closing.set(true);
        self.changed.notify_waiters();
        let drained = async {
            while self.in_flight.get() > 0 {
                tokio::time::sleep(POLL).await;
            }
        };
        tokio::time::timeout(whole.saturating_sub(leave), drained).await.is_ok()
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
    }
}
