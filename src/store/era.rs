//! Eras of the store, and the numbers that have a meaning within one era only.
//!
//! A store that comes back from an older copy of itself gives revisions and lease ids out again. It begins a new era then,
//! and the same number stands for something else. Revisions therefore carry their era and have no order of their own.

use std::cmp::Ordering;
use std::fmt;

use schemars::gen::SchemaGenerator;
use schemars::schema::Schema;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use super::StoreError;

/// Number of an era, which the store raises by one each time that it comes back from a copy. 0 if it names none.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Era(pub u64);

impl fmt::Display for Era {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Serialized form of a revision or a lease id: its number alone in the first era, else the era and the number.
#[derive(Clone, Copy, Serialize, Deserialize, JsonSchema)]
#[serde(untagged)]
enum Form {
    First(u64),
    Later(u64, u64),
}

impl Form {
    fn new(era: Era, number: u64) -> Self {
        match era {
            Era(0) => Self::First(number),
            Era(era) => Self::Later(era, number),
        }
    }

    fn parts(self) -> (Era, u64) {
        match self {
            Self::First(number) => (Era(0), number),
            Self::Later(era, number) => (Era(era), number),
        }
    }
}

/// Revision of the whole store, which increases with each write of one era.
///
/// Revisions of different eras cannot be compared, so the type has no order; see [`Revision::compare`].
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(from = "Form", into = "Form")]
pub struct Revision {
    era: Era,
    number: u64,
}

impl Revision {
    /// Expected revision of a key that does not exist; the same in all eras.
    pub const ABSENT: Self = Self {
        era: Era(0),
        number: 0,
    };

    /// Creates the revision with a number within an era.
    pub fn new(era: Era, number: u64) -> Self {
        Self { era, number }
    }

    /// Era in which the store gave it out.
    pub fn era(self) -> Era {
        self.era
    }

    /// Number within the era, as the store names it.
    pub fn number(self) -> u64 {
        self.number
    }

    /// Order of two revisions of the same era; `None` if their eras differ.
    pub fn compare(self, other: Self) -> Option<Ordering> {
        (self.era == other.era).then(|| self.number.cmp(&other.number))
    }

    /// Whether it is a later one of the same era.
    pub fn is_later_than(self, other: Self) -> bool {
        self.compare(other) == Some(Ordering::Greater)
    }

    /// Whether it can be the expected revision of a swap in an era.
    pub fn is_valid_in(self, era: Era) -> bool {
        self == Self::ABSENT || self.era == era
    }
}

impl JsonSchema for Revision {
    fn schema_name() -> String {
        "Revision".into()
    }

    fn json_schema(g: &mut SchemaGenerator) -> Schema {
        Form::json_schema(g)
    }
}

impl From<Form> for Revision {
    fn from(form: Form) -> Self {
        let (era, number) = form.parts();
        Self { era, number }
    }
}

impl From<Revision> for Form {
    fn from(r: Revision) -> Self {
        Self::new(r.era, r.number)
    }
}

/// Id of a lease, which the store assigns within an era.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(from = "Form", into = "Form")]
pub struct LeaseId {
    era: Era,
    number: u64,
}

impl LeaseId {
    /// Creates the id with a number within an era.
    pub fn new(era: Era, number: u64) -> Self {
        Self { era, number }
    }

    /// Era in which the store granted it.
    pub fn era(self) -> Era {
        self.era
    }

    /// Number within the era, as the store names it.
    pub fn number(self) -> u64 {
        self.number
    }
}

impl JsonSchema for LeaseId {
    fn schema_name() -> String {
        "LeaseId".into()
    }

    fn json_schema(g: &mut SchemaGenerator) -> Schema {
        Form::json_schema(g)
    }
}

impl From<Form> for LeaseId {
    fn from(form: Form) -> Self {
        let (era, number) = form.parts();
        Self { era, number }
    }
}

impl From<LeaseId> for Form {
    fn from(l: LeaseId) -> Self {
        Self::new(l.era, l.number)
    }
}

/// Latest era that a client of the store has heard of.
#[derive(Debug, Default)]
pub struct EraTracker {
    latest: watch::Sender<Era>,
}

impl EraTracker {
    /// The latest era.
    pub fn latest(&self) -> Era {
        *self.latest.borrow()
    }

    /// Follows the latest era.
    pub fn subscribe(&self) -> watch::Receiver<Era> {
        self.latest.subscribe()
    }

    /// Records the era of a response of a store that may begin anew with its first era.
    pub fn follow(&self, era: Era) {
        self.latest.send_if_modified(|latest| {
            let changes = era != *latest;
            *latest = era;
            changes
        });
    }

    /// Records the era of a response.
    ///
    /// # Errors
    ///
    /// [`StoreError::Unknown`] for a response of an earlier era: what it says may be gone.
    pub fn observe(&self, era: Era) -> Result<(), StoreError> {
        self.latest.send_if_modified(|latest| {
            let rises = era > *latest;
            *latest = era.max(*latest);
            rises
        });
        match self.latest() {
            latest if era < latest => Err(StoreError::Unknown(format!(
                "response of era {era}, the store is in era {latest}"
            ))),
            _ => Ok(()),
        }
    }
}
