//! Minimum share of served requests for less urgent ranks. No I/O.
//!
//! It handles an overload in which urgent requests would take all slots. Urgent requests go first, but while a less
//! urgent rank is served much less often than a more urgent one of its service, its requests are queued with that rank.
//! Conversely, requests that can wait longer would fill the queues while urgent ones, which cannot wait, are rejected;
//! the less urgent requests are shed then. Each entry node considers only the requests of its own callers, which are a
//! representative sample.

use crate::prelude::*;
use crate::sidecar::version::routes::RANKS;

/// Minimum served fraction of a less urgent rank, relative to that of a more urgent one.
pub const MIN_RELATIVE_SHARE: f64 = 0.8;
/// Served fraction below which a rank counts as overloaded.
const OVERLOAD_SHARE: f64 = 0.97;
/// Time constant with which old requests lose weight: several times the duration of a request, and short compared
/// with an overload.
const SHARE_TIME_CONSTANT: Duration = Duration::from_secs(3);
/// Requests that every rank initially counts as served, so that a few rejections have little effect.
const PRIOR_REQUESTS: f64 = 4.0;

#[derive(Debug, Clone, Copy, Default)]
struct Share {
    offered: f64,
    served: f64,
}

impl Share {
    fn fraction(&self) -> f64 {
        (self.served + PRIOR_REQUESTS) / (self.offered + PRIOR_REQUESTS)
    }
}

#[derive(Debug, Default)]
struct ServiceShares {
    ranks: [Share; RANKS],
    updated: Now,
}

impl ServiceShares {
    /// Reduces the weight of earlier requests by their age.
    fn decay(&mut self, now: Now) {
        let dt = now.saturating_sub(self.updated);
        let factor = (-dt.as_secs_f64() / SHARE_TIME_CONSTANT.as_secs_f64()).exp();
        for s in &mut self.ranks {
            s.offered *= factor;
            s.served *= factor;
        }
        self.updated = now;
    }
}

/// Fractions of the requests that were served, by service and rank.
#[derive(Debug, Default)]
pub struct Fairness {
    services: HashMap<ServiceId, ServiceShares>,
}

impl Fairness {
    /// Rank with which a request is queued: its own, or a more urgent one while its own falls behind.
    pub fn effective_rank(&self, service: &str, rank: usize) -> usize {
        let Some(s) = self.services.get(service) else {
            return rank;
        };
        let own = s.ranks[rank].fraction();
        let behind = |urgent: &usize| own < MIN_RELATIVE_SHARE * s.ranks[*urgent].fraction();
        (0..rank).find(behind).unwrap_or(rank)
    }

    /// Whether a request must be shed because a more urgent rank of its service is overloaded and served less often.
    pub fn must_shed(&self, service: &str, rank: usize) -> bool {
        let Some(s) = self.services.get(service) else {
            return false;
        };
        let own = s.ranks[rank].fraction();
        s.ranks[..rank]
            .iter()
            .any(|u| u.fraction() < OVERLOAD_SHARE && own > u.fraction())
    }

    /// Records that a request of a rank was served, or rejected for lack of capacity.
    pub fn record(&mut self, service: &ServiceId, rank: usize, served: bool, now: Now) {
        let s = self.services.entry(service.clone()).or_default();
        s.decay(now);
        s.ranks[rank].offered += 1.0;
        s.ranks[rank].served += f64::from(u8::from(served));
    }
}
