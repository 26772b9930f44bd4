//! Estimate of how long the messages of a link were under way. No I/O.

use crate::prelude::*;

/// Time after which the shortest transit measured so far is replaced by that of recent messages.
const WINDOW: Duration = Duration::from_secs(30);

/// Delay of messages on a link beyond the shortest transit.
///
/// The clocks of two VMs cannot be compared, but the difference between the time of receipt and the time of sending is
/// least for the message that was under way for the shortest time. What exceeds this difference is queueing delay.
#[derive(Debug, Default)]
pub struct TransitDelay {
    /// Least difference in the current window and in the one before, in ms.
    least: [Option<i64>; 2],
    window_start: Now,
}

impl TransitDelay {
    /// Records a message with the sender's time, in ms, and returns its delay.
    pub fn record(&mut self, sent_ms: u64, received: Now) -> Duration {
        if received.saturating_sub(self.window_start) >= WINDOW {
            self.least = [None, self.least[0]];
            self.window_start = received;
        }
        let millis = |n: u128| i64::try_from(n).unwrap_or(i64::MAX);
        let difference = millis(received.as_millis()).saturating_sub(millis(u128::from(sent_ms)));
        let current = self.least[0].map_or(difference, |d| d.min(difference));
        self.least[0] = Some(current);
        let least = self.least[1].map_or(current, |d| d.min(current));
        Duration::from_millis(difference.saturating_sub(least).unsigned_abs())
    }

    /// Forgets all messages, because the difference between the clocks changed.
    pub fn reset(&mut self) {
        *self = Self::default();
    }
}
