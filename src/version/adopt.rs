//! Selection of the version in force. A node never goes back to an older version, rejects forks, and adopts no version
//! below its version floor. The held version is the one in force.
//!
//! The state machine stores numbers and hashes only. Its owner fetches and validates content, replaces the snapshot
//! after [`Verdict::Adopt`], and passes on the reports of the sources of the floor.

use super::snapshot::VersionRef;
use crate::digest::Digest;
use crate::prelude::*;

/// Number of versions whose hashes are kept, to detect a fork below the held version.
const MAX_HISTORY: usize = 64;

/// Time limits of a [`Selection`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdoptSettings {
    /// Longest time that the first adoption waits for the sources of the floor.
    pub floor_wait: Duration,
}

impl Default for AdoptSettings {
    fn default() -> Self {
        Self {
            floor_wait: Duration::from_millis(2000),
        }
    }
}

/// Report of a source of the version floor.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FloorEvent {
    /// A peer that was asked at the start responded; `Some` when it has a record of this node from before its restart.
    Peer(Option<VersionRef>),
    /// The backend server sent an announcement; `Some` when it returned a valid floor token.
    Backend(Option<VersionRef>),
    /// The store's head was read; `None` when the read failed.
    Store(Option<VersionRef>),
}

/// What to do with an offered version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It may be put in force: it is newer than the held version and not below the version floor.
    Adopt,
    /// It can be adopted once the floor is known. The content may be fetched now; evaluate the version again at this
    /// time, or after the next [`FloorEvent`].
    Wait(Now),
    /// It is the held version.
    Held,
    /// It is older than the held version.
    Older,
    /// It is below the version floor: older than a version that this node ran before its restart, or than the store's
    /// head as it was before the first adoption.
    BelowFloor,
    /// It has the same number as the held version, or as the one before the restart, but another hash.
    Fork,
}

impl Verdict {
    /// Whether the content is worth fetching.
    pub fn needs_content(self) -> bool {
        matches!(self, Self::Adopt | Self::Wait(_))
    }

    /// Name of the verdict, in kebab case.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Adopt => "adopt",
            Self::Wait(_) => "wait",
            Self::Held => "held",
            Self::Older => "older",
            Self::BelowFloor => "below-floor",
            Self::Fork => "fork",
        }
    }
}

/// What to do about the store's head, given the held version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeadAction {
    /// The head is newer; the verdict of [`Selection::evaluate`] says what to do with it.
    Follow(Verdict),
    /// The head is the held version, or the store is empty and no version is held.
    Current,
    /// The store was restored from an older state: publish the held version again.
    Republish {
        /// The head is not an ancestor of the held version but a commit made on the older state. The held version
        /// replaces it.
        forked: bool,
    },
    /// The head has the same number as the held version but another hash; the held version stays in force.
    Fork,
}

/// State machine that selects the version in force.
#[derive(Debug, Clone)]
pub struct Selection {
    held: VersionRef,
    /// Hashes of the last held versions and of their parents, by number.
    history: BTreeMap<VersionNumber, Digest>,
    floor: VersionNumber,
    /// Newest known version that this node ran before its restart.
    previous: VersionRef,
    /// Peers asked at the start that have not responded yet.
    pending_contacts: usize,
    backend_seen: bool,
    store_seen: bool,
    wait_until: Now,
    forks: u64,
    last_fork: Option<VersionRef>,
}

impl Selection {
    /// Starts without a version. `contacts` is the number of peers that are asked for the record of this node from
    /// before its restart.
    pub fn new(settings: AdoptSettings, contacts: usize, now: Now) -> Self {
        Self {
            held: VersionRef::default(),
            history: BTreeMap::new(),
            floor: 0,
            previous: VersionRef::default(),
            pending_contacts: contacts,
            backend_seen: false,
            store_seen: false,
            wait_until: now + settings.floor_wait,
            forks: 0,
            last_fork: None,
        }
    }

    /// Version in force; number 0 when there is none.
    pub fn held(&self) -> VersionRef {
        self.held
    }

    /// Lowest version number that may be adopted.
    pub fn floor(&self) -> VersionNumber {
        self.floor
    }

    /// Number of forks detected, and the last version that was rejected as a fork.
    pub fn forks(&self) -> (u64, Option<VersionRef>) {
        (self.forks, self.last_fork)
    }

    /// Raises the floor by what a source reports. Returns `false` when the held version is below the new floor, which
    /// happens when a source reports only after the wait has ended; the owner logs it.
    pub fn update_floor(&mut self, event: FloorEvent) -> bool {
        match event {
            FloorEvent::Peer(previous) => {
                self.pending_contacts = self.pending_contacts.saturating_sub(1);
                self.raise_floor(previous, true);
            }
            FloorEvent::Backend(previous) => {
                self.backend_seen = true;
                self.raise_floor(previous, true);
            }
            FloorEvent::Store(head) => {
                self.store_seen = true;
                // Once a version is held, a floor raised to the head would only reject the versions between the two.
                self.raise_floor(head.filter(|_| self.held.number == 0), false);
            }
        }
        self.held.number == 0 || self.held.number >= self.floor
    }

    fn raise_floor(&mut self, reported: Option<VersionRef>, is_previous: bool) {
        let Some(v) = reported else {
            return;
        };
        self.floor = self.floor.max(v.number);
        if is_previous && v.number > self.previous.number {
            self.previous = v;
        }
    }

    /// Whether the first adoption still waits for the sources of the floor.
    pub fn is_waiting(&self, now: Now) -> bool {
        let complete = self.pending_contacts == 0 && self.backend_seen && self.store_seen;
        self.held.number == 0 && !complete && now < self.wait_until
    }

    /// Evaluates an offered version without changing the state.
    pub fn evaluate(&self, v: VersionRef, now: Now) -> Verdict {
        let is_fork = |known: VersionRef| v.number == known.number && v.hash != known.hash;
        match v {
            _ if v == self.held => Verdict::Held,
            _ if v.number == 0 => Verdict::Older,
            _ if is_fork(self.held) || is_fork(self.previous) => Verdict::Fork,
            _ if v.number < self.held.number => Verdict::Older,
            _ if v.number < self.floor => Verdict::BelowFloor,
            _ if self.is_waiting(now) => Verdict::Wait(self.wait_until),
            _ => Verdict::Adopt,
        }
    }

    /// Evaluates a version whose content is complete and valid, and puts it in force when the verdict is
    /// [`Verdict::Adopt`]. `parent` is the content hash of the version before `v`.
    pub fn adopt(&mut self, v: VersionRef, parent: Digest, now: Now) -> Verdict {
        let verdict = self.evaluate(v, now);
        match verdict {
            Verdict::Adopt => {
                self.held = v;
                self.history.insert(v.number, v.hash);
                self.history.entry(v.number - 1).or_insert(parent);
                while self.history.len() > MAX_HISTORY {
                    self.history.pop_first();
                }
            }
            Verdict::Fork => self.count_fork(v),
            _ => {}
        }
        verdict
    }

    /// Compares the store's head with the held version.
    pub fn compare_head(&mut self, head: VersionRef, now: Now) -> HeadAction {
        self.update_floor(FloorEvent::Store(Some(head)));
        match head.number {
            _ if head == self.held => HeadAction::Current,
            n if n > self.held.number => {
                let verdict = self.evaluate(head, now);
                if verdict == Verdict::Fork {
                    self.count_fork(head);
                }
                HeadAction::Follow(verdict)
            }
            n if n == self.held.number => {
                self.count_fork(head);
                HeadAction::Fork
            }
            n => {
                let forked = self.history.get(&n).is_some_and(|h| *h != head.hash);
                if forked {
                    self.count_fork(head);
                }
                HeadAction::Republish { forked }
            }
        }
    }

    fn count_fork(&mut self, v: VersionRef) {
        // Peers offer the same fork many times; count it once.
        if self.last_fork != Some(v) {
            self.forks += 1;
            self.last_fork = Some(v);
        }
    }
}

/// Formats the opaque floor token that a backend server returns with its announcements.
pub fn format_token(site: &str, v: VersionRef) -> String {
    format!("{}.{}.{:016x}", v.number, v.hash, checksum(site, v))
}

/// Parses a floor token. Returns `None` when it is damaged or belongs to another site: a wrong number could keep the
/// node from adopting any version.
pub fn parse_token(site: &str, token: &str) -> Option<VersionRef> {
    let mut parts = token.splitn(3, '.');
    let v = VersionRef {
        number: parts.next()?.parse().ok()?,
        hash: parts.next()?.parse().ok()?,
    };
    let sum = u64::from_str_radix(parts.next()?, 16).ok()?;
    (sum == checksum(site, v)).then_some(v)
}

fn checksum(site: &str, v: VersionRef) -> u64 {
    Digest::of_parts(&[site.as_bytes(), &v.number.to_be_bytes(), &v.hash.0]).short()
}
