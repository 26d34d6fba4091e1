//! Rendezvous (highest-random-weight) hashing.

/// Weight of `member` for `key`.
fn weight(key: &str, member: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(key.as_bytes());
    hasher.update(&[0]);
    hasher.update(member.as_bytes());
    let hash = hasher.finalize();
    let mut first = [0; 8];
    first.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_be_bytes(first)
}

/// The member responsible for `key`; the same on every node that has the same members.
pub fn owner<'a, T>(
    key: &str,
    members: impl IntoIterator<Item = &'a T>,
    name: impl Fn(&T) -> &str,
) -> Option<&'a T> {
    members.into_iter().max_by_key(|member| (weight(key, name(member)), name(member).to_string()))
}

/// The `count` members with the largest weights for `key`, best first.
pub fn owners<'a, T>(
    key: &str,
    members: impl IntoIterator<Item = &'a T>,
    name: impl Fn(&T) -> &str,
    count: usize,
) -> Vec<&'a T> {
    let mut ranked: Vec<&T> = members.into_iter().collect();
    ranked.sort_by_key(|member| std::cmp::Reverse(weight(key, name(member))));
    ranked.truncate(count);
    ranked
}
