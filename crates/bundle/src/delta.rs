//! Differences between two versions.
//!
//! A delta carries the signatures of the version it leads to, so a node checks it
//! exactly as it checks a whole bundle: apply to the parent, compare the digest,
//! verify the sign-off.

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
    /// Digest of the bundle that the changes apply to.
    pub parent: Digest,
    /// Version and digest of the result.
    pub result: Stamp,
    /// The changes.
    pub changes: Vec<Change>,
    /// Signatures over `result`.
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

/// Records in `changes` how the list `new` differs from `old`; both are sorted by name.
fn list_changes<T: PartialEq + Clone, N: Ord + Clone>(
    old: &[T],
    new: &[T],
    name: impl Fn(&T) -> &N,
    set: impl Fn(T) -> Change,
    remove: impl Fn(N) -> Change,
    changes: &mut Vec<Change>,
) {
    let find = |list: &[T], wanted: &T| list.binary_search_by(|item| name(item).cmp(name(wanted)));
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

/// The changes that lead from `old` to `new`, besides version and parent.
pub fn changes_between(old: &Bundle, new: &Bundle) -> Vec<Change> {
    let mut changes = Vec::new();
    if old.objective != new.objective {
        changes.push(Change::Objective(new.objective));
    }
    if old.limits != new.limits {
        changes.push(Change::Limits(new.limits));
    }
    list_changes(&old.groups, &new.groups, |g| &g.name, Change::SetGroup, Change::RemoveGroup, &mut changes);
    list_changes(
        &old.services,
        &new.services,
        |s| &s.name,
        Change::SetService,
        Change::RemoveService,
        &mut changes,
    );
    list_changes(&old.kinds, &new.kinds, |k| &k.name, Change::SetKind, Change::RemoveKind, &mut changes);
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
    /// `result`; `None` when `signed` names another parent.
    pub fn between(parent: &Bundle, parent_stamp: Stamp, signed: &SignedBundle, result: Stamp) -> Option<Self> {
        let parent_digest = parent_stamp.digest;
        (signed.bundle.parent == parent_digest).then(|| BundleDelta {
            parent: parent_digest,
            result,
            changes: changes_between(parent, &signed.bundle),
            signatures: signed.signatures.clone(),
        })
    }

    /// Applies the changes to `parent`, whose stamp is `parent_stamp`; fails unless the
    /// result has the named digest.
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
