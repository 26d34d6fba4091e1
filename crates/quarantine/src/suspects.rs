//! The suspected contents, and the decision on a request.

use std::collections::HashMap;
use std::time::Duration;

use olivegate_types::{InstanceName, Moment};

use crate::content::{ContentDigest, SuspectedContent};
use crate::policy::QuarantinePolicy;
use crate::report::{FatalRun, SuspectReport};
use crate::suspect::{Restriction, Suspect};

/// Decision on a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// It is not suspected.
    Allowed,
    /// It may run while no other suspect runs at the same instance.
    Isolated,
    /// Its content is held, but this probe run may clear it; as with `Isolated`, no other suspect may run.
    Probe,
    /// It must not run.
    Held {
        /// Minimum delay until it may run again, if no further end is recorded.
        retry_after: Duration,
    },
}

/// Contents that a node suspects or has recently cleared.
#[derive(Debug, Default)]
pub struct Suspects {
    contents: HashMap<ContentDigest, Suspect>,
}

/// State of a suspect, for log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SuspectStatus {
    /// Number of ends that count.
    pub ends: u32,
    /// Time since the first recorded end.
    pub age: Duration,
    /// True when it is held.
    pub is_held: bool,
}

impl Suspects {
    /// True when no content is remembered, so that requests need no check.
    pub fn is_empty(&self) -> bool {
        self.contents.is_empty()
    }

    /// Number of restricted contents, and the number of those that are held.
    pub fn counts(&self, policy: &QuarantinePolicy) -> (usize, usize) {
        let restrictions = self.contents.values().map(|suspect| suspect.restriction(policy));
        let suspected = restrictions.filter(|restriction| *restriction > Restriction::None);
        suspected.fold((0, 0), |(all, held), restriction| {
            (all + 1, held + usize::from(restriction >= Restriction::Held))
        })
    }

    /// Status of a content; `None` when it is not suspected.
    pub fn status(
        &self,
        policy: &QuarantinePolicy,
        content: &ContentDigest,
        now: Moment,
    ) -> Option<SuspectStatus> {
        let suspect = self.contents.get(content)?;
        let first = suspect.first_end()?;
        let is_held = suspect.restriction(policy) >= Restriction::Held;
        Some(SuspectStatus { ends: suspect.counted_ends(), age: now.since(first), is_held })
    }

    /// Decides on a new request with `content`. `may_probe` is true on the one node that makes the probe
    /// runs of a held content; a probe run is recorded here.
    pub fn decide(
        &mut self,
        policy: &QuarantinePolicy,
        content: &ContentDigest,
        may_probe: bool,
        now: Moment,
    ) -> Decision {
        let Some(suspect) = self.contents.get_mut(content) else { return Decision::Allowed };
        match suspect.restriction(policy) {
            Restriction::None => return Decision::Allowed,
            Restriction::Isolated => {
                suspect.note_seen(now);
                return Decision::Isolated;
            }
            Restriction::HeldWithoutProbes => {
                suspect.note_seen(now);
                return Decision::Held { retry_after: policy.memory };
            }
            Restriction::Held => suspect.note_seen(now),
        }
        let next_probe = suspect.next_probe(policy);
        if may_probe && now >= next_probe {
            suspect.note_probed(now);
            return Decision::Probe;
        }
        Decision::Held { retry_after: next_probe.since(now).max(Duration::from_secs(1)) }
    }

    /// True when a content with a streamed body is suspected.
    pub fn has_streamed(&self) -> bool {
        self.contents.values().any(|suspect| suspect.prefix.is_some() && !suspect.is_clear())
    }

    /// True when a suspected content has this prefix.
    pub fn matches_prefix(&self, prefix: &ContentDigest) -> bool {
        self.with_prefix(prefix).next().is_some()
    }

    /// Decides on a request of which only the prefix is known.
    pub fn decide_by_prefix(&self, policy: &QuarantinePolicy, prefix: &ContentDigest) -> Decision {
        let strictest = self.with_prefix(prefix).map(|suspect| suspect.restriction(policy)).max();
        match strictest.unwrap_or(Restriction::None) {
            Restriction::None => Decision::Allowed,
            Restriction::Isolated => Decision::Isolated,
            Restriction::Held | Restriction::HeldWithoutProbes => {
                Decision::Held { retry_after: policy.probe_after }
            }
        }
    }

    fn with_prefix(&self, prefix: &ContentDigest) -> impl Iterator<Item = &Suspect> {
        let suspects = self.contents.values().filter(|suspect| !suspect.is_clear());
        suspects.filter(move |suspect| suspect.prefix.as_ref() == Some(prefix))
    }

    /// Records that `instance` ended during a run of `content`. True when the end is new.
    pub fn note_end(
        &mut self,
        policy: &QuarantinePolicy,
        content: SuspectedContent,
        instance: &InstanceName,
        run: FatalRun,
    ) -> bool {
        let suspect = self.contents.entry(content.digest).or_insert_with(|| Suspect::new(run.ended));
        suspect.note_content(&content);
        let is_new = suspect.note_end(instance, run);
        self.evict_excess(policy);
        is_new
    }

    /// Records that an instance answered a request with `content`. True when that clears any ends.
    pub fn note_answered(&mut self, content: &ContentDigest, now: Moment) -> bool {
        self.contents.get_mut(content).is_some_and(|suspect| suspect.note_answered(now))
    }

    /// Merges the report of another node. True when that adds or clears ends.
    pub fn merge(&mut self, policy: &QuarantinePolicy, report: &SuspectReport, now: Moment) -> bool {
        let known = self.contents.get_mut(&report.content.digest);
        let is_new = match known {
            Some(suspect) => suspect.merge(report, now),
            None => {
                let mut suspect = Suspect::new(report.seen.before(now));
                let is_new = suspect.merge(report, now);
                if !suspect.is_expired(policy, now) {
                    self.contents.insert(report.content.digest, suspect);
                }
                is_new
            }
        };
        self.evict_excess(policy);
        is_new
    }

    /// Report on `content` for other nodes.
    pub fn report(&self, content: &ContentDigest, now: Moment) -> Option<SuspectReport> {
        self.contents.get(content).map(|suspect| suspect.report(*content, now))
    }

    /// All remembered contents, in a fixed order.
    pub fn contents(&self) -> Vec<ContentDigest> {
        self.contents_where(|_| true)
    }

    /// Contents that are held, in a fixed order.
    pub fn held_contents(&self, policy: &QuarantinePolicy) -> Vec<ContentDigest> {
        self.contents_where(|suspect| suspect.restriction(policy) >= Restriction::Held)
    }

    fn contents_where(&self, is_wanted: impl Fn(&Suspect) -> bool) -> Vec<ContentDigest> {
        let wanted = self.contents.iter().filter(|(_, suspect)| is_wanted(suspect));
        let mut contents: Vec<ContentDigest> = wanted.map(|(content, _)| *content).collect();
        contents.sort_unstable();
        contents
    }

    /// Removes contents whose retention time has passed.
    pub fn expire(&mut self, policy: &QuarantinePolicy, now: Moment) {
        self.contents.retain(|_, suspect| !suspect.is_expired(policy, now));
    }

    fn evict_excess(&mut self, policy: &QuarantinePolicy) {
        while self.contents.len() > policy.max_contents {
            let evicted =
                self.contents.iter().min_by_key(|(content, suspect)| (suspect.eviction_rank(), **content));
            let Some(evicted) = evicted.map(|(content, _)| *content) else { return };
            self.contents.remove(&evicted);
        }
    }
}
