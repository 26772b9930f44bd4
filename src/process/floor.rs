//! Version floor token that a backend server returns to its node's next process.

use hmac::{Hmac, Mac};
use sha2::Sha256;

use crate::version::snapshot::VersionRef;

type HmacSha256 = Hmac<Sha256>;

/// Separates these codes from other uses of the shared key.
const PURPOSE: &[u8] = b"dq-floor-v1";

fn mac(key: &[u8], text: &str) -> Option<HmacSha256> {
    let mut m = HmacSha256::new_from_slice(key).ok()?;
    m.update(PURPOSE);
    m.update(text.as_bytes());
    Some(m)
}

/// Writes a token for the version in force, with an HMAC when the site has a shared key.
pub fn issue(v: VersionRef, site: &str, key: Option<&[u8]>) -> String {
    let text = format!("{}.{}", v.number, v.hash);
    let code = key.and_then(|k| mac(k, &format!("{site}/{text}")));
    match code {
        Some(m) => {
            let code = m.finalize().into_bytes();
            let hex: String = code.iter().map(|b| format!("{b:02x}")).collect();
            format!("{text}.{hex}")
        }
        None => text,
    }
}

/// Reads a token; `None` when it is malformed or its HMAC does not match the shared key.
pub fn read(token: &str, site: &str, key: Option<&[u8]>) -> Option<VersionRef> {
    let mut parts = token.splitn(3, '.');
    let (number, hash) = (parts.next()?, parts.next()?);
    if let Some(k) = key {
        let code = unhex(parts.next()?)?;
        mac(k, &format!("{site}/{number}.{hash}"))?
            .verify_slice(&code)
            .ok()?;
    }
    Some(VersionRef {
        number: number.parse().ok()?,
        hash: hash.parse().ok()?,
    })
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
