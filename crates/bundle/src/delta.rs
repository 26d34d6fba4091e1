//! Deltas between two versions of a bundle.
//!
//! A delta carries the signatures of the version that results from it. So a node checks it as it
//! checks a whole bundle: it applies the delta to the parent, compares the digest and verifies
//! the sign-off.

use std::fmt;

use borsh::{BorshDeserialize, BorshSerialize};
use olivegate_types::{Digest, GroupName, KindName, ServiceName};

use crate::error::BundleError;
use crate::model::{Bundle, Group, Kind, Limits, Objective, Service, Stamp};
use crate::sign::{Signature, SignedBundle};

/// One difference between a bundle and its parent.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum Change {
    /// The objective is replaced.
    Objective(Objective),
    /// The limits are replaced.
    Limits(Limits),
    /// A group is added or replaced.
    SetGroup(Group),
    /// A group is removed.
    RemoveGroup(GroupName),
    /// A service is added or replaced.
    SetService(Service),
    /// A service is removed.
    RemoveService(ServiceName),
    /// A kind is added or replaced.
    SetKind(Kind),
    /// A kind is removed.
    RemoveKind(KindName),
}

/// A signed version, expressed as changes against its parent.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct BundleDelta {
    /// Digest of the parent, to which the changes apply.
    pub parent: Digest,
    /// Version and digest of the resulting bundle.
    pub result: Stamp,
    /// Changes against the parent.
    pub changes: Vec<Change>,
    /// Operators' signatures over `result`.
    pub signatures: Vec<Signature>,
}

impl fmt::Display for Change {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Change::Objective(objective) => write!(formatter, "set objective {objective:?}"),
            Change::Limits(limits) => write!(formatter, "set limits {limits:?}"),
            Change::SetGroup(group) => write!(formatter, "set group {} weight={}", group.name, group.weight),
            Change::RemoveGroup(name) => write!(formatter, "remove group {name}"),
            Change::SetService(service) => write!(formatter, "set service {service:?}"),
            Change::RemoveService(name) => write!(formatter, "remove service {name}"),
            Change::SetKind(kind) => write!(formatter, "set kind {kind:?}"),
            Change::RemoveKind(name) => write!(formatter, "remove kind {name}"),
        }
    }
}

/// Appends the differences between the lists `old` and `new` to `changes`. Both are sorted by name.
fn diff_lists<T: PartialEq + Clone, N: Ord + Clone>(
    old: &[T],
    new: &[T],
    name: impl Fn(&T) -> &N,
    set: impl Fn(T) -> Change,
    remove: impl Fn(N) -> Change,
    changes: &mut Vec<Change>,
) {
    let find = |list: &[T], target: &T| list.binary_search_by(|item| name(item).cmp(name(target)));
    for item in old {
        if find(new, item).is_err() {
            changes.push(remove(name(item).clone()));
        }
    }
    for item in new {
        if find(old, item).map(|position| &old[position]) != Ok(item) {
            changes.push(set(item.clone()));
        }
    }
}

/// The changes from `old` to `new`, except for the version and the parent.
pub fn changes_between(old: &Bundle, new: &Bundle) -> Vec<Change> {
    let mut changes = Vec::new();
    if old.objective != new.objective {
        changes.push(Change::Objective(new.objective));
    }
    if old.limits != new.limits {
        changes.push(Change::Limits(new.limits));
    }
    diff_lists(&old.groups, &new.groups, |g| &g.name, Change::SetGroup, Change::RemoveGroup, &mut changes);
    diff_lists(&old.services, &new.services, |s| &s.name, Change::SetService, Change::RemoveService, &mut changes);
    diff_lists(&old.kinds, &new.kinds, |k| &k.name, Change::SetKind, Change::RemoveKind, &mut changes);
    changes
}

fn apply_change(bundle: &mut Bundle, change: &Change) {
    match change {
        Change::Objective(objective) => bundle.objective = *objective,
        Change::Limits(limits) => bundle.limits = *limits,
        Change::SetGroup(group) => {
            bundle.groups.retain(|other| other.name != group.name);
            bundle.groups.push(group.clone());
        }
        Change::RemoveGroup(name) => bundle.groups.retain(|group| group.name != *name),
        Change::SetService(service) => {
            bundle.services.retain(|other| other.name != service.name);
            bundle.services.push(service.clone());
        }
        Change::RemoveService(name) => bundle.services.retain(|service| service.name != *name),
        Change::SetKind(kind) => {
            bundle.kinds.retain(|other| other.name != kind.name);
            bundle.kinds.push(kind.clone());
        }
        Change::RemoveKind(name) => bundle.kinds.retain(|kind| kind.name != *name),
    }
}

impl BundleDelta {
    /// The delta from `parent`, whose stamp is `parent_stamp`, to `signed`, whose stamp is
    /// `result`. `None` when `signed` has another parent.
    pub fn between(parent: &Bundle, parent_stamp: Stamp, signed: &SignedBundle, result: Stamp) -> Option<Self> {
        let parent_digest = parent_stamp.digest;
        (signed.bundle.parent == parent_digest).then(|| BundleDelta {
            parent: parent_digest,
            result,
            changes: changes_between(parent, &signed.bundle),
            signatures: signed.signatures.clone(),
        })
    }

    /// Applies the changes to `parent`, whose stamp is `parent_stamp`. Fails unless the resulting
    /// bundle has the stamp [`BundleDelta::result`].
    pub fn apply(&self, parent: &Bundle, parent_stamp: Stamp) -> Result<SignedBundle, BundleError> {
        if parent_stamp.digest != self.parent {
            return Err(BundleError::ParentNotInForce { version: self.result.version });
        }
        let mut bundle = parent.clone();
        bundle.version = self.result.version;
        bundle.parent = self.parent;
        for change in &self.changes {
            apply_change(&mut bundle, change);
        }
        bundle.sort();
        if bundle.stamp() != self.result {
            return Err(BundleError::DigestMismatch);
        }
        Ok(SignedBundle { bundle, signatures: self.signatures.clone() })
    }
}
