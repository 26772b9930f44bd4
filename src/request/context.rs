//! What travels with a request from node to node.

use http::request::Parts;
use http::uri::PathAndQuery;
use http::{header, HeaderMap, HeaderName, HeaderValue, Method};

use super::reason::{Failure, Reason};
use crate::key::SharedKey;
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

/// Proof that the request comes from a node that holds the shared key.
pub const PROOF: HeaderName = HeaderName::from_static("dq-proof");
/// Set to `true` by a backend server, with status 503, to prove that it did not start the request.
pub const NOT_RUN: HeaderName = HeaderName::from_static("dq-not-run");
/// Work at the target, running and waiting, in percent of its slots, as the admitting node counts it.
pub const LOAD: HeaderName = HeaderName::from_static("dq-load-percent");

/// Headers that concern one connection only (RFC 9110, section 7.6.1) or are written anew for each hop.
const HOP_BY_HOP: [HeaderName; 10] = [
    header::CONNECTION,
    header::EXPECT,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
];

/// Removes hop-by-hop headers and those that a `connection` header names.
pub fn strip_hop(h: &mut HeaderMap) {
    let named: Vec<HeaderName> = h
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP) {
        h.remove(name);
    }
}

/// Removes internal headers, which only nodes may set.
pub fn strip_internal(h: &mut HeaderMap) {
    let internal: Vec<HeaderName> = h
        .keys()
        .filter(|k| k.as_str().starts_with("dq-"))
        .cloned()
        .collect();
    for name in internal {
        h.remove(name);
    }
}

/// Prepares the headers of a request for forwarding. The length is written anew with the body.
pub fn strip(h: &mut HeaderMap) {
    strip_hop(h);
    strip_internal(h);
    h.remove(header::CONTENT_LENGTH);
}

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

    /// Whether an answer names another request. An answer that names none passes: backend servers need not echo the id.
    pub fn is_crossed(&self, answer: &HeaderMap) -> bool {
        answer
            .get(REQUEST_ID)
            .is_some_and(|v| v.as_bytes() != self.id.as_bytes())
    }

    fn parts<'a>(&'a self, method: &'a Method, path: &'a str, ms: &'a [u8]) -> [&'a [u8]; 4] {
        let id = self.id.as_bytes();
        [method.as_str().as_bytes(), path.as_bytes(), id, ms]
    }

    /// Adds the proof of the shared key over method, path with query, request id and deadline.
    pub fn prove(&self, key: &SharedKey, method: &Method, path: &str, h: &mut HeaderMap) {
        let ms = self.remaining.as_millis().to_string();
        let mac = key.sign(&self.parts(method, path, ms.as_bytes()));
        let hex: String = mac.iter().map(|b| format!("{b:02x}")).collect();
        if let Ok(v) = HeaderValue::try_from(hex) {
            h.insert(PROOF, v);
        }
    }

    /// Reads the headers that another node wrote and checks its proof when the site has a shared key.
    ///
    /// # Errors
    ///
    /// A header is absent or malformed, or the proof is. The request was not run.
    pub fn read_proven(parts: &Parts, key: Option<&SharedKey>) -> Result<Self, Failure> {
        let ctx = Self::read(&parts.headers).ok_or(Failure::not_run(Reason::BadRequest))?;
        let path = parts.uri.path_and_query().map_or("/", PathAndQuery::as_str);
        match key {
            Some(key) if !ctx.proven(key, &parts.method, path, &parts.headers) => {
                Err(Failure::not_run(Reason::Unproven))
            }
            _ => Ok(ctx),
        }
    }

    fn proven(&self, key: &SharedKey, method: &Method, path: &str, h: &HeaderMap) -> bool {
        let ms = self.remaining.as_millis().to_string();
        let proof = h.get(PROOF).and_then(|v| v.to_str().ok()).and_then(unhex);
        proof.is_some_and(|mac| key.verify(&self.parts(method, path, ms.as_bytes()), &mac))
    }
}

fn unhex(text: &str) -> Option<Vec<u8>> {
    let digits: Option<Vec<_>> = text.chars().map(|c| c.to_digit(16)).collect();
    let digits = digits.filter(|d| d.len().is_multiple_of(2))?;
    Some(digits.chunks(2).map(|d| (d[0] * 16 + d[1]) as u8).collect())
}
