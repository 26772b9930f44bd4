//! Slots of the target that are in use, also by requests that the node has given up and by probes, and what the target
//! shows when it is full. No I/O.

use crate::prelude::*;
use crate::sidecar::process::target::full;
use crate::sidecar::process::target::pace::Sample;
use crate::sidecar::process::target::queue::{Action, Queue, Running, Ticket};

/// How a request ends at the target.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(super) enum Ending {
    /// With a response that is no server error.
    #[default]
    Response,
    /// With a server error, or without a response.
    Error,
    /// At its deadline, which says nothing about the target.
    TimedOut,
}

impl Queue {
    /// Number of slots in use.
    pub(super) fn occupied(&self, now: Now) -> usize {
        self.running.len() + self.abandoned.count(now)
    }

    /// Number of slots that may be used.
    pub(super) fn usable_slots(&self) -> usize {
        let slots = match self.full_limit_off {
            true => self.slots,
            false => self.full_limit.apply(self.slots),
        };
        match self.pace_off {
            true => slots,
            false => slots.min(self.pace.limit(self.slots)),
        }
    }

    /// Records that a dispatched request is about to be sent. Its slot is occupied until [`Queue::release`], also if it
    /// is cancelled or finished before. Returns the age from which on it may be unanswered; `None` if that is unknown.
    pub fn hold(&mut self, ticket: Ticket) -> Option<Duration> {
        let mut running = self.running.iter_mut();
        let r = running.find(|r| r.ticket == ticket)?;
        r.held = true;
        self.response_times.bound(&r.route)
    }

    /// Records that the target no longer runs a request that was sent.
    pub fn release(&mut self, now: Now, ticket: Ticket) -> Vec<Action> {
        let mut running = self.running.iter_mut();
        match running.find(|r| r.ticket == ticket) {
            Some(r) => {
                r.held = false;
                Vec::new()
            }
            None => {
                self.abandoned.remove(ticket);
                self.advance(now)
            }
        }
    }

    /// Records that something other than a request of the queue occupies a slot until [`Queue::release`], at most until
    /// `until`.
    pub fn occupy(&mut self, ticket: Ticket, until: Now) {
        self.abandoned.add_until(ticket, until);
    }

    /// Keeps the slot of a request that ends here but may still run at the target.
    pub(super) fn abandon(&mut self, now: Now, r: &Running) {
        if r.held {
            let age = now.saturating_sub(r.since);
            let service_time = self.route_time(&r.route);
            self.abandoned.add(now, r.ticket, age, service_time);
        }
    }

    /// Begins with few requests at once, because the target has just started or recovers; `same_target` says that what is
    /// known about it still holds.
    pub fn restart_pace(&mut self, same_target: bool) {
        self.pace.restart(same_target);
    }

    /// Gives out all slots from now on, also those of a target that turned out to be full.
    pub fn disable_full_limit(&mut self) {
        self.full_limit_off = true;
    }

    /// Gives out all slots from now on, also those of a target that has just started.
    pub fn disable_pace(&mut self) {
        self.pace_off = true;
    }

    /// Number of requests to report to other nodes; `None` if all slots may be used.
    pub(super) fn reported_pace(&self) -> Option<u16> {
        let usable = self.usable_slots();
        (usable < self.slots).then_some(usable.min(usize::from(u16::MAX)) as u16)
    }

    /// Number of requests that the target gets at once, and how often it has fallen.
    pub fn pace(&self) -> (usize, u64) {
        (self.usable_slots(), self.pace.falls())
    }

    /// Records that a dispatched request ends as an error of the target. `timed_out` says that its deadline passed,
    /// which says nothing about the target, because the time may have been short.
    pub fn on_error(&mut self, ticket: Ticket, timed_out: bool) {
        let Some(i) = self.running.iter().position(|r| r.ticket == ticket) else {
            return;
        };
        self.running[i].outcome = match timed_out {
            false => Ending::Error,
            true => Ending::TimedOut,
        };
    }

    /// Records the end of a request that has left the queue.
    pub(super) fn record_pace(&mut self, now: Now, r: &Running, failed: bool) {
        let sample = match r.outcome {
            Ending::TimedOut => return,
            Ending::Error => Sample::Error,
            // Failures are often fast.
            Ending::Response if failed => Sample::Response(None),
            Ending::Response => Sample::Response(r.slowdown(now)),
        };
        let running = self.occupied(now) + 1;
        self.pace.record(now, r.since, self.slots, running, sample);
    }

    /// Records a response of the target to a request that has left the queue.
    pub(super) fn on_response(&mut self, now: Now, r: &Running) {
        self.response_times
            .record(&r.route, now.saturating_sub(r.since));
        self.full_limit.on_response(now, self.slots);
        for earlier in self.running.iter_mut().filter(|e| e.since < r.since) {
            earlier.overtaken = earlier.overtaken.saturating_add(1);
        }
    }

    /// Whether the target will not respond to a request: it is older than its bound, and later ones were answered, or much
    /// older.
    pub fn is_unanswered(&self, now: Now, ticket: Ticket) -> bool {
        let mut running = self.running.iter();
        let found = running.find(|r| r.ticket == ticket);
        found.is_some_and(|r| {
            let age = now.saturating_sub(r.since);
            self.response_times
                .is_unanswered(&r.route, age, r.overtaken)
        })
    }

    /// Records that the connection of a request was lost before any byte of a response. Returns whether the target is
    /// taken to be full, which it was not before.
    pub fn on_lost(&mut self, now: Now, ticket: Ticket) -> bool {
        let mut running = self.running.iter();
        let Some(r) = running.find(|r| r.ticket == ticket) else {
            return false;
        };
        let age = now.saturating_sub(r.since);
        full::is_refusal(age) && self.on_full(now)
    }

    /// Records that the target had no room for one of the requests that occupy its slots. Returns whether it is to get
    /// fewer from now on.
    pub fn on_full(&mut self, now: Now) -> bool {
        let others = self.occupied(now).saturating_sub(1);
        let service_time = Duration::from_secs_f64(self.mean_service_time());
        self.full_limit
            .on_full(now, others, self.slots, service_time)
    }
}
