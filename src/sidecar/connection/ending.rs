//! End of a connection to the target: a request that was given up may still run there until the target has closed it.

use std::any::Any;
use std::sync::Mutex;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::Connection;
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

use crate::prelude::*;
use crate::sidecar::connection::metered::MeteredStream;
use crate::sidecar::process::target::abandoned::MAX_OCCUPIED;

/// What a request occupies at the target; dropping the last copy frees it.
pub type Occupancy = Arc<dyn Any + Send + Sync>;

/// What the request on a connection occupies; `None` while there is no request.
#[derive(Clone, Default)]
pub(crate) struct Occupied(Arc<Mutex<Option<Occupancy>>>);

impl Occupied {
    pub(crate) fn set(&self, occupancy: Option<Occupancy>) {
        let mut current = self.0.lock().unwrap_or_else(|e| e.into_inner());
        // Dropping an occupancy calls its owner, which must not happen under the lock.
        let old = std::mem::replace(&mut *current, occupancy);
        drop(current);
        drop(old);
    }

    fn take(&self) -> Option<Occupancy> {
        let mut current = self.0.lock().unwrap_or_else(|e| e.into_inner());
        current.take()
    }
}

/// Runs a connection until it ends. If the request on it was given up, its direction is closed first, which tells the
/// target that the caller has gone, and the request occupies its slot until the target closes the connection or writes
/// a response.
pub(crate) async fn run(
    connection: Connection<TokioIo<MeteredStream>, Full<Bytes>>,
    occupied: Occupied,
) {
    // An error is reported to the request on the connection; an idle connection is closed by it.
    let ended = connection.without_shutdown().await;
    let Some(occupancy) = occupied.take() else {
        return;
    };
    if let Ok(parts) = ended {
        let mut stream = parts.io.into_inner().stream;
        let _ = stream.shutdown().await;
        if parts.read_buf.is_empty() {
            let mut byte = [0];
            let _ = tokio::time::timeout(MAX_OCCUPIED, stream.read(&mut byte)).await;
        }
    }
    drop(occupancy);
}
