//! Idempotency keys: UUIDv7 values whose timestamp selects the ownership range and whose random bits select the shard.

use http::{HeaderMap, HeaderName};
use uuid::Uuid;

use super::reason::{Failure, Reason};
use crate::digest::Digest;
use crate::prelude::*;
use crate::process::at_most_once::grants::SHARD_COUNT;
use crate::process::members::notices::Shard;

/// Header that carries the idempotency key of a request.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// An idempotency key: the 128 bits of a UUIDv7, ordered by timestamp.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct IdempotencyKey(u128);

/// Position of the lowest bit of the 48-bit timestamp.
const TIME_SHIFT: u32 = 80;
/// Mask of the random bits: everything below the timestamp except version and variant.
const RANDOM_MASK: u128 = (0xfff << 64) | (u64::MAX >> 2) as u128;

impl IdempotencyKey {
    /// Parses a UUIDv7; `None` for any other text.
    pub fn parse(text: &str) -> Option<Self> {
        let id = Uuid::parse_str(text).ok()?;
        let is_v7 = id.get_version_num() == 7 && id.get_variant() == uuid::Variant::RFC4122;
        is_v7.then(|| Self(id.as_u128()))
    }

    /// Reads the key from the headers of a request.
    ///
    /// # Errors
    ///
    /// [`Reason::KeyRequired`] or [`Reason::KeyInvalid`]; a request without a valid key never runs.
    pub fn read(h: &HeaderMap) -> Result<Self, Failure> {
        let value = h
            .get(IDEMPOTENCY_KEY)
            .ok_or(Failure::not_run(Reason::KeyRequired))?;
        let text = value.to_str().ok();
        text.and_then(Self::parse)
            .ok_or(Failure::not_run(Reason::KeyInvalid))
    }

    /// Generates a key of this shard and time; `random` supplies random bits and is called about [`SHARD_COUNT`] times.
    pub fn generate<R>(shard: Shard, time_ms: u64, mut random: R) -> Self
    where
        R: FnMut() -> u128,
    {
        // Timestamp, version 7 and the variant of RFC 4122.
        let base = (u128::from(time_ms) << TIME_SHIFT) | (7 << 76) | (2 << 62);
        loop {
            let key = Self(base | (random() & RANDOM_MASK));
            if key.shard() == shard {
                return key;
            }
        }
    }

    /// Timestamp in milliseconds since the Unix epoch.
    pub fn time_ms(self) -> u64 {
        (self.0 >> TIME_SHIFT) as u64
    }

    /// Shard that the random bits select.
    pub fn shard(self) -> Shard {
        let hash = Digest::of(&(self.0 & RANDOM_MASK).to_be_bytes()).short();
        (hash % u64::from(SHARD_COUNT)) as Shard
    }

    /// Canonical UUID text.
    pub fn text(self) -> SmolStr {
        Uuid::from_u128(self.0).to_string().into()
    }
}
