//! Retry budget.

/// Retries earned by one first try, in thousandths. Keeps retry amplification at 1.1.
const EARNED_MILLI: u64 = 100;
const RETRY_MILLI: u64 = 1_000;
/// Most retries that can be saved up. Bounds the burst after a long time without failures.
const SAVED_MILLI: u64 = 100 * RETRY_MILLI;

/// Token bucket that limits retries to a tenth of the first tries.
///
/// It starts empty: a freshly started entry must not add retries to an overload that it has just
/// joined, and the ratio holds from the first request.
#[derive(Debug, Default)]
pub struct RetryBudget {
    saved_milli: u64,
}

impl RetryBudget {
    /// Records a first try.
    pub fn earn(&mut self) {
        self.saved_milli = (self.saved_milli + EARNED_MILLI).min(SAVED_MILLI);
    }

    /// Takes one retry from the budget; tells whether it was allowed.
    pub fn spend(&mut self) -> bool {
        match self.saved_milli.checked_sub(RETRY_MILLI) {
            Some(remaining) => {
                self.saved_milli = remaining;
                true
            }
            None => false,
        }
    }
}
