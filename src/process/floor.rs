//! Version floor token that a backend server returns to its node's next process.

use crate::key::SharedKey;
use crate::version::snapshot::VersionRef;

/// Separates these proofs from other uses of the shared key.
const PURPOSE: &[u8] = b"dq-floor-v1";

fn parts<'a>(site: &'a str, text: &'a str) -> [&'a [u8]; 3] {
    [PURPOSE, site.as_bytes(), text.as_bytes()]
}

/// Writes a token for the version in force, with an HMAC when the site has a shared key.
pub fn issue(v: VersionRef, site: &str, key: Option<&SharedKey>) -> String {
    let text = format!("{}.{}", v.number, v.hash);
    let Some(key) = key else {
        return text;
    };
    let code = key.sign(&parts(site, &text));
    let hex: String = code.iter().map(|b| format!("{b:02x}")).collect();
    format!("{text}.{hex}")
}

/// Reads a token; `None` when it is malformed or its HMAC does not match the shared key.
pub fn read(token: &str, site: &str, key: Option<&SharedKey>) -> Option<VersionRef> {
    let mut fields = token.splitn(3, '.');
    let (number, hash) = (fields.next()?, fields.next()?);
    if let Some(key) = key {
        let code = unhex(fields.next()?)?;
        let text = format!("{number}.{hash}");
        if !key.verify(&parts(site, &text), &code) {
            return None;
        }
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
