//! Idempotency keys: UUIDv7, whose time part orders ownership and whose random part selects the shard.

use http::{HeaderMap, HeaderName};
use uuid::Uuid;

use super::reason::{Failure, Reason};
use crate::digest::Digest;
use crate::prelude::*;
use crate::process::members::notices::Shard;
use crate::process::once::grants::SHARD_COUNT;

/// Header that carries the key.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// A parsed key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key(u128);

/// Bits of the time part.
const TIME_SHIFT: u32 = 80;
/// The random part: everything below the time but the version and the variant.
const RANDOM: u128 = (0xfff << 64) | (u64::MAX >> 2) as u128;

impl Key {
    /// Parses a UUIDv7.
    pub fn parse(text: &str) -> Option<Self> {
        let id = Uuid::parse_str(text).ok()?;
        let ours = id.get_version_num() == 7 && id.get_variant() == uuid::Variant::RFC4122;
        ours.then(|| Self(id.as_u128()))
    }

    /// Reads the key of a request.
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

    /// A key of this shard and time; `random` supplies random bits and is called about [`SHARD_COUNT`] times.
    pub fn make<R>(shard: Shard, time_ms: u64, mut random: R) -> Self
    where
        R: FnMut() -> u128,
    {
        let base = (u128::from(time_ms) << TIME_SHIFT) | (7 << 76) | (2 << 62);
        loop {
            let key = Self(base | (random() & RANDOM));
            if key.shard() == shard {
                return key;
            }
        }
    }

    /// Key time, in milliseconds since the Unix epoch.
    pub fn time_ms(self) -> u64 {
        (self.0 >> TIME_SHIFT) as u64
    }

    /// Shard.
    pub fn shard(self) -> Shard {
        let hash = Digest::of(&(self.0 & RANDOM).to_be_bytes()).short();
        (hash % u64::from(SHARD_COUNT)) as Shard
    }

    /// Text form.
    pub fn text(self) -> SmolStr {
        Uuid::from_u128(self.0).to_string().into()
    }
}
