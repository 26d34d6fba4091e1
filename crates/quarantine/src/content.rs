//! Content of a request, by which repeated requests are recognized.

use std::fmt;

use borsh::{BorshDeserialize, BorshSerialize};

/// Number of digest bytes displayed: enough to distinguish the few suspected contents.
const DISPLAYED_BYTES: usize = 8;

/// Digest of the content of a request: method, path with query, calling service and body.
///
/// Request id, deadline, other header fields and the framing of the body are not part of it. The digest
/// is cryptographic (BLAKE3), so that nobody can forge a request that is mistaken for another one.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, BorshSerialize, BorshDeserialize)]
pub struct ContentDigest(pub [u8; 32]);

impl ContentDigest {
    /// Digest of a request with a complete body.
    pub fn of(method: &[u8], target: &[u8], caller: &[u8], body: &[u8]) -> Self {
        let mut hasher = ContentHasher::new(method, target, caller);
        hasher.update(body);
        hasher.finish()
    }
}

impl fmt::Display for ContentDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().take(DISPLAYED_BYTES).try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

impl fmt::Debug for ContentDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "ContentDigest({self})")
    }
}

/// A suspected request content.
#[derive(Debug, Clone, Copy, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct SuspectedContent {
    /// Digest of the content.
    pub digest: ContentDigest,
    /// Digest of the content up to a prefix of the body, if the body was streamed: a request with another
    /// prefix is ruled out without reading its whole body.
    pub prefix: Option<ContentDigest>,
    /// True when a gate knows that instances have answered this content before.
    pub was_answered: bool,
}

/// Computes the digest of a request whose body arrives in chunks.
#[derive(Debug, Clone)]
pub struct ContentHasher(blake3::Hasher);

impl ContentHasher {
    /// Starts with the request head. Each field is prefixed with its length, so that no two heads hash the
    /// same bytes.
    pub fn new(method: &[u8], target: &[u8], caller: &[u8]) -> Self {
        let mut hasher = blake3::Hasher::new();
        for field in [method, target, caller] {
            hasher.update(&(field.len() as u64).to_le_bytes());
            hasher.update(field);
        }
        ContentHasher(hasher)
    }

    /// Adds a chunk of the body.
    pub fn update(&mut self, chunk: &[u8]) {
        self.0.update(chunk);
    }

    /// Digest of everything added so far.
    pub fn finish(&self) -> ContentDigest {
        ContentDigest(*self.0.finalize().as_bytes())
    }
}
