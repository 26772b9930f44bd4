//! Answers of idempotency keys at their owner.

use crate::digest::Digest;
use crate::prelude::*;
use crate::request::key::IdempotencyKey;
use crate::request::reason::Reason;

/// Largest answer that is kept, in bytes.
pub const MAX_ANSWER_BYTES: usize = 64 << 10;
/// Time for which keys are kept, in milliseconds of key time.
pub const RETENTION_MS: u64 = 3_600_000;

/// Bounds of the table.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Keys.
    pub keys: usize,
    /// Sum of all answers, in bytes; a quarter of the memory allowed for control.
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
enum State<A> {
    Running,
    Done(A, usize),
    Unknown(Reason),
}

#[derive(Debug)]
struct Held<A> {
    content: Digest,
    state: State<A>,
}

/// What to do with a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Begin<A> {
    /// Run it and report the end with [`Dedup::end`].
    Run,
    /// The same request runs; wait for its end and ask again.
    Wait,
    /// It ran, and this is its answer.
    Done(A),
    /// It may have run, or its answer was not kept.
    Unknown(Reason),
    /// The key was used with other content.
    Reused,
    /// The key is below the floor: it may have run.
    Expired,
    /// No room, because all keys are running. It was not run.
    Full,
}

/// How a run ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum End<A> {
    /// With this answer of this size in bytes.
    Done(A, usize),
    /// It may have run, or its answer was not kept.
    Unknown(Reason),
    /// It was proven not to have run.
    NotRun,
}

/// Keys with their states. `A` is the stored answer.
#[derive(Debug)]
pub struct Dedup<A> {
    limits: Limits,
    held: BTreeMap<IdempotencyKey, Held<A>>,
    bytes: usize,
    floor_ms: u64,
}

impl<A> Dedup<A>
where
    A: Clone,
{
    /// An empty table.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            held: BTreeMap::new(),
            bytes: 0,
            floor_ms: 0,
        }
    }

    /// Lowest key time that is still accepted, in milliseconds since the Unix epoch; it never falls.
    pub fn floor_ms(&self) -> u64 {
        self.floor_ms
    }

    /// Number of keys.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Whether no key is held.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Whether a key is held. Without an entry, a key at or above the floor never ran here.
    pub fn holds(&self, key: IdempotencyKey) -> bool {
        self.held.contains_key(&key)
    }

    /// Takes a request. After [`Begin::Run`], the key is running until [`Dedup::end`].
    pub fn begin(&mut self, key: IdempotencyKey, content: Digest) -> Begin<A> {
        match self.held.get(&key) {
            Some(h) if h.content != content => return Begin::Reused,
            Some(h) => {
                return match &h.state {
                    State::Running => Begin::Wait,
                    State::Done(a, _) => Begin::Done(a.clone()),
                    State::Unknown(r) => Begin::Unknown(*r),
                }
            }
            None if key.time_ms() < self.floor_ms => return Begin::Expired,
            None => {}
        }
        if self.held.len() >= self.limits.keys && !self.evict() {
            return Begin::Full;
        }
        // Making room may have raised the floor above this key.
        if key.time_ms() < self.floor_ms {
            return Begin::Expired;
        }
        let state = State::Running;
        self.held.insert(key, Held { content, state });
        Begin::Run
    }

    /// Takes the end of a run. Answers above [`MAX_ANSWER_BYTES`] are not kept: duplicates get [`Begin::Unknown`].
    pub fn end(&mut self, key: IdempotencyKey, end: End<A>) {
        let Some(h) = self.held.get_mut(&key) else {
            return;
        };
        match end {
            End::Done(a, n) if n <= MAX_ANSWER_BYTES => {
                h.state = State::Done(a, n);
                self.bytes += n;
            }
            End::Done(..) => h.state = State::Unknown(Reason::AnswerNotKept),
            End::Unknown(r) => h.state = State::Unknown(r),
            End::NotRun => {
                self.held.remove(&key);
            }
        }
        while self.bytes > self.limits.bytes && self.evict() {}
    }

    /// Raises the floor as keys pass their retention.
    pub fn tick(&mut self, wall_ms: u64) {
        self.raise(wall_ms.saturating_sub(RETENTION_MS));
    }

    /// Removes the keys of the lowest key time that has an ended run; `false` when all are running.
    fn evict(&mut self) -> bool {
        let ended = |h: &&Held<A>| !matches!(h.state, State::Running);
        let first = self.held.iter().find(|(_, h)| ended(h)).map(|(k, _)| *k);
        if let Some(k) = first {
            self.raise(k.time_ms() + 1);
        }
        first.is_some()
    }

    fn raise(&mut self, floor_ms: u64) {
        self.floor_ms = self.floor_ms.max(floor_ms);
        let floor = self.floor_ms;
        let gone = self
            .held
            .iter()
            .take_while(|(k, _)| k.time_ms() < floor)
            .filter(|(_, h)| !matches!(h.state, State::Running));
        let gone: Vec<_> = gone.map(|(k, _)| *k).collect();
        for k in gone {
            if let Some(State::Done(_, n)) = self.held.remove(&k).map(|h| h.state) {
                self.bytes -= n;
            }
        }
    }
}
