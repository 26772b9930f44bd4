//! Commit protocol: stores content, then moves the head by compare-and-swap.
//!
//! Every step can be repeated, so a commit whose process died or whose answer was lost is completed by the same call.

use serde::{Deserialize, Serialize};

use super::collect;
use super::pack::{deflate, inflate, MAX_CONTENT_BYTES};
use super::snapshot::{Snapshot, VersionRef};
use crate::digest::Digest;
use crate::prelude::*;
use crate::store::{Revision, Store, StoreError, Swap, MAX_VALUE_BYTES};

/// Size of one stored chunk, in bytes; well below the store's limit for a value.
pub const CHUNK_BYTES: usize = MAX_VALUE_BYTES / 2;

/// Most chunks of one content; compressed content is not larger than the uncompressed limit.
pub const MAX_CHUNKS: u32 = (MAX_CONTENT_BYTES / CHUNK_BYTES) as u32;

/// Attempts of a commit before it gives up; about 1.5 s of pauses together.
const ATTEMPTS: u32 = 6;
/// Pause before the second attempt; it doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(50);

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

/// How publishing an accepted version again ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Again {
    /// The head names the version again.
    Published,
    /// The head already named the version.
    Present,
    /// The head is newer.
    Newer(VersionRef),
    /// The head has the same number and another hash.
    Fork(VersionRef),
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

/// Id of a commit; the same command run again makes the same id.
pub fn commit_id(site: &str, base: VersionRef, hash: &Digest) -> Digest {
    Digest::of_parts(&[
        site.as_bytes(),
        &base.number.to_be_bytes(),
        &base.hash.0,
        &hash.0,
    ])
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

fn encode<T>(value: &T) -> Vec<u8>
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

/// Commits content on top of version `base`. Transient store errors are retried.
///
/// # Errors
///
/// [`StoreError::Unavailable`] when nothing was accepted, [`StoreError::Unknown`] when the outcome is not known; the same
/// call run again finds or completes it. [`StoreError::Invalid`] for invalid content or damaged values of the store.
pub async fn commit(
    store: &dyn Store,
    site: &str,
    base: VersionNumber,
    content: &[u8],
) -> Result<Outcome, StoreError> {
    let hash = Digest::of(content);
    let wanted = VersionRef {
        number: base.saturating_add(1),
        hash,
    };
    Snapshot::decode(wanted, Digest::default(), content.to_vec())
        .map_err(|f| StoreError::Invalid(f.to_string()))?;
    let job = Job {
        store,
        site,
        keys: Keys::new(site),
        hash,
        packed: deflate(content),
    };
    let mut sent = false;
    let mut last = String::from("the head kept changing");
    for attempt in 0..ATTEMPTS {
        if attempt > 0 {
            tokio::time::sleep(FIRST_PAUSE * 2_u32.pow(attempt - 1)).await;
        }
        match job.commit(base, &mut sent).await {
            Ok(Some(outcome)) => return Ok(outcome),
            Ok(None) => {}
            Err(StoreError::Unavailable(e) | StoreError::Unknown(e)) => last = e,
            Err(e) => return Err(e),
        }
    }
    Err(match sent {
        true => StoreError::Unknown(last),
        false => StoreError::Unavailable(last),
    })
}

/// Publishes an accepted version that a restored store has lost, unless the head is as new.
///
/// # Errors
///
/// See [`Store::swap`]; the same call can be repeated after any error.
pub async fn publish_again(
    store: &dyn Store,
    site: &str,
    snapshot: &Snapshot,
) -> Result<Again, StoreError> {
    let version = snapshot.version;
    let job = Job {
        store,
        site,
        keys: Keys::new(site),
        hash: version.hash,
        packed: deflate(&snapshot.content),
    };
    for _ in 0..ATTEMPTS {
        let (head, revision) = read_head(store, &job.keys).await?;
        match head.version {
            v if v == version => return Ok(Again::Present),
            v if v.number > version.number => return Ok(Again::Newer(v)),
            v if v.number == version.number => return Ok(Again::Fork(v)),
            _ => {}
        }
        // A commit made on the restored state is not an ancestor, so it gets no record among the accepted versions.
        let ancestor =
            head.version.number + 1 != version.number || head.version.hash == snapshot.parent;
        if let Swap::Done(_) = job
            .advance(
                &head,
                revision,
                version,
                snapshot.parent,
                ancestor,
                &mut false,
            )
            .await?
        {
            return Ok(Again::Published);
        }
    }
    Err(StoreError::Unavailable("the head kept changing".into()))
}

/// One content that is to be named by the head.
struct Job<'a> {
    store: &'a dyn Store,
    site: &'a str,
    keys: Keys,
    hash: Digest,
    packed: Vec<u8>,
}

impl Job<'_> {
    /// One attempt; `None` when the head changed without a decision. Sets `sent` when the head may have been moved.
    async fn commit(
        &self,
        base: VersionNumber,
        sent: &mut bool,
    ) -> Result<Option<Outcome>, StoreError> {
        let (head, revision) = read_head(self.store, &self.keys).await?;
        if head.version.number != base {
            return self.settled(&head, base).await.map(Some);
        }
        let next = VersionRef {
            number: base + 1,
            hash: self.hash,
        };
        match self
            .advance(&head, revision, next, head.version.hash, true, sent)
            .await?
        {
            Swap::Done(_) => Ok(Some(Outcome::Accepted(next))),
            Swap::Conflict(_) => Ok(None),
        }
    }

    /// Stores the content and moves the head from `head` to `next`.
    async fn advance(
        &self,
        head: &Head,
        revision: Revision,
        next: VersionRef,
        parent: Digest,
        record: bool,
        sent: &mut bool,
    ) -> Result<Swap, StoreError> {
        if collect::finish(self.store, &self.keys, &self.hash).await? {
            // The removal changed the head's revision.
            return Ok(Swap::Conflict(None));
        }
        let chunks = self.store_chunks().await?;
        if record && head.version.number > 0 {
            let key = self.keys.accepted(head.version.number);
            self.store.swap(&key, 0, Some(encode(head)), None).await?;
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
        *sent |= matches!(out, Err(StoreError::Unknown(_)));
        out
    }

    async fn store_chunks(&self) -> Result<u32, StoreError> {
        let mut n = 0;
        for part in self.packed.chunks(CHUNK_BYTES) {
            let key = self.keys.chunk(&self.hash, n);
            let out = self.store.swap(&key, 0, Some(part.to_vec()), None).await?;
            if matches!(out, Swap::Conflict(Some(e)) if e.value != part) {
                let message = format!(
                    "{key} holds other bytes, perhaps of another compressor; change the manifest"
                );
                return Err(StoreError::Invalid(message));
            }
            n += 1;
        }
        Ok(n)
    }

    /// Finds whether this commit on `base` was accepted earlier, however many commits followed.
    async fn settled(&self, head: &Head, base: VersionNumber) -> Result<Outcome, StoreError> {
        let lost = |winner| Outcome::Conflict {
            head: head.version,
            winner,
        };
        let number = match base.checked_add(1) {
            Some(n) if n <= head.version.number => n,
            _ => return Ok(lost(None)),
        };
        let made = read_accepted(self.store, &self.keys, head, number).await?;
        let next = read_accepted(self.store, &self.keys, head, number.saturating_add(1)).await?;
        let Some(made) = made else {
            // A restored store has lost the record, but the version after it names the content that it followed.
            let own = VersionRef {
                number,
                hash: self.hash,
            };
            return Ok(match next {
                Some(n) if n.parent == self.hash => Outcome::Accepted(own),
                _ => lost(None),
            });
        };
        let parent = VersionRef {
            number: base,
            hash: made.parent,
        };
        // A version that was published again may have replaced a commit made on a restored store.
        let replaced = next.is_some_and(|n| n.parent != made.version.hash);
        match commit_id(self.site, parent, &self.hash) == made.commit {
            true if !replaced => Ok(Outcome::Accepted(made.version)),
            true => Ok(lost(None)),
            false => Ok(lost(Some(made.commit))),
        }
    }
}
