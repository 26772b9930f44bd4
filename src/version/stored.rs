//! Data of a site in the store: keys, head records and content.

use serde::{Deserialize, Serialize};

use super::compression::{inflate, MAX_CONTENT_BYTES};
use super::snapshot::{Snapshot, VersionRef};
use crate::digest::Digest;
use crate::prelude::*;
use crate::store::{Revision, Store, StoreError, MAX_VALUE_BYTES};

/// Size of a stored chunk, in bytes; half of the store's limit for a value.
pub const CHUNK_BYTES: usize = MAX_VALUE_BYTES / 2;

/// Maximum number of chunks of one content, assuming that compression does not enlarge it.
pub const MAX_CHUNKS: u32 = (MAX_CONTENT_BYTES / CHUNK_BYTES) as u32;

/// Value of the store's `head` key, and of the record of each accepted version.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Version that the value is about; number 0 stands for an empty store.
    pub version: VersionRef,
    /// Content hash of the previous version; all zeros for version 1.
    pub parent: Digest,
    /// Id of the commit that made this version.
    pub commit: Digest,
    /// Number of chunks in which the content is stored.
    pub chunks: u32,
}

/// Names of the keys of a site.
#[derive(Debug, Clone)]
pub struct StoreKeys {
    prefix: String,
}

impl StoreKeys {
    /// Creates the names of the keys below `dq/<site>/`.
    pub fn new(site: &str) -> Self {
        Self {
            prefix: format!("dq/{site}/"),
        }
    }

    /// Key of the head; its value is a [`Head`].
    pub fn head(&self) -> String {
        format!("{}head", self.prefix)
    }

    /// Key of the chunk with index `i` of one content.
    pub fn chunk(&self, hash: &Digest, i: u32) -> String {
        format!("{}content/{hash}/{i}", self.prefix)
    }

    /// Prefix of the chunks of one content.
    pub fn chunks(&self, hash: &Digest) -> String {
        format!("{}content/{hash}/", self.prefix)
    }

    /// Key that announces the removal of one content.
    pub fn removal(&self, hash: &Digest) -> String {
        format!("{}removal/{hash}", self.prefix)
    }

    /// Key of the lowest version number whose content may still be stored.
    pub fn lowest_kept(&self) -> String {
        format!("{}kept", self.prefix)
    }

    /// Prefix of the leased slots of the watchers of an availability zone.
    pub fn watchers(&self, az: &str) -> String {
        format!("{}watch/{az}/", self.prefix)
    }

    /// Key of the leased slot of one watcher.
    pub fn watcher(&self, az: &str, slot: usize) -> String {
        format!("{}{slot}", self.watchers(az))
    }

    /// Key of the addresses that new nodes of an availability zone contact first.
    pub fn rendezvous(&self, az: &str) -> String {
        format!("{}rendezvous/{az}", self.prefix)
    }

    /// Key of the record of an accepted version: its [`Head`], written before the head moves on.
    pub fn accepted(&self, number: VersionNumber) -> String {
        format!("{}accepted/{number}", self.prefix)
    }
}

/// Decodes a JSON value from the store.
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

/// Encodes a value for the store as JSON.
pub fn encode<T>(value: &T) -> Vec<u8>
where
    T: Serialize,
{
    // Maps in these types have string keys only, so JSON encoding cannot fail.
    serde_json::to_vec(value).unwrap_or_default()
}

/// Reads the head and its revision; number 0 and revision 0 when the store has none.
///
/// # Errors
///
/// See [`Store::get`]; [`StoreError::Invalid`] when the value cannot be decoded.
pub async fn read_head(
    store: &dyn Store,
    keys: &StoreKeys,
) -> Result<(Head, Revision), StoreError> {
    let key = keys.head();
    match store.get(&key).await? {
        Some(e) => Ok((decode(&key, &e.value)?, e.revision)),
        None => Ok((Head::default(), Revision::ABSENT)),
    }
}

/// Reads the head and the revision of the whole store, from which a watch sees every later change. The revision of the
/// head itself may be older than the history that the store keeps; a watch from there would fail at once.
///
/// # Errors
///
/// See [`read_head`].
pub async fn read_head_for_watch(
    store: &dyn Store,
    keys: &StoreKeys,
) -> Result<(Head, Revision), StoreError> {
    let key = keys.head();
    let found = store.list(&key).await?;
    match found.entries.iter().find(|e| e.key == key) {
        Some(e) => Ok((decode(&key, &e.value)?, found.revision)),
        None => Ok((Head::default(), found.revision)),
    }
}

/// Reads the record of an accepted version, given the current head. Returns `None` if the number is above the head or
/// has no record.
///
/// # Errors
///
/// See [`read_head`].
pub async fn read_accepted(
    store: &dyn Store,
    keys: &StoreKeys,
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

/// Reads and validates the content that a head refers to.
///
/// # Errors
///
/// See [`Store::get`]; [`StoreError::Invalid`] when a chunk is missing or the content is invalid.
pub async fn read_content(
    store: &dyn Store,
    keys: &StoreKeys,
    head: &Head,
) -> Result<Snapshot, StoreError> {
    if head.chunks > MAX_CHUNKS {
        let message = format!("{} chunks exceed the limit of {MAX_CHUNKS}", head.chunks);
        return Err(StoreError::Invalid(message));
    }
    let mut compressed = Vec::new();
    for i in 0..head.chunks {
        let key = keys.chunk(&head.version.hash, i);
        let entry = store.get(&key).await?;
        let missing = || StoreError::Invalid(format!("chunk {key} is missing"));
        compressed.extend(entry.ok_or_else(missing)?.value);
    }
    let content =
        inflate(&compressed, MAX_CONTENT_BYTES).map_err(|e| StoreError::Invalid(e.to_string()))?;
    Snapshot::decode(head.version, head.parent, content)
        .map_err(|f| StoreError::Invalid(f.to_string()))
}
