//! Classification of requests without scanning all kinds.

use std::collections::HashMap;

use olivegate_types::{Digest, GroupName};

use crate::model::{Bundle, Group, Kind, Stamp};

/// A bundle in force with the look-up tables that each request needs.
#[derive(Debug)]
pub struct IndexedBundle {
    bundle: Bundle,
    stamp: Stamp,
    kinds_by_first_segment: HashMap<String, Vec<usize>>,
    groups_by_credential: HashMap<Option<Digest>, usize>,
    weights: HashMap<GroupName, u32>,
}

/// The part of a path up to its second slash: `/loans/42` gives `/loans`.
fn first_segment(path: &str) -> &str {
    let rest = path.get(1..).unwrap_or_default();
    let end = rest.find(['/', '?']).map_or(path.len(), |position| position + 1);
    &path[..end]
}

impl IndexedBundle {
    /// Indexes a bundle.
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

    /// The bundle.
    pub fn bundle(&self) -> &Bundle {
        &self.bundle
    }

    /// Its version and digest.
    pub fn stamp(&self) -> Stamp {
        self.stamp
    }

    /// The kind of a request, by method and longest path prefix. A prefix without a
    /// second slash matches whole first segments only.
    pub fn classify(&self, method: &str, path: &str) -> Option<&Kind> {
        let positions = self.kinds_by_first_segment.get(first_segment(path))?;
        let kinds = positions.iter().map(|position| &self.bundle.kinds[*position]);
        let matching = kinds.filter(|kind| kind.method == method && path.starts_with(&kind.path_prefix));
        matching.max_by_key(|kind| kind.path_prefix.len())
    }

    /// The group that presents `credential`; without one, the group that needs none.
    pub fn group_of(&self, credential: Option<&[u8]>) -> Option<&Group> {
        let position = self.groups_by_credential.get(&credential.map(Digest::of))?;
        self.bundle.groups.get(*position)
    }

    /// Weight of a group; 1 when the group is not in the bundle.
    pub fn weight(&self, group: &GroupName) -> u32 {
        self.weights.get(group).copied().unwrap_or(1)
    }
}
