//! Compression of content, with a size limit on decompression.

use std::fmt;
use std::io::{Read, Write};

/// Largest uncompressed content, in bytes.
pub const MAX_CONTENT_BYTES: usize = 64 << 20;

/// The compressed data is damaged, or it exceeds the size limit when decompressed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InflateError(String);

impl fmt::Display for InflateError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for InflateError {}

/// Compresses data with raw DEFLATE.
pub fn deflate(data: &[u8]) -> Vec<u8> {
    let mut enc = flate2::write::DeflateEncoder::new(Vec::new(), flate2::Compression::default());
    // Writing into a vector cannot fail.
    let _ = enc.write_all(data);
    enc.finish().unwrap_or_default()
}

/// Decompresses data made by [`deflate`].
///
/// # Errors
///
/// The data is damaged or decompresses to more than `max` bytes.
pub fn inflate(data: &[u8], max: usize) -> Result<Vec<u8>, InflateError> {
    let mut out = Vec::new();
    flate2::read::DeflateDecoder::new(data)
        .take(max as u64 + 1)
        .read_to_end(&mut out)
        .map_err(|e| InflateError(e.to_string()))?;
    match out.len() {
        n if n > max => Err(InflateError(format!(
            "decompressed data exceeds {max} bytes"
        ))),
        _ => Ok(out),
    }
}
