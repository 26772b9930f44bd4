//! Store wrapper that counts the calls by kind and result, and the waiting watches.

use async_trait::async_trait;
use prometheus::{IntCounterVec, IntGauge};
use tokio::sync::watch;

use super::{Changes, Entry, Era, LeaseId, Listing, Revision, Store, StoreError, Swap};
use crate::prelude::*;

/// Wraps another store and records the calls to it in the metrics of the process.
pub struct CountedStore {
    inner: Arc<dyn Store>,
    calls: IntCounterVec,
    waiting: IntGauge,
}

impl CountedStore {
    /// Wraps `inner`. Calls are counted in `calls` by kind and result, and watches that are waiting in `waiting`.
    pub fn new(inner: Arc<dyn Store>, calls: &IntCounterVec, waiting: &IntGauge) -> Self {
        Self {
            inner,
            calls: calls.clone(),
            waiting: waiting.clone(),
        }
    }

    fn count<T>(&self, kind: &str, out: Result<T, StoreError>) -> Result<T, StoreError> {
        let label = match &out {
            Ok(_) => "ok",
            Err(e) => e.as_str(),
        };
        self.calls.with_label_values(&[kind, label]).inc();
        out
    }
}

/// Decrements the gauge of waiting watches when dropped, also when the call is cancelled.
struct WaitingGuard(IntGauge);

impl Drop for WaitingGuard {
    fn drop(&mut self) {
        self.0.dec();
    }
}

#[async_trait]
impl Store for CountedStore {
    fn era(&self) -> watch::Receiver<Era> {
        self.inner.era()
    }

    async fn get(&self, key: &str) -> Result<Option<Entry>, StoreError> {
        self.count("get", self.inner.get(key).await)
    }

    async fn list(&self, prefix: &str) -> Result<Listing, StoreError> {
        self.count("list", self.inner.list(prefix).await)
    }

    async fn list_stale(&self, prefix: &str) -> Result<Listing, StoreError> {
        self.count("list_stale", self.inner.list_stale(prefix).await)
    }

    async fn put(
        &self,
        key: &str,
        value: Vec<u8>,
        lease: Option<LeaseId>,
    ) -> Result<Revision, StoreError> {
        self.count("put", self.inner.put(key, value, lease).await)
    }

    async fn remove(&self, key: &str) -> Result<(), StoreError> {
        self.count("remove", self.inner.remove(key).await)
    }

    async fn swap(
        &self,
        key: &str,
        expect: Revision,
        value: Option<Vec<u8>>,
        lease: Option<LeaseId>,
    ) -> Result<Swap, StoreError> {
        let out = self.inner.swap(key, expect, value, lease).await;
        if let Ok(Swap::Conflict(_)) = out {
            self.calls.with_label_values(&["swap", "conflict"]).inc();
            return out;
        }
        self.count("swap", out)
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        self.count("grant", self.inner.grant_lease(ttl).await)
    }

    async fn renew_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        self.count("keep", self.inner.renew_lease(lease).await)
    }

    async fn revoke_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        self.count("revoke", self.inner.revoke_lease(lease).await)
    }

    async fn watch(
        &self,
        prefix: &str,
        from: Revision,
        wait: Duration,
    ) -> Result<Changes, StoreError> {
        self.waiting.inc();
        let guard = WaitingGuard(self.waiting.clone());
        let out = self.inner.watch(prefix, from, wait).await;
        drop(guard);
        self.count("watch", out)
    }
}
