//! Garbage collection: removes the content of old versions from the store.
//!
//! A concurrent commit may be storing the content that is being removed, or may have found it in the store. Three rules
//! keep the head from referring to removed content:
//!
//! - A removal is announced by a key before the head is written again with the same value. A commit that read the head
//!   earlier then fails its compare-and-swap, and a later commit sees the announcement.
//! - Chunks are deleted only at the revision that was announced, so a chunk that was stored again survives a late
//!   deletion.
//! - Chunks are deleted only while neither the head nor a kept version refers to the content.

use serde::{Deserialize, Serialize};

use super::stored::{decode, read_accepted, read_head, Head, StoreKeys};
use crate::digest::Digest;
use crate::prelude::*;
use crate::store::{Revision, Store, StoreError, Swap};

/// Number of versions below the head whose content is kept.
pub const KEPT_VERSIONS: u64 = 64;

/// Number of versions whose content is removed together. Each removed content rewrites the head and so wakes the
/// watchers once.
pub const BATCH_VERSIONS: u64 = 16;

/// Value of a removal key: the keys of the chunks to delete, with their revisions.
#[derive(Debug, Serialize, Deserialize)]
struct Removal(Vec<(String, Revision)>);

/// Removes the content of versions that are no longer kept, once there are [`BATCH_VERSIONS`] of them. Returns the
/// number of removed contents.
///
/// # Errors
///
/// See [`Store::swap`]. A removal that failed is completed by the next call or by the next commit of the same content.
pub async fn remove_old_content(store: &dyn Store, site: &str) -> Result<usize, StoreError> {
    let keys = StoreKeys::new(site);
    let (head, _) = read_head(store, &keys).await?;
    let entry = store.get(&keys.lowest_kept()).await?;
    let (from, revision) = match &entry {
        Some(e) => (
            decode::<VersionNumber>(&keys.lowest_kept(), &e.value)?,
            e.revision,
        ),
        None => (1, Revision::ABSENT),
    };
    let end = head.version.number.saturating_sub(KEPT_VERSIONS);
    if end.saturating_sub(from) < BATCH_VERSIONS {
        return Ok(0);
    }
    let end = end.min(from + BATCH_VERSIONS);
    let referenced = referenced_hashes(store, &keys, &head).await?;
    let mut removed = HashSet::default();
    for number in from..end {
        let Some(old) = read_accepted(store, &keys, &head, number).await? else {
            continue;
        };
        let hash = old.version.hash;
        if !referenced.contains(&hash) && removed.insert(hash) {
            announce_removal(store, &keys, &hash).await?;
            finish_removal(store, &keys, &hash).await?;
            // After a completed removal nothing is announced any more, so a second call returns `false`.
            if finish_removal(store, &keys, &hash).await? {
                // A commit moved the head during the removal; the next call starts again from the same version.
                return Ok(removed.len() - 1);
            }
        }
    }
    let value = end.to_string().into_bytes();
    store
        .swap(&keys.lowest_kept(), revision, Some(value), None)
        .await?;
    Ok(removed.len())
}

/// Content hashes that the head and the kept versions refer to.
async fn referenced_hashes(
    store: &dyn Store,
    keys: &StoreKeys,
    head: &Head,
) -> Result<HashSet<Digest>, StoreError> {
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

async fn announce_removal(
    store: &dyn Store,
    keys: &StoreKeys,
    hash: &Digest,
) -> Result<(), StoreError> {
    let found = store.list(&keys.chunks(hash)).await?;
    let chunks = found.entries.into_iter().map(|e| (e.key, e.revision));
    let value = serde_json::to_vec(&Removal(chunks.collect())).unwrap_or_default();
    // An announcement that already exists stays as it is and is completed.
    store
        .swap(&keys.removal(hash), Revision::ABSENT, Some(value), None)
        .await
        .map(drop)
}

/// Completes the announced removal of a content, or cancels it when the content is in use again. Returns whether a
/// removal was announced.
///
/// # Errors
///
/// See [`Store::swap`]; the call can be retried after any error.
pub async fn finish_removal(
    store: &dyn Store,
    keys: &StoreKeys,
    hash: &Digest,
) -> Result<bool, StoreError> {
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
    if !referenced_hashes(store, keys, &head).await?.contains(hash) {
        let rewritten = store
            .swap(&head_key, head_entry.revision, Some(head_entry.value), None)
            .await?;
        if matches!(rewritten, Swap::Conflict(_)) {
            // A commit moved the head; the announcement stays until the next call compares it with the new head.
            return Ok(true);
        }
        for (chunk, revision) in chunks {
            store.swap(&chunk, revision, None, None).await?;
        }
    }
    store.swap(&key, entry.revision, None, None).await?;
    Ok(true)
}
