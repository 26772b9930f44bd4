//! Requests suspected of crashing backend servers.
//!
//! [`Suspects`] is the table that all nodes share by notices. [`Flights`] is what runs at the backend server beside
//! this node.

use crate::digest::Digest;
use crate::prelude::*;
use crate::process::members::notices::{Crash, Suspect};

/// Time after which a suspect is forgotten.
pub const EXPIRY: Duration = Duration::from_secs(600);
/// Age above which a notice is not taken any more. It is below [`EXPIRY`], so that nodes which forget a suspect at
/// slightly different times do not keep handing it to each other.
pub const OLDEST_NOTICE: Duration = Duration::from_secs(570);
/// Most suspects that are kept; the oldest leaves first, one that is not quarantined before one that is.
pub const MAX_SUSPECTS: usize = 1024;
/// Crashes that quarantine a request whatever else was in flight.
pub const MAX_CRASHES: usize = 3;
/// Time for which a lost request counts for the crash that broke its connection. A restarted backend server announces
/// its new incarnation within a second or two.
pub const LOST_WINDOW: Duration = Duration::from_secs(5);

/// What is known about a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing.
    Clean,
    /// It was in flight during a crash.
    Suspect,
    /// It is quarantined.
    Quarantined,
}

/// Whether the crashes of one epoch put the request into quarantine: a second crash with the request as the only suspect, or a third.
pub fn is_quarantined(s: &Suspect) -> bool {
    let n = s.crashes.len();
    n >= MAX_CRASHES || (n >= 2 && s.crashes.iter().any(|c| c.alone))
}

#[derive(Debug)]
struct Held {
    suspect: Suspect,
    born: Now,
}

/// Suspects known to a node.
#[derive(Debug, Default)]
pub struct Suspects {
    held: BTreeMap<Digest, Held>,
}

impl Suspects {
    /// Adds a notice; returns the merged suspect when it changed something.
    pub fn merge(&mut self, s: Suspect, now: Now) -> Option<Suspect> {
        let age = Duration::from_millis(s.age_ms);
        if age > OLDEST_NOTICE || s.crashes.len() > 2 * MAX_CRASHES {
            return None;
        }
        let born = now.saturating_sub(age);
        let fingerprint = s.fingerprint;
        match self.held.get_mut(&fingerprint) {
            Some(h) if h.suspect.epoch > s.epoch => return None,
            Some(h) if h.suspect.epoch == s.epoch => {
                h.born = h.born.min(born);
                let before = h.suspect.crashes.len();
                h.suspect.crashes.extend(s.crashes);
                h.suspect.crashes.sort();
                h.suspect.crashes.dedup();
                h.suspect.crashes.truncate(2 * MAX_CRASHES);
                if h.suspect.crashes.len() == before {
                    return None;
                }
            }
            _ => {
                self.held.insert(fingerprint, Held { suspect: s, born });
                self.bound();
            }
        }
        self.held.get(&fingerprint).map(|h| h.sent(now))
    }

    fn bound(&mut self) {
        if self.held.len() <= MAX_SUSPECTS {
            return;
        }
        let order = |h: &Held| (is_quarantined(&h.suspect), h.born);
        let oldest = self.held.iter().min_by_key(|(_, h)| order(h));
        if let Some(f) = oldest.map(|(f, _)| *f) {
            self.held.remove(&f);
        }
    }

    /// Forgets suspects that are too old.
    pub fn expire(&mut self, now: Now) {
        self.held.retain(|_, h| now < h.born + EXPIRY);
    }

    /// What is known about a request.
    pub fn verdict(&self, fingerprint: &Digest, now: Now) -> Verdict {
        match self.held.get(fingerprint) {
            Some(h) if h.suspect.crashes.is_empty() || now >= h.born + EXPIRY => Verdict::Clean,
            Some(h) if is_quarantined(&h.suspect) => Verdict::Quarantined,
            Some(_) => Verdict::Suspect,
            None => Verdict::Clean,
        }
    }

    /// Whether nothing is known about any request.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// A suspect or a quarantined request, to tell the next node on its way.
    pub fn get(&self, fingerprint: &Digest, now: Now) -> Option<Suspect> {
        let known = self.verdict(fingerprint, now) != Verdict::Clean;
        self.held
            .get(fingerprint)
            .filter(|_| known)
            .map(|h| h.sent(now))
    }

    /// Counts a crash; returns the notice to spread.
    pub fn crashed(&mut self, fingerprint: Digest, crash: Crash, now: Now) -> Option<Suspect> {
        let epoch = self.held.get(&fingerprint).map_or(0, |h| h.suspect.epoch);
        let new = Suspect {
            fingerprint,
            epoch,
            crashes: vec![crash],
            age_ms: 0,
        };
        self.merge(new, now)
    }

    /// Clears a suspect or a quarantined request; returns the notice to spread, `None` when there is nothing to clear.
    pub fn clear(&mut self, fingerprint: &Digest, now: Now) -> Option<Suspect> {
        let held = self.held.get(fingerprint)?;
        if held.suspect.crashes.is_empty() {
            return None;
        }
        let new = Suspect {
            fingerprint: *fingerprint,
            epoch: held.suspect.epoch + 1,
            crashes: Vec::new(),
            age_ms: 0,
        };
        self.merge(new, now)
    }

    /// All suspects with their age, for a new link and for operators. Cleared ones are included: they replace what
    /// others still hold.
    pub fn list(&self, now: Now) -> Vec<Suspect> {
        self.held.values().map(|h| h.sent(now)).collect()
    }
}

impl Held {
    fn sent(&self, now: Now) -> Suspect {
        Suspect {
            age_ms: now.saturating_sub(self.born).as_millis() as u64,
            ..self.suspect.clone()
        }
    }
}

/// Names one run at the backend server.
pub type FlightId = u64;

#[derive(Debug)]
struct Flight {
    fingerprint: Digest,
    /// Whether it has been sent to the backend server.
    sent: bool,
    /// Time at which its connection was lost.
    lost: Option<Now>,
    /// Whether a crash has counted it.
    counted: bool,
}

/// Whether a request may start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Start {
    /// It runs under this id.
    Run(FlightId),
    /// Another suspect runs here: wait until it ends.
    Wait,
    /// It is quarantined.
    Refused,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FlightEnd {
    /// With a whole answer.
    Completed,
    /// Its connection broke.
    Lost,
    /// Without a finding: cancelled, timed out or never sent.
    Open,
}

/// Requests in flight at the backend server beside this node.
#[derive(Debug, Default)]
pub struct Flights {
    running: BTreeMap<FlightId, Flight>,
    next: FlightId,
}

impl Flights {
    /// Starts a request unless it is quarantined or another suspect runs here.
    pub fn start(&mut self, fingerprint: Digest, suspects: &Suspects, now: Now) -> Start {
        let busy = |f: &Flight| {
            f.lost.is_none() && suspects.verdict(&f.fingerprint, now) != Verdict::Clean
        };
        match suspects.verdict(&fingerprint, now) {
            Verdict::Quarantined => return Start::Refused,
            Verdict::Suspect if self.running.values().any(busy) => return Start::Wait,
            _ => {}
        }
        self.next += 1;
        let flight = Flight {
            fingerprint,
            sent: false,
            lost: None,
            counted: false,
        };
        self.running.insert(self.next, flight);
        Start::Run(self.next)
    }

    /// The request is about to be sent. It may have become suspected or quarantined while it waited for a slot.
    pub fn sent(&mut self, id: FlightId, suspects: &Suspects, now: Now) -> Start {
        let Some(fingerprint) = self.running.get(&id).map(|f| f.fingerprint) else {
            return Start::Refused;
        };
        let busy = |(other, f): (&FlightId, &Flight)| {
            *other != id
                && f.sent
                && f.lost.is_none()
                && suspects.verdict(&f.fingerprint, now) != Verdict::Clean
        };
        match suspects.verdict(&fingerprint, now) {
            Verdict::Quarantined => return Start::Refused,
            Verdict::Suspect if self.running.iter().any(busy) => return Start::Wait,
            _ => {}
        }
        if let Some(f) = self.running.get_mut(&id) {
            f.sent = true;
        }
        Start::Run(id)
    }

    /// Ends a run. Returns the fingerprint to clear when a suspect completed; a quarantined one stays quarantined.
    pub fn end(
        &mut self,
        id: FlightId,
        end: FlightEnd,
        suspects: &Suspects,
        now: Now,
    ) -> Option<Digest> {
        match end {
            FlightEnd::Lost => {
                if let Some(f) = self.running.get_mut(&id) {
                    f.lost = Some(now);
                }
                self.expire(now);
                None
            }
            _ => {
                let f = self.running.remove(&id)?.fingerprint;
                let clear =
                    end == FlightEnd::Completed && suspects.verdict(&f, now) == Verdict::Suspect;
                clear.then_some(f)
            }
        }
    }

    /// Forgets lost requests that no crash has claimed in time.
    pub fn expire(&mut self, now: Now) {
        self.running.retain(|_, f| {
            f.lost.is_none_or(|t| now < t + LOST_WINDOW) && !(f.lost.is_some() && f.counted)
        });
    }

    /// The backend server crashed: returns the crash of each request that was in flight. `id` names the crash.
    pub fn crashed(&mut self, id: u64, suspects: &Suspects, now: Now) -> Vec<(Digest, Crash)> {
        self.expire(now);
        let fresh = self.running.values_mut().filter(|f| f.sent && !f.counted);
        let mut found: Vec<_> = fresh
            .map(|f| {
                f.counted = true;
                f.fingerprint
            })
            .collect();
        found.sort();
        found.dedup();
        let suspect = |f: &Digest| suspects.verdict(f, now) != Verdict::Clean;
        let suspected = found.iter().filter(|f| suspect(f)).count();
        found
            .into_iter()
            .map(|f| {
                let alone = suspected == 1 && suspect(&f);
                (f, Crash { id, alone })
            })
            .collect()
    }

    /// Requests in flight, without those that were lost.
    pub fn running(&self) -> usize {
        self.running.values().filter(|f| f.lost.is_none()).count()
    }
}
