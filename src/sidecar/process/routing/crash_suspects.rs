//! Requests that crash the targets that run them, recognized by their content. No I/O.
//!
//! Every request that a target was running when it ended is a suspect. One that was running at several ends and has
//! never been served in between counts as the cause: it is rejected for a while, and not retried after that until it is
//! served. Ends at the same time have one cause, which is none of the requests.
//!
//! Nodes tell each other what they know when a link opens, since one of them may have started again or have been cut off
//! meanwhile. Ages are durations, because the clocks of nodes differ.

use serde::{Deserialize, Serialize};

use crate::digest::Digest;
use crate::prelude::*;
use crate::sidecar::request::admit::TargetRequest;

/// Hash of what makes a request the same one when it comes again: its caller, its service, and its content.
pub type Fingerprint = u64;

/// Number of ends of targets from which on a request counts as their cause.
pub const MAX_CRASHES: u32 = 3;
/// Time after an end within which others count as simultaneous, except for a retry, which was sent after the first one.
pub const SIMULTANEOUS: Duration = Duration::from_secs(1);
/// Time after the last end for which a request that counts as the cause is rejected.
pub const REJECTED_FOR: Duration = Duration::from_secs(30);
/// Time after the last end for which a suspect is remembered.
const KEPT_FOR: Duration = Duration::from_secs(3600);
/// Maximum number of suspects.
const MAX_SUSPECTS: usize = 1024;
/// Number of ends from which on other nodes are told of a suspect, also that it was served.
const SHARED_CRASHES: u32 = 2;
/// Maximum numbers of suspects and of served requests in the reports for one node, which many others send to it at its start.
const MAX_REPORTS: usize = 32;

/// A request that a target was running when it ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashedRequest {
    /// What makes it the same request when it comes again.
    pub fingerprint: Fingerprint,
    /// Whether an earlier attempt had reached another target.
    pub retry: bool,
}

/// What a node knows of a request that may crash targets, for another node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectReport {
    /// What makes it the same request when it comes again.
    #[serde(rename = "f")]
    pub fingerprint: Fingerprint,
    /// Number of ends of targets that were running it; 0 if it was served.
    #[serde(rename = "c")]
    pub crashes: u32,
    /// Time since the last of these ends, or since it was served, in ms.
    #[serde(rename = "a")]
    pub age_ms: u64,
}

/// Returns the fingerprint of a request.
pub fn fingerprint(request: &TargetRequest) -> Fingerprint {
    let text = [
        request.caller.as_bytes(),
        request.service.as_bytes(),
        request.method.as_str().as_bytes(),
        request.path.as_bytes(),
        &request.body,
    ]
    .join(&b'\n');
    Digest::of(&text).short()
}

/// How a request may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashVerdict {
    /// Like any other.
    Allowed,
    /// To one target only.
    NoRetry,
    /// To none for this time.
    Rejected(Duration),
}

/// Time on the clock of the process, later by [`KEPT_FOR`], so that all times of what is remembered can be expressed, also
/// those before the start of the process.
type ShiftedTime = Duration;

fn shifted(now: Now) -> ShiftedTime {
    now + KEPT_FOR
}

#[derive(Debug, Clone, Copy)]
struct Suspect {
    crashes: u32,
    last_crash: ShiftedTime,
}

impl Suspect {
    /// Order in which suspects are kept if there are too many.
    fn order(&self) -> (bool, ShiftedTime) {
        (self.crashes >= MAX_CRASHES, self.last_crash)
    }
}

/// The suspects that a node knows of.
#[derive(Debug, Default)]
pub struct CrashSuspects {
    suspects: HashMap<Fingerprint, Suspect>,
    /// Requests that were served although they had been suspected, with the time of that; older suspicions do not count.
    served: HashMap<Fingerprint, ShiftedTime>,
    /// Culprits that the store listed when the process started, with the time of that; when they last crashed a target is not
    /// known.
    stored: HashMap<Fingerprint, ShiftedTime>,
    /// Whether another node has told what it knows.
    informed: bool,
}

impl CrashSuspects {
    /// Whether there are no suspects.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty() && self.stored.is_empty()
    }

    /// Whether a request counts as the cause of ends of targets.
    pub fn is_culprit(&self, fingerprint: Fingerprint) -> bool {
        let suspect = self.suspects.get(&fingerprint);
        self.stored.contains_key(&fingerprint) || suspect.is_some_and(|s| s.crashes >= MAX_CRASHES)
    }

    /// Records the culprits that the store lists when the process starts.
    pub fn record_stored(&mut self, fingerprints: &[Fingerprint], now: Now) {
        let stored = fingerprints.iter().take(MAX_SUSPECTS);
        let unserved = stored.filter(|f| !self.served.contains_key(*f));
        self.stored.extend(unserved.map(|f| (*f, shifted(now))));
    }

    /// Forgets what is too old.
    pub fn expire(&mut self, now: Now) {
        let is_kept = |t: ShiftedTime| shifted(now) < t + KEPT_FOR;
        self.suspects.retain(|_, s| is_kept(s.last_crash));
        self.served.retain(|_, t| is_kept(*t));
        self.stored.retain(|_, t| is_kept(*t));
    }

    /// Whether another node has told this one what it knows. A process that has just started may not know a culprit before.
    pub fn is_informed(&self) -> bool {
        self.informed
    }

    /// Records that a target ended while it was running a request. Returns whether the request now counts as the cause.
    pub fn record_crash(&mut self, crashed: CrashedRequest, now: Now) -> bool {
        let at = shifted(now);
        let suspect = self.suspect(crashed.fingerprint, at);
        let simultaneous = suspect.crashes > 0 && at < suspect.last_crash + SIMULTANEOUS;
        suspect.last_crash = at;
        if simultaneous && !crashed.retry {
            return false;
        }
        suspect.crashes += 1;
        suspect.crashes == MAX_CRASHES
    }

    /// The suspect with this fingerprint; a new one has no crashes, unless the store knows it.
    fn suspect(&mut self, fingerprint: Fingerprint, at: ShiftedTime) -> &mut Suspect {
        if !self.suspects.contains_key(&fingerprint) {
            make_room(&mut self.suspects, Suspect::order, at);
        }
        let crashes = match self.stored.contains_key(&fingerprint) {
            true => MAX_CRASHES,
            false => 0,
        };
        self.suspects.entry(fingerprint).or_insert(Suspect {
            crashes,
            last_crash: at,
        })
    }

    /// Records that a request was served, so that it is no suspect. Returns whether other nodes may suspect it too.
    pub fn record_served(&mut self, fingerprint: Fingerprint, now: Now) -> bool {
        let stored = self.stored.remove(&fingerprint).is_some();
        let removed = self.suspects.remove(&fingerprint);
        let shared = stored || removed.is_some_and(|s| s.crashes >= SHARED_CRASHES);
        if shared {
            self.add_served(fingerprint, shifted(now));
        }
        shared
    }

    /// Records that another node served a request, so that it is no suspect.
    pub fn record_served_elsewhere(&mut self, fingerprint: Fingerprint, now: Now) {
        self.add_served(fingerprint, shifted(now));
    }

    fn add_served(&mut self, fingerprint: Fingerprint, at: ShiftedTime) {
        self.stored.remove(&fingerprint);
        if !self.served.contains_key(&fingerprint) {
            make_room(&mut self.served, |t| (false, *t), at);
        }
        let served = self.served.entry(fingerprint).or_insert(at);
        *served = at.max(*served);
        let suspect = self.suspects.get(&fingerprint);
        if suspect.is_some_and(|s| s.last_crash <= at) {
            self.suspects.remove(&fingerprint);
        }
    }

    /// What to tell another node: the worst suspects, and the requests that were served last.
    pub fn reports(&self, now: Now) -> Vec<SuspectReport> {
        let at = shifted(now);
        let report = |fingerprint, crashes, time| SuspectReport {
            fingerprint,
            crashes,
            age_ms: at.saturating_sub(time).as_millis() as u64,
        };
        let shared = self.suspects.iter();
        let shared = shared.filter(|(_, s)| s.crashes >= SHARED_CRASHES);
        let mut out = latest(
            shared.map(|(f, s)| (s.last_crash, report(*f, s.crashes, s.last_crash))),
            at,
        );
        out.extend(latest(
            self.served.iter().map(|(f, t)| (*t, report(*f, 0, *t))),
            at,
        ));
        out
    }

    /// Merges what another node knows. A suspect does not become younger by it, and one that was served since is none.
    pub fn merge(&mut self, reports: &[SuspectReport], now: Now) {
        self.informed = true;
        for r in reports.iter().take(2 * MAX_REPORTS) {
            let age = Duration::from_millis(r.age_ms);
            let Some(at) = shifted(now).checked_sub(age).filter(|_| age < KEPT_FOR) else {
                continue;
            };
            match self.served.get(&r.fingerprint) {
                _ if r.crashes == 0 => self.add_served(r.fingerprint, at),
                Some(served) if *served >= at => {}
                _ => self.merge_suspect(r, at),
            }
        }
    }

    fn merge_suspect(&mut self, r: &SuspectReport, at: ShiftedTime) {
        let known = self.suspects.get(&r.fingerprint);
        if known.is_some_and(|s| s.crashes >= r.crashes) {
            return;
        }
        let last_crash = known.map_or(at, |s| s.last_crash.max(at));
        *self.suspect(r.fingerprint, at) = Suspect {
            crashes: r.crashes,
            last_crash,
        };
    }

    /// How a request may be sent.
    pub fn verdict(&self, fingerprint: Fingerprint, now: Now) -> CrashVerdict {
        let now = shifted(now);
        let suspect = self.suspects.get(&fingerprint);
        match suspect.map(|s| (s.crashes, s.last_crash)) {
            Some((crashes, last)) if crashes >= MAX_CRASHES && now < last + REJECTED_FOR => {
                CrashVerdict::Rejected(last + REJECTED_FOR - now)
            }
            Some((crashes, last)) if crashes >= MAX_CRASHES && now < last + KEPT_FOR => {
                CrashVerdict::NoRetry
            }
            _ if self.stored.contains_key(&fingerprint) => CrashVerdict::NoRetry,
            _ => CrashVerdict::Allowed,
        }
    }
}

/// Makes room for an entry: removes those that are too old, then those with the lowest priority, the oldest first.
/// `order` returns the priority and the time of an entry.
fn make_room<V, F>(entries: &mut HashMap<Fingerprint, V>, order: F, now: ShiftedTime)
where
    F: Fn(&V) -> (bool, ShiftedTime),
{
    if entries.len() < MAX_SUSPECTS {
        return;
    }
    entries.retain(|_, v| now < order(v).1 + KEPT_FOR);
    while entries.len() >= MAX_SUSPECTS {
        let last = entries.iter().min_by_key(|(_, v)| order(v));
        let Some(last) = last.map(|(f, _)| *f) else {
            return;
        };
        entries.remove(&last);
    }
}

/// The reports with the latest times, as many as one node gets, without those that are too old.
fn latest<I>(reports: I, now: ShiftedTime) -> Vec<SuspectReport>
where
    I: Iterator<Item = (ShiftedTime, SuspectReport)>,
{
    let mut kept: Vec<_> = reports.filter(|(t, _)| now < *t + KEPT_FOR).collect();
    kept.sort_by_key(|(t, r)| (r.crashes < MAX_CRASHES, std::cmp::Reverse(*t)));
    kept.into_iter().map(|(_, r)| r).take(MAX_REPORTS).collect()
}
