//! Limit on the requests at a target that turned out to be full. No I/O.
//!
//! It handles targets that reset a connection or never respond when they have no free slot: something that this node
//! does not know of occupies their slots. The node then sends no more than the target had before, and tries one more
//! after some rounds of responses. Each trial that fails doubles the number of rounds until the next one.

use crate::prelude::*;

/// Shortest and longest time for which the limit does not grow, and in which several signs count as one event; within it
/// a target frees a slot.
const HOLD: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(500));
/// Weight of a new request in the fraction of refused ones.
const REFUSED_WEIGHT: f64 = 0.13;
/// Fraction of refused requests up to which the target keeps its slots. Connections may be reset for another reason
/// although the target has room, and the slots that it is not given then are lost.
const RARE_REFUSALS: f64 = 0.15;
/// Fraction of the slots that is lost per unit by which the refused fraction exceeds [`RARE_REFUSALS`].
const REFUSAL_FACTOR: f64 = 2.0;
/// Greatest number of rounds, of one response for each slot, between trials of one more request. With 64, a target that
/// is full for long loses one request in several hundred.
const MAX_ROUNDS: u32 = 64;
/// Time without a refused request after which the limit grows with each round, because what caused the refusals has ended.
const RECOVERY_TIME: Duration = Duration::from_secs(2);
/// Age up to which a lost request counts as refused: a full target on the same VM resets a connection at once, and a
/// request that breaks later had a slot.
const MAX_REFUSAL_AGE: Duration = Duration::from_millis(10);

/// Limit after the target was full; none by default.
#[derive(Debug, Default, Clone)]
pub struct FullLimit {
    limit: Option<usize>,
    /// Moving average of the fraction of refused requests.
    refused: f64,
    /// Time of the last refused request.
    refused_at: Now,
    /// End of the event.
    until: Now,
    /// Responses since the limit last changed.
    responses: u32,
    /// Rounds of responses after which one more request is tried.
    rounds: u32,
}

/// Whether a request whose connection was lost at this age was refused by a full target.
pub fn is_refusal(age: Duration) -> bool {
    age <= MAX_REFUSAL_AGE
}

impl FullLimit {
    /// Records that the target had no room for a request while `others` occupied slots. `slots` is the number of slots.
    /// Returns whether the limit fell.
    pub fn on_full(&mut self, now: Now, others: usize, slots: usize, service: Duration) -> bool {
        self.refused_at = now;
        self.refused += REFUSED_WEIGHT * (1.0 - self.refused);
        let excess = (self.refused - RARE_REFUSALS).max(0.0);
        let kept = (1.0 - REFUSAL_FACTOR * excess).max(0.0);
        let least = ((slots as f64 * kept).ceil() as usize).max(1);
        let current = self.limit.unwrap_or(slots);
        let limit = others.max(least).min(current);
        let is_new = self.limit.is_none() || now >= self.until;
        if limit == slots {
            return false;
        }
        if is_new {
            self.rounds = (self.rounds * 2).clamp(1, MAX_ROUNDS);
            self.until = now + service.clamp(HOLD.0, HOLD.1);
        }
        self.limit = Some(limit);
        self.responses = 0;
        limit < current
    }

    /// Records a response of the target.
    pub fn on_response(&mut self, now: Now, slots: usize) {
        self.refused -= REFUSED_WEIGHT * self.refused;
        let Some(limit) = self.limit.filter(|_| now >= self.until) else {
            return;
        };
        self.responses += 1;
        if now >= self.refused_at + RECOVERY_TIME {
            self.rounds = 1;
        }
        if u64::from(self.responses) < limit as u64 * u64::from(self.rounds) {
            return;
        }
        self.responses = 0;
        match limit + 1 < slots {
            true => self.limit = Some(limit + 1),
            false => self.clear(),
        }
    }

    /// Number of slots that may be used, of this many.
    pub fn apply(&self, slots: usize) -> usize {
        self.limit.map_or(slots, |l| l.min(slots))
    }

    /// Forgets the limit, because another target has taken over the slots.
    pub fn clear(&mut self) {
        *self = Self::default();
    }
}
