//! Small facts that every node keeps: suspected requests and ownership of idempotency keys.
//!
//! Merging is commutative and idempotent, so notices may arrive late, twice or in any order.

use std::sync::{Mutex, MutexGuard};

use serde::{Deserialize, Serialize};

use crate::digest::Digest;
use crate::prelude::*;

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
}

/// Ownership of a shard, as read from the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Shard.
    pub shard: Shard,
    /// Revision of the store's entry; a higher one replaces a lower one.
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
    suspects: BTreeMap<Digest, Suspect>,
    grants: BTreeMap<Shard, Grant>,
}

/// All notices known to a node.
#[derive(Default)]
pub struct Notices {
    state: Mutex<State>,
}

impl Notices {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Adds notices and returns those that changed something, which are to be sent on.
    pub fn merge(&self, list: Vec<Notice>) -> Vec<Notice> {
        let mut s = self.state();
        list.into_iter().filter_map(|n| s.merge(n)).collect()
    }

    /// All notices, for a new link.
    pub fn all(&self) -> Vec<Notice> {
        let s = self.state();
        let suspects = s.suspects.values().cloned().map(Notice::Suspect);
        suspects
            .chain(s.grants.values().cloned().map(Notice::Grant))
            .collect()
    }
}

impl State {
    fn merge(&mut self, n: Notice) -> Option<Notice> {
        match n {
            Notice::Suspect(s) => self.merge_suspect(s).map(Notice::Suspect),
            Notice::Grant(g) => match self.grants.get(&g.shard) {
                Some(held) if held.revision >= g.revision => None,
                _ => {
                    self.grants.insert(g.shard, g.clone());
                    Some(Notice::Grant(g))
                }
            },
        }
    }

    fn merge_suspect(&mut self, s: Suspect) -> Option<Suspect> {
        match self.suspects.get_mut(&s.fingerprint) {
            Some(held) if held.epoch > s.epoch => None,
            Some(held) if held.epoch == s.epoch => {
                let before = held.crashes.len();
                held.crashes.extend(s.crashes);
                held.crashes.sort();
                held.crashes.dedup();
                (held.crashes.len() > before).then(|| held.clone())
            }
            _ => {
                self.suspects.insert(s.fingerprint, s.clone());
                Some(s)
            }
        }
    }
}
