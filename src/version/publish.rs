//! Commit protocol: stores the content, then moves the head by compare-and-swap.
//!
//! Every step is idempotent: when the process stops during a commit or a response of the store is lost, the same call
//! completes the commit.

use super::compression::deflate;
use super::gc;
use super::snapshot::{Snapshot, VersionRef};
pub use super::stored::*;
use crate::digest::Digest;
use crate::prelude::*;
use crate::store::{Revision, Store, StoreError, Swap};

/// Attempts of one commit; the delays between them add up to about 1.5 s.
const MAX_ATTEMPTS: u32 = 6;
/// Delay before the second attempt; it doubles with each further one.
const FIRST_DELAY: Duration = Duration::from_millis(50);

/// Outcome of a commit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The commit is accepted under this version.
    Accepted(VersionRef),
    /// The head is not at the base version. This commit did not make the version after the base, or another version
    /// replaced it after the store was restored from an older state.
    Conflict {
        /// Current head.
        head: VersionRef,
        /// Commit that made the version after the base, when it is known.
        winner: Option<Digest>,
    },
}

/// Outcome of publishing an accepted version again. The names of the variants appear in the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Republication {
    /// The head refers to the version again.
    Published,
    /// The head already referred to the version.
    Present,
    /// The head is newer.
    Newer(VersionRef),
    /// The head has the same number but another hash.
    Fork(VersionRef),
}

/// Id of a commit. It depends only on the arguments, so the same command run again gets the same id.
pub fn commit_id(site: &str, base: VersionRef, hash: &Digest) -> Digest {
    Digest::of_parts(&[
        site.as_bytes(),
        &base.number.to_be_bytes(),
        &base.hash.0,
        &hash.0,
    ])
}

/// Commits content on top of version `base`. Transient store errors are retried.
///
/// # Errors
///
/// [`StoreError::Unavailable`] when nothing was accepted. [`StoreError::Unknown`] when the head may have been moved; a
/// later call with the same arguments finds or completes the commit. [`StoreError::Invalid`] for invalid content or
/// damaged values in the store.
pub async fn commit(
    store: &dyn Store,
    site: &str,
    base: VersionNumber,
    content: &[u8],
) -> Result<Outcome, StoreError> {
    let hash = Digest::of(content);
    let version = VersionRef {
        number: base.saturating_add(1),
        hash,
    };
    Snapshot::decode(version, Digest::default(), content.to_vec())
        .map_err(|f| StoreError::Invalid(f.to_string()))?;
    let publisher = Publisher {
        store,
        site,
        keys: StoreKeys::new(site),
        hash,
        compressed: deflate(content),
    };
    let mut may_have_moved = false;
    let mut last_error = String::from("the head kept changing");
    for attempt in 0..MAX_ATTEMPTS {
        if attempt > 0 {
            tokio::time::sleep(FIRST_DELAY * 2_u32.pow(attempt - 1)).await;
        }
        match publisher.commit(base, &mut may_have_moved).await {
            Ok(Some(outcome)) => return Ok(outcome),
            Ok(None) => {}
            Err(StoreError::Unavailable(e) | StoreError::Unknown(e)) => last_error = e,
            Err(e) => return Err(e),
        }
    }
    Err(match may_have_moved {
        true => StoreError::Unknown(last_error),
        false => StoreError::Unavailable(last_error),
    })
}

/// Publishes an accepted version again after the store was restored from an older state, unless the head has the same
/// or a greater number.
///
/// # Errors
///
/// See [`Store::swap`]; the call can be retried after any error.
pub async fn republish(
    store: &dyn Store,
    site: &str,
    snapshot: &Snapshot,
) -> Result<Republication, StoreError> {
    let version = snapshot.version;
    let publisher = Publisher {
        store,
        site,
        keys: StoreKeys::new(site),
        hash: version.hash,
        compressed: deflate(&snapshot.content),
    };
    for _ in 0..MAX_ATTEMPTS {
        let (head, revision) = read_head(store, &publisher.keys).await?;
        match head.version {
            v if v == version => return Ok(Republication::Present),
            v if v.number > version.number => return Ok(Republication::Newer(v)),
            v if v.number == version.number => return Ok(Republication::Fork(v)),
            _ => {}
        }
        // A commit made on the restored state is not an ancestor, so it is not recorded as an accepted version.
        let is_ancestor =
            head.version.number + 1 != version.number || head.version.hash == snapshot.parent;
        if let Swap::Done(_) = publisher
            .move_head(
                &head,
                revision,
                version,
                snapshot.parent,
                is_ancestor,
                &mut false,
            )
            .await?
        {
            return Ok(Republication::Published);
        }
    }
    Err(StoreError::Unavailable("the head kept changing".into()))
}

/// Publishes one content.
struct Publisher<'a> {
    store: &'a dyn Store,
    site: &'a str,
    keys: StoreKeys,
    hash: Digest,
    compressed: Vec<u8>,
}

impl Publisher<'_> {
    /// Makes one attempt. Returns `None` when another writer changed the head meanwhile. Sets `may_have_moved` when the
    /// head may have been moved although the write failed.
    async fn commit(
        &self,
        base: VersionNumber,
        may_have_moved: &mut bool,
    ) -> Result<Option<Outcome>, StoreError> {
        let (head, revision) = read_head(self.store, &self.keys).await?;
        if head.version.number != base {
            return self.find_outcome(&head, base).await.map(Some);
        }
        let next = VersionRef {
            number: base + 1,
            hash: self.hash,
        };
        match self
            .move_head(
                &head,
                revision,
                next,
                head.version.hash,
                true,
                may_have_moved,
            )
            .await?
        {
            Swap::Done(_) => Ok(Some(Outcome::Accepted(next))),
            Swap::Conflict(_) => Ok(None),
        }
    }

    /// Stores the content and moves the head from `head` to `next`. With `record`, the previous head is recorded as an
    /// accepted version.
    async fn move_head(
        &self,
        head: &Head,
        revision: Revision,
        next: VersionRef,
        parent: Digest,
        record: bool,
        may_have_moved: &mut bool,
    ) -> Result<Swap, StoreError> {
        if gc::finish_removal(self.store, &self.keys, &self.hash).await? {
            // The removal may have changed the revision of the head.
            return Ok(Swap::Conflict(None));
        }
        let chunks = self.store_chunks().await?;
        if record && head.version.number > 0 {
            let key = self.keys.accepted(head.version.number);
            self.store
                .swap(&key, Revision::ABSENT, Some(encode(head)), None)
                .await?;
        }
        let base = VersionRef {
            number: next.number - 1,
            hash: parent,
        };
        let value = encode(&Head {
            version: next,
            parent,
            commit: commit_id(self.site, base, &self.hash),
            chunks,
        });
        let out = self
            .store
            .swap(&self.keys.head(), revision, Some(value), None)
            .await;
        *may_have_moved |= matches!(out, Err(StoreError::Unknown(_)));
        out
    }

    async fn store_chunks(&self) -> Result<u32, StoreError> {
        let mut n = 0;
        for part in self.compressed.chunks(CHUNK_BYTES) {
            let key = self.keys.chunk(&self.hash, n);
            let out = self
                .store
                .swap(&key, Revision::ABSENT, Some(part.to_vec()), None)
                .await?;
            if matches!(out, Swap::Conflict(Some(e)) if e.value != part) {
                let message = format!(
                    "{key} already holds different bytes, perhaps from another compressor version; change the manifest"
                );
                return Err(StoreError::Invalid(message));
            }
            n += 1;
        }
        Ok(n)
    }

    /// Finds out whether this commit on `base` was accepted earlier, even if other commits followed.
    async fn find_outcome(&self, head: &Head, base: VersionNumber) -> Result<Outcome, StoreError> {
        let conflict = |winner| Outcome::Conflict {
            head: head.version,
            winner,
        };
        let number = match base.checked_add(1) {
            Some(n) if n <= head.version.number => n,
            _ => return Ok(conflict(None)),
        };
        let accepted = read_accepted(self.store, &self.keys, head, number).await?;
        let next = read_accepted(self.store, &self.keys, head, number.saturating_add(1)).await?;
        let Some(accepted) = accepted else {
            // The restored store has lost the record, but the next version still names the hash of its parent.
            let own = VersionRef {
                number,
                hash: self.hash,
            };
            return Ok(match next {
                Some(n) if n.parent == self.hash => Outcome::Accepted(own),
                _ => conflict(None),
            });
        };
        let parent = VersionRef {
            number: base,
            hash: accepted.parent,
        };
        // A version that was published again may have replaced a commit made on the restored store.
        let replaced = next.is_some_and(|n| n.parent != accepted.version.hash);
        match commit_id(self.site, parent, &self.hash) == accepted.commit {
            true if !replaced => Ok(Outcome::Accepted(accepted.version)),
            true => Ok(conflict(None)),
            false => Ok(conflict(Some(accepted.commit))),
        }
    }
}
