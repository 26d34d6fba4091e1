//! Log lines about requests, bounded in volume.
//!
//! Failures and refusals are logged within a budget of lines a second; what is left out is
//! counted and told. Everything else about single requests is logged at debug level.

use std::cell::Cell;

use olivegate_types::Moment;

/// Lines about failed or refused requests in one second.
const LINES_PER_SECOND: u32 = 60;

/// Budget of log lines about requests.
#[derive(Debug, Default)]
pub struct LineBudget {
    second: Cell<u64>,
    used: Cell<u32>,
    left_out: Cell<u64>,
}

impl LineBudget {
    /// True when a line may be written now. Says first how many were left out before.
    pub fn take(&self, now: Moment) -> bool {
        let second = now.since_start().as_secs();
        if self.second.replace(second) != second {
            self.used.set(0);
            let left_out = self.left_out.take();
            if left_out > 0 {
                log::warn!("event=lines_left_out count={left_out}");
            }
        }
        if self.used.get() < LINES_PER_SECOND {
            self.used.set(self.used.get() + 1);
            return true;
        }
        self.left_out.set(self.left_out.get() + 1);
        false
    }
}
