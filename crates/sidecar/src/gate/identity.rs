//! Which instance is known to listen at the address beside this node.
//!
//! When an instance ends, another one can take over its address, under the same or another name. Any sign of
//! such an end makes the gate check the identity of the listening instance before it sends another request: a
//! request that reaches the wrong instance is rejected, but uses up one of the instances that its route
//! allows. A response from the instance that a request names confirms the identity, too.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use olivegate_types::{InstanceName, Moment};
use tokio::sync::watch;

use crate::gate_protocol::Offer;
use olivegate_clock as clock;

/// Maximum time that a request waits for an identity check.
const MAX_CHECK_WAIT: Duration = Duration::from_millis(100);
/// A request waits for an identity check for at most this fraction (1/10) of its target latency, or of its
/// remaining time if that is shorter.
const CHECK_WAIT_DIVISOR: u32 = 10;

/// Result of an identity check.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CheckResult {
    /// The expected instance is listening.
    Expected,
    /// There was no response, or none that identifies the instance. Nothing shows that it is another one.
    Inconclusive,
    /// No process is listening: the port refuses connections.
    NotListening,
    /// Another instance is listening. It has a name if the response included one.
    Other(Option<InstanceName>),
}

impl CheckResult {
    /// Text for log lines and metrics.
    pub fn as_str(&self) -> &'static str {
        match self {
            CheckResult::Expected => "expected",
            CheckResult::Inconclusive => "untold",
            CheckResult::NotListening => "nobody",
            CheckResult::Other(_) => "other",
        }
    }
}

/// Time that a request with this target latency and remaining time may wait for an identity check, measured
/// from the start of the check.
pub fn max_check_wait_for(target_latency: Duration, time_left: Duration) -> Duration {
    (target_latency.min(time_left) / CHECK_WAIT_DIVISOR).min(MAX_CHECK_WAIT)
}

/// Time that `offer` may wait for an identity check.
pub fn max_check_wait(offer: &Offer) -> Duration {
    let target_latency = Duration::from_millis(u64::from(offer.target_latency_ms));
    let time_left = Duration::from_millis(u64::from(offer.time_left_ms));
    max_check_wait_for(target_latency, time_left)
}

/// Incremented when the identity is invalidated. What was learnt in an earlier epoch confirms nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct IdentityEpoch(u64);

/// An identity check that is running; requests for the same instance share it.
#[derive(Debug, Clone)]
pub struct IdentityCheck {
    /// The instance that is expected.
    pub expected: InstanceName,
    epoch: IdentityEpoch,
    started: Moment,
    result: watch::Receiver<Option<CheckResult>>,
}

impl IdentityCheck {
    /// The result, if it arrives within `max_wait` of the start of the check.
    pub async fn result_within(mut self, max_wait: Duration) -> Option<CheckResult> {
        let until = clock::instant_of(self.started + max_wait);
        let received = tokio::time::timeout_at(until, self.result.wait_for(Option::is_some)).await;
        received.ok()?.ok()?.clone()
    }
}

/// Handle by which a running check is completed.
pub struct PendingCheck {
    check: IdentityCheck,
    sender: watch::Sender<Option<CheckResult>>,
}

impl PendingCheck {
    /// The instance that is expected.
    pub fn expected(&self) -> &InstanceName {
        &self.check.expected
    }
}

/// What a gate knows about the identity of the instance beside it.
#[derive(Debug, Default)]
pub struct InstanceIdentity {
    /// The instance that responded last, unless there has been a sign of its end since.
    confirmed: RefCell<Option<InstanceName>>,
    epoch: Cell<IdentityEpoch>,
    in_progress: RefCell<Option<IdentityCheck>>,
}

impl InstanceIdentity {
    /// True when `instance` is known to be listening, or the last check for it was inconclusive.
    pub fn is_confirmed(&self, instance: &InstanceName) -> bool {
        self.confirmed.borrow().as_ref() == Some(instance)
    }

    /// There is a sign that the instance has ended.
    pub fn invalidate(&self) {
        self.epoch.set(IdentityEpoch(self.epoch.get().0 + 1));
        *self.confirmed.borrow_mut() = None;
    }

    /// The current epoch.
    pub fn epoch(&self) -> IdentityEpoch {
        self.epoch.get()
    }

    /// Returns the running check for `expected`, or starts a new one. The caller has to complete a new one
    /// through the handle.
    pub fn start_check(&self, expected: &InstanceName) -> (IdentityCheck, Option<PendingCheck>) {
        let epoch = self.epoch.get();
        let mut in_progress = self.in_progress.borrow_mut();
        let is_current = |check: &&IdentityCheck| check.expected == *expected && check.epoch == epoch;
        if let Some(check) = in_progress.as_ref().filter(is_current) {
            return (check.clone(), None);
        }
        let (sender, result) = watch::channel(None);
        let check = IdentityCheck { expected: expected.clone(), epoch, started: clock::now(), result };
        *in_progress = Some(check.clone());
        (check.clone(), Some(PendingCheck { check, sender }))
    }

    /// Completes a check: records its result and passes it to the waiting requests.
    pub fn complete(&self, pending: PendingCheck, result: CheckResult) {
        let PendingCheck { check, sender } = pending;
        self.in_progress.borrow_mut().take_if(|current| current.result.same_channel(&check.result));
        if check.epoch == self.epoch.get() {
            *self.confirmed.borrow_mut() = match &result {
                CheckResult::Expected | CheckResult::Inconclusive => Some(check.expected),
                CheckResult::NotListening => None,
                CheckResult::Other(name) => name.clone(),
            };
        }
        // The waiting requests may have been dropped.
        let _ = sender.send(Some(result));
    }

    /// `instance` has responded to a request that was sent in `epoch`.
    pub fn confirm(&self, instance: &InstanceName, epoch: IdentityEpoch) {
        if epoch == self.epoch.get() && !self.is_confirmed(instance) {
            *self.confirmed.borrow_mut() = Some(instance.clone());
        }
    }
}
