//! The target that this node heard of last, and whether it is up. No I/O.

use crate::prelude::*;
use crate::sidecar::process::target::heartbeat::Heartbeat;
use crate::sidecar::process::target::state::TargetId;

/// Heartbeat intervals without a heartbeat or a response after which a target counts as dead.
const MAX_MISSED_HEARTBEATS: u32 = 4;
/// Time between attempts at a target that counts as down; a heartbeat ends it early.
const DOWN_RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Number of consecutive attempts without a response in time after which a target counts as down.
const MAX_TIMEOUTS: u32 = 8;

/// The target that was heard of last.
#[derive(Debug)]
pub(super) struct Current {
    pub(super) id: TargetId,
    /// 0 if it is not known: after a probe, or if the heartbeats do not tell it.
    pub(super) incarnation: u64,
    pub(super) seq: u64,
    pub(super) slots: u32,
    pub(super) version: Option<SmolStr>,
    /// Whether its last heartbeat says that it is slow after its start.
    pub(super) cold: bool,
    pub(super) last_heard: Now,
    /// Time until which it accepts requests although it is leaving; `None` if it is not leaving.
    pub(super) accepts_until: Option<Now>,
    /// Time until which it gets no requests because it counts as down.
    pub(super) down_until: Option<Now>,
    /// Consecutive attempts without a response in time.
    pub(super) timeouts: u32,
    /// Heartbeats that are still needed until it accepts requests, because an earlier process of the node may have
    /// acknowledged its stop.
    pub(super) unconfirmed: u32,
}

impl Current {
    /// State of a target that responded to a health probe and has sent no heartbeat.
    pub(super) fn from_probe(id: TargetId, slots: u32, now: Now) -> Self {
        Self {
            id,
            incarnation: 0,
            seq: 0,
            slots,
            version: None,
            cold: false,
            last_heard: now,
            accepts_until: None,
            down_until: None,
            timeouts: 0,
            unconfirmed: 0,
        }
    }

    /// Whether a heartbeat is from an earlier incarnation, or from another target than this one of the same incarnation.
    pub(super) fn is_after(&self, h: &Heartbeat) -> bool {
        h.incarnation < self.incarnation
            || h.incarnation == self.incarnation && h.id != self.id && self.incarnation > 0
    }

    /// Whether this state contains a heartbeat or a later one of its target.
    pub(super) fn includes(&self, h: &Heartbeat) -> bool {
        self.id == h.id && self.incarnation == h.incarnation && h.seq <= self.seq
    }

    /// Whether a heartbeat is from this target, as far as is known.
    pub(super) fn is_same(&self, h: &Heartbeat) -> bool {
        self.id == h.id && (self.incarnation == h.incarnation || self.incarnation == 0)
    }

    /// Whether this is known to be an earlier target than that of a heartbeat.
    pub(super) fn is_before(&self, h: &Heartbeat) -> bool {
        self.incarnation > 0 && self.incarnation < h.incarnation
    }

    /// Records that an incarnation of the target leaves: this one, or a later one that has not been heard of. It accepts
    /// requests until a time, or until the one that was recorded before.
    pub(super) fn leave(&mut self, incarnation: u64, accepts_until: Now) {
        if self.incarnation < incarnation {
            self.incarnation = incarnation;
            self.seq = 0;
        }
        self.accepts_until.get_or_insert(accepts_until);
    }

    /// Whether the target has been heard of lately.
    pub(super) fn is_alive(&self, heartbeat_interval: Duration, now: Now) -> bool {
        now < self.last_heard + heartbeat_interval * MAX_MISSED_HEARTBEATS
    }

    /// Records a response to a request.
    pub(super) fn on_response(&mut self, now: Now) {
        self.last_heard = now;
        self.down_until = None;
        self.timeouts = 0;
    }

    /// Records a refused connection. Returns whether the target counted as up before.
    pub(super) fn on_connect_refused(&mut self, now: Now) -> bool {
        self.down_until.replace(now + DOWN_RETRY_INTERVAL).is_none()
    }

    /// Records a request without a response in time.
    pub(super) fn on_timeout(&mut self, now: Now) {
        self.timeouts += 1;
        if self.timeouts >= MAX_TIMEOUTS {
            self.timeouts = 0;
            self.down_until = Some(now + DOWN_RETRY_INTERVAL);
        }
    }
}
