//! Keeps the own record in the store and follows those of the other nodes.

use super::config;
use super::members::NodeRecord;
use super::node::Node;
use super::target::TargetId;
use crate::prelude::*;
use crate::store::{Event, LeaseId, StoreError};

/// Prefix of all keys of this program.
const PREFIX: &str = "dq/";
/// Prefix of the records of nodes.
const NODES: &str = "dq/node/";
/// Prefix of the targets that said that they leave.
const LEFT: &str = "dq/left/";
/// Life of the own record without renewal. Links find dead nodes sooner; it only cleans up.
const LEASE: Duration = Duration::from_secs(12);
/// Interval of renewals. They also show that the store was away, which a watch on a silent connection does not.
const RENEW: Duration = Duration::from_millis(2500);
/// Life of a note that a target left, longer than targets stay after they said so.
const LEFT_LEASE: Duration = Duration::from_secs(600);
/// Pauses between failed calls: a record is back within two seconds of the store's return.
const RETRY: (Duration, Duration) = (Duration::from_millis(150), Duration::from_millis(900));
/// Least time between two writes of the own record.
const WRITE_GAP: Duration = Duration::from_millis(100);

fn node_key(node: &str) -> String {
    format!("{NODES}{node}")
}

/// Keeps the own record in the store until the process ends.
pub async fn announce(n: Arc<Node>) {
    let mut lease: Option<LeaseId> = None;
    let mut pause = RETRY.0;
    let mut write = true;
    let mut away = false;
    loop {
        match step(&n, &mut lease, write).await {
            Ok(()) => {
                pause = RETRY.0;
                if std::mem::take(&mut away) {
                    n.log.event("store_regained", &[]);
                    // Watches that waited meanwhile may never be answered.
                    n.store_back.send_modify(|n| *n += 1);
                }
                write = tokio::time::timeout(RENEW, n.announce.notified())
                    .await
                    .is_ok();
                if write {
                    tokio::time::sleep(WRITE_GAP).await;
                }
            }
            Err(StoreError::NoLease) => {
                n.log.event("lease_lost", &[]);
                lease = None;
                write = true;
            }
            Err(e) => {
                away = true;
                n.log.event("announce_failed", &[("error", &e.to_string())]);
                let wait = pause.mul_f64(0.5 + rand::random::<f64>());
                tokio::time::sleep(wait).await;
                pause = (pause * 2).min(RETRY.1);
            }
        }
    }
}

async fn step(n: &Node, lease: &mut Option<LeaseId>, write: bool) -> Result<(), StoreError> {
    let (id, fresh) = match *lease {
        Some(id) => (id, false),
        None => (n.store.grant(LEASE).await?, true),
    };
    *lease = Some(id);
    if fresh || write {
        let record = n.record();
        let value = serde_json::to_vec(&record).unwrap_or_default();
        let key = node_key(&n.id);
        n.store.put(&key, value, Some(id)).await?;
    }
    match fresh {
        true => Ok(()),
        false => n.store.keep(id).await,
    }
}

/// Removes the own record, so that other nodes do not look for this one.
pub async fn leave(n: &Node) {
    let key = node_key(&n.id);
    if let Err(e) = n.store.remove(&key).await {
        n.log.event("leave_failed", &[("error", &e.to_string())]);
    }
}

/// Notes that a target left, for this node's next process.
///
/// # Errors
///
/// See [`crate::store::Store`].
pub async fn note_left(n: &Node, id: &TargetId, born: u64) -> Result<(), StoreError> {
    let lease = n.store.grant(LEFT_LEASE).await?;
    let key = format!("{LEFT}{id}");
    let value = born.to_string().into_bytes();
    n.store.put(&key, value, Some(lease)).await.map(drop)
}

/// Follows the records of the other nodes for ever.
pub async fn follow(n: Arc<Node>) {
    let mut pause = RETRY.0;
    loop {
        let e = match watch_from_now(&n, &mut pause).await {
            Ok(()) => continue,
            Err(e) => e,
        };
        if e != StoreError::Compacted {
            n.log
                .event("members_read_failed", &[("error", &e.to_string())]);
            let wait = pause.mul_f64(0.5 + rand::random::<f64>());
            tokio::time::sleep(wait).await;
            pause = (pause * 2).min(RETRY.1);
        }
    }
}

async fn watch_from_now(n: &Arc<Node>, pause: &mut Duration) -> Result<(), StoreError> {
    let listing = n.store.list(PREFIX).await?;
    let mut records = Vec::new();
    let mut own_found = false;
    for e in &listing.entries {
        if let Some(id) = e.key.strip_prefix(LEFT) {
            let born = std::str::from_utf8(&e.value).ok();
            let born = born.and_then(|t| t.parse().ok()).unwrap_or(u64::MAX);
            n.target().known_left(id.into(), born);
        }
        if let Some(r) = read(n, &e.key, &e.value) {
            own_found |= r.node == n.id;
            check_own(n, &r);
            records.push(r);
        }
    }
    if !own_found {
        n.announce.notify_one();
    }
    let changes = n.members().listed(records, n.clock.now());
    changes.into_iter().for_each(|c| n.apply(c));
    n.joined.store(true, std::sync::atomic::Ordering::SeqCst);
    let mut from = listing.revision;
    loop {
        let Some(changes) = config::watch(n, PREFIX, from).await? else {
            return Ok(());
        };
        *pause = RETRY.0;
        from = changes.revision;
        changes.events.iter().for_each(|e| take(n, e));
    }
}

fn read(n: &Node, key: &str, value: &[u8]) -> Option<NodeRecord> {
    key.strip_prefix(NODES)?;
    let record = serde_json::from_slice(value);
    if record.is_err() {
        n.metrics.rejected.with_label_values(&["record"]).inc();
    }
    record.ok()
}

/// A record under the own name that this process did not write last: an earlier process, or a write that came late.
fn check_own(n: &Node, r: &NodeRecord) {
    if r.node == n.id && r.order() != n.record().order() {
        n.outrank(r);
        n.announce.notify_one();
    }
}

fn take(n: &Arc<Node>, e: &Event) {
    let Some(node) = e.key.strip_prefix(NODES) else {
        return;
    };
    match &e.value {
        Some(value) => {
            let Some(r) = read(n, &e.key, value) else {
                return;
            };
            check_own(n, &r);
            let change = n.members().stored(r, n.clock.now());
            change.into_iter().for_each(|c| n.apply(c));
        }
        None if node == n.id.as_str() => n.announce.notify_one(),
        None => {
            n.log.event("record_vanished", &[("node", node)]);
            n.members().vanished(node);
        }
    }
}
