//! Commit protocol: stores content, then moves the head by compare-and-swap.

use serde::{Deserialize, Serialize};

use super::pack::{deflate, inflate, MAX_CONTENT_BYTES};
use super::snapshot::{Snapshot, VersionRef};
use crate::digest::Digest;
use crate::prelude::*;
use crate::store::{Store, StoreError, Swap, MAX_VALUE_BYTES};

/// Size of one stored chunk, in bytes; well below the store's limit for a value.
pub const CHUNK_BYTES: usize = MAX_VALUE_BYTES / 2;

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

/// How a commit ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The commit is accepted under this version.
    Accepted(VersionRef),
    /// Another commit took the number that this one wanted.
    Conflict {
        /// Present head.
        head: VersionRef,
        /// Commit that holds the number that this one wanted, when it is known.
        winner: Option<Digest>,
    },
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

/// Id of a commit; the same command run again makes the same id.
pub fn commit_id(site: &str, base: VersionRef, hash: &Digest) -> Digest {
    Digest::of_parts(&[
        site.as_bytes(),
        &base.number.to_be_bytes(),
        &base.hash.0,
        &hash.0,
    ])
}

fn decode<T>(value: &[u8]) -> Result<T, StoreError>
where
    T: serde::de::DeserializeOwned,
{
    serde_json::from_slice(value).map_err(|e| StoreError::Invalid(e.to_string()))
}

/// Reads the head and its revision.
///
/// # Errors
///
/// See [`Store::get`]; [`StoreError::Invalid`] when the value cannot be decoded.
pub async fn read_head(store: &dyn Store, keys: &Keys) -> Result<(Head, u64), StoreError> {
    match store.get(&keys.head()).await? {
        Some(e) => Ok((decode(&e.value)?, e.revision)),
        None => Ok((Head::default(), 0)),
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
    let mut data = Vec::new();
    for i in 0..head.chunks {
        let key = keys.chunk(&head.version.hash, i);
        let entry = store.get(&key).await?;
        data.extend(
            entry
                .ok_or_else(|| StoreError::Invalid(format!("{key} is missing")))?
                .value,
        );
    }
    let content =
        inflate(&data, MAX_CONTENT_BYTES).map_err(|e| StoreError::Invalid(e.to_string()))?;
    Snapshot::decode(head.version, head.parent, content)
        .map_err(|f| StoreError::Invalid(f.to_string()))
}

/// Commits content on top of version `base`.
///
/// # Errors
///
/// [`StoreError::Unknown`] when the outcome is not known; the same call run again finds it.
pub async fn commit(
    store: &dyn Store,
    site: &str,
    base: VersionNumber,
    content: &[u8],
) -> Result<Outcome, StoreError> {
    let keys = Keys::new(site);
    let hash = Digest::of(content);
    let packed = deflate(content);
    let mut chunks = 0;
    for part in packed.chunks(CHUNK_BYTES) {
        store
            .swap(&keys.chunk(&hash, chunks), 0, Some(part.to_vec()), None)
            .await?;
        chunks += 1;
    }
    let (head, revision) = read_head(store, &keys).await?;
    if head.version.number != base {
        return settled(store, &keys, &head, base, &hash).await;
    }
    let commit = commit_id(site, head.version, &hash);
    if base > 0 {
        let value = serde_json::to_vec(&head).unwrap_or_default();
        store
            .swap(&keys.accepted(base), 0, Some(value), None)
            .await?;
    }
    let next = Head {
        version: VersionRef {
            number: base + 1,
            hash,
        },
        parent: head.version.hash,
        commit,
        chunks,
    };
    let value = serde_json::to_vec(&next).unwrap_or_default();
    match store
        .swap(&keys.head(), revision, Some(value), None)
        .await?
    {
        Swap::Done(_) => Ok(Outcome::Accepted(next.version)),
        Swap::Conflict(_) => {
            let (head, _) = read_head(store, &keys).await?;
            settled(store, &keys, &head, base, &hash).await
        }
    }
}

/// Finds whether the commit of `hash` on `base` was accepted earlier, however many commits followed.
async fn settled(
    store: &dyn Store,
    keys: &Keys,
    head: &Head,
    base: VersionNumber,
    hash: &Digest,
) -> Result<Outcome, StoreError> {
    let wanted = base + 1;
    let made = match head.version.number {
        n if n == wanted => Some(head.clone()),
        n if n > wanted => match store.get(&keys.accepted(wanted)).await? {
            Some(e) => Some(decode::<Head>(&e.value)?),
            None => None,
        },
        _ => None,
    };
    match made {
        Some(h) if h.version.hash == *hash => Ok(Outcome::Accepted(h.version)),
        h => Ok(Outcome::Conflict {
            head: head.version,
            winner: h.map(|h| h.commit),
        }),
    }
}
