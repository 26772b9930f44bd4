//! Requests suspected of crashing backend servers.
//!
//! [`Suspects`] is a table that is replicated to all nodes through notices. [`Executions`] tracks the requests that are
//! in flight at the local backend server.

use crate::digest::Digest;
use crate::prelude::*;
use crate::process::members::notices::{Crash, Suspect};

/// Age at which a suspect is removed from the table.
pub const SUSPECT_TTL: Duration = Duration::from_secs(600);
/// Age above which a notice is ignored. It is below [`SUSPECT_TTL`], so that nodes which expire a suspect at slightly
/// different times do not keep sending it to each other.
pub const MAX_NOTICE_AGE: Duration = Duration::from_secs(570);
/// Maximum number of suspects. The oldest that is not quarantined is evicted first; if all are quarantined, the oldest.
pub const MAX_SUSPECTS: usize = 1024;
/// Number of crashes after which a request is quarantined, whatever else was in flight.
pub const QUARANTINE_CRASHES: usize = 3;
/// Time after a lost connection during which a crash is attributed to the request. A restarted backend server announces
/// its new incarnation within one to two seconds.
pub const ATTRIBUTION_WINDOW: Duration = Duration::from_secs(5);

/// Classification of a request by its fingerprint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// No crash is known.
    Clean,
    /// The request was in flight during a crash.
    Suspect,
    /// The request is quarantined and is rejected by all nodes.
    Quarantined,
}

/// Whether the crashes of the current epoch quarantine the request: [`QUARANTINE_CRASHES`] crashes, or two if the
/// request was the only suspect in flight at one of them.
pub fn is_quarantined(s: &Suspect) -> bool {
    let n = s.crashes.len();
    n >= QUARANTINE_CRASHES || (n >= 2 && s.crashes.iter().any(|c| c.alone))
}

#[derive(Debug)]
struct SuspectEntry {
    suspect: Suspect,
    /// Time at which it is removed, [`SUSPECT_TTL`] after the first crash, which may have been before this process started.
    ends: Now,
}

/// Table of suspects of one node.
#[derive(Debug, Default)]
pub struct Suspects {
    entries: BTreeMap<Digest, SuspectEntry>,
}

impl Suspects {
    /// Merges a notice. Returns the merged suspect if the table changed.
    pub fn merge(&mut self, s: Suspect, now: Now) -> Option<Suspect> {
        let age = Duration::from_millis(s.age_ms);
        if age > MAX_NOTICE_AGE || s.crashes.len() > 2 * QUARANTINE_CRASHES {
            return None;
        }
        let ends = now + SUSPECT_TTL - age;
        let fingerprint = s.fingerprint;
        match self.entries.get_mut(&fingerprint) {
            Some(e) if e.suspect.epoch > s.epoch => return None,
            Some(e) if e.suspect.epoch == s.epoch => {
                e.ends = e.ends.min(ends);
                let old_count = e.suspect.crashes.len();
                e.suspect.crashes.extend(s.crashes);
                e.suspect.crashes.sort();
                e.suspect.crashes.dedup();
                e.suspect.crashes.truncate(2 * QUARANTINE_CRASHES);
                if e.suspect.crashes.len() == old_count {
                    return None;
                }
            }
            _ => {
                self.entries
                    .insert(fingerprint, SuspectEntry { suspect: s, ends });
                self.evict_oldest();
            }
        }
        self.entries.get(&fingerprint).map(|e| e.to_notice(now))
    }

    fn evict_oldest(&mut self) {
        if self.entries.len() <= MAX_SUSPECTS {
            return;
        }
        let eviction_key = |e: &SuspectEntry| (is_quarantined(&e.suspect), e.ends);
        let oldest = self.entries.iter().min_by_key(|(_, e)| eviction_key(e));
        if let Some(f) = oldest.map(|(f, _)| *f) {
            self.entries.remove(&f);
        }
    }

    /// Removes suspects that have reached [`SUSPECT_TTL`].
    pub fn expire(&mut self, now: Now) {
        self.entries.retain(|_, e| now < e.ends);
    }

    /// Classifies a request; cleared and expired suspects are clean.
    pub fn verdict(&self, fingerprint: &Digest, now: Now) -> Verdict {
        match self.entries.get(fingerprint) {
            Some(e) if e.suspect.crashes.is_empty() || now >= e.ends => Verdict::Clean,
            Some(e) if is_quarantined(&e.suspect) => Verdict::Quarantined,
            Some(_) => Verdict::Suspect,
            None => Verdict::Clean,
        }
    }

    /// Whether the table is empty; cleared suspects stay in it until they expire.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Notice about a suspected or quarantined request, to be forwarded with the request to the next node.
    pub fn get(&self, fingerprint: &Digest, now: Now) -> Option<Suspect> {
        let suspected = self.verdict(fingerprint, now) != Verdict::Clean;
        self.entries
            .get(fingerprint)
            .filter(|_| suspected)
            .map(|e| e.to_notice(now))
    }

    /// Records a crash. Returns the notice to send to the peers.
    pub fn record_crash(&mut self, fingerprint: Digest, crash: Crash, now: Now) -> Option<Suspect> {
        let epoch = self
            .entries
            .get(&fingerprint)
            .map_or(0, |e| e.suspect.epoch);
        let update = Suspect {
            fingerprint,
            epoch,
            crashes: vec![crash],
            age_ms: 0,
        };
        self.merge(update, now)
    }

    /// Clears a suspected or quarantined request. Returns the notice to send to the peers, or `None` if there was
    /// nothing to clear.
    pub fn clear(&mut self, fingerprint: &Digest, now: Now) -> Option<Suspect> {
        let entry = self.entries.get(fingerprint)?;
        if entry.suspect.crashes.is_empty() {
            return None;
        }
        let update = Suspect {
            fingerprint: *fingerprint,
            epoch: entry.suspect.epoch + 1,
            crashes: Vec::new(),
            age_ms: 0,
        };
        self.merge(update, now)
    }

    /// All suspects with their age, for new links and for operators. Cleared suspects are included, because they
    /// replace the entries that peers still hold.
    pub fn list(&self, now: Now) -> Vec<Suspect> {
        self.entries.values().map(|e| e.to_notice(now)).collect()
    }
}

impl SuspectEntry {
    fn to_notice(&self, now: Now) -> Suspect {
        Suspect {
            age_ms: (now + SUSPECT_TTL).saturating_sub(self.ends).as_millis() as u64,
            ..self.suspect.clone()
        }
    }
}

/// Identifies one execution of a request at the backend server.
pub type ExecutionId = u64;

#[derive(Debug)]
struct Execution {
    fingerprint: Digest,
    sent: bool,
    /// Time at which the request ended as [`ExecutionEnd::ConnectionLost`].
    lost_at: Option<Now>,
    attributed: bool,
}

/// Decision on whether a request may start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartDecision {
    /// The request may run, under this id.
    Run(ExecutionId),
    /// Another suspect is running here; wait until it finishes.
    Wait,
    /// The request is quarantined.
    Reject,
}

/// How an execution ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExecutionEnd {
    /// The response was complete.
    Completed,
    /// The request was sent, but its response did not arrive in full: the connection was lost, the response was
    /// invalid, or the request timed out or was abandoned. A crash within [`ATTRIBUTION_WINDOW`] is attributed to it.
    ConnectionLost,
    /// The request was not sent or provably did not run, which says nothing about it.
    Inconclusive,
}

/// Requests in flight at the local backend server.
#[derive(Debug, Default)]
pub struct Executions {
    running: BTreeMap<ExecutionId, Execution>,
    last_id: ExecutionId,
}

impl Executions {
    /// Starts a request, unless it is quarantined or it is a suspect and another suspect is running here.
    pub fn start(&mut self, fingerprint: Digest, suspects: &Suspects, now: Now) -> StartDecision {
        let blocks = |e: &Execution| {
            e.lost_at.is_none() && suspects.verdict(&e.fingerprint, now) != Verdict::Clean
        };
        match suspects.verdict(&fingerprint, now) {
            Verdict::Quarantined => return StartDecision::Reject,
            Verdict::Suspect if self.running.values().any(blocks) => return StartDecision::Wait,
            _ => {}
        }
        self.last_id += 1;
        let execution = Execution {
            fingerprint,
            sent: false,
            lost_at: None,
            attributed: false,
        };
        self.running.insert(self.last_id, execution);
        StartDecision::Run(self.last_id)
    }

    /// Marks a request as sent. Checks it again first, because it may have become suspected or quarantined while it
    /// waited for a slot.
    pub fn mark_sent(&mut self, id: ExecutionId, suspects: &Suspects, now: Now) -> StartDecision {
        let Some(fingerprint) = self.running.get(&id).map(|e| e.fingerprint) else {
            return StartDecision::Reject;
        };
        let blocks = |(other, e): (&ExecutionId, &Execution)| {
            *other != id
                && e.sent
                && e.lost_at.is_none()
                && suspects.verdict(&e.fingerprint, now) != Verdict::Clean
        };
        match suspects.verdict(&fingerprint, now) {
            Verdict::Quarantined => return StartDecision::Reject,
            Verdict::Suspect if self.running.iter().any(blocks) => return StartDecision::Wait,
            _ => {}
        }
        if let Some(e) = self.running.get_mut(&id) {
            e.sent = true;
        }
        StartDecision::Run(id)
    }

    /// Ends an execution. Returns the fingerprint to clear if a suspect completed; quarantined requests stay
    /// quarantined.
    pub fn end(
        &mut self,
        id: ExecutionId,
        end: ExecutionEnd,
        suspects: &Suspects,
        now: Now,
    ) -> Option<Digest> {
        match end {
            ExecutionEnd::ConnectionLost => {
                if let Some(e) = self.running.get_mut(&id) {
                    e.lost_at = Some(now);
                }
                self.expire(now);
                None
            }
            _ => {
                let f = self.running.remove(&id)?.fingerprint;
                let clear =
                    end == ExecutionEnd::Completed && suspects.verdict(&f, now) == Verdict::Suspect;
                clear.then_some(f)
            }
        }
    }

    /// Removes lost requests once a crash was attributed to them or [`ATTRIBUTION_WINDOW`] has passed.
    pub fn expire(&mut self, now: Now) {
        self.running.retain(|_, e| {
            e.lost_at.is_none_or(|t| now < t + ATTRIBUTION_WINDOW)
                && !(e.lost_at.is_some() && e.attributed)
        });
    }

    /// Attributes a crash of the backend server, identified by `id`, to each request that was in flight.
    pub fn attribute_crash(
        &mut self,
        id: u64,
        suspects: &Suspects,
        now: Now,
    ) -> Vec<(Digest, Crash)> {
        self.expire(now);
        let candidates = self
            .running
            .values_mut()
            .filter(|e| e.sent && !e.attributed);
        let mut fingerprints: Vec<_> = candidates
            .map(|e| {
                e.attributed = true;
                e.fingerprint
            })
            .collect();
        fingerprints.sort();
        fingerprints.dedup();
        let is_suspect = |f: &Digest| suspects.verdict(f, now) != Verdict::Clean;
        let suspect_count = fingerprints.iter().filter(|f| is_suspect(f)).count();
        fingerprints
            .into_iter()
            .map(|f| {
                let alone = suspect_count == 1 && is_suspect(&f);
                (f, Crash { id, alone })
            })
            .collect()
    }

    /// Number of requests in flight, without those whose connection was lost.
    pub fn running(&self) -> usize {
        self.running
            .values()
            .filter(|e| e.lost_at.is_none())
            .count()
    }
}
