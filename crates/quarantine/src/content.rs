//! What makes two requests the same.

use std::fmt;

use borsh::{BorshDeserialize, BorshSerialize};

/// Bytes of a digest that are shown: enough to tell the few contents that are suspected apart.
const SHOWN_BYTES: usize = 8;

/// Digest of what makes a request: method, path with query, calling service and body.
///
/// Id, deadline, other header fields and the framing of the body don't count. It is
/// cryptographic (BLAKE3), so that nobody can make a request which passes for another's.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, BorshSerialize, BorshDeserialize)]
pub struct ContentDigest(pub [u8; 32]);

impl ContentDigest {
    /// Digest of a request whose body is whole.
    pub fn of(method: &[u8], target: &[u8], caller: &[u8], body: &[u8]) -> Self {
        let mut hasher = ContentHasher::new(method, target, caller);
        hasher.update(body);
        hasher.finish()
    }
}

impl fmt::Display for ContentDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().take(SHOWN_BYTES).try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

impl fmt::Debug for ContentDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "ContentDigest({self})")
    }
}

/// A content that is suspected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct SuspectedContent {
    /// Its digest.
    pub digest: ContentDigest,
    /// Digest of its beginning, where the body came as a stream: what begins otherwise need not be
    /// read whole to be told apart.
    pub prefix: Option<ContentDigest>,
    /// True when a gate knows that instances have answered it before.
    pub was_answered: bool,
}

/// A digest whose body comes in pieces.
#[derive(Debug, Clone)]
pub struct ContentHasher(blake3::Hasher);

impl ContentHasher {
    /// Begins with the head. Each part goes in behind its length, so that no two heads make
    /// the same bytes.
    pub fn new(method: &[u8], target: &[u8], caller: &[u8]) -> Self {
        let mut hasher = blake3::Hasher::new();
        for part in [method, target, caller] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        ContentHasher(hasher)
    }

    /// Adds a piece of the body.
    pub fn update(&mut self, piece: &[u8]) {
        self.0.update(piece);
    }

    /// The digest of all that was added.
    pub fn finish(&self) -> ContentDigest {
        ContentDigest(*self.0.finalize().as_bytes())
    }
}
