//! Targets that run now although their incarnations are not greater than all earlier ones. No I/O.
//!
//! An incarnation is the time of day at which its target started, so a clock that was set back gives a later target a smaller one,
//! and a stop that named no incarnation may have been bounded by a clock that was ahead. Such a target goes on to send heartbeats
//! for longer than those of an earlier one can be late. It is then ordered behind the earlier ones.

use crate::prelude::*;
use crate::sidecar::process::target::heartbeat::Heartbeat;
use crate::sidecar::process::target::state::TargetId;

/// Time for which heartbeats of a target that has ended may still arrive.
pub const LATE_FOR: Duration = Duration::from_secs(10);
/// Longest pause between two heartbeats of a target that goes on to send them, in heartbeat intervals.
const MAX_PAUSE: u32 = 4;

/// A target that may run now.
#[derive(Debug)]
struct Candidate {
    id: TargetId,
    incarnation: u64,
    seq: u64,
    first_heard: Now,
    last_heard: Now,
}

/// A target that is ordered by another incarnation than the one that it reports.
#[derive(Debug)]
struct Successor {
    id: TargetId,
    reported: u64,
    incarnation: u64,
}

/// The target that may run now, and the last one that was found to.
#[derive(Debug, Default)]
pub(super) struct Successors {
    candidate: Option<Candidate>,
    accepted: Option<Successor>,
}

impl Successors {
    /// Incarnation by which a target that reports `incarnation` is ordered.
    pub(super) fn order(&self, id: &str, incarnation: u64) -> u64 {
        let accepted = self.accepted.as_ref();
        let accepted = accepted.filter(|s| s.id == id && s.reported == incarnation);
        accepted.map_or(incarnation, |s| s.incarnation)
    }

    /// Whether a target may run now, because its heartbeats arrive and those of the current one do not.
    pub(super) fn is_candidate(&self, id: &str, incarnation: u64) -> bool {
        let c = self.candidate.as_ref();
        c.is_some_and(|c| c.id == id && c.incarnation == incarnation)
    }

    /// Records a heartbeat that seems to be of an earlier target. Returns whether its target has gone on to send heartbeats for
    /// so long that it runs now.
    pub(super) fn on_earlier(&mut self, h: &Heartbeat, interval: Duration, now: Now) -> bool {
        let same = |c: &&mut Candidate| c.id == h.id && c.incarnation == h.incarnation;
        match self.candidate.as_mut().filter(same) {
            Some(c) if h.seq <= c.seq => false,
            Some(c) if now < c.last_heard + interval * MAX_PAUSE => {
                c.seq = h.seq;
                c.last_heard = now;
                now >= c.first_heard + LATE_FOR
            }
            _ => {
                self.candidate = Some(Candidate {
                    id: h.id.clone(),
                    incarnation: h.incarnation,
                    seq: h.seq,
                    first_heard: now,
                    last_heard: now,
                });
                false
            }
        }
    }

    /// Orders the target of a heartbeat by an incarnation from now on.
    pub(super) fn accept(&mut self, h: &Heartbeat, incarnation: u64) {
        self.candidate = None;
        self.accepted = Some(Successor {
            id: h.id.clone(),
            reported: h.incarnation,
            incarnation,
        });
    }

    /// Records that the current target runs, or that a stop was announced: heartbeats from before are no sign of a later one.
    pub(super) fn reset(&mut self) {
        self.candidate = None;
    }
}
