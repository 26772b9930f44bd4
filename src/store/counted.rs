//! Counting decorator of a store: calls by kind and result, and waiting watches.

use async_trait::async_trait;
use prometheus::{IntCounterVec, IntGauge};

use super::{Changes, Entry, LeaseId, Listing, Revision, Store, StoreError, Swap};
use crate::prelude::*;

/// Records the calls to another store in the metrics of the process.
pub struct Counted {
    inner: Arc<dyn Store>,
    calls: IntCounterVec,
    waiting: IntGauge,
}

impl Counted {
    /// Records the calls to `inner` in `calls`, by kind and result, and waiting watches in `waiting`.
    pub fn new(inner: Arc<dyn Store>, calls: &IntCounterVec, waiting: &IntGauge) -> Self {
        Self {
            inner,
            calls: calls.clone(),
            waiting: waiting.clone(),
        }
    }

    fn count<T>(&self, kind: &str, out: Result<T, StoreError>) -> Result<T, StoreError> {
        let result = match &out {
            Ok(_) => "ok",
            Err(e) => e.as_str(),
        };
        self.calls.with_label_values(&[kind, result]).inc();
        out
    }
}

/// Counts a waiting watch for as long as it lives, also when the call is cancelled.
struct Waiting(IntGauge);

impl Drop for Waiting {
    fn drop(&mut self) {
        self.0.dec();
    }
}

#[async_trait]
impl Store for Counted {
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

    async fn grant(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        self.count("grant", self.inner.grant(ttl).await)
    }

    async fn keep(&self, lease: LeaseId) -> Result<(), StoreError> {
        self.count("keep", self.inner.keep(lease).await)
    }

    async fn revoke(&self, lease: LeaseId) -> Result<(), StoreError> {
        self.count("revoke", self.inner.revoke(lease).await)
    }

    async fn watch(
        &self,
        prefix: &str,
        from: Revision,
        wait: Duration,
    ) -> Result<Changes, StoreError> {
        self.waiting.inc();
        let waiting = Waiting(self.waiting.clone());
        let out = self.inner.watch(prefix, from, wait).await;
        drop(waiting);
        self.count("watch", out)
    }
}
