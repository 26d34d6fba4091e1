//! Retry credits of the root requests that this node admitted.

use std::collections::HashMap;

use olivegate_types::RequestId;

/// Remaining retry credits by root request. An entry exists while its request is in flight.
#[derive(Debug, Default)]
pub struct RetryLedger {
    remaining: HashMap<RequestId, u8>,
}

impl RetryLedger {
    /// Adds a root request with `credits` retries.
    pub fn open(&mut self, request: RequestId, credits: u8) {
        self.remaining.insert(request, credits);
    }

    /// Takes one credit; false if none is left or the request is not in flight here.
    pub fn take(&mut self, request: RequestId) -> bool {
        match self.remaining.get_mut(&request) {
            Some(credits) if *credits > 0 => {
                *credits -= 1;
                true
            }
            _ => false,
        }
    }

    /// Removes a root request that has its response.
    pub fn close(&mut self, request: RequestId) {
        self.remaining.remove(&request);
    }

    /// Number of root requests in flight.
    pub fn len(&self) -> usize {
        self.remaining.len()
    }

    /// True if no root request is in flight.
    pub fn is_empty(&self) -> bool {
        self.remaining.is_empty()
    }
}
