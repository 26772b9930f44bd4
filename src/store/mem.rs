//! In-memory store, used by tests, `dev` and the stand-in server.

use std::sync::Mutex;
use std::time::Instant;

use async_trait::async_trait;
use tokio::sync::Notify;

use super::{
    Changes, Entry, Event, LeaseId, Listing, Revision, Store, StoreError, Swap, MAX_VALUE_BYTES,
};
use crate::prelude::*;

/// Number of past changes that are kept for watches.
const MAX_HISTORY: usize = 4096;

#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    revision: Revision,
    lease: Option<LeaseId>,
}

#[derive(Clone)]
struct Lease {
    ttl: Duration,
    expires_at: Instant,
}

#[derive(Clone, Default)]
struct State {
    items: BTreeMap<String, Item>,
    leases: BTreeMap<LeaseId, Lease>,
    history: std::collections::VecDeque<Event>,
    revision: Revision,
    next_lease: LeaseId,
    /// Number of times that the store came back from a copy.
    era: u64,
}

impl State {
    fn record(&mut self, key: &str, value: Option<Vec<u8>>) {
        self.history.push_back(Event {
            key: key.to_owned(),
            value,
            revision: self.revision,
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

    fn end_lease(&mut self, id: LeaseId) {
        self.leases.remove(&id);
        let keys: Vec<_> = self
            .items
            .iter()
            .filter(|(_, i)| i.lease == Some(id))
            .map(|(k, _)| k.clone())
            .collect();
        for key in keys {
            self.items.remove(&key);
            self.revision += 1;
            self.record(&key, None);
        }
    }

    fn entry(&self, key: &str) -> Option<Entry> {
        self.items.get(key).map(|i| Entry {
            key: key.to_owned(),
            value: i.value.clone(),
            revision: i.revision,
        })
    }

    /// Changes after revision `from` to keys that begin with `prefix`.
    fn changes(&self, prefix: &str, from: Revision) -> Result<Changes, StoreError> {
        let oldest = self
            .history
            .front()
            .map_or(self.revision + 1, |e| e.revision);
        if from > self.revision || from + 1 < oldest {
            return Err(StoreError::Compacted);
        }
        let events = self
            .history
            .iter()
            .filter(|e| e.revision > from && e.key.starts_with(prefix))
            .cloned()
            .collect();
        Ok(Changes {
            events,
            revision: self.revision,
        })
    }
}

/// A store held in memory. Expired leases end at the next call.
#[derive(Default)]
pub struct MemStore {
    state: Mutex<State>,
    changed: Notify,
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
            let era = s.era + 1;
            *s = saved.0;
            s.era = era;
        });
        self.changed.notify_waiters();
    }

    /// Number of times that the store came back from a copy.
    pub fn era(&self) -> u64 {
        self.with_state(|s| s.era)
    }

    /// Runs `f` on the state after ending expired leases, and wakes the watches if the revision changed.
    fn with_state<T, F>(&self, f: F) -> T
    where
        F: FnOnce(&mut State) -> T,
    {
        let mut s = self.state.lock().unwrap_or_else(|e| e.into_inner());
        let before = s.revision;
        s.end_expired(Instant::now());
        let out = f(&mut s);
        if s.revision != before {
            self.changed.notify_waiters();
        }
        out
    }
}

#[async_trait]
impl Store for MemStore {
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
                revision: s.revision,
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
            let current = s.items.get(key).map_or(0, |i| i.revision);
            match lease {
                _ if current != expect => return Ok(Swap::Conflict(s.entry(key))),
                Some(id) if !s.leases.contains_key(&id) => return Err(StoreError::NoLease),
                _ => s.revision += 1,
            }
            let revision = s.revision;
            match value.clone() {
                Some(value) => s.items.insert(
                    key.to_owned(),
                    Item {
                        value,
                        revision,
                        lease,
                    },
                ),
                None => s.items.remove(key),
            };
            s.record(key, value);
            Ok(Swap::Done(revision))
        })
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        Ok(self.with_state(|s| {
            s.next_lease += 1;
            let expires_at = Instant::now() + ttl;
            s.leases.insert(s.next_lease, Lease { ttl, expires_at });
            s.next_lease
        }))
    }

    async fn renew_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        self.with_state(|s| {
            let l = s.leases.get_mut(&lease).ok_or(StoreError::NoLease)?;
            l.expires_at = Instant::now() + l.ttl;
            Ok(())
        })
    }

    async fn revoke_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        self.with_state(|s| s.end_lease(lease));
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
