//! Rate-limited log lines about requests.
//!
//! Each line is `event=NAME key=value ...`; docs/OPERATIONS.md lists names and fields. Successful decisions
//! are logged for a sample of requests, selected by request id so that all nodes select the same ones.
//! Refusals and failures are logged for every request. Each class has a budget of lines per second; lines
//! beyond it are dropped and their number is logged.

use std::cell::Cell;
use std::hash::{DefaultHasher, Hash, Hasher};

use olivegate_types::Moment;

/// One request in this many is sampled.
const SAMPLED_ONE_IN: u64 = 32;

/// Classes of log lines about requests, each with its own budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogClass {
    /// A decision about a sampled request.
    Routine,
    /// A refusal; nothing is lost.
    Refusal,
    /// A failure, or a request that was given up.
    Failure,
}

/// Budgets by class, in lines per second.
const BUDGETS: [(LogClass, u32); 3] = [(LogClass::Routine, 40), (LogClass::Refusal, 30), (LogClass::Failure, 50)];

#[derive(Debug, Default)]
struct Budget {
    second: Cell<u64>,
    used: Cell<u32>,
    dropped: Cell<u64>,
}

/// Budgets of the log lines about requests.
#[derive(Debug, Default)]
pub struct LogBudgets {
    budgets: [Budget; BUDGETS.len()],
}

/// Returns true if all decisions about the request with this id are logged.
pub fn is_sampled(request_id: &[u8]) -> bool {
    let mut hasher = DefaultHasher::new();
    request_id.hash(&mut hasher);
    hasher.finish().is_multiple_of(SAMPLED_ONE_IN)
}

impl LogBudgets {
    /// Returns true if a line of `class` about this request may be logged now. First logs how many were
    /// dropped before, if any.
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
            let dropped = self.dropped.take();
            if dropped > 0 {
                log::warn!("event=lines_left_out class={class:?} count={dropped}");
            }
        }
        if self.used.get() < allowed {
            self.used.set(self.used.get() + 1);
            return true;
        }
        self.dropped.set(self.dropped.get() + 1);
        false
    }
}

/// Formats a request id for log lines.
pub fn display_id(request_id: &[u8]) -> std::borrow::Cow<'_, str> {
    String::from_utf8_lossy(request_id)
}
