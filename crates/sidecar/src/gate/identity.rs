//! Which instance is known to answer at the address beside this node.
//!
//! An instance that ends makes room for another one at its address, under another name or its own.
//! Whatever shows such an end makes the gate ask who is there before it sends a request: one that is
//! sent to an instance which was not meant is rejected, but has used up one of the instances that
//! its route allows. An answer of the instance that a request names confirms it as well.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use olivegate_types::{InstanceName, Moment};
use tokio::sync::watch;

use crate::gate_protocol::Offer;
use olivegate_clock as clock;

/// Longest time that a question holds a request up.
const LONGEST_PATIENCE: Duration = Duration::from_millis(100);
/// Part of the target latency, and of the time that is left, that a request waits for a question.
const PATIENCE_PART: u32 = 10;

/// What the question who is there has found.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Found {
    /// The instance that was meant.
    Expected,
    /// Nothing shows that it is another one: it gave no answer, or one that does not say.
    Untold,
    /// No process: the port refuses connections.
    Nobody,
    /// Another instance, with its name where it said that.
    Other(Option<InstanceName>),
}

impl Found {
    /// Text of log lines and metrics.
    pub fn as_str(&self) -> &'static str {
        match self {
            Found::Expected => "expected",
            Found::Untold => "untold",
            Found::Nobody => "nobody",
            Found::Other(_) => "other",
        }
    }
}

/// How long a request of this target latency may be held up by a question, counted from when that was
/// asked: a small part of what it may take.
pub fn patience_within(target_latency: Duration, time_left: Duration) -> Duration {
    (target_latency.min(time_left) / PATIENCE_PART).min(LONGEST_PATIENCE)
}

/// How long `offer` may be held up by a question.
pub fn patience(offer: &Offer) -> Duration {
    let target_latency = Duration::from_millis(u64::from(offer.target_latency_ms));
    let time_left = Duration::from_millis(u64::from(offer.time_left_ms));
    patience_within(target_latency, time_left)
}

/// A count of doubts: what was learnt under an earlier one confirms nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Doubts(u64);

/// A question that is being asked; requests for the same instance share it.
#[derive(Debug, Clone)]
pub struct Question {
    /// The instance that is meant.
    pub expected: InstanceName,
    doubts: Doubts,
    asked: Moment,
    found: watch::Receiver<Option<Found>>,
}

impl Question {
    /// The answer, where it comes within `patience` of the asking.
    pub async fn found_within(mut self, patience: Duration) -> Option<Found> {
        let until = clock::instant_of(self.asked + patience);
        let told = tokio::time::timeout_at(until, self.found.wait_for(Option::is_some)).await;
        told.ok()?.ok()?.clone()
    }
}

/// The side of a question that tells its answer.
pub struct Asking {
    question: Question,
    found: watch::Sender<Option<Found>>,
}

impl Asking {
    /// The instance that is meant.
    pub fn expected(&self) -> &InstanceName {
        &self.question.expected
    }
}

/// What a gate knows of who is there.
#[derive(Debug, Default)]
pub struct InstanceIdentity {
    /// The instance that answered last, unless something has shown its end since.
    confirmed: RefCell<Option<InstanceName>>,
    doubts: Cell<Doubts>,
    asking: RefCell<Option<Question>>,
}

impl InstanceIdentity {
    /// True when `instance` is known to be there, or nobody could tell otherwise when it was asked.
    pub fn is_confirmed(&self, instance: &InstanceName) -> bool {
        self.confirmed.borrow().as_ref() == Some(instance)
    }

    /// Something shows that the instance has ended.
    pub fn doubt(&self) {
        self.doubts.set(Doubts(self.doubts.get().0 + 1));
        *self.confirmed.borrow_mut() = None;
    }

    /// Doubts until now.
    pub fn doubts(&self) -> Doubts {
        self.doubts.get()
    }

    /// The question whether `expected` is there: the one that is being asked, or a new one, with the
    /// side that has to be told its answer.
    pub fn question(&self, expected: &InstanceName) -> (Question, Option<Asking>) {
        let doubts = self.doubts.get();
        let mut asking = self.asking.borrow_mut();
        let is_asked = |asked: &&Question| asked.expected == *expected && asked.doubts == doubts;
        if let Some(asked) = asking.as_ref().filter(is_asked) {
            return (asked.clone(), None);
        }
        let (sender, found) = watch::channel(None);
        let question = Question { expected: expected.clone(), doubts, asked: clock::now(), found };
        *asking = Some(question.clone());
        (question.clone(), Some(Asking { question, found: sender }))
    }

    /// Learns the answer to a question and tells it to those who wait.
    pub fn learn(&self, asking: Asking, found: Found) {
        let Asking { question, found: told } = asking;
        self.asking.borrow_mut().take_if(|asked| asked.found.same_channel(&question.found));
        if question.doubts == self.doubts.get() {
            *self.confirmed.borrow_mut() = match &found {
                Found::Expected | Found::Untold => Some(question.expected),
                Found::Nobody => None,
                Found::Other(name) => name.clone(),
            };
        }
        // Those who asked may have left.
        let _ = told.send(Some(found));
    }

    /// `instance` has answered a request that was sent after these doubts.
    pub fn confirm(&self, instance: &InstanceName, doubts: Doubts) {
        if doubts == self.doubts.get() && !self.is_confirmed(instance) {
            *self.confirmed.borrow_mut() = Some(instance.clone());
        }
    }
}
