//! Token bucket that limits the retries of a node to a fraction of its requests.

/// Part of a retry that each request adds to the bucket, in percent.
pub const DEPOSIT_PERCENT: u32 = 10;
/// Largest number of retries in the bucket.
pub const BURST_RETRIES: u32 = 10;

/// Token bucket that counts in hundredths of a retry, so that sums are exact.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    hundredths: u32,
}

impl Default for TokenBucket {
    fn default() -> Self {
        Self {
            hundredths: BURST_RETRIES * 100,
        }
    }
}

impl TokenBucket {
    /// Adds the tokens of a new request. Not called for a retry.
    pub fn deposit(&mut self) {
        self.hundredths = (self.hundredths + DEPOSIT_PERCENT).min(BURST_RETRIES * 100);
    }

    /// Takes one retry from the bucket; returns false if there is none.
    pub fn try_take(&mut self) -> bool {
        let left = self.hundredths.checked_sub(100);
        self.hundredths = left.unwrap_or(self.hundredths);
        left.is_some()
    }
}
