//! How long an instance that the source does not list is believed.

use std::time::Duration;

use borsh::{BorshDeserialize, BorshSerialize};
use olivegate_types::Moment;

use crate::model::{Millis, Revision};

/// How long an entry that the source does not list is believed.
#[derive(Debug, Clone, Copy)]
pub struct HoldPolicy {
    /// Time after the source's return within which a live instance has written a lost entry
    /// again.
    pub rewritten_within: Duration,
    /// Time within which the gate of an instance whose entry went away says whether it lives.
    pub confirmed_within: Duration,
    /// Time that an instance which was met on its own machine takes to be listed.
    pub listed_within: Duration,
    /// Time within which an entry that nobody renews goes.
    pub lapses_within: Duration,
}

/// How the source fared when this node last read it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(super) enum SourceHealth {
    /// It answers.
    #[default]
    Calm,
    /// It does not answer this node.
    Away {
        /// When it answered another node meanwhile, for the first time that this one heard of.
        seen: Option<Moment>,
    },
    /// It was away and has answered again since then.
    Returned(Moment),
}

impl SourceHealth {
    /// How an entry that `removed` took away is believed now; `None` when it is gone.
    pub fn hold_of_missing(self, policy: HoldPolicy, removed: Revision, now: Moment) -> Option<Hold> {
        let unconfirmed = Hold { reason: HoldReason::Unconfirmed, until: now + policy.confirmed_within, removed };
        let lapsed = |at| Hold { reason: HoldReason::Lapsed, until: at + policy.rewritten_within, removed };
        let hold = match self {
            SourceHealth::Calm => unconfirmed,
            SourceHealth::Away { seen } => lapsed(seen.unwrap_or(now)),
            SourceHealth::Returned(at) if lapsed(at).until > unconfirmed.until => lapsed(at),
            SourceHealth::Returned(_) => unconfirmed,
        };
        (now < hold.until).then_some(hold)
    }
}

/// Why an instance is believed that the source does not list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum HoldReason {
    /// Its entry was found missing when the source came back.
    Lapsed,
    /// Its entry went away, and its gate has not yet said whether it lives.
    Unconfirmed,
    /// It was met on its own machine before it was listed.
    Met,
    /// The gate on its machine, which the source does not reach, attests that it lives.
    Attested,
}

/// An instance that the source does not list is believed for a while.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Hold {
    pub reason: HoldReason,
    pub until: Moment,
    /// The change that removed the entry; the default when it was not listed before.
    pub removed: Revision,
}

/// A hold as nodes pass it on: their clocks differ.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct PassedHold {
    /// Why the instance is believed.
    pub reason: HoldReason,
    /// How long it still is.
    pub left: Millis,
    /// The change that removed the entry; the default when it was not listed before.
    pub removed: Revision,
}

impl Hold {
    /// A hold that another node has told of.
    pub fn of_passed(passed: &PassedHold, now: Moment) -> Self {
        Hold { reason: passed.reason, until: now + passed.left.duration(), removed: passed.removed }
    }

    /// To be passed on.
    pub fn to_passed(self, now: Moment) -> PassedHold {
        PassedHold {
            reason: self.reason,
            left: Millis::from_duration(self.until.since(now)),
            removed: self.removed,
        }
    }

    /// True when it has ended. Nothing that was met can be listed while the source is away.
    pub fn is_over(self, source: SourceHealth, now: Moment) -> bool {
        let is_away = matches!(source, SourceHealth::Away { .. });
        let waits = self.reason == HoldReason::Met && is_away;
        now >= self.until && !waits
    }
}
