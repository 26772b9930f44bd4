//! Delta between two contents: a sequence of copies from the base and inserted bytes, with the hashes of both contents.
//!
//! Wire format: base hash (32 bytes), result hash (32 bytes), result size (varint), then the operations, compressed
//! with DEFLATE. An operation is a varint `n << 1 | kind`: kind 0 inserts the next n bytes, kind 1 copies n bytes from
//! the base, from the offset that follows as a varint. A varint is a little-endian base-128 variable-length integer.

use std::fmt;

use serde::{de, Deserialize, Deserializer, Serialize, Serializer};

use super::compression::{deflate, inflate, MAX_CONTENT_BYTES};
use crate::digest::Digest;
use crate::prelude::*;

/// Maximum encoded size of a delta, in bytes. A larger change is sent as whole content.
pub const MAX_DELTA_BYTES: usize = 512 << 10;

/// Size of the blocks of the base that are indexed, in bytes. Shorter common parts are inserted.
const BLOCK_BYTES: usize = 24;

/// Size of the two hashes at the start of the encoded form, in bytes.
const HASHES_BYTES: usize = 64;

/// Why a delta was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DeltaError {
    /// The encoded form is damaged.
    Malformed,
    /// The delta or its result exceeds a size limit.
    TooLarge,
    /// The delta belongs to another base.
    WrongBase,
    /// The result does not match its hash.
    WrongResult,
}

impl DeltaError {
    /// Value of the `kind` label of the counter of rejected inputs.
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
    /// Hash of the content that it produces.
    pub result: Digest,
    result_size: usize,
    /// Operations, compressed.
    compressed: Vec<u8>,
}

impl Delta {
    /// Computes the delta from `base` to `result`. Returns `None` when a size limit is exceeded; the whole content is
    /// sent in that case.
    pub fn new(base: &[u8], result: &[u8]) -> Option<Self> {
        if result.len() > MAX_CONTENT_BYTES || base.len() > MAX_CONTENT_BYTES {
            return None;
        }
        let delta = Self {
            base: Digest::of(base),
            result: Digest::of(result),
            result_size: result.len(),
            compressed: deflate(&operations(base, result)),
        };
        (delta.to_bytes().len() <= MAX_DELTA_BYTES).then_some(delta)
    }

    /// Applies the delta to the content that it was made for.
    ///
    /// # Errors
    ///
    /// Any [`DeltaError`]. The result is returned only if it matches its hash.
    pub fn apply(&self, base: &[u8]) -> Result<Vec<u8>, DeltaError> {
        match self.result_size {
            n if n > MAX_CONTENT_BYTES => return Err(DeltaError::TooLarge),
            _ if Digest::of(base) != self.base => return Err(DeltaError::WrongBase),
            _ => {}
        }
        let ops =
            inflate(&self.compressed, MAX_CONTENT_BYTES).map_err(|_| DeltaError::Malformed)?;
        let mut ops = ops.as_slice();
        let mut out = Vec::new();
        while !ops.is_empty() {
            let header = take_varint(&mut ops).ok_or(DeltaError::Malformed)?;
            let n = usize::try_from(header >> 1).map_err(|_| DeltaError::Malformed)?;
            let part = match header & 1 {
                0 => take(&mut ops, n),
                _ => take_varint(&mut ops)
                    .and_then(|offset| usize::try_from(offset).ok())
                    .and_then(|offset| base.get(offset..offset.checked_add(n)?)),
            };
            let part = part.ok_or(DeltaError::Malformed)?;
            // Empty operations would let a small delta take much time to apply.
            if part.is_empty() || out.len() + part.len() > self.result_size {
                return Err(DeltaError::Malformed);
            }
            out.extend_from_slice(part);
        }
        match Digest::of(&out) == self.result {
            true => Ok(out),
            false => Err(DeltaError::WrongResult),
        }
    }

    /// Encodes the delta in its wire format.
    pub fn to_bytes(&self) -> Vec<u8> {
        let mut out = Vec::with_capacity(HASHES_BYTES + 10 + self.compressed.len());
        out.extend(self.base.0);
        out.extend(self.result.0);
        put_varint(&mut out, self.result_size as u64);
        out.extend(&self.compressed);
        out
    }

    /// Decodes the wire format. The operations are checked by [`Delta::apply`].
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
        let result_size = take_varint(&mut rest).ok_or(DeltaError::Malformed)?;
        match usize::try_from(result_size) {
            Ok(result_size) if result_size <= MAX_CONTENT_BYTES => Ok(Self {
                base,
                result,
                result_size,
                compressed: rest.to_vec(),
            }),
            _ => Err(DeltaError::TooLarge),
        }
    }
}

/// Computes the operations that produce `result` from `base`. A greedy search finds blocks of the base in the result
/// and extends each match in both directions.
fn operations(base: &[u8], result: &[u8]) -> Vec<u8> {
    let mut blocks: HashMap<&[u8], usize> = HashMap::default();
    for (i, block) in base.chunks_exact(BLOCK_BYTES).enumerate() {
        blocks.entry(block).or_insert(i * BLOCK_BYTES);
    }
    let mut out = Vec::new();
    let (mut pos, mut inserted_from) = (0, 0);
    // Base offset that corresponds to `pos` if both contents have the same order since the last copy. A match there is
    // preferred, because most contents keep their order.
    let mut expected = 0;
    while pos < result.len() {
        let block = result.get(pos..pos + BLOCK_BYTES);
        let found = match block {
            Some(b) if base.get(expected..expected + BLOCK_BYTES) == Some(b) => Some(expected),
            Some(b) => blocks.get(b).copied(),
            None if base.get(expected..) == Some(&result[pos..]) => Some(expected),
            None => None,
        };
        let Some(mut from) = found else {
            pos += 1;
            expected += 1;
            continue;
        };
        let mut start = pos;
        while start > inserted_from && from > 0 && base[from - 1] == result[start - 1] {
            start -= 1;
            from -= 1;
        }
        let same = base[from..].iter().zip(&result[start..]);
        let n = same.take_while(|(a, b)| a == b).count();
        put_insert(&mut out, &result[inserted_from..start]);
        put_varint(&mut out, (n as u64) << 1 | 1);
        put_varint(&mut out, from as u64);
        pos = start + n;
        inserted_from = pos;
        expected = from + n;
    }
    put_insert(&mut out, &result[inserted_from..]);
    out
}

fn put_insert(out: &mut Vec<u8>, part: &[u8]) {
    if !part.is_empty() {
        put_varint(out, (part.len() as u64) << 1);
        out.extend_from_slice(part);
    }
}

fn put_varint(out: &mut Vec<u8>, mut n: u64) {
    while n >= 0x80 {
        out.push(n as u8 | 0x80);
        n >>= 7;
    }
    out.push(n as u8);
}

fn take_varint(data: &mut &[u8]) -> Option<u64> {
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
        f.write_str("an encoded delta")
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
