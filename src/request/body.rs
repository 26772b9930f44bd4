//! Streamed bodies of requests and answers.

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};

/// Error of a body stream.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;
/// A streamed body.
pub type Body = UnsyncBoxBody<Bytes, BodyError>;

/// A body with this content.
pub fn full<T>(data: T) -> Body
where
    T: Into<Bytes>,
{
    Full::new(data.into())
        .map_err(|e| match e {})
        .boxed_unsync()
}
