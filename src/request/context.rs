//! Request context that nodes propagate in headers.

use http::request::Parts;
use http::uri::PathAndQuery;
use http::{header, HeaderMap, HeaderName, HeaderValue, Method};

use super::reason::{Failure, Reason};
use crate::key::SharedKey;
use crate::prelude::*;

/// Id of the request, for logs and for matching a response to its request.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("dq-request-id");
/// Time that remains until the deadline, in milliseconds.
pub const DEADLINE_MS: HeaderName = HeaderName::from_static("dq-deadline-ms");
/// Rank (priority class) of the request.
pub const RANK: HeaderName = HeaderName::from_static("dq-rank");
/// Retries that remain for the call tree.
pub const RETRIES: HeaderName = HeaderName::from_static("dq-retries");
/// Depth in the call tree; 0 for a call from outside the mesh.
pub const DEPTH: HeaderName = HeaderName::from_static("dq-depth");
/// Number of the configuration version that routed the request.
pub const VERSION: HeaderName = HeaderName::from_static("dq-version");
/// Identity of the caller: its IP address, or a name that the backend server beside the node gave.
pub const CALLER: HeaderName = HeaderName::from_static("dq-caller");

/// HMAC of the request with the shared key, which proves that a node of the site sent it.
pub const PROOF: HeaderName = HeaderName::from_static("dq-proof");
/// Set to `true` by a backend server, with status 503, to prove that it did not start the request.
pub const NOT_RUN: HeaderName = HeaderName::from_static("dq-not-run");
/// Running and waiting requests at the target in percent of its slots, as counted by the admitting node.
pub const LOAD_PERCENT: HeaderName = HeaderName::from_static("dq-load-percent");

/// Headers that apply to one connection only (RFC 9110, section 7.6.1) or are generated for each hop.
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

/// Removes hop-by-hop headers and the headers that a `connection` header lists.
pub fn strip_hop_by_hop(h: &mut HeaderMap) {
    let listed: Vec<HeaderName> = h
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in listed.iter().chain(&HOP_BY_HOP) {
        h.remove(name);
    }
}

/// Removes the internal `dq-` headers, which only nodes may set.
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

/// Removes the headers that must not be forwarded with a request. The content length is set again from the body.
pub fn strip_for_forwarding(h: &mut HeaderMap) {
    strip_hop_by_hop(h);
    strip_internal(h);
    h.remove(header::CONTENT_LENGTH);
}

/// Context of one request, which each node passes on to the next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Context {
    /// Request id, from the caller or else a new UUIDv7.
    pub id: SmolStr,
    /// Time that remains until the deadline.
    pub remaining: Duration,
    /// Rank (priority class), given by the route.
    pub rank: RankId,
    /// Retries that remain for the call tree.
    pub retries: u8,
    /// Depth in the call tree; 0 for a call from outside the mesh.
    pub depth: u8,
    /// Configuration version that routed the request.
    pub version: VersionNumber,
    /// Identity of the caller, for fair queueing and `caller-limit` resources.
    pub caller: CallerId,
}

/// Parses the value of a header; `None` when it is absent or malformed.
pub fn parse_header<T>(h: &HeaderMap, name: &HeaderName) -> Option<T>
where
    T: std::str::FromStr,
{
    h.get(name)?.to_str().ok()?.parse().ok()
}

impl Context {
    /// Writes the context headers, all except the HMAC.
    pub fn write(&self, h: &mut HeaderMap) {
        let mut put = |name: HeaderName, value: String| {
            if let Ok(v) = HeaderValue::try_from(value) {
                h.insert(name, v);
            }
        };
        put(REQUEST_ID, self.id.to_string());
        put(DEADLINE_MS, self.remaining.as_millis().to_string());
        put(RANK, self.rank.to_string());
        put(RETRIES, self.retries.to_string());
        put(DEPTH, self.depth.to_string());
        put(VERSION, self.version.to_string());
        put(CALLER, self.caller.to_string());
    }

    /// Reads the context headers of another node; `None` when one is absent or malformed.
    pub fn read(h: &HeaderMap) -> Option<Self> {
        Some(Self {
            id: parse_header(h, &REQUEST_ID)?,
            remaining: Duration::from_millis(parse_header(h, &DEADLINE_MS)?),
            rank: parse_header(h, &RANK)?,
            retries: parse_header(h, &RETRIES)?,
            depth: parse_header(h, &DEPTH)?,
            version: parse_header(h, &VERSION)?,
            caller: parse_header(h, &CALLER)?,
        })
    }

    /// Whether a response carries the id of another request. A response without an id is accepted, because backend
    /// servers need not echo it.
    pub fn is_mismatched(&self, response: &HeaderMap) -> bool {
        response
            .get(REQUEST_ID)
            .is_some_and(|v| v.as_bytes() != self.id.as_bytes())
    }

    fn signed_parts<'a>(
        &'a self,
        method: &'a Method,
        path: &'a str,
        ms: &'a [u8],
    ) -> [&'a [u8]; 4] {
        let id = self.id.as_bytes();
        [method.as_str().as_bytes(), path.as_bytes(), id, ms]
    }

    /// Adds the HMAC over method, path with query, request id and remaining time.
    pub fn sign(&self, key: &SharedKey, method: &Method, path: &str, h: &mut HeaderMap) {
        let ms = self.remaining.as_millis().to_string();
        let mac = key.sign(&self.signed_parts(method, path, ms.as_bytes()));
        let hex: String = mac.iter().map(|b| format!("{b:02x}")).collect();
        if let Ok(v) = HeaderValue::try_from(hex) {
            h.insert(PROOF, v);
        }
    }

    /// Reads the context headers of another node and verifies their HMAC when the site has a shared key.
    ///
    /// # Errors
    ///
    /// A header is absent or malformed, or the HMAC is absent or wrong. The request was not run.
    pub fn read_verified(parts: &Parts, key: Option<&SharedKey>) -> Result<Self, Failure> {
        let ctx = Self::read(&parts.headers).ok_or(Failure::not_run(Reason::BadRequest))?;
        let path = parts.uri.path_and_query().map_or("/", PathAndQuery::as_str);
        match key {
            Some(key) if !ctx.verify(key, &parts.method, path, &parts.headers) => {
                Err(Failure::not_run(Reason::Unproven))
            }
            _ => Ok(ctx),
        }
    }

    fn verify(&self, key: &SharedKey, method: &Method, path: &str, h: &HeaderMap) -> bool {
        let ms = self.remaining.as_millis().to_string();
        let proof = h
            .get(PROOF)
            .and_then(|v| v.to_str().ok())
            .and_then(decode_hex);
        proof.is_some_and(|mac| key.verify(&self.signed_parts(method, path, ms.as_bytes()), &mac))
    }
}

fn decode_hex(text: &str) -> Option<Vec<u8>> {
    let digits: Option<Vec<_>> = text.chars().map(|c| c.to_digit(16)).collect();
    let digits = digits.filter(|d| d.len().is_multiple_of(2))?;
    Some(digits.chunks(2).map(|d| (d[0] * 16 + d[1]) as u8).collect())
}
