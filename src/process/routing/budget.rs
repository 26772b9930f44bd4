//! Token bucket that bounds a node's retries to a part of its requests.

/// Retries earned by each request, in percent of one.
pub const EARN_PERCENT: u32 = 10;
/// Retries that may be saved up.
pub const BURST: u32 = 10;

/// Token bucket; counts in hundredths of a retry so that sums are exact.
#[derive(Debug, Clone)]
pub struct Bucket {
    hundredths: u32,
}

impl Default for Bucket {
    fn default() -> Self {
        Self {
            hundredths: BURST * 100,
        }
    }
}

impl Bucket {
    /// A new request (not a retry) arrived.
    pub fn earn(&mut self) {
        self.hundredths = (self.hundredths + EARN_PERCENT).min(BURST * 100);
    }

    /// Spends one retry if there is one.
    pub fn take(&mut self) -> bool {
        let left = self.hundredths.checked_sub(100);
        self.hundredths = left.unwrap_or(self.hundredths);
        left.is_some()
    }
}
