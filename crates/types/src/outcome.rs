//! Outcomes of requests and reasons for refusals.

use std::fmt;
use std::time::Duration;

use borsh::{BorshDeserialize, BorshSerialize};

/// Outcome of a request as reported to its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, BorshSerialize, BorshDeserialize)]
pub enum Outcome {
    /// A back end answered.
    Ok,
    /// No back end started the request.
    NotRun,
    /// A back end ran the request and it failed.
    Failed,
    /// The request may or may not have run.
    Unknown,
}

impl Outcome {
    /// The value of the outcome header.
    pub fn as_str(self) -> &'static str {
        match self {
            Outcome::Ok => "ok",
            Outcome::NotRun => "not-run",
            Outcome::Failed => "failed",
            Outcome::Unknown => "unknown",
        }
    }

    /// Parses the value of the outcome header.
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
    /// The admission level of the class is not above the request's shedding rank.
    AdmissionLevel,
    /// The predicted wait is longer than the objective or the deadline allows.
    PredictedWait,
    /// The request waited in the queue for too long.
    QueueTimeout,
    /// Another request took its place in a full queue: one of a higher class, or one of the same class whose
    /// group has less waiting for its weight.
    Displaced,
    /// No live instance of the service is known.
    NoInstance,
    /// The instance is about to stop.
    InstanceLeaving,
    /// The instance cannot be reached.
    InstanceUnreachable,
    /// The back end refused the request before starting it.
    BackEndRefused,
    /// The node responsible for the instance cannot be reached.
    GateUnreachable,
    /// No majority of the seats granted the at-most-once claim.
    ClaimUnavailable,
    /// The deadline has passed or cannot be met.
    DeadlineExceeded,
    /// The call chain is longer than the bundle allows.
    TooManyHops,
    /// The node has no bundle in force, is stopping, or its view of the cluster is stale.
    NodeNotReady,
    /// The node's process does not keep up with its load.
    NodeOverloaded,
    /// The request would be a retry, and the retry budget is used up.
    RepeatBudget,
    /// The caller's API key may have been withdrawn: the configuration is not proven to be recent enough.
    KeysUnproven,
    /// Instances terminated while they ran the same content, which may therefore run only in isolation.
    SuspectWaits,
    /// Instances terminated while they ran the same content, which is therefore not run.
    Quarantined,
    /// The instance already gets as many requests per second as it accepts.
    RateLimited,
}

impl RefusalReason {
    /// All reasons, in declaration order.
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

    /// The text in the reason header and in log lines.
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

    /// Parses the value of the reason header.
    pub fn parse(text: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|reason| reason.as_str() == text)
    }

    /// True if there was no capacity for the request, so that more requests succeed if fewer are admitted.
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

    /// True if another instance may be able to serve the request: the cause is the instance or its gate, not
    /// a lack of capacity.
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

/// Refusal of a request that was not run, with the delay after which the caller may retry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Why the request was refused.
    pub reason: RefusalReason,
    /// Delay after which the caller may retry, before jitter.
    pub retry_after: Duration,
}

impl Refusal {
    /// A refusal for `reason` after which the caller may retry in `retry_after`.
    pub fn new(reason: RefusalReason, retry_after: Duration) -> Self {
        Refusal { reason, retry_after }
    }
}
