//! Deduplication of requests by idempotency key at the owner of the key.

use crate::digest::Digest;
use crate::prelude::*;
use crate::request::key::IdempotencyKey;
use crate::request::reason::Reason;

/// Maximum size of a stored response, in bytes.
pub const MAX_STORED_BYTES: usize = 64 << 10;
/// Retention period of keys after their key time, in milliseconds.
pub const RETENTION_MS: u64 = 3_600_000;

/// Limits of a [`DedupTable`], above which the finished keys with the lowest key times are evicted.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Maximum number of keys, those with a running request included.
    pub keys: usize,
    /// Maximum size of all stored responses, in bytes; a quarter of the memory allowed for the control plane.
    pub bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            keys: 1 << 16,
            bytes: 32 << 20,
        }
    }
}

#[derive(Debug)]
enum State<R> {
    Running,
    Done(R, usize),
    Unknown(Reason),
}

#[derive(Debug)]
struct Entry<R> {
    content: Digest,
    state: State<R>,
}

/// How to handle a request, given the state of its key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision<R> {
    /// Run the request and report the result with [`DedupTable::finish`].
    Run,
    /// The same request is running; wait until it finishes and call [`DedupTable::begin`] again.
    Wait,
    /// The request ran; this is its stored response.
    Done(R),
    /// The request may have run, or its response was not stored.
    Unknown(Reason),
    /// The key was used with different content.
    Reused,
    /// The key time is below the floor; the request may have run.
    Expired,
    /// The table is full of running requests. The request was not run.
    Full,
}

/// What is known at the end of a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunResult<R> {
    /// The run completed, with a response and its size in bytes.
    Done(R, usize),
    /// The request may have run, or its response was not stored.
    Unknown(Reason),
    /// The request was proven not to have run.
    NotRun,
}

/// Table of idempotency keys and their states. `R` is the type of a stored response.
#[derive(Debug)]
pub struct DedupTable<R> {
    limits: Limits,
    entries: BTreeMap<IdempotencyKey, Entry<R>>,
    bytes: usize,
    floor_ms: u64,
}

impl<R> DedupTable<R>
where
    R: Clone,
{
    /// Creates an empty table with floor 0, which accepts all key times.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            entries: BTreeMap::new(),
            bytes: 0,
            floor_ms: 0,
        }
    }

    /// Lowest key time that is accepted, in milliseconds since the Unix epoch. It never decreases.
    pub fn floor_ms(&self) -> u64 {
        self.floor_ms
    }

    /// Number of keys whose requests are running or whose results are stored.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no request is running and no result is stored.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Whether the table has an entry for a key. A key at or above the floor without an entry never ran here.
    pub fn contains(&self, key: IdempotencyKey) -> bool {
        self.entries.contains_key(&key)
    }

    /// Looks up a request. After [`Decision::Run`], the key is running until [`DedupTable::finish`].
    pub fn begin(&mut self, key: IdempotencyKey, content: Digest) -> Decision<R> {
        match self.entries.get(&key) {
            Some(e) if e.content != content => return Decision::Reused,
            Some(e) => {
                return match &e.state {
                    State::Running => Decision::Wait,
                    State::Done(response, _) => Decision::Done(response.clone()),
                    State::Unknown(r) => Decision::Unknown(*r),
                }
            }
            None if key.time_ms() < self.floor_ms => return Decision::Expired,
            None => {}
        }
        if self.entries.len() >= self.limits.keys && !self.evict() {
            return Decision::Full;
        }
        // The eviction may have raised the floor above this key.
        if key.time_ms() < self.floor_ms {
            return Decision::Expired;
        }
        let state = State::Running;
        self.entries.insert(key, Entry { content, state });
        Decision::Run
    }

    /// Records the result of a run. Responses larger than [`MAX_STORED_BYTES`] are not stored; duplicates of such
    /// requests get [`Decision::Unknown`].
    pub fn finish(&mut self, key: IdempotencyKey, result: RunResult<R>) {
        let Some(e) = self.entries.get_mut(&key) else {
            return;
        };
        match result {
            RunResult::Done(response, n) if n <= MAX_STORED_BYTES => {
                e.state = State::Done(response, n);
                self.bytes += n;
            }
            RunResult::Done(..) => e.state = State::Unknown(Reason::ResponseNotStored),
            RunResult::Unknown(r) => e.state = State::Unknown(r),
            RunResult::NotRun => {
                self.entries.remove(&key);
            }
        }
        while self.bytes > self.limits.bytes && self.evict() {}
    }

    /// Raises the floor to [`RETENTION_MS`] before the wall clock, and removes the finished keys below it.
    pub fn tick(&mut self, wall_ms: u64) {
        self.raise_floor(wall_ms.saturating_sub(RETENTION_MS));
    }

    /// Raises the floor above the lowest key time with a finished run, which removes the finished keys of that time.
    /// Returns `false` if all keys are running.
    fn evict(&mut self) -> bool {
        let is_finished = |e: &&Entry<R>| !matches!(e.state, State::Running);
        let oldest = self
            .entries
            .iter()
            .find(|(_, e)| is_finished(e))
            .map(|(k, _)| *k);
        if let Some(k) = oldest {
            self.raise_floor(k.time_ms() + 1);
        }
        oldest.is_some()
    }

    fn raise_floor(&mut self, floor_ms: u64) {
        self.floor_ms = self.floor_ms.max(floor_ms);
        let floor = self.floor_ms;
        let expired = self
            .entries
            .iter()
            .take_while(|(k, _)| k.time_ms() < floor)
            .filter(|(_, e)| !matches!(e.state, State::Running));
        let expired: Vec<_> = expired.map(|(k, _)| *k).collect();
        for k in expired {
            if let Some(State::Done(_, n)) = self.entries.remove(&k).map(|e| e.state) {
                self.bytes -= n;
            }
        }
    }
}
