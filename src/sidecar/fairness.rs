//! Least share of less urgent ranks. Without I/O.
//!
//! The load it answers: urgent work that takes all slots for as long as an overload lasts. Urgent work goes first, but a
//! less urgent rank that is served much less often than a more urgent one of its service competes with that rank until
//! the two are near again. The other way round, work that can wait longer would fill the queues while urgent work, which
//! cannot wait, is refused: it is refused itself then. Each entry node looks at its own callers' requests, which are a
//! fair sample.

use super::routes::RANKS;
use crate::prelude::*;

/// Part of a more urgent rank's share of served requests that a less urgent rank gets at least.
pub const KEPT: f64 = 0.8;
/// Share of served requests below which a rank counts as short of room.
const SHORT: f64 = 0.97;
/// Time over which shares are taken: several times as long as requests take, and short against an overload.
const WINDOW: Duration = Duration::from_secs(3);
/// Requests that every rank counts as served from the start, so that few refusals say little.
const PRIOR: f64 = 4.0;

#[derive(Debug, Clone, Copy, Default)]
struct Share {
    asked: f64,
    served: f64,
}

impl Share {
    fn part(&self) -> f64 {
        (self.served + PRIOR) / (self.asked + PRIOR)
    }
}

#[derive(Debug, Default)]
struct Service {
    ranks: [Share; RANKS],
    at: Now,
}

impl Service {
    /// Requests that ended long ago count less.
    fn age(&mut self, now: Now) {
        let dt = now.saturating_sub(self.at);
        let keep = (-dt.as_secs_f64() / WINDOW.as_secs_f64()).exp();
        for s in &mut self.ranks {
            s.asked *= keep;
            s.served *= keep;
        }
        self.at = now;
    }
}

/// Shares of served requests by service and rank.
#[derive(Debug, Default)]
pub struct Fair {
    services: HashMap<ServiceId, Service>,
}

impl Fair {
    /// The rank that a request competes in: its own, or a more urgent one while its own falls behind.
    pub fn rank(&self, service: &str, rank: usize) -> usize {
        let Some(s) = self.services.get(service) else {
            return rank;
        };
        let own = s.ranks[rank].part();
        let behind = |urgent: &usize| own < KEPT * s.ranks[*urgent].part();
        (0..rank).find(behind).unwrap_or(rank)
    }

    /// Whether a request has to be refused, because a more urgent rank of its service is served less often.
    pub fn sheds(&self, service: &str, rank: usize) -> bool {
        let Some(s) = self.services.get(service) else {
            return false;
        };
        let own = s.ranks[rank].part();
        s.ranks[..rank]
            .iter()
            .any(|u| u.part() < SHORT && own > u.part())
    }

    /// A request of a rank was answered, or refused for want of room.
    pub fn ended(&mut self, service: &ServiceId, rank: usize, served: bool, now: Now) {
        let s = self.services.entry(service.clone()).or_default();
        s.age(now);
        s.ranks[rank].asked += 1.0;
        s.ranks[rank].served += f64::from(u8::from(served));
    }
}
