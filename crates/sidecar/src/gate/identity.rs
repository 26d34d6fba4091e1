//! Which instance is known to answer at the address beside this node.
//!
//! An instance that ends makes room for another one at its address, under another name or its own.
//! Whatever shows such an end makes the gate ask who is there before it sends a request: one that is
//! sent to an instance which was not meant is rejected, but has used up one of the instances that
//! its route allows.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use olivegate_types::InstanceName;
use tokio::sync::OnceCell;

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

/// A question that is being asked; requests for the same instance share it.
#[derive(Debug, Clone)]
pub struct Question {
    expected: InstanceName,
    doubts: u64,
    found: Rc<OnceCell<Found>>,
}

impl Question {
    /// Where the answer is put by whoever asks first.
    pub fn found(&self) -> &OnceCell<Found> {
        &self.found
    }
}

/// What a gate knows of who is there.
#[derive(Debug, Default)]
pub struct InstanceIdentity {
    /// The instance that answered last, unless something has shown its end since.
    confirmed: RefCell<Option<InstanceName>>,
    /// How often it was doubted: an answer from before a doubt confirms nothing.
    doubts: Cell<u64>,
    asking: RefCell<Option<Question>>,
}

impl InstanceIdentity {
    /// True when `instance` is known to be there, or nobody could tell otherwise when it was asked.
    pub fn is_confirmed(&self, instance: &InstanceName) -> bool {
        self.confirmed.borrow().as_ref() == Some(instance)
    }

    /// Something shows that the instance has ended.
    pub fn doubt(&self) {
        self.doubts.set(self.doubts.get() + 1);
        *self.confirmed.borrow_mut() = None;
    }

    /// The question whether `expected` is there: the one that is being asked, or a new one.
    pub fn question(&self, expected: &InstanceName) -> Question {
        let doubts = self.doubts.get();
        let mut asking = self.asking.borrow_mut();
        let current = asking.as_ref().filter(|asked| asked.expected == *expected && asked.doubts == doubts);
        let question =
            current.cloned().unwrap_or(Question { expected: expected.clone(), doubts, found: Rc::default() });
        *asking = Some(question.clone());
        question
    }

    /// Learns the answer to `question`.
    pub fn learn(&self, question: &Question, found: &Found) {
        self.asking.borrow_mut().take_if(|asked| Rc::ptr_eq(&asked.found, &question.found));
        if question.doubts != self.doubts.get() {
            return;
        }
        *self.confirmed.borrow_mut() = match found {
            Found::Expected | Found::Untold => Some(question.expected.clone()),
            Found::Nobody => None,
            Found::Other(name) => name.clone(),
        };
    }
}
