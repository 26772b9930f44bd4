//! The site's shared key: proves that a request or a link comes from a node of the site.

use std::fmt;
use std::path::Path;

use hmac::{Hmac, Mac};
use sha2::Sha256;

/// Shortest accepted key, in bytes; a shorter one could be guessed.
pub const MIN_KEY_BYTES: usize = 16;
/// Longest accepted key file, in bytes.
const MAX_KEY_BYTES: usize = 4096;

/// The key. Its `Debug` form hides the content, so that no log line can carry it.
#[derive(Clone)]
pub struct SharedKey(Vec<u8>);

impl fmt::Debug for SharedKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("SharedKey")
    }
}

impl SharedKey {
    /// Reads a key file; white space at both ends is not part of the key.
    ///
    /// # Errors
    ///
    /// A text that names the file and the fault, never the content.
    pub fn read(path: &Path) -> Result<Self, String> {
        let data = std::fs::read(path).map_err(|e| format!("{}: {e}", path.display()))?;
        Self::new(data.trim_ascii()).map_err(|e| format!("{}: {e}", path.display()))
    }

    /// Makes a key of these bytes.
    ///
    /// # Errors
    ///
    /// A text that says why the length is not accepted.
    pub fn new(data: &[u8]) -> Result<Self, String> {
        match data.len() {
            MIN_KEY_BYTES..=MAX_KEY_BYTES => Ok(Self(data.to_vec())),
            n => Err(format!(
                "a key has {MIN_KEY_BYTES} to {MAX_KEY_BYTES} bytes, not {n}"
            )),
        }
    }

    fn mac(&self, parts: &[&[u8]]) -> Hmac<Sha256> {
        // HMAC accepts keys of every length, so this cannot fail.
        let mut mac = Hmac::new_from_slice(&self.0).expect("HMAC accepts any key length");
        for part in parts {
            mac.update(&(part.len() as u64).to_be_bytes());
            mac.update(part);
        }
        mac
    }

    /// HMAC-SHA256 over several byte strings, each preceded by its length so that parts cannot run together.
    pub fn sign(&self, parts: &[&[u8]]) -> [u8; 32] {
        self.mac(parts).finalize().into_bytes().into()
    }

    /// Checks a proof in constant time.
    pub fn verify(&self, parts: &[&[u8]], proof: &[u8]) -> bool {
        self.mac(parts).verify_slice(proof).is_ok()
    }
}
