//! Requests that crash the targets that run them, recognized by their content. No I/O.
//!
//! Every request that a target was running when it ended is a suspect. One that was running at several ends and has
//! never been served in between counts as the cause: it is rejected for a while, and not retried after that until it is
//! served. Ends at the same time have one cause, which is none of the requests.

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

/// A request that a target was running when it ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashedRequest {
    /// What makes it the same request when it comes again.
    pub fingerprint: Fingerprint,
    /// Whether an earlier attempt had reached another target.
    pub retry: bool,
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

#[derive(Debug, Clone, Copy)]
struct Suspect {
    crashes: u32,
    last_crash: Now,
}

/// The suspects that a node knows of.
#[derive(Debug, Default)]
pub struct CrashSuspects {
    suspects: HashMap<Fingerprint, Suspect>,
}

impl CrashSuspects {
    /// Whether there are no suspects.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Records that a target ended while it was running a request. Returns whether the request now counts as the cause.
    pub fn record_crash(&mut self, crashed: CrashedRequest, now: Now) -> bool {
        if !self.suspects.contains_key(&crashed.fingerprint) {
            self.make_room(now);
        }
        let suspect = self.suspects.entry(crashed.fingerprint);
        let suspect = suspect.or_insert(Suspect {
            crashes: 0,
            last_crash: now,
        });
        let simultaneous = suspect.crashes > 0 && now < suspect.last_crash + SIMULTANEOUS;
        suspect.last_crash = now;
        if simultaneous && !crashed.retry {
            return false;
        }
        suspect.crashes += 1;
        suspect.crashes == MAX_CRASHES
    }

    fn make_room(&mut self, now: Now) {
        if self.suspects.len() < MAX_SUSPECTS {
            return;
        }
        self.suspects.retain(|_, s| now < s.last_crash + KEPT_FOR);
        while self.suspects.len() >= MAX_SUSPECTS {
            let oldest = self.suspects.iter().min_by_key(|(_, s)| s.last_crash);
            let Some(oldest) = oldest.map(|(f, _)| *f) else {
                return;
            };
            self.suspects.remove(&oldest);
        }
    }

    /// Records that a request was served, so that it is no suspect. Returns whether other nodes may suspect it too.
    pub fn record_served(&mut self, fingerprint: Fingerprint) -> bool {
        let removed = self.suspects.remove(&fingerprint);
        removed.is_some_and(|s| s.crashes > 1)
    }

    /// How a request may be sent.
    pub fn verdict(&self, fingerprint: Fingerprint, now: Now) -> CrashVerdict {
        let suspect = self.suspects.get(&fingerprint);
        match suspect.map(|s| (s.crashes, s.last_crash)) {
            Some((crashes, last)) if crashes >= MAX_CRASHES && now < last + REJECTED_FOR => {
                CrashVerdict::Rejected(last + REJECTED_FOR - now)
            }
            Some((crashes, last)) if crashes >= MAX_CRASHES && now < last + KEPT_FOR => {
                CrashVerdict::NoRetry
            }
            _ => CrashVerdict::Allowed,
        }
    }
}
