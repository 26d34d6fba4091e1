//! Stopping without cutting off calls in flight.
//!
//! First the ports stop accepting and each answer asks its connection to close; later,
//! when callers have had time to notice, connections that are still idle are closed. A
//! connection closed at once could meet a request that its caller is just sending.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use tokio::sync::Notify;

#[derive(Debug, Default)]
struct Shared {
    stopping: AtomicBool,
    closing: AtomicBool,
    in_flight: AtomicUsize,
    changed: Notify,
}

/// Stop signal and count of calls in flight, shared by all connections.
#[derive(Debug, Clone, Default)]
pub struct StopSignal(Arc<Shared>);

/// A call in flight; dropped when its answer has been sent whole.
#[derive(Debug)]
pub struct InFlightGuard(StopSignal);

impl StopSignal {
    /// Starts the stop.
    pub fn stop(&self) {
        self.0.stopping.store(true, Ordering::SeqCst);
        self.0.changed.notify_waiters();
    }

    /// Closes idle connections; the last part of a stop.
    pub fn close_idle(&self) {
        self.0.closing.store(true, Ordering::SeqCst);
        self.0.changed.notify_waiters();
    }

    /// True once the stop has started.
    pub fn is_stopping(&self) -> bool {
        self.0.stopping.load(Ordering::SeqCst)
    }

    /// Waits until the stop starts.
    pub async fn stopped(&self) {
        self.wait_for(&self.0.stopping).await;
    }

    /// Waits until idle connections are to be closed.
    pub async fn closing(&self) {
        self.wait_for(&self.0.closing).await;
    }

    async fn wait_for(&self, flag: &AtomicBool) {
        loop {
            let changed = self.0.changed.notified();
            if flag.load(Ordering::SeqCst) {
                return;
            }
            changed.await;
        }
    }

    /// Counts a call until the result is dropped.
    pub fn track_request(&self) -> InFlightGuard {
        self.0.in_flight.fetch_add(1, Ordering::SeqCst);
        InFlightGuard(self.clone())
    }

    /// Calls in flight.
    pub fn in_flight(&self) -> usize {
        self.0.in_flight.load(Ordering::SeqCst)
    }

    /// Waits until no call is in flight, `timeout` at most; true when none is left.
    pub async fn drained(&self, timeout: Duration) -> bool {
        let waiting = async {
            while self.in_flight() > 0 {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        tokio::time::timeout(timeout, waiting).await.is_ok()
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.0.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}
