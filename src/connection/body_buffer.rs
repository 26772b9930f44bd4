//! Reads a request body whole, in memory for what has arrived.
//!
//! Each part of a body that the HTTP library returns keeps its whole read buffer, so that parts of a few bytes would
//! take thousands of times their size. They are copied into blocks of one size, which the allocator can use again for
//! other bodies: buffers that grow leave unused gaps of every size, which took as much memory as the bodies.

use bytes::{Buf, Bytes};
use http_body_util::BodyExt;

use super::meter::ActiveRequest;
use crate::request::reason::{Failure, Reason};

/// Size of a block, in bytes.
const BLOCK_BYTES: usize = 32 << 10;

/// Parts of a body that have arrived.
#[derive(Default)]
struct Blocks {
    blocks: Vec<Vec<u8>>,
    len: usize,
}

impl Blocks {
    fn append(&mut self, mut data: &[u8]) {
        self.len += data.len();
        while !data.is_empty() {
            let space = self.blocks.last().map_or(0, |b| BLOCK_BYTES - b.len());
            if space == 0 {
                self.blocks.push(Vec::new());
                continue;
            }
            let (part, rest) = data.split_at(space.min(data.len()));
            if let Some(block) = self.blocks.last_mut() {
                // The first block is often the only one, and small.
                match self.len > BLOCK_BYTES {
                    true => block.reserve_exact(BLOCK_BYTES - block.len()),
                    false => block.reserve(part.len()),
                }
                block.extend_from_slice(part);
            }
            data = rest;
        }
    }

    /// Joins the blocks. The last one is copied first, because memory at the end of the heap can be returned to the
    /// system at once.
    fn join(mut self) -> Bytes {
        if self.blocks.len() == 1 {
            return self.blocks.pop().unwrap_or_default().into();
        }
        let mut whole = vec![0; self.len];
        let mut end = self.len;
        while let Some(block) = self.blocks.pop() {
            let start = end - block.len();
            whole[start..end].copy_from_slice(&block);
            end = start;
        }
        whole.into()
    }
}

/// Reads a body of at most `max` bytes. What it holds is charged to the budget of the process if there is one; the request
/// counts as running once it is complete.
///
/// # Errors
///
/// The body is too large, the budget is spent, or the body was broken off. The request was not run.
pub async fn collect<B>(
    body: B,
    max: usize,
    request: Option<&ActiveRequest>,
) -> Result<Bytes, Failure>
where
    B: http_body::Body,
{
    let failed = |reason| Err(Failure::not_run(reason));
    if body.size_hint().lower() > max as u64 {
        return failed(Reason::TooLarge);
    }
    let mut body = std::pin::pin!(body);
    let mut blocks = Blocks::default();
    let mut only = None;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return failed(Reason::BadRequest);
        };
        let Ok(mut data) = frame.into_data() else {
            continue;
        };
        let length = data.remaining();
        let data = data.copy_to_bytes(length);
        if blocks.len + data.len() > max {
            return failed(Reason::TooLarge);
        }
        if request.is_some_and(|r| r.hold(data.len()).is_err()) {
            return failed(Reason::MemoryFull);
        }
        if blocks.len == 0 && body.is_end_stream() {
            only = Some(data);
            break;
        }
        blocks.append(&data);
        if let Some(request) = request {
            request.settle().await;
        }
    }
    if let Some(request) = request {
        request.set_running();
    }
    Ok(only.unwrap_or_else(|| blocks.join()))
}
