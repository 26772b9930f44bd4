//! SHA-256 content hashes.

use std::fmt;
use std::str::FromStr;

use serde::{de, Deserialize, Deserializer, Serialize, Serializer};
use sha2::{Digest as _, Sha256};

/// A SHA-256 hash, written as 64 lower-case hexadecimal digits in text formats.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Digest(pub [u8; 32]);

impl Digest {
    /// Hashes a byte string.
    pub fn of(data: &[u8]) -> Self {
        Self(Sha256::digest(data).into())
    }

    /// Hashes several byte strings. Each is preceded by its length, so that the boundaries are hashed too.
    pub fn of_parts(parts: &[&[u8]]) -> Self {
        let mut h = Sha256::new();
        for part in parts {
            h.update((part.len() as u64).to_be_bytes());
            h.update(part);
        }
        Self(h.finalize().into())
    }

    /// The first 8 bytes as a big-endian number, for sharding, ordering and as a short fingerprint.
    pub fn short(&self) -> u64 {
        let mut b = [0; 8];
        b.copy_from_slice(&self.0[..8]);
        u64::from_be_bytes(b)
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|b| write!(f, "{b:02x}"))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.short())
    }
}

/// Error of parsing a text that is not 64 hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InvalidDigest;

impl fmt::Display for InvalidDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("expected 64 hexadecimal digits")
    }
}

impl std::error::Error for InvalidDigest {}

impl FromStr for Digest {
    type Err = InvalidDigest;

    fn from_str(s: &str) -> Result<Self, InvalidDigest> {
        if s.len() != 64 || !s.is_ascii() {
            return Err(InvalidDigest);
        }
        let mut out = [0; 32];
        for (i, byte) in out.iter_mut().enumerate() {
            *byte = u8::from_str_radix(&s[2 * i..2 * i + 2], 16).map_err(|_| InvalidDigest)?;
        }
        Ok(Self(out))
    }
}

impl Serialize for Digest {
    fn serialize<S>(&self, s: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        match s.is_human_readable() {
            true => s.collect_str(self),
            false => s.serialize_bytes(&self.0),
        }
    }
}

struct DigestVisitor;

impl de::Visitor<'_> for DigestVisitor {
    type Value = Digest;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a SHA-256 hash")
    }

    fn visit_str<E>(self, v: &str) -> Result<Digest, E>
    where
        E: de::Error,
    {
        v.parse().map_err(E::custom)
    }

    fn visit_bytes<E>(self, v: &[u8]) -> Result<Digest, E>
    where
        E: de::Error,
    {
        let b = v
            .try_into()
            .map_err(|_| E::invalid_length(v.len(), &self))?;
        Ok(Digest(b))
    }
}

impl<'de> Deserialize<'de> for Digest {
    fn deserialize<D>(d: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        match d.is_human_readable() {
            true => d.deserialize_str(DigestVisitor),
            false => d.deserialize_bytes(DigestVisitor),
        }
    }
}
