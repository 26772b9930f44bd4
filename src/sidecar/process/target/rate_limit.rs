//! Rate limit that a target names for the requests of all nodes together. No I/O.
//!
//! Every request for a target passes its node, so the limit is enforced there and holds over the whole fleet.

use crate::prelude::*;

/// Requests per second.
pub type RequestRate = f64;

/// Rate at which a target with a lower limit is tried, so that the end of its limit is noticed.
const MIN_RATE: RequestRate = 0.5;
/// Time over which unused requests add up.
const BURST_TIME: Duration = Duration::from_millis(250);

/// Token bucket with the rate that a target allows.
#[derive(Debug, Default, Clone)]
pub struct RateLimit {
    /// `None` if the target names no limit.
    rate: Option<RequestRate>,
    /// Requests that may be sent at once, as of `updated`.
    tokens: f64,
    updated: Now,
}

impl RateLimit {
    /// Rate that the target named; `None` without a limit.
    pub fn rate(&self) -> Option<RequestRate> {
        self.rate
    }

    /// Sets the rate. Returns whether it changed.
    pub fn set(&mut self, now: Now, rate: Option<RequestRate>) -> bool {
        if rate == self.rate {
            return false;
        }
        self.tokens = match self.rate {
            Some(_) => self.tokens_at(now),
            None => 0.0,
        };
        self.updated = now;
        self.rate = rate;
        true
    }

    fn effective(rate: RequestRate) -> RequestRate {
        rate.max(MIN_RATE)
    }

    fn tokens_at(&self, now: Now) -> f64 {
        let rate = Self::effective(self.rate.unwrap_or_default());
        let elapsed = now.saturating_sub(self.updated).as_secs_f64();
        let burst = (rate * BURST_TIME.as_secs_f64()).max(1.0);
        (self.tokens + rate * elapsed).min(burst)
    }

    /// Takes one request. Returns whether the limit allows it.
    pub fn take(&mut self, now: Now) -> bool {
        if self.rate.is_none() {
            return true;
        }
        self.tokens = self.tokens_at(now);
        self.updated = now;
        let allowed = self.tokens >= 1.0;
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }

    /// Time until the limit allows a request that has `ahead` others before it.
    pub fn wait(&self, now: Now, ahead: usize) -> Duration {
        let Some(rate) = self.rate else {
            return Duration::ZERO;
        };
        let missing = (ahead as f64 + 1.0 - self.tokens_at(now)).max(0.0);
        Duration::try_from_secs_f64(missing / Self::effective(rate)).unwrap_or(Duration::MAX)
    }
}
