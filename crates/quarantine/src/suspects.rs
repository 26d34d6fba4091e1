//! The contents that are suspected, and what follows for a request.

use std::collections::HashMap;
use std::time::Duration;

use olivegate_types::{InstanceName, Moment};

use crate::content::{ContentDigest, SuspectedContent};
use crate::policy::QuarantinePolicy;
use crate::report::{FatalRun, SuspectReport};
use crate::suspect::{Consequence, Suspect};

/// What follows for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Nothing is held against it.
    Allowed,
    /// It may run while no other suspect runs at the same instance.
    Isolated,
    /// It is held, but this one run of it may show that it is innocent; alone as well.
    Probe,
    /// It may not run.
    Held {
        /// When it may be let run again at the earliest, if nothing new is held against it.
        retry_after: Duration,
    },
}

/// The contents that a node suspects.
#[derive(Debug, Default)]
pub struct Suspects {
    contents: HashMap<ContentDigest, Suspect>,
}

/// A suspect as operators see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SuspectStatus {
    /// Ends that count against it.
    pub ends: u32,
    /// Time since the first of them.
    pub age: Duration,
    /// True when it is held.
    pub is_held: bool,
}

impl Suspects {
    /// True when nothing is remembered: requests need not be looked at.
    pub fn is_empty(&self) -> bool {
        self.contents.is_empty()
    }

    /// Contents that something is held against, and those of them that are held.
    pub fn counts(&self, policy: &QuarantinePolicy) -> (usize, usize) {
        let found = self.contents.values().map(|suspect| suspect.consequence(policy));
        let suspected = found.filter(|found| *found > Consequence::None);
        suspected.fold((0, 0), |(all, held), found| (all + 1, held + usize::from(found >= Consequence::Held)))
    }

    /// How a content stands; `None` when nothing is held against it.
    pub fn status(
        &self,
        policy: &QuarantinePolicy,
        content: &ContentDigest,
        now: Moment,
    ) -> Option<SuspectStatus> {
        let suspect = self.contents.get(content)?;
        let first = suspect.first_end()?;
        let is_held = suspect.consequence(policy) >= Consequence::Held;
        Some(SuspectStatus { ends: suspect.counted_ends(), age: now.since(first), is_held })
    }

    /// What follows for a request of `content` that has come. `may_probe` is true on the one node that
    /// lets a held content run to see whether it clears itself; such a run is noted.
    pub fn decide(
        &mut self,
        policy: &QuarantinePolicy,
        content: &ContentDigest,
        may_probe: bool,
        now: Moment,
    ) -> Decision {
        let Some(suspect) = self.contents.get_mut(content) else { return Decision::Allowed };
        match suspect.consequence(policy) {
            Consequence::None => return Decision::Allowed,
            Consequence::Alone => {
                suspect.note_seen(now);
                return Decision::Isolated;
            }
            Consequence::HeldForGood => {
                suspect.note_seen(now);
                return Decision::Held { retry_after: policy.memory };
            }
            Consequence::Held => suspect.note_seen(now),
        }
        let next_probe = suspect.next_probe(policy);
        if may_probe && now >= next_probe {
            suspect.note_probed(now);
            return Decision::Probe;
        }
        Decision::Held { retry_after: next_probe.since(now).max(Duration::from_secs(1)) }
    }

    /// True when a content whose body came as a stream is suspected.
    pub fn has_streamed(&self) -> bool {
        self.contents.values().any(|suspect| suspect.prefix.is_some() && !suspect.is_clear())
    }

    /// True when a suspected content begins like this.
    pub fn matches_prefix(&self, beginning: &ContentDigest) -> bool {
        self.beginning_with(beginning).next().is_some()
    }

    /// What follows for a request of which only the beginning is known.
    pub fn decide_by_prefix(&self, policy: &QuarantinePolicy, beginning: &ContentDigest) -> Decision {
        let found = self.beginning_with(beginning).map(|suspect| suspect.consequence(policy)).max();
        match found.unwrap_or(Consequence::None) {
            Consequence::None => Decision::Allowed,
            Consequence::Alone => Decision::Isolated,
            Consequence::Held | Consequence::HeldForGood => Decision::Held { retry_after: policy.probe_after },
        }
    }

    fn beginning_with(&self, beginning: &ContentDigest) -> impl Iterator<Item = &Suspect> {
        let suspects = self.contents.values().filter(|suspect| !suspect.is_clear());
        suspects.filter(move |suspect| suspect.prefix.as_ref() == Some(beginning))
    }

    /// Notes that `instance` ended with a run of `content`. True when that is news.
    pub fn note_end(
        &mut self,
        policy: &QuarantinePolicy,
        content: SuspectedContent,
        instance: &InstanceName,
        run: FatalRun,
    ) -> bool {
        let suspect = self.contents.entry(content.digest).or_insert_with(|| Suspect::new(run.ended));
        suspect.note_content(&content);
        let is_news = suspect.note_end(instance, run);
        self.make_room(policy);
        is_news
    }

    /// Notes that an instance answered a request of `content`. True when that clears it.
    pub fn note_answered(&mut self, content: &ContentDigest, now: Moment) -> bool {
        self.contents.get_mut(content).is_some_and(|suspect| suspect.note_answered(now))
    }

    /// Takes over what another node knows. True when that is news which changes what follows.
    pub fn merge(&mut self, policy: &QuarantinePolicy, report: &SuspectReport, now: Moment) -> bool {
        let known = self.contents.get_mut(&report.content.digest);
        let is_news = match known {
            Some(suspect) => suspect.merge(report, now),
            None => {
                let mut suspect = Suspect::new(report.seen.before(now));
                let is_news = suspect.merge(report, now);
                if !suspect.is_over(policy, now) {
                    self.contents.insert(report.content.digest, suspect);
                }
                is_news
            }
        };
        self.make_room(policy);
        is_news
    }

    /// What is known of `content`, to be told.
    pub fn report(&self, content: &ContentDigest, now: Moment) -> Option<SuspectReport> {
        self.contents.get(content).map(|suspect| suspect.report(*content, now))
    }

    /// All contents that are remembered, in a fixed order.
    pub fn contents(&self) -> Vec<ContentDigest> {
        self.contents_where(|_| true)
    }

    /// Those that are held.
    pub fn held_contents(&self, policy: &QuarantinePolicy) -> Vec<ContentDigest> {
        self.contents_where(|suspect| suspect.consequence(policy) >= Consequence::Held)
    }

    fn contents_where(&self, is_wanted: impl Fn(&Suspect) -> bool) -> Vec<ContentDigest> {
        let wanted = self.contents.iter().filter(|(_, suspect)| is_wanted(suspect));
        let mut contents: Vec<ContentDigest> = wanted.map(|(content, _)| *content).collect();
        contents.sort_unstable();
        contents
    }

    /// Forgets what is over.
    pub fn expire(&mut self, policy: &QuarantinePolicy, now: Moment) {
        self.contents.retain(|_, suspect| !suspect.is_over(policy, now));
    }

    fn make_room(&mut self, policy: &QuarantinePolicy) {
        while self.contents.len() > policy.max_contents {
            let least = self.contents.iter().min_by_key(|(content, suspect)| (suspect.weight(), **content));
            let Some(least) = least.map(|(content, _)| *content) else { return };
            self.contents.remove(&least);
        }
    }
}
