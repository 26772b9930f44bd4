//! Entries of the membership table and their encoding in frames.

use std::fmt;
use std::net::SocketAddr;

use serde::de::{self, SeqAccess, Visitor};
use serde::ser::SerializeTuple;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use super::wire::{next, Address, Name};
use crate::process::members::record::{Addresses, Record, Target, TargetState};
use crate::version::snapshot::VersionRef;

/// What is known about the process that wrote a record. For one record, a later value in this order replaces an earlier
/// one; only a record with a higher sequence, written by its owner, goes back to [`Liveness::Alive`].
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub enum Liveness {
    /// The process answers.
    #[default]
    Alive,
    /// The process does not answer at least one node; it may refute the suspicion.
    Suspect,
    /// The process has not refuted a suspicion in time.
    Dead,
    /// The process became suspect together with much of its availability zone, which counts as partitioned.
    Unreachable,
    /// The process did not become alive again after its availability zone did, or was unreachable for too long.
    Expired,
}

impl Liveness {
    /// Whether the process is considered to have stopped.
    pub fn is_dead(self) -> bool {
        matches!(self, Self::Dead | Self::Expired)
    }

    fn from_number(n: u8) -> Option<Self> {
        [
            Self::Alive,
            Self::Suspect,
            Self::Dead,
            Self::Unreachable,
            Self::Expired,
        ]
        .get(usize::from(n))
        .copied()
    }
}

/// A record and the liveness of its process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Record, as its owner wrote it.
    pub record: Record,
    /// Liveness of the process that wrote the record.
    pub liveness: Liveness,
}

impl Entry {
    /// Upper bound of the encoded size, in bytes.
    pub fn size(&self) -> usize {
        let r = &self.record;
        let service = r.target.as_ref().map_or(0, |t| t.service.len());
        // 4 addresses of at most 19 bytes, 6 numbers of at most 9, a hash of 34, CBOR headers of arrays and strings.
        220 + r.node.len() + r.az.len() + r.region.len() + service
    }
}

const ENTRY_FIELDS: usize = 15;

impl Serialize for Entry {
    fn serialize<S>(&self, s: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        let r = &self.record;
        let mut t = s.serialize_tuple(ENTRY_FIELDS)?;
        t.serialize_element(&(self.liveness as u8))?;
        t.serialize_element(&r.node)?;
        t.serialize_element(&r.incarnation)?;
        t.serialize_element(&r.sequence)?;
        t.serialize_element(&r.az)?;
        t.serialize_element(&r.region)?;
        let a = &r.addresses;
        for address in [a.caller, a.relay, a.peer, a.admin] {
            t.serialize_element(&Address(address))?;
        }
        t.serialize_element(&r.version.number)?;
        t.serialize_element(&r.version.hash)?;
        t.serialize_element(&r.watcher)?;
        t.serialize_element(&r.target.as_ref().map(|t| &t.service))?;
        let target = r.target.as_ref();
        t.serialize_element(&target.map_or((0, 0, 0), |t| (t.state as u8, t.slots, t.age_ms)))?;
        t.end()
    }
}

struct EntryVisitor;

impl<'de> Visitor<'de> for EntryVisitor {
    type Value = Entry;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a record with its liveness")
    }

    fn visit_seq<A>(self, mut s: A) -> Result<Entry, A::Error>
    where
        A: SeqAccess<'de>,
    {
        let liveness =
            Liveness::from_number(next(&mut s)?).ok_or(de::Error::custom("unknown liveness"))?;
        let name = |s: &mut A| next::<_, Name>(s).map(|n| n.0);
        let address = |s: &mut A| next::<_, Address>(s).map(|a| a.0);
        let mut record = Record {
            node: name(&mut s)?,
            incarnation: next(&mut s)?,
            sequence: next(&mut s)?,
            az: name(&mut s)?,
            region: name(&mut s)?,
            addresses: read_addresses(|| address(&mut s))?,
            version: VersionRef {
                number: next(&mut s)?,
                hash: next(&mut s)?,
            },
            watcher: next(&mut s)?,
            target: None,
        };
        let service = next::<_, Option<Name>>(&mut s)?;
        let (state, slots, age_ms) = next::<_, (u8, u32, u64)>(&mut s)?;
        record.target = match service {
            Some(service) => Some(Target {
                service: service.0,
                state: target_state(state).ok_or(de::Error::custom("unknown target state"))?,
                slots,
                age_ms,
            }),
            None => None,
        };
        Ok(Entry { record, liveness })
    }
}

fn read_addresses<E, F>(mut read: F) -> Result<Addresses, E>
where
    F: FnMut() -> Result<SocketAddr, E>,
{
    Ok(Addresses {
        caller: read()?,
        relay: read()?,
        peer: read()?,
        admin: read()?,
    })
}

fn target_state(n: u8) -> Option<TargetState> {
    use TargetState::*;
    [Starting, Ready, Draining, Gone]
        .get(usize::from(n))
        .copied()
}

impl<'de> Deserialize<'de> for Entry {
    fn deserialize<D>(d: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        d.deserialize_tuple(ENTRY_FIELDS, EntryVisitor)
    }
}
