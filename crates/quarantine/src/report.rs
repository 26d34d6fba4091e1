//! What nodes tell each other of a content. Their clocks differ, so they tell ages.

use std::time::Duration;

use borsh::{BorshDeserialize, BorshSerialize};
use olivegate_types::{InstanceName, Moment};

use crate::content::SuspectedContent;

/// An age in whole milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Age(pub u32);

impl Age {
    /// The age at `now` of what was at `then`.
    pub fn of(then: Moment, now: Moment) -> Self {
        Age(u32::try_from(now.since(then).as_millis()).unwrap_or(u32::MAX))
    }

    /// When it was, for a node whose clock says `now`.
    pub fn before(self, now: Moment) -> Moment {
        now.saturating_sub(Duration::from_millis(u64::from(self.0)))
    }
}

/// A run of a content with which its instance ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct FatalRun {
    /// When the instance ended.
    pub ended: Moment,
    /// When the run began.
    pub began: Moment,
}

/// An instance that ended with the content at work in it.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct ReportedEnd {
    /// Name of this start of the instance; it never comes again.
    pub instance: InstanceName,
    /// How long ago it ended.
    pub ended: Age,
    /// How long ago the run began.
    pub began: Age,
}

impl ReportedEnd {
    /// What is told at `now` of the end of `instance`.
    pub fn of(instance: &InstanceName, run: FatalRun, now: Moment) -> Self {
        ReportedEnd { instance: instance.clone(), ended: Age::of(run.ended, now), began: Age::of(run.began, now) }
    }

    /// The run, for a node whose clock says `now`.
    pub fn run(&self, now: Moment) -> FatalRun {
        FatalRun { ended: self.ended.before(now), began: self.began.before(now) }
    }
}

/// What a node knows of a content.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct SuspectReport {
    /// The content.
    pub content: SuspectedContent,
    /// The instances that ended with it since it was answered last.
    pub ends: Vec<ReportedEnd>,
    /// When an instance answered it last, as far as that is known.
    pub answered: Option<Age>,
    /// When it was last let run to see whether it clears itself.
    pub probed: Option<Age>,
    /// When a request of it came last.
    pub seen: Age,
}
