//! Small facts that every node keeps: suspected requests and ownership of idempotency keys.
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
    /// Whether the suspect was the only one in flight.
    pub alone: bool,
}

/// A request that was in flight when a backend server crashed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// Fingerprint of the request.
    pub fingerprint: Digest,
    /// Grows when the suspect is cleared; a higher value replaces all crashes of a lower one.
    pub epoch: u64,
    /// Crashes counted in this epoch, in order.
    pub crashes: Vec<Crash>,
    /// Time since the first crash, in milliseconds, when the notice was sent.
    pub age_ms: u64,
}

/// Part of a shard that one node incarnation owns for ever.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyRange {
    /// First key time, in milliseconds since the Unix epoch.
    pub from_ms: u64,
    /// First key time after the range.
    pub until_ms: u64,
    /// Owner.
    pub owner: NodeId,
    /// Incarnation of the owner.
    pub incarnation: Incarnation,
    /// Random number of the owner's process.
    pub token: u64,
}

/// Ownership of a shard, as read from the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Shard.
    pub shard: Shard,
    /// Number of changes; a higher one replaces a lower one. It is part of the stored value, so that it does not
    /// fall back with the revisions of a store that was restored to an older state.
    pub revision: u64,
    /// Ranges in order of time; they never overlap.
    pub ranges: Vec<KeyRange>,
}

/// A fact that is spread to every node.
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

/// All notices known to a node.
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
    /// An empty table.
    pub fn new(clock: Arc<dyn Clock>) -> Self {
        Self {
            state: Mutex::default(),
            clock,
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Adds notices and returns those that changed something, which are to be sent on.
    pub fn merge(&self, list: Vec<Notice>) -> Vec<Notice> {
        let now = self.clock.now();
        let mut s = self.state();
        list.into_iter().filter_map(|n| s.merge(n, now)).collect()
    }

    /// All notices, for a new link.
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

    /// Ownership of all shards.
    pub fn grants(&self) -> Vec<Grant> {
        self.state().grants.values().cloned().collect()
    }

    /// The range that holds a key time.
    ///
    /// # Errors
    ///
    /// [`Reason::KeyExpired`] for a time before all ranges, [`Reason::OwnerUnreachable`] for one that no known range
    /// holds. An owner that is not known here may have run the key.
    pub fn owner(&self, shard: Shard, key_ms: u64) -> Result<KeyRange, Reason> {
        let s = self.state();
        let ranges = s.grants.get(&shard).map_or(&[][..], |g| &g.ranges);
        let holds = |r: &&KeyRange| (r.from_ms..r.until_ms).contains(&key_ms);
        match ranges.iter().find(holds) {
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
