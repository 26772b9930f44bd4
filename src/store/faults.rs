//! In-memory store with injected faults, shared by tests and the stand-in server.

use std::sync::{Mutex, MutexGuard};

use async_trait::async_trait;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use super::mem::{MemStore, Saved};
use super::{Changes, Entry, LeaseId, Listing, Revision, Store, StoreError, Swap};
use crate::prelude::*;

/// Text of the error after which the stand-in server closes the connection instead of answering.
pub const CLOSED: &str = "injected close of the connection";

/// Injected faults. A write is a `swap`, `grant`, `keep` or `revoke`. The counts of writes are used up in the order of
/// the fields, one for each write.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Refuse every call.
    pub down: bool,
    /// Delay before each call takes effect, in milliseconds.
    pub slow_ms: u64,
    /// Delay after each call took effect and before its answer, in milliseconds.
    pub slow_answer_ms: u64,
    /// Number of following writes without a fault.
    pub skip_writes: u64,
    /// Number of following writes that are refused and take no effect.
    pub refuse_writes: u64,
    /// Number of following writes whose answer is lost after the write took effect.
    pub lose_writes: u64,
    /// Number of following writes after which the connection is closed without an answer.
    pub close_writes: u64,
    /// Number of following watch events that are dropped.
    pub drop_events: u64,
    /// Watches return their events in reverse order.
    pub reorder_events: bool,
}

enum WriteFault {
    None,
    Refuse,
    Lose,
    Close,
}

impl Faults {
    fn next_write(&mut self) -> WriteFault {
        if self.down {
            return WriteFault::None;
        }
        let counts = [
            (&mut self.skip_writes, WriteFault::None),
            (&mut self.refuse_writes, WriteFault::Refuse),
            (&mut self.lose_writes, WriteFault::Lose),
            (&mut self.close_writes, WriteFault::Close),
        ];
        for (n, fault) in counts {
            if *n > 0 {
                *n -= 1;
                return fault;
            }
        }
        WriteFault::None
    }
}

/// An in-memory store with injected faults.
#[derive(Default)]
pub struct FaultyStore {
    inner: Arc<MemStore>,
    faults: Mutex<Faults>,
    saved: Mutex<Option<Saved>>,
}

impl FaultyStore {
    /// Injects faults into calls to `inner`.
    pub fn new(inner: Arc<MemStore>) -> Self {
        Self {
            inner,
            ..Self::default()
        }
    }

    /// The store without faults.
    pub fn inner(&self) -> &Arc<MemStore> {
        &self.inner
    }

    /// Present faults.
    pub fn faults(&self) -> MutexGuard<'_, Faults> {
        self.faults.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Keeps the present state for a later [`FaultyStore::restore`].
    pub fn save(&self) {
        *self.saved.lock().unwrap_or_else(|e| e.into_inner()) = Some(self.inner.save());
    }

    /// Returns to the saved state, or to an empty store when none was saved.
    pub fn restore(&self) {
        let saved = self.saved.lock().unwrap_or_else(|e| e.into_inner());
        self.inner.restore(saved.clone().unwrap_or_default());
    }

    async fn call<T, F>(&self, f: F) -> Result<T, StoreError>
    where
        F: std::future::Future<Output = Result<T, StoreError>>,
    {
        let Faults {
            down,
            slow_ms,
            slow_answer_ms,
            ..
        } = self.faults().clone();
        pause(slow_ms).await;
        if down {
            return Err(StoreError::Unavailable("injected outage".into()));
        }
        let out = f.await;
        pause(slow_answer_ms).await;
        out
    }

    async fn write<T, F>(&self, f: F) -> Result<T, StoreError>
    where
        F: std::future::Future<Output = Result<T, StoreError>>,
    {
        let fault = self.faults().next_write();
        if matches!(fault, WriteFault::Refuse) {
            return Err(StoreError::Unavailable("injected refusal".into()));
        }
        let out = self.call(f).await;
        match fault {
            WriteFault::Lose => Err(StoreError::Unknown("injected loss of the answer".into())),
            WriteFault::Close => Err(StoreError::Unknown(CLOSED.into())),
            _ => out,
        }
    }
}

async fn pause(ms: u64) {
    if ms > 0 {
        tokio::time::sleep(Duration::from_millis(ms)).await;
    }
}

#[async_trait]
impl Store for FaultyStore {
    async fn get(&self, key: &str) -> Result<Option<Entry>, StoreError> {
        self.call(self.inner.get(key)).await
    }

    async fn list(&self, prefix: &str) -> Result<Listing, StoreError> {
        self.call(self.inner.list(prefix)).await
    }

    async fn swap(
        &self,
        key: &str,
        expect: Revision,
        value: Option<Vec<u8>>,
        lease: Option<LeaseId>,
    ) -> Result<Swap, StoreError> {
        self.write(self.inner.swap(key, expect, value, lease)).await
    }

    async fn grant(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        self.write(self.inner.grant(ttl)).await
    }

    async fn keep(&self, lease: LeaseId) -> Result<(), StoreError> {
        self.write(self.inner.keep(lease)).await
    }

    async fn revoke(&self, lease: LeaseId) -> Result<(), StoreError> {
        self.write(self.inner.revoke(lease)).await
    }

    async fn watch(
        &self,
        prefix: &str,
        from: Revision,
        wait: Duration,
    ) -> Result<Changes, StoreError> {
        let mut out = self.call(self.inner.watch(prefix, from, wait)).await?;
        let mut f = self.faults();
        let dropped = out.events.len().min(f.drop_events as usize);
        f.drop_events -= dropped as u64;
        out.events.drain(..dropped);
        if f.reorder_events {
            out.events.reverse();
        }
        Ok(out)
    }
}
