//! A request for as long as the instance runs it: calls that the instance makes meanwhile may be its own.

use std::cell::RefCell;

use olivegate_types::Moment;

use crate::gate_protocol::Offer;
use crate::lineage::{Lineage, RunningKey, RunningRequest};
use olivegate_clock as clock;

/// A request that the instance runs; dropped when it does no more.
pub struct Running<'a> {
    lineage: &'a RefCell<Lineage>,
    key: RunningKey,
}

impl<'a> Running<'a> {
    /// The instance begins to run the request of `offer`.
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
        Running { lineage, key }
    }

    /// What names it among those that run.
    pub fn key(&self) -> RunningKey {
        self.key
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.lineage.borrow_mut().end(self.key, clock::now());
    }
}
