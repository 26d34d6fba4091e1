//! Local retry budget: a fixed ratio of retries to the successes seen by this node.

/// Credit per success, in thousandths of a retry.
const CREDIT_PER_SUCCESS: u32 = 100;
/// Cost of one retry, in thousandths.
const COST_PER_RETRY: u32 = 1_000;
/// Largest balance, in thousandths; bounds the burst of retries after a quiet period.
const MAX_BALANCE: u32 = 20_000;

/// Allows about one retry per ten successes, in bursts of at most twenty.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    balance: u32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        RetryBudget { balance: MAX_BALANCE }
    }
}

impl RetryBudget {
    /// Records a success.
    pub fn on_success(&mut self) {
        self.balance = MAX_BALANCE.min(self.balance + CREDIT_PER_SUCCESS);
    }

    /// Takes the cost of one retry; false if the budget is exhausted.
    pub fn try_take(&mut self) -> bool {
        match self.balance.checked_sub(COST_PER_RETRY) {
            Some(balance) => {
                self.balance = balance;
                true
            }
            None => false,
        }
    }
}
