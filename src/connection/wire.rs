//! Serde types for the fields of frames; names and lists have an upper bound that is checked while they are read.

use std::fmt;
use std::marker::PhantomData;
use std::net::{IpAddr, SocketAddr};

use serde::de::{self, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::prelude::*;

/// Longest name in a message, in bytes.
pub const MAX_NAME_BYTES: usize = 128;

/// Reads the next element of a sequence. A sequence that has ended is an error.
pub(super) fn next<'de, A, T>(s: &mut A) -> Result<T, A::Error>
where
    A: SeqAccess<'de>,
    T: Deserialize<'de>,
{
    s.next_element()?
        .ok_or_else(|| de::Error::custom("the sequence ends before its last element"))
}

/// A name of at most [`MAX_NAME_BYTES`] bytes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Name(pub SmolStr);

struct NameVisitor;

impl Visitor<'_> for NameVisitor {
    type Value = Name;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a name of at most {MAX_NAME_BYTES} bytes")
    }

    fn visit_str<E>(self, v: &str) -> Result<Name, E>
    where
        E: de::Error,
    {
        match v.len() {
            n if n > MAX_NAME_BYTES => Err(E::invalid_length(n, &self)),
            _ => Ok(Name(v.into())),
        }
    }
}

impl<'de> Deserialize<'de> for Name {
    fn deserialize<D>(d: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        d.deserialize_str(NameVisitor)
    }
}

/// Bytes that are encoded as a CBOR byte string rather than as an array of numbers.
pub(super) struct Blob<T>(pub(super) T);

impl Serialize for Blob<&Vec<u8>> {
    fn serialize<S>(&self, s: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        s.serialize_bytes(self.0)
    }
}

struct BlobVisitor;

impl Visitor<'_> for BlobVisitor {
    type Value = Blob<Vec<u8>>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a byte string")
    }

    fn visit_bytes<E>(self, v: &[u8]) -> Result<Self::Value, E>
    where
        E: de::Error,
    {
        Ok(Blob(v.to_vec()))
    }

    fn visit_byte_buf<E>(self, v: Vec<u8>) -> Result<Self::Value, E>
    where
        E: de::Error,
    {
        Ok(Blob(v))
    }
}

impl<'de> Deserialize<'de> for Blob<Vec<u8>> {
    fn deserialize<D>(d: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        d.deserialize_byte_buf(BlobVisitor)
    }
}

/// A list of at most `MAX` items.
pub(super) struct BoundedList<T, const MAX: usize>(pub(super) Vec<T>);

struct BoundedListVisitor<T, const MAX: usize>(PhantomData<T>);

impl<'de, T, const MAX: usize> Visitor<'de> for BoundedListVisitor<T, MAX>
where
    T: Deserialize<'de>,
{
    type Value = BoundedList<T, MAX>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a list of at most {MAX} items")
    }

    fn visit_seq<A>(self, mut s: A) -> Result<Self::Value, A::Error>
    where
        A: SeqAccess<'de>,
    {
        let mut out = Vec::new();
        while let Some(item) = s.next_element()? {
            if out.len() == MAX {
                return Err(de::Error::invalid_length(MAX + 1, &self));
            }
            out.push(item);
        }
        Ok(BoundedList(out))
    }
}

impl<'de, T, const MAX: usize> Deserialize<'de> for BoundedList<T, MAX>
where
    T: Deserialize<'de>,
{
    fn deserialize<D>(d: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        d.deserialize_seq(BoundedListVisitor(PhantomData))
    }
}

/// A socket address as a byte string of 6 bytes (IPv4) or 18 bytes (IPv6): IP address, then port, big-endian.
pub(super) struct Address(pub(super) SocketAddr);

impl Serialize for Address {
    fn serialize<S>(&self, s: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        let port = self.0.port().to_be_bytes();
        match self.0.ip() {
            IpAddr::V4(ip) => s.serialize_bytes(&[&ip.octets()[..], &port].concat()),
            IpAddr::V6(ip) => s.serialize_bytes(&[&ip.octets()[..], &port].concat()),
        }
    }
}

struct AddressVisitor;

impl Visitor<'_> for AddressVisitor {
    type Value = Address;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a socket address of 6 or 18 bytes")
    }

    fn visit_bytes<E>(self, v: &[u8]) -> Result<Address, E>
    where
        E: de::Error,
    {
        let invalid = || E::invalid_length(v.len(), &self);
        let (ip, port) = v.split_last_chunk::<2>().ok_or_else(invalid)?;
        let port = u16::from_be_bytes(*port);
        match (<[u8; 4]>::try_from(ip), <[u8; 16]>::try_from(ip)) {
            (Ok(ip), _) => Ok(Address((ip, port).into())),
            (_, Ok(ip)) => Ok(Address((ip, port).into())),
            _ => Err(invalid()),
        }
    }
}

impl<'de> Deserialize<'de> for Address {
    fn deserialize<D>(d: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        d.deserialize_bytes(AddressVisitor)
    }
}
