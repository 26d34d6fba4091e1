//! How long an instance stays in use that the source does not list.

use std::time::Duration;

use borsh::{BorshDeserialize, BorshSerialize};
use olivegate_types::Moment;

use crate::model::{Millis, Revision};

/// How long an entry stays in use that the source does not list.
#[derive(Debug, Clone, Copy)]
pub struct RetentionPolicy {
    /// Time after the source recovers within which a live instance writes a lost entry again.
    pub rewritten_within: Duration,
    /// Time within which the gate of an instance whose entry was removed attests that it is alive or
    /// confirms the removal.
    pub confirmed_within: Duration,
    /// Time until an instance that was found on its own machine is listed.
    pub listed_within: Duration,
    /// Time within which an entry expires that its instance does not renew.
    pub expires_within: Duration,
}

/// Whether the source answers, according to this node's latest reads.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(super) enum SourceHealth {
    /// It answers.
    #[default]
    Healthy,
    /// It does not answer this node.
    Unreachable {
        /// When it answered another node since then, for the first time that this node heard of.
        answered_peer_at: Option<Moment>,
    },
    /// It was unreachable and answered again at this time.
    Recovered(Moment),
}

impl SourceHealth {
    /// Returns the retention of an entry that went missing with the change `removed`; `None` if it has none.
    pub fn retention_of_missing(
        self,
        policy: RetentionPolicy,
        removed: Revision,
        now: Moment,
    ) -> Option<Retention> {
        let unconfirmed =
            Retention { reason: RetentionReason::Unconfirmed, until: now + policy.confirmed_within, removed };
        let after_outage = |at| Retention {
            reason: RetentionReason::MissingAfterOutage,
            until: at + policy.rewritten_within,
            removed,
        };
        let retention = match self {
            SourceHealth::Healthy => unconfirmed,
            SourceHealth::Unreachable { answered_peer_at } => after_outage(answered_peer_at.unwrap_or(now)),
            SourceHealth::Recovered(at) if after_outage(at).until > unconfirmed.until => after_outage(at),
            SourceHealth::Recovered(_) => unconfirmed,
        };
        (now < retention.until).then_some(retention)
    }
}

/// Why an instance stays in use that the source does not list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum RetentionReason {
    /// Its entry was missing after an outage of the source.
    MissingAfterOutage,
    /// Its entry was removed, and its gate has not yet attested that it is alive or confirmed the removal.
    Unconfirmed,
    /// It was found on its own machine before it was listed.
    Observed,
    /// The gate on its machine, which is cut off from the source, attests that it is alive.
    Attested,
}

/// The limited time for which an unlisted instance stays in use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Retention {
    pub reason: RetentionReason,
    pub until: Moment,
    /// The change that removed the entry; the default if the instance was not listed before.
    pub removed: Revision,
}

/// A retention as nodes send it, with a duration because their clocks differ.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct WireRetention {
    /// Why the instance stays in use.
    pub reason: RetentionReason,
    /// For how long.
    pub remaining: Millis,
    /// The change that removed the entry; the default if the instance was not listed before.
    pub removed: Revision,
}

impl Retention {
    /// Converts a retention received from another node.
    pub fn from_wire(wire: &WireRetention, now: Moment) -> Self {
        Retention { reason: wire.reason, until: now + wire.remaining.duration(), removed: wire.removed }
    }

    /// Converts the retention for sending to another node.
    pub fn to_wire(self, now: Moment) -> WireRetention {
        WireRetention {
            reason: self.reason,
            remaining: Millis::from_duration(self.until.since(now)),
            removed: self.removed,
        }
    }

    /// Returns true if the retention has ended. One of an observed instance does not end while the source is
    /// unreachable, because the instance cannot be listed.
    pub fn is_expired(self, source: SourceHealth, now: Moment) -> bool {
        let is_unreachable = matches!(source, SourceHealth::Unreachable { .. });
        let waits = self.reason == RetentionReason::Observed && is_unreachable;
        now >= self.until && !waits
    }
}
