//! Version floor token. A node gives it to its backend server, which returns it to the node's next process.
//!
//! With a shared key the token carries an HMAC. Otherwise any process that can reach the admin port could raise the
//! floor and so keep the node from adopting versions.

use crate::key::SharedKey;
use crate::version::adopt::{format_token, parse_token};
use crate::version::snapshot::VersionRef;

/// Domain separator: keeps these HMACs apart from other uses of the shared key.
const HMAC_DOMAIN: &[u8] = b"dq-floor-v1";

/// Creates a token for the version in force.
pub fn issue(v: VersionRef, site: &str, key: Option<&SharedKey>) -> String {
    let text = format_token(site, v);
    let Some(key) = key else {
        return text;
    };
    let hmac = key.sign(&[HMAC_DOMAIN, text.as_bytes()]);
    let hex: String = hmac.iter().map(|b| format!("{b:02x}")).collect();
    format!("{text}.{hex}")
}

/// Verifies and parses a token. Returns `None` when it is malformed, belongs to another site, or its HMAC does not
/// match the shared key.
pub fn read(token: &str, site: &str, key: Option<&SharedKey>) -> Option<VersionRef> {
    let Some(key) = key else {
        return parse_token(site, token);
    };
    let (text, hex) = token.rsplit_once('.')?;
    let hmac = decode_hex(hex)?;
    let valid = key.verify(&[HMAC_DOMAIN, text.as_bytes()], &hmac);
    parse_token(site, text).filter(|_| valid)
}

fn decode_hex(s: &str) -> Option<Vec<u8>> {
    if !s.is_ascii() || !s.len().is_multiple_of(2) {
        return None;
    }
    (0..s.len())
        .step_by(2)
        .map(|i| u8::from_str_radix(&s[i..i + 2], 16).ok())
        .collect()
}
