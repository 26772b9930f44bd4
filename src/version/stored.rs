//! Values of a site in the store: keys, heads and content.

use serde::{Deserialize, Serialize};

use super::pack::{inflate, MAX_CONTENT_BYTES};
use super::snapshot::{Snapshot, VersionRef};
use crate::digest::Digest;
use crate::prelude::*;
use crate::store::{Revision, Store, StoreError, MAX_VALUE_BYTES};

/// Size of one stored chunk, in bytes; well below the store's limit for a value.
pub const CHUNK_BYTES: usize = MAX_VALUE_BYTES / 2;

/// Most chunks of one content; compressed content is not larger than the uncompressed limit.
pub const MAX_CHUNKS: u32 = (MAX_CONTENT_BYTES / CHUNK_BYTES) as u32;

/// The value of the store's `head` key.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Number and content hash.
    pub version: VersionRef,
    /// Content hash of the version before.
    pub parent: Digest,
    /// Commit that made this version.
    pub commit: Digest,
    /// Number of stored chunks.
    pub chunks: u32,
}

/// Keys of a site.
#[derive(Debug, Clone)]
pub struct Keys {
    base: String,
}

impl Keys {
    /// Keys below `dq/<site>/`.
    pub fn new(site: &str) -> Self {
        Self {
            base: format!("dq/{site}/"),
        }
    }

    /// Key of the head.
    pub fn head(&self) -> String {
        format!("{}head", self.base)
    }

    /// Key of one chunk of content.
    pub fn chunk(&self, hash: &Digest, i: u32) -> String {
        format!("{}content/{hash}/{i}", self.base)
    }

    /// Prefix of the chunks of one content.
    pub fn chunks(&self, hash: &Digest) -> String {
        format!("{}content/{hash}/", self.base)
    }

    /// Key of the removal of one content that is in progress.
    pub fn removal(&self, hash: &Digest) -> String {
        format!("{}removal/{hash}", self.base)
    }

    /// Key of the lowest number whose content may still be stored.
    pub fn kept(&self) -> String {
        format!("{}kept", self.base)
    }

    /// Prefix of the leases of a zone's watchers.
    pub fn watchers(&self, az: &str) -> String {
        format!("{}watch/{az}/", self.base)
    }

    /// Key of the lease of one watcher.
    pub fn watcher(&self, az: &str, slot: usize) -> String {
        format!("{}{slot}", self.watchers(az))
    }

    /// Key of the addresses of first contacts in a zone.
    pub fn rendezvous(&self, az: &str) -> String {
        format!("{}rendezvous/{az}", self.base)
    }

    /// Key of the [`Head`] that a version number had, written before the next head.
    pub fn accepted(&self, number: VersionNumber) -> String {
        format!("{}accepted/{number}", self.base)
    }
}

/// Decodes a value of the store.
///
/// # Errors
///
/// [`StoreError::Invalid`] with the key.
pub fn decode<T>(key: &str, value: &[u8]) -> Result<T, StoreError>
where
    T: serde::de::DeserializeOwned,
{
    serde_json::from_slice(value).map_err(|e| StoreError::Invalid(format!("{key}: {e}")))
}

/// Encodes a value of the store.
pub fn encode<T>(value: &T) -> Vec<u8>
where
    T: Serialize,
{
    // These types have string keys only, so they can always be written as JSON.
    serde_json::to_vec(value).unwrap_or_default()
}

/// Reads the head and its revision.
///
/// # Errors
///
/// See [`Store::get`]; [`StoreError::Invalid`] when the value cannot be decoded.
pub async fn read_head(store: &dyn Store, keys: &Keys) -> Result<(Head, Revision), StoreError> {
    let key = keys.head();
    match store.get(&key).await? {
        Some(e) => Ok((decode(&key, &e.value)?, e.revision)),
        None => Ok((Head::default(), 0)),
    }
}

/// Reads the head and the revision of the whole store, from which a watch sees every later change. The revision of the
/// head itself may be older than the changes that the store still knows, and a watch from there would fail at once.
///
/// # Errors
///
/// See [`read_head`].
pub async fn read_watched_head(
    store: &dyn Store,
    keys: &Keys,
) -> Result<(Head, Revision), StoreError> {
    let key = keys.head();
    let found = store.list(&key).await?;
    match found.entries.iter().find(|e| e.key == key) {
        Some(e) => Ok((decode(&key, &e.value)?, found.revision)),
        None => Ok((Head::default(), found.revision)),
    }
}

/// Reads the [`Head`] that a number had, given the present head.
///
/// # Errors
///
/// See [`read_head`].
pub async fn read_accepted(
    store: &dyn Store,
    keys: &Keys,
    head: &Head,
    number: VersionNumber,
) -> Result<Option<Head>, StoreError> {
    match head.version.number {
        n if n == number => return Ok(Some(head.clone())),
        n if n < number => return Ok(None),
        _ => {}
    }
    let key = keys.accepted(number);
    match store.get(&key).await? {
        Some(e) => decode(&key, &e.value).map(Some),
        None => Ok(None),
    }
}

/// Reads and validates the content that a head names.
///
/// # Errors
///
/// See [`Store::get`]; [`StoreError::Invalid`] when a chunk is missing or the content is not valid.
pub async fn read_content(
    store: &dyn Store,
    keys: &Keys,
    head: &Head,
) -> Result<Snapshot, StoreError> {
    if head.chunks > MAX_CHUNKS {
        let message = format!("{} chunks exceed the limit of {MAX_CHUNKS}", head.chunks);
        return Err(StoreError::Invalid(message));
    }
    let mut data = Vec::new();
    for i in 0..head.chunks {
        let key = keys.chunk(&head.version.hash, i);
        let entry = store.get(&key).await?;
        let missing = || StoreError::Invalid(format!("{key} is missing"));
        data.extend(entry.ok_or_else(missing)?.value);
    }
    let content =
        inflate(&data, MAX_CONTENT_BYTES).map_err(|e| StoreError::Invalid(e.to_string()))?;
    Snapshot::decode(head.version, head.parent, content)
        .map_err(|f| StoreError::Invalid(f.to_string()))
}
