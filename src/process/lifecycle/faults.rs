//! Fault injection for tests: blocked availability zones and a blocked store.
//!
//! Faults take effect only with `[faults] enabled = true` in the settings.

use arc_swap::ArcSwap;
use async_trait::async_trait;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use crate::prelude::*;
use crate::store::{Changes, Entry, Era, LeaseId, Listing, Revision, Store, StoreError, Swap};

/// Faults to inject.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct FaultList {
    /// Availability zones that are cut off from this node in both directions.
    pub zones: Vec<String>,
    /// Whether all store calls fail.
    pub store: bool,
}

/// Faults that are currently injected.
#[derive(Debug, Default)]
pub struct Faults {
    enabled: bool,
    list: ArcSwap<FaultList>,
}

impl Faults {
    /// Creates the state without faults. `enabled` is the value of the setting.
    pub fn new(enabled: bool) -> Self {
        Self {
            enabled,
            list: ArcSwap::default(),
        }
    }

    /// Replaces the faults. Returns `false` if the settings do not enable fault injection.
    pub fn set(&self, list: FaultList) -> bool {
        if self.enabled {
            self.list.store(Arc::new(list));
        }
        self.enabled
    }

    /// Whether an injected fault cuts this node off from an availability zone.
    pub fn blocks_zone(&self, az: &str) -> bool {
        self.enabled && self.list.load().zones.iter().any(|z| z == az)
    }

    /// Whether an injected fault makes all store calls fail.
    pub fn blocks_store(&self) -> bool {
        self.enabled && self.list.load().store
    }
}

/// Store wrapper whose calls fail while the store is blocked.
pub struct BlockableStore {
    store: Arc<dyn Store>,
    faults: Arc<Faults>,
}

impl BlockableStore {
    /// Wraps a store, whose calls fail while [`Faults::blocks_store`] is true.
    pub fn new(store: Arc<dyn Store>, faults: Arc<Faults>) -> Self {
        Self { store, faults }
    }

    fn available(&self) -> Result<&dyn Store, StoreError> {
        match self.faults.blocks_store() {
            true => Err(StoreError::Unavailable("injected fault".into())),
            false => Ok(self.store.as_ref()),
        }
    }
}

#[async_trait]
impl Store for BlockableStore {
    fn era(&self) -> watch::Receiver<Era> {
        self.store.era()
    }

    async fn get(&self, key: &str) -> Result<Option<Entry>, StoreError> {
        self.available()?.get(key).await
    }

    async fn list(&self, prefix: &str) -> Result<Listing, StoreError> {
        self.available()?.list(prefix).await
    }

    async fn swap(
        &self,
        key: &str,
        expect: Revision,
        value: Option<Vec<u8>>,
        lease: Option<LeaseId>,
    ) -> Result<Swap, StoreError> {
        self.available()?.swap(key, expect, value, lease).await
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        self.available()?.grant_lease(ttl).await
    }

    async fn renew_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        self.available()?.renew_lease(lease).await
    }

    async fn revoke_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        self.available()?.revoke_lease(lease).await
    }

    async fn watch(
        &self,
        prefix: &str,
        from: Revision,
        wait: Duration,
    ) -> Result<Changes, StoreError> {
        let changes = self.available()?.watch(prefix, from, wait).await;
        // A watch that was open when the store was blocked fails as well.
        self.available().and(changes)
    }
}
