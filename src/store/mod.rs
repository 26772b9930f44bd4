//! The platform's key-value store: compare-and-swap, leases and watches.

pub mod counted;
pub mod era;
pub mod faults;
pub mod http;
pub mod mem;
pub mod server;

use std::fmt;

use async_trait::async_trait;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

pub use self::era::{Era, LeaseId, Revision};
use crate::prelude::*;

/// Maximum size of a value, in bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// A key with its value.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, schemars::JsonSchema)]
pub struct Entry {
    /// Key, unique in the store.
    pub key: String,
    /// Value as it was written last.
    pub value: Vec<u8>,
    /// Revision of the last write to this key.
    pub revision: Revision,
}

/// Result of a `list` call.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize, schemars::JsonSchema)]
pub struct Listing {
    /// Entries in the order of their keys.
    pub entries: Vec<Entry>,
    /// Revision of the store at the time of the call.
    pub revision: Revision,
}

/// A change of one key, reported by a watch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, schemars::JsonSchema)]
pub struct Event {
    /// Key that was written or deleted.
    pub key: String,
    /// New value, or `None` after a deletion.
    pub value: Option<Vec<u8>>,
    /// Revision of the change.
    pub revision: Revision,
}

/// Result of a `watch` call.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize, schemars::JsonSchema)]
pub struct Changes {
    /// Changes after the requested revision; empty when there were none within the wait.
    pub events: Vec<Event>,
    /// Revision from which the next watch continues.
    pub revision: Revision,
}

/// Result of a compare-and-swap.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, schemars::JsonSchema)]
pub enum Swap {
    /// The write took effect at this revision.
    Done(Revision),
    /// The key is at another revision; carries its current entry, if there is one.
    Conflict(Option<Entry>),
}

/// Why a call failed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, schemars::JsonSchema)]
pub enum StoreError {
    /// The call did not reach the store, or was rejected before it took effect.
    Unavailable(String),
    /// No valid response arrived. A write may have taken effect: read the key to find out.
    Unknown(String),
    /// The request is invalid, for example a value above [`MAX_VALUE_BYTES`], or the content to commit or a value read
    /// from the store is invalid.
    Invalid(String),
    /// The lease does not exist or has expired.
    NoLease,
    /// The watch starts before the oldest revision in the store's history, or at one of an earlier era. List again and
    /// watch from the revision of the listing.
    Compacted,
}

impl StoreError {
    /// Name of the error, used as a metric label.
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::Unavailable(_) => "unavailable",
            Self::Unknown(_) => "unknown",
            Self::Invalid(_) => "invalid",
            Self::NoLease => "no-lease",
            Self::Compacted => "compacted",
        }
    }
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unavailable(m) => write!(f, "store unavailable: {m}"),
            Self::Unknown(m) => write!(f, "no response from the store, outcome unknown: {m}"),
            Self::Invalid(m) => write!(f, "invalid request to the store or invalid data: {m}"),
            Self::NoLease => f.write_str("lease expired or does not exist"),
            Self::Compacted => f.write_str("watch revision compacted"),
        }
    }
}

impl std::error::Error for StoreError {}

/// The platform's key-value store. Each call fails with a [`StoreError`].
///
/// Revisions and leases of an earlier era are of no use in a later one. A call with one of them changes nothing: a swap
/// ends with a conflict, a watch with [`StoreError::Compacted`], and other calls as if the lease had expired. If only the
/// response shows that the store has begun a new era, the outcome of a write is [`StoreError::Unknown`].
#[async_trait]
pub trait Store: Send + Sync {
    /// Follows the latest era that the store has named in a response.
    fn era(&self) -> watch::Receiver<Era>;
    /// Reads one key; `None` if it is absent.
    async fn get(&self, key: &str) -> Result<Option<Entry>, StoreError>;
    /// Reads all keys that begin with `prefix`.
    async fn list(&self, prefix: &str) -> Result<Listing, StoreError>;
    /// Like [`Store::list`], but a store may return a result that is some seconds old if that is cheaper.
    async fn list_stale(&self, prefix: &str) -> Result<Listing, StoreError> {
        self.list(prefix).await
    }
    /// Compare-and-swap: if the key is at revision `expect` ([`Revision::ABSENT`]: absent), writes `value`, or deletes the key for `None`.
    /// A key written with a lease is deleted when the lease ends.
    async fn swap(
        &self,
        key: &str,
        expect: Revision,
        value: Option<Vec<u8>>,
        lease: Option<LeaseId>,
    ) -> Result<Swap, StoreError>;
    /// Writes `value`, whether or not the key exists.
    async fn put(
        &self,
        key: &str,
        value: Vec<u8>,
        lease: Option<LeaseId>,
    ) -> Result<Revision, StoreError> {
        let mut expect = self
            .get(key)
            .await?
            .map_or(Revision::ABSENT, |e| e.revision);
        loop {
            match self.swap(key, expect, Some(value.clone()), lease).await? {
                Swap::Done(r) => return Ok(r),
                Swap::Conflict(e) => expect = e.map_or(Revision::ABSENT, |e| e.revision),
            }
        }
    }
    /// Deletes a key at any revision.
    async fn remove(&self, key: &str) -> Result<(), StoreError> {
        let mut entry = self.get(key).await?;
        while let Some(e) = entry {
            match self.swap(key, e.revision, None, None).await? {
                Swap::Done(_) => return Ok(()),
                Swap::Conflict(e) => entry = e,
            }
        }
        Ok(())
    }
    /// Creates a lease that expires after `ttl` unless it is renewed.
    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, StoreError>;
    /// Renews a lease: it expires after its time to live, counted from now.
    async fn renew_lease(&self, lease: LeaseId) -> Result<(), StoreError>;
    /// Ends a lease and deletes the keys attached to it.
    async fn revoke_lease(&self, lease: LeaseId) -> Result<(), StoreError>;
    /// Waits up to `wait` for changes after revision `from` to keys that begin with `prefix`.
    ///
    /// Events may be missing or out of order. They only signal that something changed: read the keys for their values.
    async fn watch(
        &self,
        prefix: &str,
        from: Revision,
        wait: Duration,
    ) -> Result<Changes, StoreError>;
}
