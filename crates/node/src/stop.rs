//! Graceful stop: calls in flight are not cut off.
//!
//! First the ports stop accepting connections, and each response asks for its connection to
//! be closed. Later, when callers have had time to notice, the connections that are still
//! idle are closed. Closing them at once could cut off a request that a caller is sending.

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

/// Counts a call as in flight until it is dropped, when its response has been sent completely.
#[derive(Debug)]
pub struct InFlightGuard(StopSignal);

impl StopSignal {
    /// Starts the stop.
    pub fn stop(&self) {
        self.0.stopping.store(true, Ordering::SeqCst);
        self.0.changed.notify_waiters();
    }

    /// Closes idle connections, as the last phase of a stop.
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
        self.wait_for_flag(&self.0.stopping).await;
    }

    /// Waits until idle connections are to be closed.
    pub async fn closing(&self) {
        self.wait_for_flag(&self.0.closing).await;
    }

    async fn wait_for_flag(&self, flag: &AtomicBool) {
        loop {
            let changed = self.0.changed.notified();
            if flag.load(Ordering::SeqCst) {
                return;
            }
            changed.await;
        }
    }

    /// Counts a call as in flight until the guard is dropped.
    pub fn track_request(&self) -> InFlightGuard {
        self.0.in_flight.fetch_add(1, Ordering::SeqCst);
        InFlightGuard(self.clone())
    }

    /// Calls in flight.
    pub fn in_flight(&self) -> usize {
        self.0.in_flight.load(Ordering::SeqCst)
    }

    /// Waits until no call is in flight, but at most `timeout`. Returns true when none is left.
    pub async fn drained(&self, timeout: Duration) -> bool {
        let no_calls = async {
            while self.in_flight() > 0 {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        tokio::time::timeout(timeout, no_calls).await.is_ok()
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.0.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}
