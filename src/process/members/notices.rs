//! Notices: small facts that are replicated to every node, namely suspected requests and ownership of idempotency keys.
//!
//! Merging is commutative and idempotent, so notices may arrive late, twice or in any order.

use std::sync::{Mutex, MutexGuard};

use serde::{Deserialize, Serialize};

use crate::digest::Digest;
use crate::prelude::*;
use crate::process::clock::{Clock, ProcessClock};
use crate::process::target::quarantine::{Suspects, Verdict};
use crate::request::reason::Reason;

/// Index of a shard of idempotency keys.
pub type Shard = u16;

/// One crash of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Crash {
    /// Hash of the node id and the incarnation of its backend server, so that one crash counts once.
    pub id: u64,
    /// Whether the suspected request was the only one in flight.
    pub alone: bool,
}

/// A request that was in flight when a backend server crashed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// Hash of method, host, path, query and body prefix, which identifies the request.
    pub fingerprint: Digest,
    /// Raised when the suspicion is cleared; a notice with a higher epoch discards the crashes of lower ones.
    pub epoch: u64,
    /// Crashes counted in this epoch, in ascending order.
    pub crashes: Vec<Crash>,
    /// Time from the first crash until the notice was sent, in milliseconds.
    pub age_ms: u64,
}

/// Range of key times in a shard, owned permanently by one incarnation of a node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyRange {
    /// First key time, in milliseconds since the Unix epoch.
    pub from_ms: u64,
    /// End of the range (exclusive), in milliseconds since the Unix epoch.
    pub until_ms: u64,
    /// Node that deduplicates the requests whose keys are in the range.
    pub owner: NodeId,
    /// Incarnation of the owner; a later process of the same node does not own the range.
    pub incarnation: Incarnation,
    /// Random number that identifies the owner's process.
    pub token: u64,
}

/// Ownership of a shard, as stored in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Shard that the grant is about.
    pub shard: Shard,
    /// Number of changes; a grant with a higher number replaces one with a lower number. It is part of the stored value
    /// because the revisions of the store go back when the store is restored to an older state.
    pub revision: u64,
    /// Ranges in ascending order of time, without overlaps.
    pub ranges: Vec<KeyRange>,
}

/// A fact that is replicated to every node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Notice {
    /// A suspected request.
    Suspect(Suspect),
    /// Ownership of a shard.
    Grant(Grant),
}

#[derive(Default)]
struct State {
    suspects: Suspects,
    grants: BTreeMap<Shard, Grant>,
}

/// All notices that this node knows.
pub struct Notices {
    state: Mutex<State>,
    clock: Arc<dyn Clock>,
}

impl Default for Notices {
    fn default() -> Self {
        Self::new(Arc::new(ProcessClock::default()))
    }
}

impl Notices {
    /// Creates an empty set of notices. `clock` measures the age of suspects.
    pub fn new(clock: Arc<dyn Clock>) -> Self {
        Self {
            state: Mutex::default(),
            clock,
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Merges notices. Returns those that changed something and have to be forwarded to other peers.
    pub fn merge(&self, list: Vec<Notice>) -> Vec<Notice> {
        let now = self.clock.now();
        let mut s = self.state();
        list.into_iter().filter_map(|n| s.merge(n, now)).collect()
    }

    /// All notices, to be sent on a new link.
    pub fn all(&self) -> Vec<Notice> {
        let now = self.clock.now();
        let s = self.state();
        let suspects = s.suspects.list(now).into_iter().map(Notice::Suspect);
        suspects
            .chain(s.grants.values().cloned().map(Notice::Grant))
            .collect()
    }

    /// Calls `f` with the suspects and the present time.
    pub fn suspects<F, T>(&self, f: F) -> T
    where
        F: FnOnce(&mut Suspects, Now) -> T,
    {
        f(&mut self.state().suspects, self.clock.now())
    }

    /// What is known about a request.
    pub fn verdict(&self, fingerprint: &Digest) -> Verdict {
        self.suspects(|s, now| s.verdict(fingerprint, now))
    }

    /// Grants of all shards whose ownership is known.
    pub fn grants(&self) -> Vec<Grant> {
        self.state().grants.values().cloned().collect()
    }

    /// Finds the range of a shard that contains a key time.
    ///
    /// # Errors
    ///
    /// [`Reason::KeyExpired`] for a time before the first known range, [`Reason::OwnerUnreachable`] for any other time
    /// outside all known ranges: an owner that this node does not know may have run a request with this key.
    pub fn owner(&self, shard: Shard, key_ms: u64) -> Result<KeyRange, Reason> {
        let s = self.state();
        let ranges = s.grants.get(&shard).map_or(&[][..], |g| &g.ranges);
        let contains = |r: &&KeyRange| (r.from_ms..r.until_ms).contains(&key_ms);
        match ranges.iter().find(contains) {
            Some(r) => Ok(r.clone()),
            None if ranges.first().is_some_and(|r| key_ms < r.from_ms) => Err(Reason::KeyExpired),
            None => Err(Reason::OwnerUnreachable),
        }
    }
}

impl State {
    fn merge(&mut self, n: Notice, now: Now) -> Option<Notice> {
        match n {
            Notice::Suspect(s) => self.suspects.merge(s, now).map(Notice::Suspect),
            Notice::Grant(g) => match self.grants.get(&g.shard) {
                Some(held) if held.revision >= g.revision => None,
                _ => {
                    self.grants.insert(g.shard, g.clone());
                    Some(Notice::Grant(g))
                }
            },
        }
    }
}
