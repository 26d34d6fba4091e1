//! How the record of an instance affects an entry that the source lists anew.
//!
//! A source that was restored from a backup lists instances as they were when the backup was taken. What a
//! node has learned since about the same incarnation takes precedence: an instance that was leaving stays out
//! of use, and one whose entry was removed is used again only after it has written to the source since the
//! restore, or after its entry has outlived the expiry of an entry that is not renewed.
//!
//! Within an epoch the last write counts, also if it names an earlier start: the one before may have been another
//! writer's.

use crate::model::{Epoch, Instance, InstanceState};
use crate::source::ListedInstance;

/// What was known of an instance before it was listed anew.
#[derive(Debug, Clone, Copy)]
pub(super) struct PriorRecord<'a> {
    /// The instance as it was last listed.
    pub instance: &'a Instance,
    /// The epoch in which that was learned.
    pub epoch: Epoch,
    /// Its entry was removed.
    pub was_removed: bool,
}

/// How a listed entry is applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Disposition {
    /// Unchanged.
    AsListed,
    /// Not at all: it describes an earlier incarnation than the one known before the source was restored.
    Outdated,
    /// As draining: the instance was leaving.
    StillLeaving,
    /// Not used yet: the entry had been removed before the source was restored, and may not be renewed.
    Unverified,
}

impl PriorRecord<'_> {
    /// Returns true if `listed` describes another incarnation than the known one.
    pub fn has_restarted(self, listed: &ListedInstance) -> bool {
        self.instance.incarnation.differs_from(listed.instance.incarnation)
    }

    /// Decides how `listed` is applied.
    pub fn disposition_of(self, listed: &ListedInstance) -> Disposition {
        let (known, reported) = (self.instance.incarnation, listed.instance.incarnation);
        let is_restored = listed.revision.epoch > self.epoch;
        if is_restored && reported.is_before(known) {
            return Disposition::Outdated;
        }
        if reported.differs_from(known) {
            return Disposition::AsListed;
        }
        let is_same_incarnation = reported == known && reported.is_known();
        let was_leaving = self.instance.state == InstanceState::Draining;
        if was_leaving && (is_restored || is_same_incarnation) {
            return Disposition::StillLeaving;
        }
        if self.was_removed && is_restored { Disposition::Unverified } else { Disposition::AsListed }
    }
}
