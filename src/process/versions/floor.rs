//! Version floor token that a backend server returns to its node's next process.
//!
//! With a shared key the token carries an HMAC, so that a process that can reach the admin port cannot raise the floor
//! and keep the node from adopting versions.

use crate::key::SharedKey;
use crate::version::adopt::{format_token, parse_token};
use crate::version::snapshot::VersionRef;

/// Separates these proofs from other uses of the shared key.
const PURPOSE: &[u8] = b"dq-floor-v1";

/// Writes a token for the version in force.
pub fn issue(v: VersionRef, site: &str, key: Option<&SharedKey>) -> String {
    let text = format_token(site, v);
    let Some(key) = key else {
        return text;
    };
    let code = key.sign(&[PURPOSE, text.as_bytes()]);
    let hex: String = code.iter().map(|b| format!("{b:02x}")).collect();
    format!("{text}.{hex}")
}

/// Reads a token; `None` when it is malformed, of another site, or its HMAC does not match the shared key.
pub fn read(token: &str, site: &str, key: Option<&SharedKey>) -> Option<VersionRef> {
    let Some(key) = key else {
        return parse_token(site, token);
    };
    let (text, code) = token.rsplit_once('.')?;
    let code = unhex(code)?;
    let proven = key.verify(&[PURPOSE, text.as_bytes()], &code);
    parse_token(site, text).filter(|_| proven)
}

fn unhex(s: &str) -> Option<Vec<u8>> {
    if !s.is_ascii() || !s.len().is_multiple_of(2) {
        return None;
    }
    (0..s.len())
        .step_by(2)
        .map(|i| u8::from_str_radix(&s[i..i + 2], 16).ok())
        .collect()
}
