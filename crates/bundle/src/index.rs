//! Lookup tables that classify requests without a scan of all kinds.

use std::collections::HashMap;

use olivegate_types::{Digest, GroupName};

use crate::model::{Bundle, Group, Kind, Stamp};

/// A bundle in force with the lookup tables that each request needs.
#[derive(Debug)]
pub struct IndexedBundle {
    bundle: Bundle,
    stamp: Stamp,
    kinds_by_first_segment: HashMap<String, Vec<usize>>,
    groups_by_credential: HashMap<Option<Digest>, usize>,
    weights: HashMap<GroupName, u32>,
}

/// The first segment of a path, with its leading slash: `/loans/42` and `/loans?id=42` give `/loans`.
fn first_segment(path: &str) -> &str {
    let rest = path.get(1..).unwrap_or_default();
    let end = rest.find(['/', '?']).map_or(path.len(), |position| position + 1);
    &path[..end]
}

impl IndexedBundle {
    /// Builds the lookup tables of a bundle.
    pub fn new(bundle: Bundle) -> Self {
        let mut kinds_by_first_segment: HashMap<String, Vec<usize>> = HashMap::new();
        for (position, kind) in bundle.kinds.iter().enumerate() {
            let segment = first_segment(&kind.path_prefix).to_string();
            kinds_by_first_segment.entry(segment).or_default().push(position);
        }
        let groups = bundle.groups.iter().enumerate();
        let groups_by_credential = groups.map(|(position, group)| (group.credential, position)).collect();
        let weights = bundle.groups.iter().map(|group| (group.name.clone(), group.weight)).collect();
        let stamp = bundle.stamp();
        IndexedBundle { bundle, stamp, kinds_by_first_segment, groups_by_credential, weights }
    }

    /// The indexed bundle.
    pub fn bundle(&self) -> &Bundle {
        &self.bundle
    }

    /// Version and digest of the bundle.
    pub fn stamp(&self) -> Stamp {
        self.stamp
    }

    /// The kind of a request, by method and longest matching path prefix. A prefix of one
    /// segment matches only paths with exactly that first segment.
    pub fn classify(&self, method: &str, path: &str) -> Option<&Kind> {
        let positions = self.kinds_by_first_segment.get(first_segment(path))?;
        let kinds = positions.iter().map(|position| &self.bundle.kinds[*position]);
        let matching = kinds.filter(|kind| kind.method == method && path.starts_with(&kind.path_prefix));
        matching.max_by_key(|kind| kind.path_prefix.len())
    }

    /// The group whose callers present `credential`; without a credential, the group that needs none.
    pub fn group_of(&self, credential: Option<&[u8]>) -> Option<&Group> {
        let position = self.groups_by_credential.get(&credential.map(Digest::of))?;
        self.bundle.groups.get(*position)
    }

    /// Weight of a group; 1 when the group is not in the bundle.
    pub fn weight(&self, group: &GroupName) -> u32 {
        self.weights.get(group).copied().unwrap_or(1)
    }
}
