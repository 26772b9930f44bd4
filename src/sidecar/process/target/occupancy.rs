//! Slots of the target that are in use, also by requests that the node has given up and by probes. No I/O.

use crate::prelude::*;
use crate::sidecar::process::target::queue::{Action, Queue, Running, Ticket};

impl Queue {
    /// Number of slots in use.
    pub(super) fn occupied(&self, now: Now) -> usize {
        self.running.len() + self.abandoned.count(now)
    }

    /// Records that a dispatched request is about to be sent. Its slot is occupied until [`Queue::release`], also if it
    /// is cancelled or finished before.
    pub fn hold(&mut self, ticket: Ticket) {
        let mut running = self.running.iter_mut();
        if let Some(r) = running.find(|r| r.ticket == ticket) {
            r.held = true;
        }
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
}
