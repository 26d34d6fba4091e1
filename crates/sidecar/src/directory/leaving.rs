//! Instances that announced in their responses that they are leaving.
//!
//! Such an announcement takes precedence over the source, which may hear of it later or never. It applies to
//! one incarnation: an instance that restarts under its name has not announced anything.

use std::collections::HashMap;
use std::time::Duration;

use olivegate_types::{InstanceName, Moment};

use crate::model::{Incarnation, Instance};

/// How long an announcement is kept for an instance that is not listed.
const NOTICE_MEMORY: Duration = Duration::from_secs(60);

#[derive(Debug, Clone, Copy)]
struct LeavingNotice {
    incarnation: Incarnation,
    at: Moment,
}

/// The instances that announced that they are leaving.
#[derive(Debug, Default)]
pub(super) struct LeavingNotices {
    notices: HashMap<InstanceName, LeavingNotice>,
}

impl LeavingNotices {
    /// Records that this incarnation of the instance `name` is leaving. Returns false if that was known
    /// already.
    pub(super) fn note(&mut self, name: &InstanceName, incarnation: Incarnation, now: Moment) -> bool {
        if self.has_announced(name, incarnation) {
            return false;
        }
        self.notices.insert(name.clone(), LeavingNotice { incarnation, at: now });
        true
    }

    /// Fills in the incarnation of an instance whose incarnation was unknown when it announced its leaving.
    pub(super) fn set_incarnation(&mut self, instance: &Instance) {
        let notice = self.notices.get_mut(&instance.name).filter(|notice| !notice.incarnation.is_known());
        if let Some(notice) = notice {
            notice.incarnation = instance.incarnation;
        }
    }

    /// Returns true if this incarnation of the instance `name`, or a later one, announced that it is leaving.
    pub(super) fn has_announced(&self, name: &InstanceName, incarnation: Incarnation) -> bool {
        self.notices.get(name).is_some_and(|notice| !notice.incarnation.is_before(incarnation))
    }

    /// Drops old announcements of instances for which `is_known` returns false.
    pub(super) fn prune(&mut self, now: Moment, is_known: impl Fn(&InstanceName) -> bool) {
        self.notices.retain(|name, notice| is_known(name) || now.since(notice.at) < NOTICE_MEMORY);
    }
}
