//! Removal of the content of old versions.
//!
//! A commit may be storing, or may have found, the content that is being removed. Three rules keep the head from naming
//! removed content. A removal is announced by a key before the head is written again with the same value, so that a
//! commit which read the head earlier fails its comparison and a later one sees the announcement. Chunks are deleted by
//! the revision that was announced, so a chunk stored anew survives a late deletion. A removal is only carried out while
//! neither the head nor one of the versions that are kept names the content.

use serde::{Deserialize, Serialize};

use super::publish::{decode, read_accepted, read_head, Head, Keys};
use crate::digest::Digest;
use crate::prelude::*;
use crate::store::{Revision, Store, StoreError, Swap};

/// Number of versions below the head whose content is kept.
pub const KEPT_VERSIONS: u64 = 64;

/// Number of versions whose content is removed together. Each removal writes the head again and wakes the watchers once.
pub const BATCH: u64 = 16;

/// Chunks that a removal deletes, with their revisions.
#[derive(Debug, Serialize, Deserialize)]
struct Removal(Vec<(String, Revision)>);

/// Removes the content of versions that are no longer kept, once a batch of them has gathered. Returns the number of
/// removed contents.
///
/// # Errors
///
/// See [`Store::swap`]; the same call, or the next commit of the same content, completes a removal that failed.
pub async fn collect(store: &dyn Store, site: &str) -> Result<usize, StoreError> {
    let keys = Keys::new(site);
    let (head, _) = read_head(store, &keys).await?;
    let entry = store.get(&keys.kept()).await?;
    let (from, revision) = match &entry {
        Some(e) => (decode::<VersionNumber>(&keys.kept(), &e.value)?, e.revision),
        None => (1, 0),
    };
    let until = head.version.number.saturating_sub(KEPT_VERSIONS);
    if until.saturating_sub(from) < BATCH {
        return Ok(0);
    }
    let until = until.min(from + BATCH);
    let named = named(store, &keys, &head).await?;
    let mut removed = HashSet::default();
    for number in from..until {
        let Some(old) = read_accepted(store, &keys, &head, number).await? else {
            continue;
        };
        let hash = old.version.hash;
        if !named.contains(&hash) && removed.insert(hash) {
            announce(store, &keys, &hash).await?;
            finish(store, &keys, &hash).await?;
            if finish(store, &keys, &hash).await? {
                // A commit moved the head meanwhile; the next call starts from there.
                return Ok(removed.len() - 1);
            }
        }
    }
    let value = until.to_string().into_bytes();
    store
        .swap(&keys.kept(), revision, Some(value), None)
        .await?;
    Ok(removed.len())
}

/// Hashes that the head and the kept versions name.
async fn named(store: &dyn Store, keys: &Keys, head: &Head) -> Result<HashSet<Digest>, StoreError> {
    let mut out = HashSet::default();
    out.insert(head.version.hash);
    let lowest = head.version.number.saturating_sub(KEPT_VERSIONS).max(1);
    for number in lowest..head.version.number {
        if let Some(h) = read_accepted(store, keys, head, number).await? {
            out.insert(h.version.hash);
        }
    }
    Ok(out)
}

async fn announce(store: &dyn Store, keys: &Keys, hash: &Digest) -> Result<(), StoreError> {
    let found = store.list(&keys.chunks(hash)).await?;
    let chunks = found.entries.into_iter().map(|e| (e.key, e.revision));
    let value = serde_json::to_vec(&Removal(chunks.collect())).unwrap_or_default();
    // An announcement that exists already is carried out as it is.
    store
        .swap(&keys.removal(hash), 0, Some(value), None)
        .await
        .map(drop)
}

/// Carries out the announced removal of a content, or cancels it when the content is named again. Returns whether there
/// was one.
///
/// # Errors
///
/// See [`Store::swap`]; the same call can be repeated after any error.
pub async fn finish(store: &dyn Store, keys: &Keys, hash: &Digest) -> Result<bool, StoreError> {
    let key = keys.removal(hash);
    let Some(entry) = store.get(&key).await? else {
        return Ok(false);
    };
    let Removal(chunks) = decode(&key, &entry.value)?;
    let head_key = keys.head();
    let Some(head_entry) = store.get(&head_key).await? else {
        store.swap(&key, entry.revision, None, None).await?;
        return Ok(true);
    };
    let head: Head = decode(&head_key, &head_entry.value)?;
    if !named(store, keys, &head).await?.contains(hash) {
        let same = store
            .swap(&head_key, head_entry.revision, Some(head_entry.value), None)
            .await?;
        if matches!(same, Swap::Conflict(_)) {
            // A commit moved the head; the announcement stays until the next call looks at the new one.
            return Ok(true);
        }
        for (chunk, revision) in chunks {
            store.swap(&chunk, revision, None, None).await?;
        }
    }
    store.swap(&key, entry.revision, None, None).await?;
    Ok(true)
}
