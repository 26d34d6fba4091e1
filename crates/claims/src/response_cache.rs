//! Answers kept by the edge that ran a request, for repeats of the same key.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use borsh::{BorshDeserialize, BorshSerialize};
use olivegate_types::Moment;

use crate::message::ClaimKey;

/// Largest kept body, in bytes.
pub const MAX_CACHED_BODY: usize = 64 << 10;
/// Most kept answers.
const MAX_ANSWERS: usize = 4096;

/// A whole answer.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct CachedResponse {
    /// HTTP status.
    pub status: u16,
    /// Content type, empty when there was none.
    pub content_type: String,
    /// Whole body.
    pub body: Vec<u8>,
}

/// Bounded answers by key.
#[derive(Debug, Default)]
pub struct ResponseCache {
    answers: HashMap<ClaimKey, (CachedResponse, Moment)>,
    order: VecDeque<ClaimKey>,
}

impl ResponseCache {
    /// Keeps a whole answer for `memory`.
    pub fn insert(&mut self, key: ClaimKey, answer: CachedResponse, memory: Duration, now: Moment) {
        if answer.body.len() > MAX_CACHED_BODY {
            return;
        }
        if self.answers.insert(key, (answer, now + memory)).is_none() {
            self.order.push_back(key);
        }
        self.drop_old(now);
    }

    fn drop_old(&mut self, now: Moment) {
        while let Some(oldest) = self.order.front() {
            let expired = self.answers.get(oldest).is_none_or(|(_, until)| *until <= now);
            if !expired && self.order.len() <= MAX_ANSWERS {
                return;
            }
            self.answers.remove(oldest);
            self.order.pop_front();
        }
    }

    /// The answer of `key`, if it is still held.
    pub fn get(&self, key: &ClaimKey, now: Moment) -> Option<CachedResponse> {
        let (answer, until) = self.answers.get(key)?;
        (*until > now).then(|| answer.clone())
    }
}
