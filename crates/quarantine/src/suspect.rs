//! What is known of one content.

use std::time::Duration;

use olivegate_types::{InstanceName, Moment};

use crate::content::{ContentDigest, SuspectedContent};
use crate::policy::QuarantinePolicy;
use crate::report::{Age, FatalRun, ReportedEnd, SuspectReport};

/// By how much the times that two nodes tell of may be off against each other: the way of a datagram.
const TOLD_LATE: Duration = Duration::from_millis(10);
/// Ends that are remembered of one content: more change nothing.
const MOST_ENDS: usize = 8;
/// Time for which it is remembered that a content was answered: reports of earlier ends may still
/// be on their way.
const ANSWERED_MEMORY: Duration = Duration::from_secs(60);

/// What follows from the ends of a content.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Consequence {
    /// Nothing.
    None,
    /// It runs alone.
    Alone,
    /// It is held, but for a run once in a while.
    Held,
    /// It is held.
    HeldForGood,
}

/// One content under suspicion, or lately cleared.
#[derive(Debug, Clone)]
pub(crate) struct Suspect {
    /// Instances that ended with it at work, the earliest first.
    ends: Vec<(FatalRun, InstanceName)>,
    /// Digest of its beginning, where its body came as a stream.
    pub(crate) prefix: Option<ContentDigest>,
    /// Instances are known to have answered it.
    was_answered: bool,
    answered: Option<Moment>,
    probed: Option<Moment>,
    seen: Moment,
}

impl Suspect {
    pub(crate) fn new(now: Moment) -> Self {
        Suspect { ends: Vec::new(), prefix: None, was_answered: false, answered: None, probed: None, seen: now }
    }

    /// True when nothing is held against it.
    pub(crate) fn is_clear(&self) -> bool {
        self.ends.is_empty()
    }

    /// Ends that count: each of a run that began after the end that counted before it, and ended
    /// later. A cause from outside strikes many instances at once, and what all of them were running
    /// has no part in it.
    pub(crate) fn counted_ends(&self) -> u32 {
        let mut counted = 0;
        let mut last: Option<Moment> = None;
        for (run, _) in &self.ends {
            let is_later = |last: Moment| run.began + TOLD_LATE >= last && run.ended >= last + TOLD_LATE;
            if last.is_none_or(is_later) {
                counted += 1;
                last = Some(run.ended);
            }
        }
        counted
    }

    /// Ends that it takes to hold it.
    fn held_after(&self, policy: &QuarantinePolicy) -> u32 {
        policy.held_after + if self.was_answered { policy.extra_if_answered } else { 0 }
    }

    /// Ends that it takes to hold it for good.
    fn refused_after(&self, policy: &QuarantinePolicy) -> u32 {
        policy.refused_after + if self.was_answered { policy.extra_if_answered } else { 0 }
    }

    /// What follows from its ends.
    pub(crate) fn consequence(&self, policy: &QuarantinePolicy) -> Consequence {
        match self.counted_ends() {
            0 => Consequence::None,
            ends if ends < self.held_after(policy) => Consequence::Alone,
            ends if ends < self.refused_after(policy) => Consequence::Held,
            _ => Consequence::HeldForGood,
        }
    }

    /// Takes over what is known of its content.
    pub(crate) fn note_content(&mut self, content: &SuspectedContent) {
        self.prefix = self.prefix.or(content.prefix);
        self.was_answered |= content.was_answered;
    }

    /// When the first of the ends was.
    pub(crate) fn first_end(&self) -> Option<Moment> {
        self.ends.first().map(|(run, _)| run.ended)
    }

    /// Its place when room is needed: those with few ends go first, then those not seen for long.
    pub(crate) fn weight(&self) -> (u32, Moment) {
        (self.counted_ends(), self.seen)
    }

    /// Notes that an instance ended with it. True when that is news.
    pub(crate) fn note_end(&mut self, instance: &InstanceName, run: FatalRun) -> bool {
        if self.answered.is_some_and(|answered| answered >= run.ended) {
            return false;
        }
        if let Some((known, _)) = self.ends.iter_mut().find(|(_, known)| known == instance) {
            // Several requests of one content were in it: the first of them shows the least.
            known.began = known.began.min(run.began);
            return false;
        }
        let place = self.ends.partition_point(|(earlier, _)| *earlier <= run);
        self.ends.insert(place, (run, instance.clone()));
        if self.ends.len() > MOST_ENDS {
            self.ends.remove(0);
        }
        true
    }

    /// Notes that an instance answered it. True when that clears it of something.
    pub(crate) fn note_answered(&mut self, at: Moment) -> bool {
        let before = self.ends.len();
        self.was_answered = true;
        self.answered = self.answered.max(Some(at));
        self.ends.retain(|(run, _)| run.ended > at);
        self.ends.len() < before
    }

    pub(crate) fn note_seen(&mut self, at: Moment) {
        self.seen = self.seen.max(at);
    }

    pub(crate) fn note_probed(&mut self, at: Moment) {
        self.probed = self.probed.max(Some(at));
    }

    /// When it may next be let run to see whether it clears itself.
    pub(crate) fn next_probe(&self, policy: &QuarantinePolicy) -> Moment {
        self.last_end().max(self.probed).unwrap_or_default() + policy.probe_after
    }

    fn last_end(&self) -> Option<Moment> {
        self.ends.last().map(|(run, _)| run.ended)
    }

    /// True when it may be forgotten.
    pub(crate) fn is_over(&self, policy: &QuarantinePolicy, now: Moment) -> bool {
        let memory = if self.is_clear() { ANSWERED_MEMORY.min(policy.memory) } else { policy.memory };
        let last = Some(self.seen).max(self.last_end()).max(self.answered);
        now.since(last.unwrap_or_default()) >= memory
    }

    pub(crate) fn report(&self, digest: ContentDigest, now: Moment) -> SuspectReport {
        let ends = self.ends.iter().map(|(run, instance)| ReportedEnd::of(instance, *run, now));
        SuspectReport {
            content: SuspectedContent { digest, prefix: self.prefix, was_answered: self.was_answered },
            ends: ends.collect(),
            answered: self.answered.map(|at| Age::of(at, now)),
            probed: self.probed.map(|at| Age::of(at, now)),
            seen: Age::of(self.seen, now),
        }
    }

    /// Takes over what another node knows. True when that changes what follows for a request.
    pub(crate) fn merge(&mut self, report: &SuspectReport, now: Moment) -> bool {
        self.note_seen(report.seen.before(now));
        self.note_content(&report.content);
        if let Some(probed) = report.probed {
            self.note_probed(probed.before(now));
        }
        let mut is_news = false;
        if let Some(answered) = report.answered {
            is_news |= self.note_answered(answered.before(now));
        }
        for end in report.ends.iter().take(MOST_ENDS) {
            is_news |= self.note_end(&end.instance, end.run(now));
        }
        is_news
    }
}
