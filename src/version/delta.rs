//! Delta between two contents: copies from the base and inserted bytes, bound to the hashes of both contents.
//!
//! Wire form: base hash (32 bytes), result hash (32 bytes), result size (variable-length integer), then the deflated
//! operations. An operation is a variable-length integer `n << 1 | kind`: kind 0 inserts the next n bytes, kind 1 copies
//! n bytes from the base at the offset that follows as a variable-length integer.

use std::fmt;

use serde::{de, Deserialize, Deserializer, Serialize, Serializer};

use super::pack::{deflate, inflate, MAX_CONTENT_BYTES};
use crate::digest::Digest;
use crate::prelude::*;

/// Largest wire form of a delta, in bytes. A larger change is sent as whole content.
pub const MAX_DELTA_BYTES: usize = 512 << 10;

/// Size of the blocks of the base that are looked up, in bytes. Shorter common parts are inserted.
const BLOCK: usize = 24;

/// Size of the two hashes at the start of the wire form, in bytes.
const HASHES: usize = 64;

/// Why a delta was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DeltaError {
    /// The wire form is damaged.
    Malformed,
    /// The delta or its result exceeds a size limit.
    TooLarge,
    /// The delta belongs to another base.
    WrongBase,
    /// The result does not match its hash.
    WrongResult,
}

impl DeltaError {
    /// Label for counters.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Malformed => "delta-malformed",
            Self::TooLarge => "delta-too-large",
            Self::WrongBase => "delta-wrong-base",
            Self::WrongResult => "delta-wrong-result",
        }
    }
}

impl fmt::Display for DeltaError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Malformed => "the delta is damaged",
            Self::TooLarge => "the delta or its result is too large",
            Self::WrongBase => "the delta belongs to another base",
            Self::WrongResult => "the result does not match its hash",
        })
    }
}

impl std::error::Error for DeltaError {}

/// A delta from one content to another. Serialized as one byte string.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Delta {
    /// Hash of the content that the delta applies to.
    pub base: Digest,
    /// Hash of the content that it makes.
    pub result: Digest,
    size: usize,
    packed: Vec<u8>,
}

impl Delta {
    /// Makes a delta from `base` to `result`; `None` when a size limit is exceeded, so that the whole content is sent.
    pub fn new(base: &[u8], result: &[u8]) -> Option<Self> {
        if result.len() > MAX_CONTENT_BYTES || base.len() > MAX_CONTENT_BYTES {
            return None;
        }
        let delta = Self {
            base: Digest::of(base),
            result: Digest::of(result),
            size: result.len(),
            packed: deflate(&operations(base, result)),
        };
        (delta.to_bytes().len() <= MAX_DELTA_BYTES).then_some(delta)
    }

    /// Applies the delta to the content that it was made for.
    ///
    /// # Errors
    ///
    /// Any [`DeltaError`]; nothing is returned unless the result matches its hash.
    pub fn apply(&self, base: &[u8]) -> Result<Vec<u8>, DeltaError> {
        match self.size {
            n if n > MAX_CONTENT_BYTES => return Err(DeltaError::TooLarge),
            _ if Digest::of(base) != self.base => return Err(DeltaError::WrongBase),
            _ => {}
        }
        let ops = inflate(&self.packed, MAX_CONTENT_BYTES).map_err(|_| DeltaError::Malformed)?;
        let mut ops = ops.as_slice();
        let mut out = Vec::new();
        while !ops.is_empty() {
            let head = take_number(&mut ops).ok_or(DeltaError::Malformed)?;
            let n = usize::try_from(head >> 1).map_err(|_| DeltaError::Malformed)?;
            let part = match head & 1 {
                0 => take(&mut ops, n),
                _ => take_number(&mut ops)
                    .and_then(|at| usize::try_from(at).ok())
                    .and_then(|at| base.get(at..at.checked_add(n)?)),
            };
            let part = part.ok_or(DeltaError::Malformed)?;
            // An operation of no bytes would let a small delta cost much time.
            if part.is_empty() || out.len() + part.len() > self.size {
                return Err(DeltaError::Malformed);
            }
            out.extend_from_slice(part);
        }
        match Digest::of(&out) == self.result {
            true => Ok(out),
            false => Err(DeltaError::WrongResult),
        }
    }

    /// Wire form.
    pub fn to_bytes(&self) -> Vec<u8> {
        let mut out = Vec::with_capacity(HASHES + 10 + self.packed.len());
        out.extend(self.base.0);
        out.extend(self.result.0);
        put_number(&mut out, self.size as u64);
        out.extend(&self.packed);
        out
    }

    /// Reads the wire form.
    ///
    /// # Errors
    ///
    /// [`DeltaError::Malformed`] or [`DeltaError::TooLarge`].
    pub fn from_bytes(data: &[u8]) -> Result<Self, DeltaError> {
        if data.len() > MAX_DELTA_BYTES {
            return Err(DeltaError::TooLarge);
        }
        let mut rest = data;
        let base = take_digest(&mut rest).ok_or(DeltaError::Malformed)?;
        let result = take_digest(&mut rest).ok_or(DeltaError::Malformed)?;
        let size = take_number(&mut rest).ok_or(DeltaError::Malformed)?;
        match usize::try_from(size) {
            Ok(size) if size <= MAX_CONTENT_BYTES => Ok(Self {
                base,
                result,
                size,
                packed: rest.to_vec(),
            }),
            _ => Err(DeltaError::TooLarge),
        }
    }
}

/// Operations that make `result` from `base`: a greedy search for blocks of the base, extended in both directions.
fn operations(base: &[u8], result: &[u8]) -> Vec<u8> {
    let mut blocks: HashMap<&[u8], usize> = HashMap::default();
    for (i, block) in base.chunks_exact(BLOCK).enumerate() {
        blocks.entry(block).or_insert(i * BLOCK);
    }
    let mut out = Vec::new();
    let (mut at, mut pending) = (0, 0);
    // The end of the last copy; a copy that continues there is preferred, because contents mostly keep their order.
    let mut next = 0;
    while at < result.len() {
        let block = result.get(at..at + BLOCK);
        let found = match block {
            Some(b) if base.get(next..next + BLOCK) == Some(b) => Some(next),
            Some(b) => blocks.get(b).copied(),
            None if base.get(next..) == Some(&result[at..]) => Some(next),
            None => None,
        };
        let Some(mut from) = found else {
            at += 1;
            next += 1;
            continue;
        };
        let mut start = at;
        while start > pending && from > 0 && base[from - 1] == result[start - 1] {
            start -= 1;
            from -= 1;
        }
        let same = base[from..].iter().zip(&result[start..]);
        let n = same.take_while(|(a, b)| a == b).count();
        insert(&mut out, &result[pending..start]);
        put_number(&mut out, (n as u64) << 1 | 1);
        put_number(&mut out, from as u64);
        at = start + n;
        pending = at;
        next = from + n;
    }
    insert(&mut out, &result[pending..]);
    out
}

fn insert(out: &mut Vec<u8>, part: &[u8]) {
    if !part.is_empty() {
        put_number(out, (part.len() as u64) << 1);
        out.extend_from_slice(part);
    }
}

fn put_number(out: &mut Vec<u8>, mut n: u64) {
    while n >= 0x80 {
        out.push(n as u8 | 0x80);
        n >>= 7;
    }
    out.push(n as u8);
}

fn take_number(data: &mut &[u8]) -> Option<u64> {
    let mut n = 0;
    for shift in (0..63).step_by(7) {
        let (first, rest) = data.split_first()?;
        *data = rest;
        n |= u64::from(first & 0x7f) << shift;
        if first & 0x80 == 0 {
            return Some(n);
        }
    }
    None
}

fn take<'a>(data: &mut &'a [u8], n: usize) -> Option<&'a [u8]> {
    let (part, rest) = data.split_at_checked(n)?;
    *data = rest;
    Some(part)
}

fn take_digest(data: &mut &[u8]) -> Option<Digest> {
    Some(Digest(take(data, 32)?.try_into().ok()?))
}

impl Serialize for Delta {
    fn serialize<S>(&self, s: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        s.serialize_bytes(&self.to_bytes())
    }
}

struct DeltaVisitor;

impl de::Visitor<'_> for DeltaVisitor {
    type Value = Delta;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the wire form of a delta")
    }

    fn visit_bytes<E>(self, v: &[u8]) -> Result<Delta, E>
    where
        E: de::Error,
    {
        Delta::from_bytes(v).map_err(E::custom)
    }

    fn visit_byte_buf<E>(self, v: Vec<u8>) -> Result<Delta, E>
    where
        E: de::Error,
    {
        self.visit_bytes(&v)
    }
}

impl<'de> Deserialize<'de> for Delta {
    fn deserialize<D>(d: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        d.deserialize_byte_buf(DeltaVisitor)
    }
}
