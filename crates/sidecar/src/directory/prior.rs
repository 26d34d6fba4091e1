//! What a node knew of an instance before the source listed it anew.
//!
//! A source that came back from an older copy of itself lists instances as they were when the copy
//! was taken. What a node has learnt since of the same start of an instance outlasts that: one
//! that said that it leaves does not come back, and one whose entry went is used again only when it
//! has written to the source since, or its entry has stood for longer than a silent one does.

use crate::model::{Epoch, Instance, InstanceState};
use crate::source::ListedInstance;

/// What was known of an instance.
#[derive(Debug, Clone, Copy)]
pub(super) struct Prior<'a> {
    /// As it was listed last.
    pub instance: &'a Instance,
    /// Epoch in which that was learnt.
    pub epoch: Epoch,
    /// Its entry had gone.
    pub was_gone: bool,
}

/// How a listed entry is to be taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Taken {
    /// As it stands.
    AsListed,
    /// Not at all: it tells of an earlier start than the one that is known.
    Outdated,
    /// The instance has said that it leaves.
    StillLeaving,
    /// The entry had gone before the copy was put in place: it may be one that nobody renews.
    Doubted,
}

impl Prior<'_> {
    /// True when `listed` tells of a later start than the one that was known.
    pub fn has_restarted(self, listed: &ListedInstance) -> bool {
        self.instance.incarnation.is_before(listed.instance.incarnation)
    }

    /// How `listed` is to be taken.
    pub fn take(self, listed: &ListedInstance) -> Taken {
        let (known, told) = (self.instance.incarnation, listed.instance.incarnation);
        if told.is_before(known) {
            return Taken::Outdated;
        }
        if told.differs_from(known) {
            return Taken::AsListed;
        }
        let is_restored = listed.revision.epoch > self.epoch;
        let is_same_start = told == known && told.is_known();
        let was_leaving = self.instance.state == InstanceState::Draining;
        if was_leaving && (is_restored || is_same_start) {
            return Taken::StillLeaving;
        }
        if self.was_gone && is_restored { Taken::Doubted } else { Taken::AsListed }
    }
}
