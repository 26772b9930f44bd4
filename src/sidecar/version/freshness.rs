//! Freshness of the version in force: how long ago it was confirmed that the store holds no newer one. No I/O.
//!
//! The nodes that watch the store confirm it by the calls that the store answers. All others ask one of these nodes at
//! regular intervals. Only durations are exchanged, because clocks differ between VMs.

use crate::prelude::*;

/// Intervals and timeouts, all fractions of the time within which a version must be in force. A failed source is
/// noticed, replaced, and its successor's version passed on within that time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FreshnessLimits {
    /// Interval at which the version is confirmed, by the store or by another node.
    pub interval: Duration,
    /// Time for the answer of another node.
    pub answer_timeout: Duration,
    /// Time for the response of the store.
    pub store_timeout: Duration,
    /// Delay after a first failed call to the store before the next one.
    pub retry_delay: Duration,
    /// Age of the last confirmation from which on a node does not count as one that reaches the store.
    pub max_age: Duration,
}

impl FreshnessLimits {
    /// Limits for versions that must be in force `apply_time` after they were written.
    pub fn new(apply_time: Duration) -> Self {
        Self {
            interval: apply_time / 5,
            answer_timeout: apply_time / 8,
            store_timeout: apply_time * 3 / 20,
            retry_delay: apply_time / 20,
            max_age: apply_time / 2,
        }
    }
}

/// What this node knows about the freshness of the peer of a link.
#[derive(Debug, Default)]
pub struct PeerFreshness {
    /// Time of a question that the peer has not answered.
    asked_at: Option<Now>,
    /// Time of its last message.
    heard_at: Now,
    /// Whether it answered that its version had not been confirmed for too long.
    outdated: bool,
}

impl PeerFreshness {
    /// Whether to ask the peer now; an unanswered question is not repeated.
    pub fn ask(&mut self, now: Now) -> bool {
        let idle = self.asked_at.is_none();
        self.asked_at.get_or_insert(now);
        idle
    }

    /// Records any message of the peer.
    pub fn on_message(&mut self, now: Now) {
        self.heard_at = now;
    }

    /// Records that the peer reports anew that it reaches the store.
    pub fn on_reaches_store(&mut self) {
        self.outdated = false;
    }

    /// Records an answer: the age of the confirmation that the peer has, if any. Returns the time as of which the
    /// version of the peer was current. The time of the answer on the link is not known, so the age counts from the
    /// question.
    pub fn on_answer(&mut self, age: Option<Duration>, max_age: Duration) -> Option<Now> {
        let asked_at = self.asked_at.take()?;
        self.outdated = age.is_none_or(|a| a > max_age);
        age.map(|a| asked_at.saturating_sub(a))
    }

    /// Whether the peer has been asked and has sent nothing for the time of an answer.
    pub fn is_silent(&self, now: Now, timeout: Duration) -> bool {
        self.asked_at
            .is_some_and(|t| now >= t.max(self.heard_at) + timeout)
    }

    /// Whether the peer can still be relied on for new versions.
    pub fn is_reliable(&self, now: Now, timeout: Duration) -> bool {
        !self.outdated && !self.is_silent(now, timeout)
    }
}
