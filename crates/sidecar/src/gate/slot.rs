//! A slot of an instance held by a request, and what the instance's state learns from the exchange.

use std::rc::Rc;
use std::time::Duration;

use olivegate_overload::TicketId;

use crate::gate::slots::{InstanceSlots, SAMPLE_WEIGHT};
use crate::gate_protocol::Offer;
use crate::reply::{Body, Failure, FailureReason, Response, ResponseFault};
use olivegate_clock as clock;

/// A slot in use. Dropping it frees the slot, however the exchange ended.
pub struct Slot {
    pub(super) slots: Rc<InstanceSlots>,
    pub(super) ticket: TicketId,
    /// True when the request has been sent to the instance, or may have been.
    pub(super) is_sent: bool,
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.slots.release(self.ticket, self.is_sent);
    }
}

impl Slot {
    /// The instance's slots that this one belongs to.
    pub fn slots(&self) -> &Rc<InstanceSlots> {
        &self.slots
    }

    /// Records that the request is being sent to the instance.
    pub fn note_sent(&mut self) {
        self.is_sent = true;
    }

    /// Updates the statistics and the limit from a response.
    pub fn note_response(&mut self, offer: &Offer, fault: ResponseFault, elapsed: Duration) {
        self.slots.note_outcome(fault == ResponseFault::Instance);
        self.slots.shedding.note(false, clock::now());
        self.note_time(offer, elapsed);
        let mut queue = self.slots.queue.borrow_mut();
        let in_flight = queue.in_flight();
        queue.limit_mut().on_success(in_flight);
    }

    /// Updates the statistics and the limit from an exchange without a response.
    pub fn note_failure(&mut self, offer: &Offer, failure: Failure, elapsed: Duration) {
        let now = clock::now();
        let is_instance_fault =
            !matches!(failure.reason, FailureReason::RequestBroken | FailureReason::RefusedByInstance);
        if is_instance_fault {
            self.slots.note_outcome(true);
        }
        match failure.reason {
            // Doesn't lower the limit: the gate never sends more requests than the instance has slots, so the
            // instance has another reason and would refuse as many with fewer requests in flight.
            FailureReason::RefusedByInstance => self.slots.shedding.note(true, now),
            FailureReason::TimedOut => {
                self.note_time(offer, elapsed);
                self.slots.queue.borrow_mut().limit_mut().on_failure(now);
            }
            _ => {}
        }
    }

    fn note_time(&self, offer: &Offer, elapsed: Duration) {
        self.slots.expected_times.borrow_mut().record(&offer.route, elapsed, clock::now());
        let target = f64::from(offer.target_latency_ms.max(1)) / 1_000.0;
        let mut latency_ratio = self.slots.latency_ratio.borrow_mut();
        *latency_ratio = *latency_ratio * (1.0 - SAMPLE_WEIGHT) + elapsed.as_secs_f64() / target * SAMPLE_WEIGHT;
    }
}

/// Returns the response, keeping the slot until the end of a streamed body.
pub fn hold_until_read(response: Response, slot: Slot) -> Response {
    let Response { head, body, fault } = response;
    let body = match body {
        Body::Whole(bytes) => Body::Whole(bytes),
        Body::Stream(pieces, length) => {
            let held_pieces = futures::StreamExt::map(pieces, move |piece| {
                let _slot = &slot;
                piece
            });
            Body::Stream(Box::pin(held_pieces), length)
        }
    };
    Response { head, body, fault }
}
