//! Messages between nodes, encoded with CBOR.
//!
//! A frame is an array of a kind number and a payload. Records and frames have hand-written visitors: arrays without
//! field names make a record about a third of its derived size, and every list and name is bounded while it is read.

use std::fmt;

use serde::de::{self, SeqAccess, Visitor};
use serde::ser::SerializeTuple;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

pub use super::entry::{Entry, Mark};
use super::wire::{next, Blob, List, Name};
use crate::digest::Digest;
use crate::prelude::*;
use crate::process::members::notices::Notice;
use crate::version::snapshot::VersionRef;

/// Largest message on a link, in bytes. Only [`Frame::Content`] may be that large.
pub const MAX_FRAME_BYTES: usize = 8 << 20;
/// Largest message of any other kind, in bytes; twice the size of a full batch of records.
pub const MAX_SMALL_BYTES: usize = 64 << 10;
/// Most records or notices in one message.
pub const MAX_ITEMS: usize = 1024;
/// Number of buckets that anti-entropy compares.
pub const BUCKETS: usize = 64;

/// First message of each side of a link.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Site of the sender.
    pub site: Name,
    /// Node id of the sender.
    pub node: Name,
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// Availability zone of the sender.
    pub az: Name,
    /// Random challenge.
    pub nonce: Digest,
    /// Proof of the shared key; only the accepting side can send it in its first message.
    pub proof: Option<Digest>,
}

/// Form of content in a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Form {
    /// Deflated content.
    Whole,
    /// Wire form of a [`crate::version::delta::Delta`].
    Delta,
}

/// A message between two nodes.
#[derive(Debug, Clone, PartialEq)]
pub enum Frame {
    /// Opens the handshake, in both directions.
    Hello(Hello),
    /// Proof of the shared key by the side that opened the link.
    Proof(Option<Digest>),
    /// Ends the handshake.
    Accepted,
    /// Ends the link with a reason.
    Refused(SmolStr),
    /// Sent when nothing else was sent for a second.
    Ping,
    /// Announces that the link is closed on purpose.
    Bye,
    /// Membership records.
    Records(Vec<Entry>),
    /// Bucket hashes of the sender's records.
    Hashes(Vec<u64>),
    /// Asks for the records of the buckets whose bit is set.
    Want(u64),
    /// Greatest version that the sender has seen in a record of the receiver's node id; number 0 for none.
    Floor(VersionRef),
    /// Suspects and grants.
    Notices(Vec<Notice>),
    /// The sender holds a version.
    Announce(VersionRef),
    /// Asks for a version; the first one is held by the sender, the second one is wanted.
    Ask(VersionRef, VersionRef),
    /// Content of a version, and the hash of the version before it.
    Content(VersionRef, Digest, Form, Vec<u8>),
    /// Version that the sender holds, in the periodic comparison.
    Held(VersionRef),
}

/// The bytes are not a valid frame.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BadFrame(pub String);

impl fmt::Display for BadFrame {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "invalid frame: {}", self.0)
    }
}

impl std::error::Error for BadFrame {}

impl Frame {
    /// Kind, as the label of metrics.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Hello(_) | Self::Proof(_) | Self::Accepted | Self::Refused(_) => "handshake",
            Self::Ping => "ping",
            Self::Bye => "bye",
            Self::Records(_) => "records",
            Self::Hashes(_) | Self::Want(_) => "anti-entropy",
            Self::Floor(_) => "floor",
            Self::Notices(_) => "notices",
            Self::Announce(_) => "announce",
            Self::Ask(..) => "ask",
            Self::Content(_, _, Form::Whole, _) => "content",
            Self::Content(_, _, Form::Delta, _) => "delta",
            Self::Held(_) => "held",
        }
    }

    /// Encodes the frame.
    ///
    /// # Errors
    ///
    /// The frame is larger than its kind allows.
    pub fn encode(&self) -> Result<Vec<u8>, BadFrame> {
        let mut out = Vec::new();
        ciborium::into_writer(self, &mut out).map_err(|e| BadFrame(e.to_string()))?;
        self.check_size(out.len())?;
        Ok(out)
    }

    /// Decodes a frame.
    ///
    /// # Errors
    ///
    /// The bytes are not exactly one frame, or a bound is exceeded.
    pub fn decode(data: &[u8]) -> Result<Self, BadFrame> {
        if data.len() > MAX_FRAME_BYTES {
            return Err(BadFrame(format!("{} bytes are too many", data.len())));
        }
        let mut rest = data;
        let frame: Self = ciborium::from_reader(&mut rest).map_err(|e| BadFrame(e.to_string()))?;
        match rest.len() {
            0 => frame.check_size(data.len()).map(|()| frame),
            n => Err(BadFrame(format!("{n} bytes after the end"))),
        }
    }

    fn check_size(&self, size: usize) -> Result<(), BadFrame> {
        let most = match self {
            Self::Content(..) => MAX_FRAME_BYTES,
            _ => MAX_SMALL_BYTES,
        };
        match size > most {
            true => Err(BadFrame(format!("{} of {size} bytes", self.kind()))),
            false => Ok(()),
        }
    }
}

impl Serialize for Frame {
    fn serialize<S>(&self, s: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        match self {
            Self::Hello(h) => pair(s, 0, h),
            Self::Proof(p) => pair(s, 1, p),
            Self::Accepted => pair(s, 2, &()),
            Self::Refused(m) => pair(s, 3, m),
            Self::Ping => pair(s, 4, &()),
            Self::Bye => pair(s, 5, &()),
            Self::Records(list) => pair(s, 6, list),
            Self::Hashes(list) => pair(s, 7, list),
            Self::Want(bits) => pair(s, 8, bits),
            Self::Floor(v) => pair(s, 9, &(v.number, v.hash)),
            Self::Notices(list) => pair(s, 10, list),
            Self::Announce(v) => pair(s, 11, &(v.number, v.hash)),
            Self::Ask(have, want) => pair(s, 12, &(have.number, have.hash, want.number, want.hash)),
            Self::Content(v, parent, form, data) => {
                let delta = *form == Form::Delta;
                pair(s, 13, &(v.number, v.hash, parent, delta, Blob(data)))
            }
            Self::Held(v) => pair(s, 14, &(v.number, v.hash)),
        }
    }
}

fn pair<S, T>(s: S, kind: u8, payload: &T) -> Result<S::Ok, S::Error>
where
    S: Serializer,
    T: Serialize,
{
    let mut t = s.serialize_tuple(2)?;
    t.serialize_element(&kind)?;
    t.serialize_element(payload)?;
    t.end()
}

struct FrameVisitor;

impl<'de> Visitor<'de> for FrameVisitor {
    type Value = Frame;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a kind and a payload")
    }

    fn visit_seq<A>(self, mut s: A) -> Result<Frame, A::Error>
    where
        A: SeqAccess<'de>,
    {
        let version = |(number, hash)| VersionRef { number, hash };
        Ok(match next::<_, u8>(&mut s)? {
            0 => Frame::Hello(next(&mut s)?),
            1 => Frame::Proof(next(&mut s)?),
            2 => next(&mut s).map(|()| Frame::Accepted)?,
            3 => Frame::Refused(next::<_, Name>(&mut s)?.0),
            4 => next(&mut s).map(|()| Frame::Ping)?,
            5 => next(&mut s).map(|()| Frame::Bye)?,
            6 => Frame::Records(next::<_, List<Entry, MAX_ITEMS>>(&mut s)?.0),
            7 => Frame::Hashes(next::<_, List<u64, BUCKETS>>(&mut s)?.0),
            8 => Frame::Want(next(&mut s)?),
            9 => Frame::Floor(version(next(&mut s)?)),
            10 => Frame::Notices(next::<_, List<Notice, MAX_ITEMS>>(&mut s)?.0),
            11 => Frame::Announce(version(next(&mut s)?)),
            12 => {
                let (n, h, wn, wh) = next(&mut s)?;
                Frame::Ask(version((n, h)), version((wn, wh)))
            }
            13 => {
                type Parts = (u64, Digest, Digest, bool, Blob<Vec<u8>>);
                let (number, hash, parent, delta, data) = next::<_, Parts>(&mut s)?;
                let form = if delta { Form::Delta } else { Form::Whole };
                Frame::Content(version((number, hash)), parent, form, data.0)
            }
            14 => Frame::Held(version(next(&mut s)?)),
            n => return Err(de::Error::custom(format_args!("unknown kind {n}"))),
        })
    }
}

impl<'de> Deserialize<'de> for Frame {
    fn deserialize<D>(d: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        d.deserialize_tuple(2, FrameVisitor)
    }
}
