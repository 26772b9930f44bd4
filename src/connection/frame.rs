//! Frames: the messages that nodes exchange over links, encoded with CBOR.
//!
//! A frame is an array of a kind number and a payload. Records and frames have hand-written visitors: as an array
//! without field names a record takes about a third of the size of its derived form, and the length of every list and
//! name is checked while it is read.

use std::fmt;

use serde::de::{self, SeqAccess, Visitor};
use serde::ser::SerializeTuple;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

pub use super::member_entry::{Entry, Liveness};
use super::wire::{next, Blob, BoundedList, Name};
use crate::digest::Digest;
use crate::prelude::*;
use crate::process::members::notices::Notice;
use crate::version::snapshot::VersionRef;

/// Largest encoded frame, in bytes. Only [`Frame::Content`] may be that large.
pub const MAX_FRAME_BYTES: usize = 8 << 20;
/// Largest encoded frame of any other kind, in bytes: twice the size of a full batch of records.
pub const MAX_SMALL_FRAME_BYTES: usize = 64 << 10;
/// Largest number of records or notices in one frame.
pub const MAX_ITEMS: usize = 1024;
/// Number of buckets into which anti-entropy divides the records; the hash of each bucket is compared.
pub const BUCKETS: usize = 64;

/// First message of each side of a link.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Site of the sender; a receiver of another site rejects the link.
    pub site: Name,
    /// Node id of the sender.
    pub node: Name,
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// Availability zone of the sender.
    pub az: Name,
    /// Random number that makes the proofs of this handshake unique.
    pub nonce: Digest,
    /// Proof that the sender holds the shared key. Only the accepting side can send it in its first message, because
    /// the proof covers the first messages of both sides.
    pub proof: Option<Digest>,
}

/// Form in which a frame carries the content of a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ContentForm {
    /// The whole content, deflated.
    #[serde(rename = "Whole")]
    Full,
    /// An encoded [`crate::version::delta::Delta`].
    Delta,
}

/// A message on a link.
#[derive(Debug, Clone, PartialEq)]
pub enum Frame {
    /// Opens the handshake, in both directions.
    Hello(Hello),
    /// Proof that the side which opened the link holds the shared key.
    Proof(Option<Digest>),
    /// Ends the handshake with success.
    Accepted,
    /// Rejects the link in the handshake, with the reason.
    Rejected(SmolStr),
    /// Shows that the sender runs; sent when no other frame was sent for a second.
    Ping,
    /// The sender closes the link on purpose, so that its end is no sign of a failure.
    Bye,
    /// Membership records of nodes, at most [`MAX_ITEMS`].
    Records(Vec<Entry>),
    /// Hashes of the buckets of the sender's records, for anti-entropy.
    BucketHashes(Vec<u64>),
    /// Requests the records of the buckets whose bit is set.
    BucketRequest(u64),
    /// Highest version that a node with the receiver's id has held, as far as the sender knows; number 0 if there is
    /// none.
    Floor(VersionRef),
    /// Suspected requests and grants of idempotency keys, at most [`MAX_ITEMS`].
    Notices(Vec<Notice>),
    /// Announces a version that the sender holds.
    Announce(VersionRef),
    /// Requests the content of the second version. The sender holds the first one, which may be the base of a delta.
    ContentRequest(VersionRef, VersionRef),
    /// Content of a version, with the hash of its parent version.
    Content(VersionRef, Digest, ContentForm, Vec<u8>),
    /// Version that the sender holds, sent in the periodic comparison.
    Held(VersionRef),
}

/// A frame could not be encoded or decoded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FrameError(pub String);

impl fmt::Display for FrameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "invalid frame: {}", self.0)
    }
}

impl std::error::Error for FrameError {}

impl Frame {
    /// Kind of the frame, as the value of a metric label.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Hello(_) | Self::Proof(_) | Self::Accepted | Self::Rejected(_) => "handshake",
            Self::Ping => "ping",
            Self::Bye => "bye",
            Self::Records(_) => "records",
            Self::BucketHashes(_) | Self::BucketRequest(_) => "anti-entropy",
            Self::Floor(_) => "floor",
            Self::Notices(_) => "notices",
            Self::Announce(_) => "announce",
            Self::ContentRequest(..) => "ask",
            Self::Content(_, _, ContentForm::Full, _) => "content",
            Self::Content(_, _, ContentForm::Delta, _) => "delta",
            Self::Held(_) => "held",
        }
    }

    /// Encodes the frame as a CBOR array of its kind number and its payload.
    ///
    /// # Errors
    ///
    /// The frame is larger than the limit of its kind.
    pub fn encode(&self) -> Result<Vec<u8>, FrameError> {
        let mut out = Vec::new();
        ciborium::into_writer(self, &mut out).map_err(|e| FrameError(e.to_string()))?;
        self.check_size(out.len())?;
        Ok(out)
    }

    /// Decodes a frame; its size and the lengths of its lists and names are checked.
    ///
    /// # Errors
    ///
    /// The bytes are not exactly one frame, or a limit is exceeded.
    pub fn decode(data: &[u8]) -> Result<Self, FrameError> {
        if data.len() > MAX_FRAME_BYTES {
            return Err(FrameError(format!(
                "{} bytes exceed the limit of {MAX_FRAME_BYTES} bytes",
                data.len()
            )));
        }
        let mut rest = data;
        let frame: Self =
            ciborium::from_reader(&mut rest).map_err(|e| FrameError(e.to_string()))?;
        match rest.len() {
            0 => frame.check_size(data.len()).map(|()| frame),
            n => Err(FrameError(format!("{n} bytes after the end of the frame"))),
        }
    }

    fn check_size(&self, size: usize) -> Result<(), FrameError> {
        let max = match self {
            Self::Content(..) => MAX_FRAME_BYTES,
            _ => MAX_SMALL_FRAME_BYTES,
        };
        match size > max {
            true => Err(FrameError(format!(
                "{} frame of {size} bytes exceeds its limit of {max} bytes",
                self.kind()
            ))),
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
            Self::Rejected(m) => pair(s, 3, m),
            Self::Ping => pair(s, 4, &()),
            Self::Bye => pair(s, 5, &()),
            Self::Records(list) => pair(s, 6, list),
            Self::BucketHashes(list) => pair(s, 7, list),
            Self::BucketRequest(bits) => pair(s, 8, bits),
            Self::Floor(v) => pair(s, 9, &(v.number, v.hash)),
            Self::Notices(list) => pair(s, 10, list),
            Self::Announce(v) => pair(s, 11, &(v.number, v.hash)),
            Self::ContentRequest(h, w) => pair(s, 12, &(h.number, h.hash, w.number, w.hash)),
            Self::Content(v, parent, form, data) => {
                let delta = *form == ContentForm::Delta;
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
        f.write_str("a frame: an array of a kind and a payload")
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
            3 => Frame::Rejected(next::<_, Name>(&mut s)?.0),
            4 => next(&mut s).map(|()| Frame::Ping)?,
            5 => next(&mut s).map(|()| Frame::Bye)?,
            6 => Frame::Records(next::<_, BoundedList<Entry, MAX_ITEMS>>(&mut s)?.0),
            7 => Frame::BucketHashes(next::<_, BoundedList<u64, BUCKETS>>(&mut s)?.0),
            8 => Frame::BucketRequest(next(&mut s)?),
            9 => Frame::Floor(version(next(&mut s)?)),
            10 => Frame::Notices(next::<_, BoundedList<Notice, MAX_ITEMS>>(&mut s)?.0),
            11 => Frame::Announce(version(next(&mut s)?)),
            12 => {
                let (n, h, wn, wh) = next(&mut s)?;
                Frame::ContentRequest(version((n, h)), version((wn, wh)))
            }
            13 => {
                type Parts = (u64, Digest, Digest, bool, Blob<Vec<u8>>);
                let (number, hash, parent, delta, data) = next::<_, Parts>(&mut s)?;
                let form = if delta {
                    ContentForm::Delta
                } else {
                    ContentForm::Full
                };
                Frame::Content(version((number, hash)), parent, form, data.0)
            }
            14 => Frame::Held(version(next(&mut s)?)),
            n => return Err(de::Error::custom(format_args!("unknown frame kind {n}"))),
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
