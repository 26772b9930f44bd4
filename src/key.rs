//! The site's shared key, which proves that a request or a link comes from a node of the site.

use std::fmt;
use std::path::Path;

use hmac::{Hmac, Mac};
use sha2::Sha256;

/// Minimum length of a key, in bytes; a shorter one could be guessed.
pub const MIN_KEY_BYTES: usize = 16;
const MAX_KEY_BYTES: usize = 4096;

/// The key. Its `Debug` output omits the content, so that the key never appears in a log.
#[derive(Clone)]
pub struct SharedKey(Vec<u8>);

impl fmt::Debug for SharedKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("SharedKey")
    }
}

impl SharedKey {
    /// Reads a key file and removes white space at both ends.
    ///
    /// # Errors
    ///
    /// A message that names the file and the problem, never the content.
    pub fn read(path: &Path) -> Result<Self, String> {
        let data = std::fs::read(path).map_err(|e| format!("{}: {e}", path.display()))?;
        Self::new(data.trim_ascii()).map_err(|e| format!("{}: {e}", path.display()))
    }

    /// Creates a key from its bytes.
    ///
    /// # Errors
    ///
    /// A message with the accepted lengths, if the key is too short or too long.
    pub fn new(data: &[u8]) -> Result<Self, String> {
        match data.len() {
            MIN_KEY_BYTES..=MAX_KEY_BYTES => Ok(Self(data.to_vec())),
            n => Err(format!(
                "the key must have {MIN_KEY_BYTES} to {MAX_KEY_BYTES} bytes, got {n}"
            )),
        }
    }

    fn mac(&self, parts: &[&[u8]]) -> Hmac<Sha256> {
        let mut mac = Hmac::new_from_slice(&self.0).expect("HMAC accepts any key length");
        for part in parts {
            mac.update(&(part.len() as u64).to_be_bytes());
            mac.update(part);
        }
        mac
    }

    /// HMAC-SHA256 over several byte strings. Each is preceded by its length, so that the boundaries are signed too.
    pub fn sign(&self, parts: &[&[u8]]) -> [u8; 32] {
        self.mac(parts).finalize().into_bytes().into()
    }

    /// Checks in constant time that `proof` is the signature of `parts`.
    pub fn verify(&self, parts: &[&[u8]], proof: &[u8]) -> bool {
        self.mac(parts).verify_slice(proof).is_ok()
    }
}
