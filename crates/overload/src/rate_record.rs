//! What is known of the rate that one start of an instance declares.

use crate::declared_rate::DeclaredRate;

/// What the node beside an instance knows of the rate that it declares.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct RateRecord {
    rate: Option<DeclaredRate>,
}

/// A change of the declared rate.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateChange {
    /// The rate before; `None` where none was declared.
    pub before: Option<DeclaredRate>,
    /// The rate now.
    pub now: Option<DeclaredRate>,
}

impl RateRecord {
    /// The declared rate; `None` where the instance declares none.
    pub fn rate(&self) -> Option<DeclaredRate> {
        self.rate
    }

    /// An answer declared `rate`, or none. The change that this makes, if it does.
    pub fn on_answer(&mut self, rate: Option<DeclaredRate>) -> Option<RateChange> {
        let before = std::mem::replace(&mut self.rate, rate);
        (before != rate).then_some(RateChange { before, now: rate })
    }
}
