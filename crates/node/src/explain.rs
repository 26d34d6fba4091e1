//! A bounded log of the decisions that this node made about recent requests.

use std::collections::VecDeque;
use std::fmt;
use std::time::Duration;

use olivegate_types::{GroupName, InstanceName, KindName, NodeName, Outcome, RefusalReason, RequestId};

/// Maximum number of decisions kept.
const MAX_DECISIONS: usize = 16_384;

/// One decision about a request.
#[derive(Debug, Clone)]
pub enum Decision {
    /// The request was classified and admitted at its root.
    Admitted {
        /// Kind.
        kind: KindName,
        /// Group.
        group: GroupName,
    },
    /// It was refused.
    Refused {
        /// Reason of the refusal.
        reason: RefusalReason,
    },
    /// An instance was chosen.
    Sent {
        /// The instance.
        instance: InstanceName,
        /// Node that dispatches to it.
        gate: NodeName,
        /// Number of the attempt.
        attempt: u32,
    },
    /// It got a slot.
    Dispatched {
        /// The instance.
        instance: InstanceName,
        /// Time waited for the slot.
        waited: Duration,
    },
    /// A retry was granted or denied.
    Retry {
        /// True when a credit was granted.
        granted: bool,
    },
    /// The claim on its key was decided.
    Claim {
        /// True when it was granted.
        granted: bool,
    },
    /// It was answered.
    Answered {
        /// Outcome reported to the caller.
        outcome: Outcome,
        /// HTTP status.
        status: u16,
    },
}

impl fmt::Display for Decision {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Decision::Admitted { kind, group } => write!(formatter, "decision=admitted kind={kind} group={group}"),
            Decision::Refused { reason } => write!(formatter, "decision=refused reason={reason}"),
            Decision::Sent { instance, gate, attempt } => {
                write!(formatter, "decision=sent instance={instance} gate={gate} attempt={attempt}")
            }
            Decision::Dispatched { instance, waited } => {
                write!(formatter, "decision=dispatched instance={instance} waited_us={}", waited.as_micros())
            }
            Decision::Retry { granted } => write!(formatter, "decision=retry granted={granted}"),
            Decision::Claim { granted } => write!(formatter, "decision=claim granted={granted}"),
            Decision::Answered { outcome, status } => {
                write!(formatter, "decision=answered outcome={outcome} status={status}")
            }
        }
    }
}

/// The most recent decisions; the oldest is dropped when the log is full.
#[derive(Debug, Default)]
pub struct DecisionLog {
    entries: VecDeque<(RequestId, u64, u8, Decision)>,
}

impl DecisionLog {
    /// Records a decision made at `unix_ms` about a request at `hop`.
    pub fn record(&mut self, request: RequestId, unix_ms: u64, hop: u8, decision: Decision) {
        if self.entries.len() >= MAX_DECISIONS {
            self.entries.pop_front();
        }
        self.entries.push_back((request, unix_ms, hop, decision));
    }

    /// The decisions about one request, one line each.
    pub fn lines(&self, request: RequestId, node: &NodeName) -> Vec<String> {
        let matching = self.entries.iter().filter(|(id, ..)| *id == request);
        matching.map(|(_, at, hop, decision)| format!("unix_ms={at} node={node} hop={hop} {decision}")).collect()
    }
}
