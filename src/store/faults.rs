//! In-memory store with injected faults, used by tests and the stand-in server.

use std::sync::{Mutex, MutexGuard};

use async_trait::async_trait;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use super::mem::{MemStore, SavedState};
use super::{Changes, Entry, Era, LeaseId, Listing, Revision, Store, StoreError, Swap};
use crate::prelude::*;

/// Error text for which the stand-in server closes the connection instead of sending a response.
pub const CLOSE_ERROR: &str = "injected close of the connection";

/// Faults to inject. A write is a compare-and-swap, or a call that grants, renews or revokes a lease. The four
/// counts of writes are used up in the order of the fields, one for each write; none is used while `down` is set.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Reject every call.
    pub down: bool,
    /// Delay before a call takes effect, in milliseconds.
    pub slow_ms: u64,
    /// Delay between the effect of a call and its response, in milliseconds.
    pub slow_answer_ms: u64,
    /// Number of upcoming writes that complete without a fault.
    pub skip_writes: u64,
    /// Number of upcoming writes that are rejected and have no effect.
    pub refuse_writes: u64,
    /// Number of upcoming writes that take effect but whose response is lost.
    pub lose_writes: u64,
    /// Set `down` after the first write whose response is lost. A write of `close_writes` counts as such a write; its
    /// response is then lost without closing the connection.
    pub down_after_loss: bool,
    /// Number of upcoming writes that take effect but whose connection is closed without a response.
    pub close_writes: u64,
    /// Number of upcoming watch events that are dropped.
    pub drop_events: u64,
    /// Watches return their events in reverse order.
    pub reorder_events: bool,
}

enum WriteFault {
    None,
    Reject,
    LoseResponse,
    CloseConnection,
}

impl Faults {
    fn next_write_fault(&mut self) -> WriteFault {
        if self.down {
            return WriteFault::None;
        }
        let counts = [
            (&mut self.skip_writes, WriteFault::None),
            (&mut self.refuse_writes, WriteFault::Reject),
            (&mut self.lose_writes, WriteFault::LoseResponse),
            (&mut self.close_writes, WriteFault::CloseConnection),
        ];
        for (count, fault) in counts {
            if *count > 0 {
                *count -= 1;
                return fault;
            }
        }
        WriteFault::None
    }
}

/// A [`MemStore`] whose calls fail, wait or lose their responses as [`Faults`] says.
#[derive(Default)]
pub struct FaultyStore {
    inner: Arc<MemStore>,
    faults: Mutex<Faults>,
    saved: Mutex<Option<SavedState>>,
}

impl FaultyStore {
    /// Wraps `inner`. No faults are injected until they are set through [`FaultyStore::faults`].
    pub fn new(inner: Arc<MemStore>) -> Self {
        Self {
            inner,
            ..Self::default()
        }
    }

    /// The wrapped store; direct calls to it are not affected by faults.
    pub fn inner(&self) -> &Arc<MemStore> {
        &self.inner
    }

    /// Current faults, which can be changed through the guard.
    pub fn faults(&self) -> MutexGuard<'_, Faults> {
        self.faults.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Saves the current state for a later [`FaultyStore::restore`].
    pub fn save(&self) {
        *self.saved.lock().unwrap_or_else(|e| e.into_inner()) = Some(self.inner.save());
    }

    /// Restores the saved state, or empties the store if none was saved.
    pub fn restore(&self) {
        let saved = self.saved.lock().unwrap_or_else(|e| e.into_inner());
        self.inner.restore(saved.clone().unwrap_or_default());
    }

    /// Runs a call with the faults that apply to every call.
    async fn run_call<T, F>(&self, call: F) -> Result<T, StoreError>
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
        let out = call.await;
        pause(slow_answer_ms).await;
        out
    }

    /// Runs a write with the next write fault and the faults that apply to every call.
    async fn run_write<T, F>(&self, write: F) -> Result<T, StoreError>
    where
        F: std::future::Future<Output = Result<T, StoreError>>,
    {
        let fault = self.faults().next_write_fault();
        if matches!(fault, WriteFault::Reject) {
            return Err(StoreError::Unavailable("injected rejection".into()));
        }
        let out = self.run_call(write).await;
        match fault {
            WriteFault::LoseResponse | WriteFault::CloseConnection
                if self.faults().down_after_loss =>
            {
                self.faults().down = true;
                Err(StoreError::Unknown("injected response loss".into()))
            }
            WriteFault::LoseResponse => Err(StoreError::Unknown("injected response loss".into())),
            WriteFault::CloseConnection => Err(StoreError::Unknown(CLOSE_ERROR.into())),
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
    fn era(&self) -> watch::Receiver<Era> {
        self.inner.era()
    }

    async fn get(&self, key: &str) -> Result<Option<Entry>, StoreError> {
        self.run_call(self.inner.get(key)).await
    }

    async fn list(&self, prefix: &str) -> Result<Listing, StoreError> {
        self.run_call(self.inner.list(prefix)).await
    }

    async fn swap(
        &self,
        key: &str,
        expect: Revision,
        value: Option<Vec<u8>>,
        lease: Option<LeaseId>,
    ) -> Result<Swap, StoreError> {
        self.run_write(self.inner.swap(key, expect, value, lease))
            .await
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        self.run_write(self.inner.grant_lease(ttl)).await
    }

    async fn renew_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        self.run_write(self.inner.renew_lease(lease)).await
    }

    async fn revoke_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        self.run_write(self.inner.revoke_lease(lease)).await
    }

    async fn watch(
        &self,
        prefix: &str,
        from: Revision,
        wait: Duration,
    ) -> Result<Changes, StoreError> {
        let mut out = self.run_call(self.inner.watch(prefix, from, wait)).await?;
        let mut faults = self.faults();
        let dropped = out.events.len().min(faults.drop_events as usize);
        faults.drop_events -= dropped as u64;
        out.events.drain(..dropped);
        if faults.reorder_events {
            out.events.reverse();
        }
        Ok(out)
    }
}
