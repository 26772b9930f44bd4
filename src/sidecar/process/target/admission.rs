//! Which new requests the queue of the target admits, by the wait that it expects for them. No I/O.

use crate::prelude::*;
use crate::request::reason::Reason;
use crate::sidecar::process::target::queue::{Arrival, Queue, Waiting, MIN_TIME_FRACTION};

/// Maximum number of waiting requests; wait estimates are meaningless for longer queues.
const MAX_WAITING: usize = 256;
/// Fraction of its latency objective for which a request that can no longer meet it may wait for a free slot.
pub(super) const LATE_WAIT_FRACTION: f64 = 0.125;
/// Minimum fraction of the slots that the wait estimate assumes to be left over by more urgent ranks.
const MIN_SLOT_FRACTION: f64 = 0.15;

impl Queue {
    /// Returns why a new request must be rejected and the back-off, or `None` to admit it.
    pub(super) fn rejection(&self, now: Now, a: &Arrival) -> Option<(Reason, Duration)> {
        if self.slots == 0 {
            return Some((Reason::NotReady, Duration::ZERO));
        }
        let service_time = self.route_time(&a.route);
        if a.deadline < now + service_time.mul_f64(MIN_TIME_FRACTION) {
            return Some((Reason::Deadline, Duration::ZERO));
        }
        let ahead = self.ahead(a.rank, &a.tenant);
        let slot_wait = self.expected_wait(now, a.rank, ahead);
        let limit_wait = self.limit_wait(now, a.rank, ahead);
        let queue_wait = slot_wait.max(limit_wait);
        // The link sends other responses while the request waits and runs.
        let link_wait = a.link_backlog.saturating_sub(queue_wait + service_time);
        let wait = queue_wait + link_wait;
        if wait.is_zero() {
            return None;
        }
        let full = match (limit_wait > slot_wait, link_wait > queue_wait) {
            (_, true) => Reason::LinkFull,
            (true, _) => Reason::RateLimited,
            _ => Reason::QueueFull,
        };
        let service_time = service_time + a.transfer;
        if a.max_wait.is_some_and(|max| wait > max) {
            return Some((full, Duration::ZERO));
        }
        if self.waiting.len() >= MAX_WAITING {
            return Some((Reason::QueueFull, wait));
        }
        let end = now + wait + service_time;
        let late_wait = a.objective.mul_f64(LATE_WAIT_FRACTION);
        let late_allowed = now + service_time > a.due && wait <= late_wait && end <= a.deadline;
        match end <= a.due || late_allowed {
            true => None,
            false => Some((full, end.saturating_sub(a.due).min(wait))),
        }
    }

    /// Returns why a request that arrives after `delay` would be rejected then, and the back-off; `None` if it would be
    /// admitted. `arriving` others that were admitted arrive before it.
    pub fn preview(
        &self,
        now: Now,
        a: &Arrival,
        delay: Duration,
        arriving: usize,
    ) -> Option<(Reason, Duration)> {
        if self.slots == 0 {
            return Some((Reason::NotReady, Duration::ZERO));
        }
        let service_time = self.route_time(&a.route);
        let at = now + delay;
        if a.deadline < at + service_time.mul_f64(MIN_TIME_FRACTION) {
            return Some((Reason::Deadline, Duration::ZERO));
        }
        let ahead = self.ahead(a.rank, &a.tenant) + arriving;
        let queue_wait = self.expected_wait(now, a.rank, ahead);
        let wait = queue_wait
            .max(self.limit_wait(now, a.rank, ahead))
            .saturating_sub(delay);
        let end = at + wait + service_time;
        let late_wait = a.objective.mul_f64(LATE_WAIT_FRACTION);
        let late_allowed = at + service_time > a.due && wait <= late_wait && end <= a.deadline;
        if a.max_wait.is_some_and(|max| wait > max) {
            return Some((Reason::QueueFull, Duration::ZERO));
        }
        match wait.is_zero() || end <= a.due || late_allowed {
            true => None,
            false => Some((Reason::QueueFull, end.saturating_sub(a.due).min(wait))),
        }
    }

    /// Number of waiting requests that a new one of this rank and tenant would queue behind. Requests that can no longer
    /// meet their latency objective do not count, because all others go before them.
    fn ahead(&self, rank: usize, tenant: &TenantId) -> usize {
        let used = self.tenant_shares.used(tenant);
        let before = |w: &&Waiting| match w.arrival.rank {
            _ if w.late_since.is_some() => false,
            r if r == rank => self.tenant_shares.used(&w.arrival.tenant) <= used,
            r => r < rank,
        };
        self.waiting.iter().filter(before).count()
    }

    /// Number of waiting requests that one of this rank would queue behind on average over the tenants.
    pub(super) fn ahead_of_rank(&self, rank: usize) -> usize {
        let before = |w: &&Waiting| w.arrival.rank <= rank && w.late_since.is_none();
        self.waiting.iter().filter(before).count()
    }

    /// Expected wait of a new request: the time for the requests ahead of it on the slots that more urgent ranks leave.
    fn expected_wait(&self, now: Now, rank: usize, ahead: usize) -> Duration {
        let (occupied, usable) = (self.occupied(now), self.usable_slots());
        if occupied + ahead < usable {
            return Duration::ZERO;
        }
        let excess = (occupied + ahead + 1).saturating_sub(usable);
        let slots = usable as f64;
        let urgent_slots: f64 = self.slot_usage[..rank].iter().sum();
        let available = (1.0 - urgent_slots / slots).max(MIN_SLOT_FRACTION);
        Duration::from_secs_f64(excess as f64 * self.mean_service_time() / (slots * available))
    }

    /// Expected wait of a new request for the rate limit: the time for the requests ahead of it at the part of the rate
    /// that more urgent ranks leave.
    fn limit_wait(&self, now: Now, rank: usize, ahead: usize) -> Duration {
        let wait = self.limit.wait(now, ahead);
        if wait.is_zero() {
            return wait;
        }
        let urgent: f64 = self.slot_usage[..rank].iter().sum();
        let total: f64 = self.slot_usage.iter().sum();
        let available = 1.0 - urgent / total.max(f64::MIN_POSITIVE);
        wait.div_f64(available.max(MIN_SLOT_FRACTION))
    }
}
