//! Meeting of nodes at the store: each writes its record once and lists the others now and then. All that changes later
//! is told on links.

use std::sync::atomic::Ordering;

use super::members::NodeRecord;
use super::node::Node;
use super::sample::Fact;
use super::target::TargetId;
use crate::prelude::*;
use crate::store::{LeaseId, StoreError};

/// Prefix of all keys of this program.
const PREFIX: &str = "dq/";
/// Prefix of the records of nodes.
const NODES: &str = "dq/node/";
/// Prefix of the targets that said that they leave.
const LEFT: &str = "dq/left/";
/// Life of the own record without renewal. Links find dead nodes sooner; it only cleans up.
const LEASE: Duration = Duration::from_secs(60);
/// Interval of renewals.
const RENEW: Duration = Duration::from_secs(20);
/// Interval of renewals of a node that watches. They also show that the store was away, which a watch on a silent
/// connection does not.
const RENEW_WATCHING: Duration = Duration::from_secs(2);
/// Life of a note that a target left, longer than targets stay after they said so.
const LEFT_LEASE: Duration = Duration::from_secs(600);
/// Ages of the process at which it lists the others again: nodes that start at the same time may miss each other in
/// reads that are some seconds old.
const LIST_AT: [Duration; 3] = [
    Duration::from_secs(1),
    Duration::from_secs(3),
    Duration::from_secs(7),
];
/// Interval of later lists.
const LIST_EVERY: Duration = Duration::from_secs(25);
/// Pauses between failed calls: a record is back within two seconds of the store's return.
const RETRY: (Duration, Duration) = (Duration::from_millis(150), Duration::from_millis(1400));

fn node_key(node: &str) -> String {
    format!("{NODES}{node}")
}

/// The own record's place in the store.
#[derive(Default)]
struct Place {
    lease: Option<LeaseId>,
    written: bool,
    renewed: Now,
    lists: usize,
    next_list: Now,
}

/// Keeps the own record in the store and lists the others until the process ends.
pub async fn run(n: Arc<Node>) {
    let mut place = Place::default();
    let mut pause = RETRY.0;
    let mut away = false;
    loop {
        match step(&n, &mut place).await {
            Ok(()) => {
                pause = RETRY.0;
                if std::mem::take(&mut away) {
                    n.log.event("store_regained", &[]);
                    // Watches that waited meanwhile may never be answered.
                    n.store_back.send_modify(|n| *n += 1);
                }
                let wait = place.next(&n).saturating_sub(n.clock.now());
                tokio::select! {
                    () = tokio::time::sleep(wait) => {}
                    () = n.announce.notified() => place.written = false,
                }
            }
            Err(StoreError::NoLease) => {
                n.log.event("lease_lost", &[]);
                place.lease = None;
                place.written = false;
            }
            Err(e) => {
                away = true;
                n.log.event("announce_failed", &[("error", &e.to_string())]);
                let wait = pause.mul_f64(0.7 + 0.5 * rand::random::<f64>());
                tokio::time::sleep(wait).await;
                pause = (pause * 2).min(RETRY.1);
            }
        }
    }
}

impl Place {
    fn renew_at(&self, n: &Node) -> Now {
        self.renewed
            + match n.is_fresh() {
                true => RENEW_WATCHING,
                false => RENEW,
            }
    }

    /// Time of the next step. A node may begin to watch meanwhile.
    fn next(&self, n: &Node) -> Now {
        let soon = n.clock.now() + RENEW_WATCHING;
        self.renew_at(n).min(self.next_list).min(soon)
    }
}

/// Writes the record, then lists: of two nodes that start together at least one sees the other.
async fn step(n: &Arc<Node>, place: &mut Place) -> Result<(), StoreError> {
    let now = n.clock.now();
    let lease = match place.lease {
        Some(lease) => lease,
        None => n.store.grant_lease(LEASE).await?,
    };
    place.lease = Some(lease);
    if !place.written {
        // What changes is told on links.
        let record = NodeRecord {
            sequence: 0,
            target: None,
            ..n.record()
        };
        let value = serde_json::to_vec(&record).unwrap_or_default();
        n.store.put(&node_key(&n.id), value, Some(lease)).await?;
        place.written = true;
        place.renewed = now;
        n.confirmed.note(Fact::Lease, now);
    }
    if now >= place.renew_at(n) {
        n.store.renew_lease(lease).await?;
        place.renewed = now;
        n.confirmed.note(Fact::Lease, now);
    }
    if now >= place.next_list {
        list(n, place).await?;
        let next = LIST_AT.get(place.lists).copied();
        place.next_list =
            next.unwrap_or(now + LIST_EVERY.mul_f64(0.8 + 0.4 * rand::random::<f64>()));
        place.lists += 1;
    }
    Ok(())
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
    let lease = n.store.grant_lease(LEFT_LEASE).await?;
    let key = format!("{LEFT}{id}");
    let value = born.to_string().into_bytes();
    n.store.put(&key, value, Some(lease)).await.map(drop)
}

async fn list(n: &Arc<Node>, place: &mut Place) -> Result<(), StoreError> {
    let listing = n.store.list_stale(PREFIX).await?;
    let mut records = Vec::new();
    let mut found = false;
    for e in &listing.entries {
        if let Some(id) = e.key.strip_prefix(LEFT) {
            let born = std::str::from_utf8(&e.value).ok();
            let born = born.and_then(|t| t.parse().ok()).unwrap_or(u64::MAX);
            n.target().restore_departure(id.into(), born);
        }
        let Some(r) = read(n, &e.key, &e.value) else {
            continue;
        };
        if r.node == n.id {
            found = true;
            // Another process of this name, or a late write of an earlier one.
            if r.incarnation != n.record().incarnation && place.lists > 0 {
                n.outrank(&r);
                place.written = false;
            }
        }
        records.push(r);
    }
    // The record is gone although its lease was renewed; a read that is some seconds old says nothing at the start.
    if !found && place.lists > LIST_AT.len() {
        place.written = false;
    }
    let changes = n.members().merge_listing(records, n.clock.now());
    changes.into_iter().for_each(|c| n.apply(c));
    n.confirmed.note(Fact::Members, n.clock.now());
    n.joined.store(true, Ordering::SeqCst);
    Ok(())
}

fn read(n: &Node, key: &str, value: &[u8]) -> Option<NodeRecord> {
    key.strip_prefix(NODES)?;
    let record = serde_json::from_slice(value);
    if record.is_err() {
        n.metrics.rejected.with_label_values(&["record"]).inc();
    }
    record.ok()
}
