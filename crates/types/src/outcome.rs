//! What became of a request, and why one was refused.

use std::fmt;
use std::time::Duration;

use borsh::{BorshDeserialize, BorshSerialize};

/// What a caller is told about its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, BorshSerialize, BorshDeserialize)]
pub enum Outcome {
    /// A back end gave its answer.
    Ok,
    /// No back end started the request.
    NotRun,
    /// A back end ran the request and it failed.
    Failed,
    /// The request may or may not have run.
    Unknown,
}

impl Outcome {
    /// Text of the outcome header.
    pub fn as_str(self) -> &'static str {
        match self {
            Outcome::Ok => "ok",
            Outcome::NotRun => "not-run",
            Outcome::Failed => "failed",
            Outcome::Unknown => "unknown",
        }
    }

    /// Reads the text of the outcome header.
    pub fn parse(text: &str) -> Option<Self> {
        match text {
            "ok" => Some(Outcome::Ok),
            "not-run" => Some(Outcome::NotRun),
            "failed" => Some(Outcome::Failed),
            "unknown" => Some(Outcome::Unknown),
            _ => None,
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

/// Why a request was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, BorshSerialize, BorshDeserialize)]
pub enum RefusalReason {
    /// The class's admission level is below the request's shedding rank.
    AdmissionLevel,
    /// The predicted wait is longer than the objective or the deadline allows.
    PredictedWait,
    /// The wait in the queue lasted too long.
    QueueTimeout,
    /// A request of a higher class took its place in a full queue.
    Displaced,
    /// No live instance of the service is known.
    NoInstance,
    /// The instance is leaving.
    InstanceLeaving,
    /// The instance cannot be reached.
    InstanceUnreachable,
    /// The back end refused before starting.
    BackEndRefused,
    /// The node responsible for the instance cannot be reached.
    GateUnreachable,
    /// No majority of seats granted the claim.
    ClaimUnavailable,
    /// The deadline has passed or cannot be met.
    DeadlineExceeded,
    /// The chain is longer than the bundle allows.
    TooManyHops,
    /// The node has no bundle in force, is stopping, or its view is stale.
    NodeNotReady,
    /// The node's process does not keep up with its work.
    NodeOverloaded,
    /// It would be a repeat, and the budget of repeats is used up.
    RepeatBudget,
    /// Its key may have been withdrawn: the configuration is not proven to be young enough.
    KeysUnproven,
    /// Instances ended with the same content at work, and it may run only alone.
    SuspectWaits,
    /// Instances ended with the same content at work: it is not run.
    Quarantined,
    /// The instance takes no more requests a second than it gets.
    RateLimited,
}

impl RefusalReason {
    /// All reasons.
    pub const ALL: [RefusalReason; 19] = [
        RefusalReason::AdmissionLevel,
        RefusalReason::PredictedWait,
        RefusalReason::QueueTimeout,
        RefusalReason::Displaced,
        RefusalReason::NoInstance,
        RefusalReason::InstanceLeaving,
        RefusalReason::InstanceUnreachable,
        RefusalReason::BackEndRefused,
        RefusalReason::GateUnreachable,
        RefusalReason::ClaimUnavailable,
        RefusalReason::DeadlineExceeded,
        RefusalReason::TooManyHops,
        RefusalReason::NodeNotReady,
        RefusalReason::NodeOverloaded,
        RefusalReason::RepeatBudget,
        RefusalReason::KeysUnproven,
        RefusalReason::SuspectWaits,
        RefusalReason::Quarantined,
        RefusalReason::RateLimited,
    ];

    /// Text of the reason header and of log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            RefusalReason::AdmissionLevel => "admission-level",
            RefusalReason::PredictedWait => "predicted-wait",
            RefusalReason::QueueTimeout => "queue-timeout",
            RefusalReason::Displaced => "displaced",
            RefusalReason::NoInstance => "no-instance",
            RefusalReason::InstanceLeaving => "instance-leaving",
            RefusalReason::InstanceUnreachable => "instance-unreachable",
            RefusalReason::BackEndRefused => "back-end-refused",
            RefusalReason::GateUnreachable => "gate-unreachable",
            RefusalReason::ClaimUnavailable => "claim-unavailable",
            RefusalReason::DeadlineExceeded => "deadline-exceeded",
            RefusalReason::TooManyHops => "too-many-hops",
            RefusalReason::NodeNotReady => "node-not-ready",
            RefusalReason::NodeOverloaded => "node-overloaded",
            RefusalReason::RepeatBudget => "repeat-budget",
            RefusalReason::KeysUnproven => "keys-unproven",
            RefusalReason::SuspectWaits => "suspect-waits",
            RefusalReason::Quarantined => "quarantined",
            RefusalReason::RateLimited => "rate-limited",
        }
    }

    /// Reads the text of the reason header.
    pub fn parse(text: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|reason| reason.as_str() == text)
    }

    /// True when there was no room for the request: where fewer requests begin, more end well.
    pub fn is_capacity_shortage(self) -> bool {
        matches!(
            self,
            RefusalReason::PredictedWait
                | RefusalReason::QueueTimeout
                | RefusalReason::Displaced
                | RefusalReason::DeadlineExceeded
                | RefusalReason::NodeOverloaded
                | RefusalReason::RateLimited
        )
    }

    /// True when another instance may well take the request: the cause is the
    /// instance or its gate, not a lack of capacity.
    pub fn is_local_to_instance(self) -> bool {
        matches!(
            self,
            RefusalReason::InstanceLeaving
                | RefusalReason::InstanceUnreachable
                | RefusalReason::BackEndRefused
                | RefusalReason::GateUnreachable
        )
    }
}

impl fmt::Display for RefusalReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

/// A request that was not run, with the time after which the caller may come back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: RefusalReason,
    /// When to come back, before jitter.
    pub retry_after: Duration,
}

impl Refusal {
    /// A refusal for `reason` after which the caller may come back in `retry_after`.
    pub fn new(reason: RefusalReason, retry_after: Duration) -> Self {
        Refusal { reason, retry_after }
    }
}
