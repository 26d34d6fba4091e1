//! A slot of an instance while a request holds it, and what is learnt from its exchange.

use std::rc::Rc;
use std::time::Duration;

use olivegate_overload::TicketId;

use crate::gate::slots::{InstanceSlots, SAMPLE_WEIGHT};
use crate::gate_protocol::Offer;
use crate::reply::{Body, Failure, FailureReason, Response, ResponseFault};
use olivegate_clock as clock;

/// A slot in use; dropped when the exchange has ended, whichever way.
pub struct Slot {
    pub(super) slots: Rc<InstanceSlots>,
    pub(super) ticket: TicketId,
    /// The request was sent to the instance, or may have been.
    pub(super) is_sent: bool,
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.slots.release(self.ticket, self.is_sent);
    }
}

impl Slot {
    /// The slots that this one belongs to.
    pub fn slots(&self) -> &Rc<InstanceSlots> {
        &self.slots
    }

    /// The request is sent to the instance from now on.
    pub fn note_sent(&mut self) {
        self.is_sent = true;
    }

    /// Learns from an answer.
    pub fn note_answer(&mut self, offer: &Offer, fault: ResponseFault, used: Duration) {
        self.slots.note_failing(fault == ResponseFault::Instance);
        self.slots.sheds.note(false, clock::now());
        self.note_time(offer, used);
        let mut queue = self.slots.queue.borrow_mut();
        let in_flight = queue.in_flight();
        queue.limit_mut().on_success(in_flight);
    }

    /// Learns from an exchange without an answer.
    pub fn note_failure(&mut self, offer: &Offer, failure: Failure, used: Duration) {
        let now = clock::now();
        let is_instances_fault =
            !matches!(failure.reason, FailureReason::RequestBroken | FailureReason::RefusedByInstance);
        if is_instances_fault {
            self.slots.note_failing(true);
        }
        match failure.reason {
            // The gate never gives it more than it has slots for: it refuses for a reason of its
            // own, and would refuse as many with fewer requests in it.
            FailureReason::RefusedByInstance => self.slots.sheds.note(true, now),
            FailureReason::TimedOut => {
                self.note_time(offer, used);
                self.slots.queue.borrow_mut().limit_mut().on_failure(now);
            }
            _ => {}
        }
    }

    fn note_time(&self, offer: &Offer, used: Duration) {
        self.slots.expected.borrow_mut().record(&offer.route, used, clock::now());
        let target = f64::from(offer.target_latency_ms.max(1)) / 1_000.0;
        let mut slowness = self.slots.slowness.borrow_mut();
        *slowness = *slowness * (1.0 - SAMPLE_WEIGHT) + used.as_secs_f64() / target * SAMPLE_WEIGHT;
    }
}

/// The answer, with the slot kept until a body that is still to be read has ended.
pub fn holding(answer: Response, slot: Slot) -> Response {
    let Response { head, body, fault } = answer;
    let body = match body {
        Body::Whole(bytes) => Body::Whole(bytes),
        Body::Stream(pieces, length) => {
            let held = futures::StreamExt::map(pieces, move |piece| {
                let _slot = &slot;
                piece
            });
            Body::Stream(Box::pin(held), length)
        }
    };
    Response { head, body, fault }
}
