//! A connection of a client, as the [`Budget`](super::budget::Budget) sees it: its place in the order in which connections
//! give way, and the limits in time that it exceeds.

use std::cmp::Reverse;

use super::budget::{BudgetLimits, Limit, CONNECTION_BYTES};
use crate::prelude::*;

/// Time without progress after which a connection gives way before those that move on. Only the order in which
/// connections are closed depends on it, so it need not outlast a lossy period.
const STALLED: Duration = Duration::from_secs(1);
/// Steps in which bodies are compared by the fraction that has arrived.
const STEPS: u64 = 8;

/// What a connection is about to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// No request has begun.
    Idle,
    /// The head of a request arrives.
    Head,
    /// The body of a request arrives, of this length if it was announced.
    Body(Option<u64>),
    /// A request is complete, so that a target may run it.
    Running,
    /// The response waits until the client reads it.
    Response,
}

/// A connection.
#[derive(Debug, Clone)]
pub(super) struct Client {
    pub(super) port: &'static str,
    /// Time within which a head has to be complete after its first byte.
    head_timeout: Duration,
    pub(super) bytes: usize,
    pub(super) stage: Stage,
    /// Priority of the route; greater is less urgent.
    pub(super) rank: usize,
    /// Bytes of the body that have arrived.
    pub(super) arrived: u64,
    began: Now,
    last_progress: Now,
    window_start: Now,
    window_bytes: u64,
    /// Time since which the client takes nothing of a response; `None` while the response itself is waited for.
    blocked_since: Option<Now>,
    /// Time for which it took nothing in the window before `blocked_since`.
    blocked: Duration,
}

/// Place in the order of eviction: the lowest gives way first. The fields are the class, the fraction that has arrived,
/// the urgency, and the age.
pub(super) type Place = (u8, u64, Reverse<usize>, Reverse<Now>);

impl Client {
    pub(super) fn new(now: Now, port: &'static str, head_timeout: Duration) -> Self {
        Self {
            port,
            head_timeout,
            bytes: CONNECTION_BYTES,
            stage: Stage::Idle,
            rank: 0,
            arrived: 0,
            began: now,
            last_progress: now,
            window_start: now,
            window_bytes: 0,
            blocked_since: None,
            blocked: Duration::ZERO,
        }
    }

    /// Begins a window of the least rate.
    fn begin_window(&mut self, now: Now) {
        self.window_start = now;
        self.window_bytes = 0;
        self.blocked = Duration::ZERO;
        self.blocked_since = self.blocked_since.map(|_| now);
    }

    /// Time for which the client took nothing in the window.
    fn blocked_time(&self, now: Now) -> Duration {
        let current = self.blocked_since.map(|since| now.saturating_sub(since));
        self.blocked + current.unwrap_or_default()
    }

    /// Place in the order of eviction; `None` if the connection does not give way.
    pub(super) fn place(&self, now: Now) -> Option<Place> {
        let stalled = now.saturating_sub(self.last_progress) >= STALLED;
        let half_read = now.saturating_sub(self.began) >= STALLED;
        let fraction = match self.stage {
            Stage::Body(Some(length)) => STEPS * self.arrived / length.max(1),
            _ => 0,
        };
        let class = match self.stage {
            Stage::Head if half_read => 0,
            Stage::Body(_) if stalled => 1,
            Stage::Response if stalled && self.blocked_since.is_some() => 2,
            Stage::Idle => 3,
            Stage::Head => 4,
            Stage::Body(_) => 5,
            Stage::Running | Stage::Response => return None,
        };
        // Of the connections that have stalled or are idle, the one that has waited longest goes first.
        let age = match class {
            0..=3 => Reverse(now.saturating_sub(self.last_progress)),
            _ => Reverse(self.began),
        };
        Some((class, fraction, Reverse(self.rank), age))
    }

    /// Limit in time that the connection has exceeded.
    pub(super) fn overdue(&mut self, now: Now, limits: &BudgetLimits) -> Option<Limit> {
        let limit = match self.stage {
            Stage::Head if now.saturating_sub(self.began) > self.head_timeout => {
                return Some(Limit::HeadTimeout)
            }
            Stage::Body(_) => Limit::BodyRate,
            Stage::Response => Limit::ReadRate,
            Stage::Idle | Stage::Head | Stage::Running => return None,
        };
        if now.saturating_sub(self.window_start) < limits.window {
            return None;
        }
        // A response may also wait for the link of the VM, which is no fault of its reader.
        let own_fault =
            self.stage != Stage::Response || self.blocked_time(now) >= limits.window / 2;
        let slow = self.window_bytes < limits.window_bytes && own_fault;
        self.begin_window(now);
        slow.then_some(limit)
    }

    /// Records what the connection does now.
    pub(super) fn set_stage(&mut self, stage: Stage, now: Now) {
        if std::mem::discriminant(&self.stage) != std::mem::discriminant(&stage) {
            self.began = now;
            self.last_progress = now;
            self.arrived = 0;
            self.begin_window(now);
        }
        self.stage = stage;
    }

    /// Records bytes of a body that arrived, or of a response that left.
    pub(super) fn record_progress(&mut self, bytes: u64, now: Now) {
        self.arrived += bytes;
        self.last_progress = now;
        self.window_bytes += bytes;
        self.blocked = self.blocked_time(now);
        self.blocked_since = None;
    }

    /// Records that the client takes nothing of what is to be written to it.
    pub(super) fn record_blocked(&mut self, now: Now) {
        self.blocked_since.get_or_insert(now);
    }
}
