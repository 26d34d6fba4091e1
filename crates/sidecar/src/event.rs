//! Log lines about requests, bounded in volume.
//!
//! Each line is `event=NAME key=value ...`; docs/OPERATIONS.md lists names and fields. What
//! goes well is logged for a sample of requests, chosen by the request's id so that all nodes
//! choose the same ones. Refusals and failures are logged for every request. Each class has a
//! budget of lines a second; what is left out is counted and told.

use std::cell::Cell;
use std::hash::{DefaultHasher, Hash, Hasher};

use olivegate_types::Moment;

/// One request in so many is followed through all its decisions.
const SAMPLED_ONE_IN: u64 = 32;

/// Classes of lines about requests, each with a budget of its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogClass {
    /// A decision on the way of a sampled request.
    Routine,
    /// Something was refused; nothing is lost.
    Refusal,
    /// Something failed, or was given up.
    Failure,
}

/// Budgets by class, in lines a second.
const BUDGETS: [(LogClass, u32); 3] = [(LogClass::Routine, 40), (LogClass::Refusal, 30), (LogClass::Failure, 50)];

#[derive(Debug, Default)]
struct Budget {
    second: Cell<u64>,
    used: Cell<u32>,
    left_out: Cell<u64>,
}

/// Budgets of log lines about requests.
#[derive(Debug, Default)]
pub struct LogBudgets {
    budgets: [Budget; BUDGETS.len()],
}

/// True when the request with this id is followed through all its decisions.
pub fn is_sampled(request_id: &[u8]) -> bool {
    let mut hasher = DefaultHasher::new();
    request_id.hash(&mut hasher);
    hasher.finish().is_multiple_of(SAMPLED_ONE_IN)
}

impl LogBudgets {
    /// True when a line of `class` about this request may be written now. Says first how many
    /// were left out before.
    pub fn take(&self, class: LogClass, request_id: &[u8], now: Moment) -> bool {
        if class == LogClass::Routine && !is_sampled(request_id) {
            return false;
        }
        let index = class as usize;
        let (_, allowed) = BUDGETS[index];
        self.budgets[index].take(class, allowed, now)
    }
}

impl Budget {
    fn take(&self, class: LogClass, allowed: u32, now: Moment) -> bool {
        let second = now.since_start().as_secs();
        if self.second.replace(second) != second {
            self.used.set(0);
            let left_out = self.left_out.take();
            if left_out > 0 {
                log::warn!("event=lines_left_out class={class:?} count={left_out}");
            }
        }
        if self.used.get() < allowed {
            self.used.set(self.used.get() + 1);
            return true;
        }
        self.left_out.set(self.left_out.get() + 1);
        false
    }
}

/// An id as log lines show it.
pub fn display_id(request_id: &[u8]) -> std::borrow::Cow<'_, str> {
    String::from_utf8_lossy(request_id)
}
