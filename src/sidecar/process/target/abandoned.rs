//! Requests that the node has given up while the target may still run them. No I/O.
//!
//! It handles callers that leave and deadlines that pass under load. A target needs a moment to notice that a connection
//! has closed, and some targets do not notice it. A slot that is given out again at once would be one more than the
//! target has, and a full target rejects, resets or ignores requests. The slot therefore stays occupied until the target
//! closes the connection or responds, or until the end of a bounded time.

use crate::prelude::*;
use crate::sidecar::process::target::queue::Ticket;

/// Shortest time for which the slot of a request that was given up stays occupied unless the target ends it; targets
/// that notice a closed connection end the request within half a second.
const MIN_OCCUPIED: Duration = Duration::from_millis(500);
/// Longest such time, after which a target that never ends requests gets its slots back.
pub(crate) const MAX_OCCUPIED: Duration = Duration::from_secs(2);
/// Multiple of the mean service time within which most requests end.
const SERVICE_TIMES: f64 = 2.0;

/// Slots that are occupied by requests without a caller.
#[derive(Debug, Default, Clone)]
pub struct Abandoned {
    /// Each request with the time until which it occupies its slot.
    entries: Vec<(Ticket, Now)>,
}

impl Abandoned {
    /// Records a request that was given up at the age of `age`; `service_time` is the mean time of its route. Requests
    /// that are given up are not measured, so the mean is too short if many are.
    pub fn add(&mut self, now: Now, ticket: Ticket, age: Duration, service_time: Duration) {
        let rest = service_time
            .max(age)
            .mul_f64(SERVICE_TIMES)
            .saturating_sub(age);
        self.add_until(ticket, now + rest.clamp(MIN_OCCUPIED, MAX_OCCUPIED));
    }

    /// Records a request that occupies a slot until this time at most.
    pub fn add_until(&mut self, ticket: Ticket, until: Now) {
        self.entries.push((ticket, until));
    }

    /// Records that the target has ended a request.
    pub fn remove(&mut self, ticket: Ticket) {
        self.entries.retain(|(t, _)| *t != ticket);
    }

    /// Forgets the requests whose time has ended.
    pub fn expire(&mut self, now: Now) {
        self.entries.retain(|(_, until)| now < *until);
    }

    /// Number of occupied slots.
    pub fn count(&self, now: Now) -> usize {
        self.entries
            .iter()
            .filter(|(_, until)| now < *until)
            .count()
    }

    /// Forgets all, because another target has taken over the slots.
    pub fn clear(&mut self) {
        self.entries.clear();
    }
}
