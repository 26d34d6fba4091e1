//! State of one suspected content.

use std::time::Duration;

use olivegate_types::{InstanceName, Moment};

use crate::content::{ContentDigest, SuspectedContent};
use crate::policy::QuarantinePolicy;
use crate::report::{Age, FatalRun, ReportedEnd, SuspectReport};

/// Maximum difference between the times that two nodes report for one event: the transit time of a
/// datagram.
const MAX_TIME_ERROR: Duration = Duration::from_millis(10);
/// Maximum number of ends remembered per content. With the default policy more would not change the
/// restriction; a threshold above this, including the ends added for an answered content, is never reached.
const MAX_ENDS: usize = 8;
/// Time for which a cleared content is kept: reports of ends before its answer may still arrive.
const ANSWERED_RETENTION: Duration = Duration::from_secs(60);

/// Restriction that follows from the ends of a content, from the least to the most strict.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Restriction {
    /// No restriction.
    None,
    /// Runs only while no other suspect runs at the same instance.
    Isolated,
    /// Held, except for occasional probe runs.
    Held,
    /// Held without probe runs.
    HeldWithoutProbes,
}

/// A suspected or recently cleared content.
#[derive(Debug, Clone)]
pub(crate) struct Suspect {
    /// Instances that ended while executing it, earliest first.
    ends: Vec<(FatalRun, InstanceName)>,
    /// Digest of its prefix, if its body was streamed.
    pub(crate) prefix: Option<ContentDigest>,
    /// True when instances are known to have answered it.
    was_answered: bool,
    last_answered: Option<Moment>,
    last_probed: Option<Moment>,
    last_seen: Moment,
}

impl Suspect {
    pub(crate) fn new(now: Moment) -> Self {
        Suspect {
            ends: Vec::new(),
            prefix: None,
            was_answered: false,
            last_answered: None,
            last_probed: None,
            last_seen: now,
        }
    }

    /// True when no end is recorded.
    pub(crate) fn is_clear(&self) -> bool {
        self.ends.is_empty()
    }

    /// Number of ends that count: an end counts if its run began after the previous counted end, and ended
    /// later than that. An external cause ends many instances at once, and the contents that they were
    /// executing are not to blame.
    pub(crate) fn counted_ends(&self) -> u32 {
        let mut counted = 0;
        let mut last: Option<Moment> = None;
        for (run, _) in &self.ends {
            let is_later = |last: Moment| run.began + MAX_TIME_ERROR >= last && run.ended >= last + MAX_TIME_ERROR;
            if last.is_none_or(is_later) {
                counted += 1;
                last = Some(run.ended);
            }
        }
        counted
    }

    /// Number of ends after which it is held.
    fn held_after(&self, policy: &QuarantinePolicy) -> u32 {
        policy.held_after + if self.was_answered { policy.extra_if_answered } else { 0 }
    }

    /// Number of ends after which it is held without probe runs.
    fn refused_after(&self, policy: &QuarantinePolicy) -> u32 {
        policy.refused_after + if self.was_answered { policy.extra_if_answered } else { 0 }
    }

    /// Restriction that follows from its ends.
    pub(crate) fn restriction(&self, policy: &QuarantinePolicy) -> Restriction {
        match self.counted_ends() {
            0 => Restriction::None,
            ends if ends < self.held_after(policy) => Restriction::Isolated,
            ends if ends < self.refused_after(policy) => Restriction::Held,
            _ => Restriction::HeldWithoutProbes,
        }
    }

    /// Merges what is known about its content.
    pub(crate) fn note_content(&mut self, content: &SuspectedContent) {
        self.prefix = self.prefix.or(content.prefix);
        self.was_answered |= content.was_answered;
    }

    /// Time of the first recorded end.
    pub(crate) fn first_end(&self) -> Option<Moment> {
        self.ends.first().map(|(run, _)| run.ended)
    }

    /// Rank in the order of eviction: fewest ends first, then longest unseen.
    pub(crate) fn eviction_rank(&self) -> (u32, Moment) {
        (self.counted_ends(), self.last_seen)
    }

    /// Records the end of an instance that was executing it. True when the end is new.
    pub(crate) fn note_end(&mut self, instance: &InstanceName, run: FatalRun) -> bool {
        if self.last_answered.is_some_and(|answered| answered >= run.ended) {
            return false;
        }
        if let Some((known, _)) = self.ends.iter_mut().find(|(_, known)| known == instance) {
            // The instance was executing several requests of this content: the earliest run is the
            // weakest evidence against it.
            known.began = known.began.min(run.began);
            return false;
        }
        let place = self.ends.partition_point(|(earlier, _)| *earlier <= run);
        self.ends.insert(place, (run, instance.clone()));
        if self.ends.len() > MAX_ENDS {
            self.ends.remove(0);
        }
        true
    }

    /// Records an answer by an instance. True when that clears any ends.
    pub(crate) fn note_answered(&mut self, at: Moment) -> bool {
        let before = self.ends.len();
        self.was_answered = true;
        self.last_answered = self.last_answered.max(Some(at));
        self.ends.retain(|(run, _)| run.ended > at);
        self.ends.len() < before
    }

    pub(crate) fn note_seen(&mut self, at: Moment) {
        self.last_seen = self.last_seen.max(at);
    }

    pub(crate) fn note_probed(&mut self, at: Moment) {
        self.last_probed = self.last_probed.max(Some(at));
    }

    /// Earliest time of the next probe run.
    pub(crate) fn next_probe(&self, policy: &QuarantinePolicy) -> Moment {
        self.last_end().max(self.last_probed).unwrap_or_default() + policy.probe_after
    }

    fn last_end(&self) -> Option<Moment> {
        self.ends.last().map(|(run, _)| run.ended)
    }

    /// True once its retention time has passed.
    pub(crate) fn is_expired(&self, policy: &QuarantinePolicy, now: Moment) -> bool {
        let retention = if self.is_clear() { ANSWERED_RETENTION.min(policy.memory) } else { policy.memory };
        let last = Some(self.last_seen).max(self.last_end()).max(self.last_answered);
        now.since(last.unwrap_or_default()) >= retention
    }

    pub(crate) fn report(&self, digest: ContentDigest, now: Moment) -> SuspectReport {
        let ends = self.ends.iter().map(|(run, instance)| ReportedEnd::of(instance, *run, now));
        SuspectReport {
            content: SuspectedContent { digest, prefix: self.prefix, was_answered: self.was_answered },
            ends: ends.collect(),
            answered: self.last_answered.map(|at| Age::of(at, now)),
            probed: self.last_probed.map(|at| Age::of(at, now)),
            seen: Age::of(self.last_seen, now),
        }
    }

    /// Merges the report of another node. True when that adds or clears ends.
    pub(crate) fn merge(&mut self, report: &SuspectReport, now: Moment) -> bool {
        self.note_seen(report.seen.before(now));
        self.note_content(&report.content);
        if let Some(probed) = report.probed {
            self.note_probed(probed.before(now));
        }
        let mut is_new = false;
        if let Some(answered) = report.answered {
            is_new |= self.note_answered(answered.before(now));
        }
        for end in report.ends.iter().take(MAX_ENDS) {
            is_new |= self.note_end(&end.instance, end.run(now));
        }
        is_new
    }
}
