//! Responses cached by the edge that ran a request, for retries with the same idempotency key.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use borsh::{BorshDeserialize, BorshSerialize};
use olivegate_types::Moment;

use crate::message::ClaimKey;

/// Maximum size of a cached body, in bytes.
pub const MAX_CACHED_BODY: usize = 64 << 10;
/// Maximum number of cached responses.
const MAX_RESPONSES: usize = 4096;

/// A complete response.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct CachedResponse {
    /// HTTP status code.
    pub status: u16,
    /// Value of `content-type`; empty when the response had none.
    pub content_type: String,
    /// Complete body.
    pub body: Vec<u8>,
}

/// Bounded cache of responses by claim key.
#[derive(Debug, Default)]
pub struct ResponseCache {
    responses: HashMap<ClaimKey, (CachedResponse, Moment)>,
    insertion_order: VecDeque<ClaimKey>,
}

impl ResponseCache {
    /// Caches a response for `retention`. Responses with a body over [`MAX_CACHED_BODY`] are not
    /// cached.
    pub fn insert(&mut self, key: ClaimKey, response: CachedResponse, retention: Duration, now: Moment) {
        if response.body.len() > MAX_CACHED_BODY {
            return;
        }
        if self.responses.insert(key, (response, now + retention)).is_none() {
            self.insertion_order.push_back(key);
        }
        self.evict(now);
    }

    fn evict(&mut self, now: Moment) {
        while let Some(oldest) = self.insertion_order.front() {
            let expired = self.responses.get(oldest).is_none_or(|(_, until)| *until <= now);
            if !expired && self.insertion_order.len() <= MAX_RESPONSES {
                return;
            }
            self.responses.remove(oldest);
            self.insertion_order.pop_front();
        }
    }

    /// The response cached for `key`, unless it expired or was evicted.
    pub fn get(&self, key: &ClaimKey, now: Moment) -> Option<CachedResponse> {
        let (response, until) = self.responses.get(key)?;
        (*until > now).then(|| response.clone())
    }
}
