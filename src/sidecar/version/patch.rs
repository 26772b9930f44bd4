//! Patches between versions of a document, for nodes that hold an earlier version. No I/O.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::digest::Digest;
use crate::prelude::*;
use crate::version::compression::{deflate, inflate};

/// Maximum size of a document, in bytes: the maximum size of a value in the store.
const MAX_BYTES: usize = 1 << 20;

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
enum Step {
    /// Copies pieces of the base: the index of the first and their number.
    #[serde(rename = "c")]
    Copy(u32, u32),
    /// Inserts text that the base lacks.
    #[serde(rename = "l")]
    Literal(String),
}

/// Steps that turn one document into another, with the hashes of both.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Patch {
    base: Digest,
    result: Digest,
    steps: Vec<Step>,
}

/// Error for a patch that is damaged or does not apply to the document.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PatchError;

/// Splits a document into pieces such that a change of one entry leaves the other pieces unchanged.
fn pieces(text: &str) -> Vec<&str> {
    text.split_inclusive('{').collect()
}

/// Encodes `new` as a patch for a node that holds `base`, or as the whole compressed document without a base.
pub fn encode(base: Option<&Bytes>, new: &Bytes) -> Vec<u8> {
    let text = |b: &Bytes| String::from_utf8(b.to_vec()).ok();
    let (Some(base), Some(new_text)) = (base.and_then(text), text(new)) else {
        return deflate(new);
    };
    let old = pieces(&base);
    let mut positions: HashMap<&str, u32> = HashMap::default();
    for (i, p) in old.iter().enumerate() {
        positions.entry(p).or_insert(i as u32);
    }
    let mut steps: Vec<Step> = Vec::new();
    for p in pieces(&new_text) {
        let position = match steps.last_mut() {
            // A piece may occur several times; extending the current copy keeps the patch short.
            Some(Step::Copy(first, count)) if old.get((*first + *count) as usize) == Some(&p) => {
                *count += 1;
                continue;
            }
            _ => positions.get(p),
        };
        match (position, steps.last_mut()) {
            (Some(first), _) => steps.push(Step::Copy(*first, 1)),
            (None, Some(Step::Literal(l))) => l.push_str(p),
            (None, _) => steps.push(Step::Literal(p.to_owned())),
        }
    }
    let patch = Patch {
        base: Digest::of(base.as_bytes()),
        result: Digest::of(new),
        steps,
    };
    let mut out = Vec::new();
    // Writing to a vector cannot fail.
    let _ = ciborium::into_writer(&patch, &mut out);
    deflate(&out)
}

/// Decodes a document that was encoded without a base.
///
/// # Errors
///
/// The data is damaged or too large.
pub fn decode_whole(data: &[u8]) -> Result<Bytes, PatchError> {
    inflate(data, MAX_BYTES)
        .map(Bytes::from)
        .map_err(|_| PatchError)
}

/// Applies a patch to the document that this node holds.
///
/// # Errors
///
/// The patch is for another document, or damaged.
pub fn apply(base: &Bytes, data: &[u8]) -> Result<Bytes, PatchError> {
    let data = inflate(data, MAX_BYTES).map_err(|_| PatchError)?;
    let patch: Patch = ciborium::from_reader(&data[..]).map_err(|_| PatchError)?;
    if patch.base != Digest::of(base) {
        return Err(PatchError);
    }
    let text = std::str::from_utf8(base).map_err(|_| PatchError)?;
    let old = pieces(text);
    let mut out = String::with_capacity(text.len() + 256);
    for step in &patch.steps {
        match step {
            Step::Copy(first, count) => {
                let end = first.checked_add(*count).ok_or(PatchError)? as usize;
                let part = old.get(*first as usize..end).ok_or(PatchError)?;
                part.iter().for_each(|p| out.push_str(p));
            }
            Step::Literal(l) => out.push_str(l),
        }
        if out.len() > MAX_BYTES {
            return Err(PatchError);
        }
    }
    match Digest::of(out.as_bytes()) == patch.result {
        true => Ok(out.into()),
        false => Err(PatchError),
    }
}
