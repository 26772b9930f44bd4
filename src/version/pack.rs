//! Compression of content, bounded in both directions.

use std::fmt;
use std::io::{Read, Write};

/// Largest uncompressed content, in bytes.
pub const MAX_CONTENT_BYTES: usize = 64 << 20;

/// The compressed data is damaged or its content is too large.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PackError(String);

impl fmt::Display for PackError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for PackError {}

/// Compresses data.
pub fn deflate(data: &[u8]) -> Vec<u8> {
    let mut enc = flate2::write::DeflateEncoder::new(Vec::new(), flate2::Compression::default());
    // Writing into a vector cannot fail.
    let _ = enc.write_all(data);
    enc.finish().unwrap_or_default()
}

/// Undoes [`deflate`].
///
/// # Errors
///
/// The data is damaged or makes more than `max` bytes.
pub fn inflate(data: &[u8], max: usize) -> Result<Vec<u8>, PackError> {
    let mut out = Vec::new();
    flate2::read::DeflateDecoder::new(data)
        .take(max as u64 + 1)
        .read_to_end(&mut out)
        .map_err(|e| PackError(e.to_string()))?;
    match out.len() {
        n if n > max => Err(PackError(format!("content exceeds {max} bytes"))),
        _ => Ok(out),
    }
}
