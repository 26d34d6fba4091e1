//! Reports on suspected contents, exchanged between nodes. They contain ages instead of times, because
//! the clocks of the nodes differ.

use std::time::Duration;

use borsh::{BorshDeserialize, BorshSerialize};
use olivegate_types::{InstanceName, Moment};

use crate::content::SuspectedContent;

/// Age in whole milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Age(pub u32);

impl Age {
    /// Age at `now` of an event at `then`.
    pub fn of(then: Moment, now: Moment) -> Self {
        Age(u32::try_from(now.since(then).as_millis()).unwrap_or(u32::MAX))
    }

    /// Time of the event, on a clock that reads `now`.
    pub fn before(self, now: Moment) -> Moment {
        now.saturating_sub(Duration::from_millis(u64::from(self.0)))
    }
}

/// Run of a request during which its instance ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct FatalRun {
    /// Time at which the instance ended.
    pub ended: Moment,
    /// Time at which the run began.
    pub began: Moment,
}

/// End of an instance that was executing the content.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct ReportedEnd {
    /// Name of this start of the instance, which is never reused.
    pub instance: InstanceName,
    /// Time since the instance ended.
    pub ended: Age,
    /// Time since the run began.
    pub began: Age,
}

impl ReportedEnd {
    /// Report of the end of `instance`, made at `now`.
    pub fn of(instance: &InstanceName, run: FatalRun, now: Moment) -> Self {
        ReportedEnd { instance: instance.clone(), ended: Age::of(run.ended, now), began: Age::of(run.began, now) }
    }

    /// The run, with times on a clock that reads `now`.
    pub fn run(&self, now: Moment) -> FatalRun {
        FatalRun { ended: self.ended.before(now), began: self.began.before(now) }
    }
}

/// Knowledge of one node about a content.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct SuspectReport {
    /// The content.
    pub content: SuspectedContent,
    /// Instances that have ended with it since its last answer.
    pub ends: Vec<ReportedEnd>,
    /// Age of its last answer by an instance, if known.
    pub answered: Option<Age>,
    /// Age of its last probe run.
    pub probed: Option<Age>,
    /// Age of its last request.
    pub seen: Age,
}
