//! Keeps the requests that crash targets in the store, for processes that start while no other one is left that knows them.
//!
//! Only requests that count as the cause are kept, so days without them make no calls.

use crate::prelude::*;
use crate::sidecar::process::node::{lock, Node};
use crate::sidecar::process::routing::crash_suspects::Fingerprint;
use crate::sidecar::process::store_era;
use crate::store::{Era, StoreError};

/// Key prefix of requests that crash targets.
const PREFIX: &str = "dq/crash/";
/// Time after its last crash for which a request is kept in the store; the longest that the platform allows.
const TTL: Duration = Duration::from_secs(600);
/// Shortest and longest back-off between attempts to write a request.
const WRITE_BACK_OFF: (Duration, Duration) = (Duration::from_millis(300), Duration::from_secs(5));

fn key(fingerprint: Fingerprint) -> String {
    format!("{PREFIX}{fingerprint:016x}")
}

/// Request that an entry of the store names; `None` for other entries.
pub(super) fn parse_key(key: &str) -> Option<Fingerprint> {
    let text = key.strip_prefix(PREFIX)?;
    Fingerprint::from_str_radix(text, 16).ok()
}

/// Writes a request to the store in the background, and again if the store loses it, unless it is served first.
pub(crate) fn keep(n: &Arc<Node>, fingerprint: Fingerprint) {
    let n = n.clone();
    tokio::spawn(async move {
        let end = n.clock.now() + TTL;
        let mut back_off = WRITE_BACK_OFF.0;
        while n.clock.now() < end && lock(&n.crash_suspects).is_culprit(fingerprint) {
            match write(&n, fingerprint).await {
                Ok(era) => {
                    let rest = end.saturating_sub(n.clock.now());
                    let lost = store_era::wait_for_later(n.store.era(), era);
                    if tokio::time::timeout(rest, lost).await.is_err() {
                        return;
                    }
                    back_off = WRITE_BACK_OFF.0;
                }
                Err(e) => n.log.event("note_failed", &[("error", &e.to_string())]),
            }
            tokio::time::sleep(back_off.mul_f64(0.7 + 0.5 * rand::random::<f64>())).await;
            back_off = (back_off * 2).min(WRITE_BACK_OFF.1);
        }
    });
}

/// Writes a request. Returns the era of the store that has it.
async fn write(n: &Node, fingerprint: Fingerprint) -> Result<Era, StoreError> {
    let lease = n.store.grant_lease(TTL).await?;
    let value = Vec::new();
    let written = n.store.put(&key(fingerprint), value, Some(lease)).await?;
    Ok(written.era())
}

/// Removes a request from the store in the background, because it was served. Without an answer it ends with its lease.
pub(crate) fn forget(n: &Arc<Node>, fingerprint: Fingerprint) {
    let n = n.clone();
    tokio::spawn(async move {
        if let Err(e) = n.store.remove(&key(fingerprint)).await {
            n.log.event("note_failed", &[("error", &e.to_string())]);
        }
    });
}
