//! What travels with a request from node to node.

use http::{HeaderMap, HeaderName, HeaderValue};

use crate::prelude::*;

/// Id of the request, for logs.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("dq-request-id");
/// Remaining time, in milliseconds.
pub const DEADLINE: HeaderName = HeaderName::from_static("dq-deadline-ms");
/// Rank of the work.
pub const RANK: HeaderName = HeaderName::from_static("dq-rank");
/// Remaining retries of the call tree.
pub const RETRIES: HeaderName = HeaderName::from_static("dq-retries");
/// Depth in the call tree; 0 for the call of an outside caller.
pub const DEPTH: HeaderName = HeaderName::from_static("dq-depth");
/// Number of the configuration version that routed the request.
pub const VERSION: HeaderName = HeaderName::from_static("dq-version");
/// Identity of the caller.
pub const CALLER: HeaderName = HeaderName::from_static("dq-caller");

/// What travels with a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Context {
    /// Id of the request.
    pub id: SmolStr,
    /// Remaining time.
    pub remaining: Duration,
    /// Rank.
    pub rank: RankId,
    /// Remaining retries of the call tree.
    pub retries: u8,
    /// Depth in the call tree.
    pub depth: u8,
    /// Version that routed the request.
    pub version: VersionNumber,
    /// Caller.
    pub caller: CallerId,
}

/// Reads a header as a number or text; `None` when it is absent or malformed.
pub fn header<T>(h: &HeaderMap, name: &HeaderName) -> Option<T>
where
    T: std::str::FromStr,
{
    h.get(name)?.to_str().ok()?.parse().ok()
}

impl Context {
    /// Writes the headers.
    pub fn write(&self, h: &mut HeaderMap) {
        let mut put = |name: HeaderName, value: String| {
            if let Ok(v) = HeaderValue::try_from(value) {
                h.insert(name, v);
            }
        };
        put(REQUEST_ID, self.id.to_string());
        put(DEADLINE, self.remaining.as_millis().to_string());
        put(RANK, self.rank.to_string());
        put(RETRIES, self.retries.to_string());
        put(DEPTH, self.depth.to_string());
        put(VERSION, self.version.to_string());
        put(CALLER, self.caller.to_string());
    }

    /// Reads the headers that another node wrote; `None` when one is absent or malformed.
    pub fn read(h: &HeaderMap) -> Option<Self> {
        Some(Self {
            id: header(h, &REQUEST_ID)?,
            remaining: Duration::from_millis(header(h, &DEADLINE)?),
            rank: header(h, &RANK)?,
            retries: header(h, &RETRIES)?,
            depth: header(h, &DEPTH)?,
            version: header(h, &VERSION)?,
            caller: header(h, &CALLER)?,
        })
    }
}
