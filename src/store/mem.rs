//! In-memory store, used by tests, `dev` and the stand-in server.

use std::sync::Mutex;
use std::time::Instant;

use async_trait::async_trait;
use tokio::sync::{watch, Notify};

use super::era::EraTracker;
use super::{
    Changes, Entry, Era, Event, LeaseId, Listing, Revision, Store, StoreError, Swap,
    MAX_VALUE_BYTES,
};
use crate::prelude::*;

/// Number of past changes that are kept for watches.
const MAX_HISTORY: usize = 4096;

#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    /// Number of its revision; the same number in all eras that still hold this write.
    number: u64,
    /// Number of its lease.
    lease: Option<u64>,
}

#[derive(Clone)]
struct Change {
    key: String,
    value: Option<Vec<u8>>,
    number: u64,
}

#[derive(Clone)]
struct Lease {
    ttl: Duration,
    expires_at: Instant,
}

#[derive(Clone, Default)]
struct State {
    items: BTreeMap<String, Item>,
    leases: BTreeMap<u64, Lease>,
    history: std::collections::VecDeque<Change>,
    /// Number of the latest revision.
    number: u64,
    last_lease: u64,
    /// Raised each time that the store comes back from a copy.
    era: Era,
}

impl State {
    fn record(&mut self, key: &str, value: Option<Vec<u8>>) {
        self.history.push_back(Change {
            key: key.to_owned(),
            value,
            number: self.number,
        });
        if self.history.len() > MAX_HISTORY {
            self.history.pop_front();
        }
    }

    fn end_expired(&mut self, now: Instant) {
        let expired: Vec<_> = self
            .leases
            .iter()
            .filter(|(_, l)| l.expires_at <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            self.end_lease(id);
        }
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let keys: Vec<_> = self
            .items
            .iter()
            .filter(|(_, i)| i.lease == Some(id))
            .map(|(k, _)| k.clone())
            .collect();
        for key in keys {
            self.items.remove(&key);
            self.number += 1;
            self.record(&key, None);
        }
    }

    fn entry(&self, key: &str) -> Option<Entry> {
        self.items.get(key).map(|i| Entry {
            key: key.to_owned(),
            value: i.value.clone(),
            revision: self.revision(i.number),
        })
    }

    fn revision(&self, number: u64) -> Revision {
        Revision::new(self.era, number)
    }

    /// Number of a lease; `None` if it is of another era or has ended.
    fn live_lease(&self, lease: LeaseId) -> Option<u64> {
        let live = lease.era() == self.era && self.leases.contains_key(&lease.number());
        live.then(|| lease.number())
    }

    /// Changes after revision `from` to keys that begin with `prefix`.
    fn changes(&self, prefix: &str, from: Revision) -> Result<Changes, StoreError> {
        let oldest = self.history.front().map_or(self.number + 1, |c| c.number);
        let after = from.number();
        if from.era() != self.era || after > self.number || after + 1 < oldest {
            return Err(StoreError::Compacted);
        }
        let changes = self.history.iter();
        let changes = changes.filter(|c| c.number > after && c.key.starts_with(prefix));
        let event = |c: &Change| Event {
            key: c.key.clone(),
            value: c.value.clone(),
            revision: self.revision(c.number),
        };
        Ok(Changes {
            events: changes.map(event).collect(),
            revision: self.revision(self.number),
        })
    }
}

/// A store held in memory. Expired leases end at the next call.
#[derive(Default)]
pub struct MemStore {
    state: Mutex<State>,
    changed: Notify,
    era: EraTracker,
}

/// A copy of the state of a [`MemStore`].
#[derive(Clone, Default)]
pub struct SavedState(State);

impl MemStore {
    /// Ends all leases now, as if their time to live had passed.
    pub fn expire_leases(&self) {
        self.with_state(|s| {
            let ids: Vec<_> = s.leases.keys().copied().collect();
            ids.into_iter().for_each(|id| s.end_lease(id));
        });
    }

    /// Copies the current state for a later [`MemStore::restore`].
    pub fn save(&self) -> SavedState {
        SavedState(self.with_state(|s| s.clone()))
    }

    /// Replaces the state by a saved one and raises the era. Revisions and lease ids since then are given out again.
    pub fn restore(&self, saved: SavedState) {
        self.with_state(|s| {
            let era = Era(s.era.0 + 1);
            *s = saved.0;
            s.era = era;
            // Eras only rise here.
            let _ = self.era.observe(era);
        });
        self.changed.notify_waiters();
    }

    /// Runs `f` on the state after ending expired leases, and wakes the watches if the revision changed.
    fn with_state<T, F>(&self, f: F) -> T
    where
        F: FnOnce(&mut State) -> T,
    {
        let mut s = self.state.lock().unwrap_or_else(|e| e.into_inner());
        let before = s.number;
        s.end_expired(Instant::now());
        let out = f(&mut s);
        if s.number != before {
            self.changed.notify_waiters();
        }
        out
    }
}

#[async_trait]
impl Store for MemStore {
    fn era(&self) -> watch::Receiver<Era> {
        self.era.subscribe()
    }

    async fn get(&self, key: &str) -> Result<Option<Entry>, StoreError> {
        Ok(self.with_state(|s| s.entry(key)))
    }

    async fn list(&self, prefix: &str) -> Result<Listing, StoreError> {
        Ok(self.with_state(|s| {
            let keys: Vec<_> = s
                .items
                .range(prefix.to_owned()..)
                .take_while(|(k, _)| k.starts_with(prefix))
                .map(|(k, _)| k.clone())
                .collect();
            Listing {
                entries: keys.iter().filter_map(|k| s.entry(k)).collect(),
                revision: s.revision(s.number),
            }
        }))
    }

    async fn swap(
        &self,
        key: &str,
        expect: Revision,
        value: Option<Vec<u8>>,
        lease: Option<LeaseId>,
    ) -> Result<Swap, StoreError> {
        if value.as_ref().is_some_and(|v| v.len() > MAX_VALUE_BYTES) {
            return Err(StoreError::Invalid(format!(
                "value of {key} exceeds {MAX_VALUE_BYTES} bytes"
            )));
        }
        self.with_state(|s| {
            let current = s.entry(key);
            if current.as_ref().map_or(Revision::ABSENT, |e| e.revision) != expect {
                return Ok(Swap::Conflict(current));
            }
            let lease = match lease.map(|l| s.live_lease(l)) {
                Some(None) => return Err(StoreError::NoLease),
                lease => lease.flatten(),
            };
            s.number += 1;
            let number = s.number;
            match value.clone() {
                Some(value) => s.items.insert(
                    key.to_owned(),
                    Item {
                        value,
                        number,
                        lease,
                    },
                ),
                None => s.items.remove(key),
            };
            s.record(key, value);
            Ok(Swap::Done(s.revision(number)))
        })
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        Ok(self.with_state(|s| {
            s.last_lease += 1;
            let expires_at = Instant::now() + ttl;
            s.leases.insert(s.last_lease, Lease { ttl, expires_at });
            LeaseId::new(s.era, s.last_lease)
        }))
    }

    async fn renew_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        self.with_state(|s| {
            let lease = s.live_lease(lease);
            let lease = lease.and_then(|id| s.leases.get_mut(&id));
            let l = lease.ok_or(StoreError::NoLease)?;
            l.expires_at = Instant::now() + l.ttl;
            Ok(())
        })
    }

    async fn revoke_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        self.with_state(|s| {
            if let Some(id) = s.live_lease(lease) {
                s.end_lease(id);
            }
        });
        Ok(())
    }

    async fn watch(
        &self,
        prefix: &str,
        from: Revision,
        wait: Duration,
    ) -> Result<Changes, StoreError> {
        let end = tokio::time::Instant::now() + wait;
        loop {
            let changed = self.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            let changes = self.with_state(|s| s.changes(prefix, from))?;
            if !changes.events.is_empty() || tokio::time::timeout_at(end, changed).await.is_err() {
                return Ok(changes);
            }
        }
    }
}
