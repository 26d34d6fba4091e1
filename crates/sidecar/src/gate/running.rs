//! Registers a request while the instance runs it: calls that the instance makes meanwhile may belong to it.

use std::cell::RefCell;

use olivegate_types::Moment;

use crate::gate_protocol::Offer;
use crate::lineage::{Lineage, RunningKey, RunningRequest};
use olivegate_clock as clock;

/// Guard of a request that the instance is running; the request is unregistered when the guard is dropped.
pub struct RunningGuard<'a> {
    lineage: &'a RefCell<Lineage>,
    key: RunningKey,
}

impl<'a> RunningGuard<'a> {
    /// Registers the request of `offer`, which the instance begins to run.
    pub fn begin(lineage: &'a RefCell<Lineage>, offer: &Offer, deadline: Moment) -> Self {
        let retry_probability = if offer.is_retry { 1.0 } else { f64::from(offer.parent_retry_probability) };
        let request = RunningRequest {
            id: offer.request_id.clone(),
            deadline,
            retry_probability,
            hop: offer.hop,
            root: offer.root.clone(),
        };
        let key = lineage.borrow_mut().begin(request);
        RunningGuard { lineage, key }
    }

    /// Key of the request among the running ones.
    pub fn key(&self) -> RunningKey {
        self.key
    }
}

impl Drop for RunningGuard<'_> {
    fn drop(&mut self) {
        self.lineage.borrow_mut().end(self.key, clock::now());
    }
}
