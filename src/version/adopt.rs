//! Selection of the version in force: never older, forks rejected, nothing below the version floor.
//!
//! The state machine holds numbers and hashes only. Its owner fetches and validates content, switches the snapshot after
//! [`Verdict::Adopt`], and feeds in what it learns about the floor.

use super::snapshot::VersionRef;
use crate::digest::Digest;
use crate::prelude::*;

/// Number of versions whose hashes are kept to recognise a fork below the held version.
const LINEAGE: usize = 64;

/// Settings of the selection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdoptSettings {
    /// Longest wait for the sources of the floor before the first adoption.
    pub floor_wait: Duration,
}

impl Default for AdoptSettings {
    fn default() -> Self {
        Self {
            floor_wait: Duration::from_millis(2000),
        }
    }
}

/// What a source says about the version floor.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FloorEvent {
    /// A first contact answered; `Some` when it holds a former record of this node.
    Peer(Option<VersionRef>),
    /// The backend server announced itself; `Some` when it returned a valid token.
    Backend(Option<VersionRef>),
    /// The store's head was read, or a read of it failed.
    Store(Option<VersionRef>),
}

/// What to do with an offered version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Adopt it.
    Adopt,
    /// It can be adopted once the floor is known: fetch it now and offer it again at this time, or after the next
    /// [`FloorEvent`].
    Wait(Now),
    /// It is the held version.
    Held,
    /// It is older than the held version.
    Older,
    /// It is older than a version that this node ran before its restart, or than the store's head.
    BelowFloor,
    /// It has the number of the held version, or of the one before the restart, and another hash.
    Fork,
}

impl Verdict {
    /// Whether the content is worth fetching.
    pub fn is_wanted(self) -> bool {
        matches!(self, Self::Adopt | Self::Wait(_))
    }

    /// Label for counters.
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

/// How the store's head relates to the held version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeadAction {
    /// The head is newer; the verdict of [`Selection::judge`] says what to do with it.
    Follow(Verdict),
    /// The head is the held version, or nothing is held and the store is empty.
    Current,
    /// The store was restored from an older state: publish the held version again. `forked` says that the head is a
    /// commit made on the older state, which the held version replaces.
    Republish {
        /// The head is not an ancestor of the held version.
        forked: bool,
    },
    /// The head has the number of the held version and another hash; the held version stays.
    Fork,
}

/// Selects the version in force.
#[derive(Debug, Clone)]
pub struct Selection {
    held: VersionRef,
    /// Hashes of the last held versions, by number.
    lineage: BTreeMap<VersionNumber, Digest>,
    floor: VersionNumber,
    /// The version that this node ran before its restart, as far as it is known.
    former: VersionRef,
    contacts: usize,
    backend: bool,
    store: bool,
    wait_ends: Now,
    forks: u64,
    last_fork: Option<VersionRef>,
}

impl Selection {
    /// Starts without a version. `contacts` is the number of peers that are asked for a former record.
    pub fn new(settings: AdoptSettings, contacts: usize, now: Now) -> Self {
        Self {
            held: VersionRef::default(),
            lineage: BTreeMap::new(),
            floor: 0,
            former: VersionRef::default(),
            contacts,
            backend: false,
            store: false,
            wait_ends: now + settings.floor_wait,
            forks: 0,
            last_fork: None,
        }
    }

    /// Version in force, number 0 without one.
    pub fn held(&self) -> VersionRef {
        self.held
    }

    /// Lowest number that may be adopted.
    pub fn floor(&self) -> VersionNumber {
        self.floor
    }

    /// Number of forks seen, and the last version that was rejected as one.
    pub fn forks(&self) -> (u64, Option<VersionRef>) {
        (self.forks, self.last_fork)
    }

    /// Takes what a source says about the floor. Returns `false` when the held version is below the new floor: the floor
    /// became known only after the wait, which the owner logs.
    pub fn learn(&mut self, event: FloorEvent) -> bool {
        match event {
            FloorEvent::Peer(former) => {
                self.contacts = self.contacts.saturating_sub(1);
                self.raise(former, true);
            }
            FloorEvent::Backend(former) => {
                self.backend = true;
                self.raise(former, true);
            }
            FloorEvent::Store(head) => {
                self.store = true;
                // A held version follows the head by adoption. A raised floor would only refuse versions on the way.
                self.raise(head.filter(|_| self.held.number == 0), false);
            }
        }
        self.held.number == 0 || self.held.number >= self.floor
    }

    fn raise(&mut self, seen: Option<VersionRef>, own: bool) {
        let Some(v) = seen else {
            return;
        };
        self.floor = self.floor.max(v.number);
        if own && v.number > self.former.number {
            self.former = v;
        }
    }

    /// Whether the first adoption still waits for a source of the floor.
    pub fn is_waiting(&self, now: Now) -> bool {
        let answered = self.contacts == 0 && self.backend && self.store;
        self.held.number == 0 && !answered && now < self.wait_ends
    }

    /// Judges an offered version without changing anything.
    pub fn judge(&self, v: VersionRef, now: Now) -> Verdict {
        let forks = |known: VersionRef| v.number == known.number && v.hash != known.hash;
        match v {
            _ if v == self.held => Verdict::Held,
            _ if v.number == 0 => Verdict::Older,
            _ if forks(self.held) || forks(self.former) => Verdict::Fork,
            _ if v.number < self.held.number => Verdict::Older,
            _ if v.number < self.floor => Verdict::BelowFloor,
            _ if self.is_waiting(now) => Verdict::Wait(self.wait_ends),
            _ => Verdict::Adopt,
        }
    }

    /// Judges a version whose content is complete and valid, and holds it after [`Verdict::Adopt`]. `parent` is the hash
    /// of the version before it.
    pub fn adopt(&mut self, v: VersionRef, parent: Digest, now: Now) -> Verdict {
        let verdict = self.judge(v, now);
        match verdict {
            Verdict::Adopt => {
                self.held = v;
                self.lineage.insert(v.number, v.hash);
                self.lineage.entry(v.number - 1).or_insert(parent);
                while self.lineage.len() > LINEAGE {
                    self.lineage.pop_first();
                }
            }
            Verdict::Fork => self.count_fork(v),
            _ => {}
        }
        verdict
    }

    /// Compares the store's head with the held version.
    pub fn compare_head(&mut self, head: VersionRef, now: Now) -> HeadAction {
        self.learn(FloorEvent::Store(Some(head)));
        match head.number {
            _ if head == self.held => HeadAction::Current,
            n if n > self.held.number => {
                let verdict = self.judge(head, now);
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
                let forked = self.lineage.get(&n).is_some_and(|h| *h != head.hash);
                if forked {
                    self.count_fork(head);
                }
                HeadAction::Republish { forked }
            }
        }
    }

    fn count_fork(&mut self, v: VersionRef) {
        // The same fork is offered many times; it counts once.
        if self.last_fork != Some(v) {
            self.forks += 1;
            self.last_fork = Some(v);
        }
    }
}

/// Opaque floor token that a backend server returns with its announcements.
pub fn floor_token(site: &str, v: VersionRef) -> String {
    format!("{}.{}.{:016x}", v.number, v.hash, check_code(site, v))
}

/// Reads a floor token; `None` when it is damaged or of another site, because a wrong number would keep the node from
/// adopting any version.
pub fn read_token(site: &str, token: &str) -> Option<VersionRef> {
    let mut parts = token.splitn(3, '.');
    let v = VersionRef {
        number: parts.next()?.parse().ok()?,
        hash: parts.next()?.parse().ok()?,
    };
    let code = u64::from_str_radix(parts.next()?, 16).ok()?;
    (code == check_code(site, v)).then_some(v)
}

fn check_code(site: &str, v: VersionRef) -> u64 {
    Digest::of_parts(&[site.as_bytes(), &v.number.to_be_bytes(), &v.hash.0]).short()
}
