//! Messages of the HTTP interface of the metadata store of the platform.

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use serde::{Deserialize, Serialize};

use crate::store::{Entry, Era, Event, Revision, StoreError, MAX_VALUE_BYTES};

/// A key with its value, or an event about it.
#[derive(Debug, Deserialize)]
pub(super) struct Item {
    pub(super) key: String,
    /// Encoded in base64; absent if the item is an event about a deleted key.
    #[serde(default)]
    pub(super) value: Option<String>,
    pub(super) revision: u64,
    #[serde(default)]
    pub(super) deleted: bool,
}

/// A page of a listing.
#[derive(Debug, Deserialize)]
pub(super) struct RangeResponse {
    pub(super) items: Vec<Item>,
    pub(super) has_more: bool,
    /// Revision of the store when the page was read.
    pub(super) at: u64,
}

/// Changes since the revision of a watch.
#[derive(Debug, Deserialize)]
pub(super) struct WatchResponse {
    pub(super) events: Vec<Item>,
    /// Revision from which to watch next.
    pub(super) at: u64,
}

/// Condition on which a transaction is applied.
#[derive(Debug, Serialize)]
pub(super) struct Precondition<'a> {
    pub(super) key: &'a str,
    /// Required revision of the key; 0 if it must not exist.
    pub(super) revision: u64,
}

/// Key that a transaction writes.
#[derive(Debug, Serialize)]
pub(super) struct Write<'a> {
    pub(super) key: &'a str,
    /// Encoded in base64.
    pub(super) value: String,
    /// 0 if the key has no lease.
    pub(super) lease: u64,
}

/// Body of a transaction.
#[derive(Debug, Default, Serialize)]
pub(super) struct Transaction<'a> {
    pub(super) precondition: Vec<Precondition<'a>>,
    pub(super) writes: Vec<Write<'a>>,
    pub(super) remove: Vec<&'a str>,
}

/// Response to a transaction that was applied.
#[derive(Debug, Deserialize)]
pub(super) struct WriteResponse {
    pub(super) revision: u64,
}

/// Response to a transaction whose precondition failed.
#[derive(Debug, Deserialize)]
pub(super) struct ConflictResponse {
    /// Present items of the keys whose precondition failed.
    #[serde(default)]
    pub(super) items: Vec<Item>,
}

/// Body of a request for a lease.
#[derive(Debug, Serialize)]
pub(super) struct LeaseRequest {
    pub(super) ttl_ms: u64,
}

/// Granted lease.
#[derive(Debug, Deserialize)]
pub(super) struct LeaseResponse {
    pub(super) lease: u64,
}

/// Error of a call that the store may have processed.
pub(super) fn unknown_outcome<E>(e: E) -> StoreError
where
    E: std::fmt::Display,
{
    StoreError::Unknown(e.to_string())
}

/// Decodes the body of a response.
pub(super) fn decode<'a, T>(data: &'a [u8]) -> Result<T, StoreError>
where
    T: Deserialize<'a>,
{
    serde_json::from_slice(data).map_err(unknown_outcome)
}

impl Item {
    fn bytes(&self) -> Result<Vec<u8>, StoreError> {
        let text = self.value.as_deref().unwrap_or_default();
        STANDARD.decode(text).map_err(unknown_outcome)
    }

    /// Decodes an item. One that cannot be read is left out, so that it does not hide the others.
    pub(super) fn readable<T, F>(self, decode: F) -> Option<T>
    where
        F: Fn(Self) -> Result<T, StoreError>,
    {
        let key = self.key.clone();
        let decoded = decode(self);
        if let Err(e) = &decoded {
            spdlog::warn!("event=item_unreadable", kv: { key = key, error = e.to_string() });
        }
        decoded.ok()
    }

    /// The entry of a listing, as it is in an era.
    pub(super) fn entry(self, era: Era) -> Result<Entry, StoreError> {
        Ok(Entry {
            value: self.bytes()?,
            key: self.key,
            revision: Revision::new(era, self.revision),
        })
    }

    /// The event of a watch in an era.
    pub(super) fn event(self, era: Era) -> Result<Event, StoreError> {
        Ok(Event {
            value: match self.deleted {
                true => None,
                false => Some(self.bytes()?),
            },
            key: self.key,
            revision: Revision::new(era, self.revision),
        })
    }
}

/// Percent-encodes a query value.
pub(super) fn encode_query(text: &str) -> String {
    text.bytes()
        .map(|b| match b {
            b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' | b'_' | b'.' | b'~' | b'/' => {
                char::from(b).to_string()
            }
            b => format!("%{b:02X}"),
        })
        .collect()
}

/// Creates a write of a key.
///
/// # Errors
///
/// The value is too large.
pub(super) fn new_write<'a>(
    key: &'a str,
    value: &[u8],
    lease: Option<u64>,
) -> Result<Write<'a>, StoreError> {
    if value.len() > MAX_VALUE_BYTES {
        return Err(StoreError::Invalid("value is too large".into()));
    }
    Ok(Write {
        key,
        value: STANDARD.encode(value),
        lease: lease.unwrap_or(0),
    })
}
