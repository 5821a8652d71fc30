//! Budget that limits retries to a share of the first tries.

/// Retries earned by one first try, in thousandths of a retry. Limits the retry amplification to
/// 1.1.
const EARNED_MILLI: u64 = 100;
/// Cost of one retry, in thousandths of a retry.
const RETRY_MILLI: u64 = 1_000;
/// Maximum of saved retries, in thousandths of a retry. Bounds the burst of retries after a long
/// time without failures.
const SAVED_MILLI: u64 = 100 * RETRY_MILLI;

/// Token bucket that limits retries to a tenth of the first tries.
///
/// The bucket starts empty, so that the ratio holds from the first request and an entry that
/// starts during an overload does not add retries to it.
#[derive(Debug, Default)]
pub struct RetryBudget {
    /// Saved retries, in thousandths of a retry.
    saved_milli: u64,
}

impl RetryBudget {
    /// Adds the share of a retry that one first try earns.
    pub fn earn(&mut self) {
        self.saved_milli = (self.saved_milli + EARNED_MILLI).min(SAVED_MILLI);
    }

    /// Takes one retry from the budget. Tells whether the budget allowed it.
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
