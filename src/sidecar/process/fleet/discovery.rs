//! Discovery of nodes through the store: each node writes its record once and lists the records of the others from time
//! to time. Later changes are sent on links.

use std::sync::atomic::Ordering;

use crate::prelude::*;
use crate::sidecar::process::fleet::culprits;
use crate::sidecar::process::fleet::members::NodeRecord;
use crate::sidecar::process::node::{lock, Node};
use crate::sidecar::process::sample::Confirmation;
use crate::sidecar::process::store_era;
use crate::sidecar::process::target::records::DEPARTED_TTL;
use crate::sidecar::process::target::state::TargetId;
use crate::store::{Era, LeaseId, Revision, StoreError, Swap};

/// Prefix of all keys of this program.
const ROOT_PREFIX: &str = "dq/";
/// Key prefix of node records.
const NODE_PREFIX: &str = "dq/node/";
/// Key prefix of targets that announced their stop.
const DEPARTED_PREFIX: &str = "dq/left/";
/// Time after which the record of this node is deleted if its lease is not renewed. It only cleans up; links detect
/// dead nodes sooner.
const LEASE_TTL: Duration = Duration::from_secs(60);
const RENEW_INTERVAL: Duration = Duration::from_secs(20);
/// Ages of the process at which it lists the nodes again: listings may be some seconds old, so nodes that start at the
/// same time may miss each other in the first ones.
const EARLY_LIST_AGES: [Duration; 3] = [
    Duration::from_secs(1),
    Duration::from_secs(3),
    Duration::from_secs(7),
];
/// Interval between later listings.
const LIST_INTERVAL: Duration = Duration::from_secs(25);
/// Shortest and longest back-off after a failed call; a record is written within two seconds after the store recovers.
const RETRY_BACK_OFF: (Duration, Duration) =
    (Duration::from_millis(150), Duration::from_millis(1400));

fn node_key(node: &str) -> String {
    format!("{NODE_PREFIX}{node}")
}

/// State of the record of this node in the store.
#[derive(Default)]
struct Registration {
    lease: Option<LeaseId>,
    /// Whether the record is in the store, as far as this node knows.
    written: bool,
    /// Whether an attempt has been made to create the record.
    created: bool,
    renewed_at: Now,
    /// Latest era of the store for which the lease has been checked, or is about to be.
    checked_era: Era,
    /// Time of that check.
    check_at: Option<Now>,
    list_count: usize,
    next_list_at: Now,
}

/// Maintains the record of this node in the store and lists the other nodes, and follows the era of the store from its first
/// response. Never returns.
pub async fn run(n: Arc<Node>) {
    let mut registration = Registration::default();
    let mut follow_era = Some(store_era::run(n.clone()));
    let mut back_off = RETRY_BACK_OFF.0;
    let mut failing = false;
    let mut state_changed = n.state_changed.subscribe();
    loop {
        match register_and_list(&n, &mut registration).await {
            Ok(()) => {
                if let Some(task) = follow_era.take() {
                    tokio::spawn(task);
                }
                back_off = RETRY_BACK_OFF.0;
                if std::mem::take(&mut failing) {
                    n.log.event("store_regained", &[]);
                    // Watches that were waiting during the outage may never get a response.
                    n.restart_watch.send_modify(|n| *n += 1);
                }
                let wait = registration.next_step(&n).saturating_sub(n.clock.now());
                tokio::select! {
                    // The node may begin to watch the store, and then confirms at once that it reaches the store.
                    _ = tokio::time::timeout(wait, state_changed.changed()) => {}
                    era = store_era::wait_for_hint(&n, registration.checked_era) => {
                        registration.check_lease(era, n.clock.now());
                    }
                }
            }
            Err(StoreError::NoLease) => {
                n.log.event("lease_lost", &[]);
                registration.lease = None;
                registration.written = false;
            }
            Err(e) => {
                if !failing && n.reaches_store() {
                    back_off = back_off.min(n.freshness_limits().retry_delay);
                }
                failing = true;
                n.log.event("announce_failed", &[("error", &e.to_string())]);
                check_watch(&n);
                let wait = back_off.mul_f64(0.7 + 0.5 * rand::random::<f64>());
                tokio::time::sleep(wait).await;
                back_off = (back_off * 2).min(RETRY_BACK_OFF.1);
            }
        }
    }
}

impl Registration {
    /// Records that the lease was granted in an era or renewed.
    fn on_renewed(&mut self, lease: LeaseId, now: Now) {
        self.renewed_at = now;
        self.checked_era = self.checked_era.max(lease.era());
        self.check_at = None;
    }

    /// Renews the lease soon, because the store may be in a later era, which has not granted it.
    fn check_lease(&mut self, era: Era, now: Now) {
        self.checked_era = era;
        self.check_at = Some(now + store_era::random_delay());
    }

    fn next_renewal(&self, n: &Node) -> Now {
        let interval = match n.reaches_store() {
            // A renewal confirms that the store is reached, which a watch that waits does not.
            true => n.freshness_limits().interval,
            false => RENEW_INTERVAL,
        };
        let next = self.renewed_at + interval;
        self.check_at.map_or(next, |at| next.min(at))
    }

    /// Time of the next call of [`register_and_list`].
    fn next_step(&self, n: &Node) -> Now {
        self.next_renewal(n).min(self.next_list_at)
    }
}

/// Handles a failed call at a node that watches the store: its watch may wait for a response that never comes, so it is
/// restarted. Other nodes take over if that does not help soon.
fn check_watch(n: &Node) {
    if !n.reaches_store() {
        return;
    }
    n.restart_watch.send_modify(|n| *n += 1);
    if n.unconfirmed_time() > n.freshness_limits().max_age {
        n.set_reaches_store(false);
    }
}

/// Renews the lease. At a node that watches the store, a response that does not come soon counts as a failure.
async fn renew_lease(n: &Node, lease: LeaseId) -> Result<(), StoreError> {
    if !n.reaches_store() {
        return n.store.renew_lease(lease).await;
    }
    let start = n.clock.now();
    let timeout = n.freshness_limits().store_timeout;
    match tokio::time::timeout(timeout, n.store.renew_lease(lease)).await {
        Ok(result) => result?,
        Err(_) => return Err(StoreError::Unknown("the renewal got no response".into())),
    }
    n.confirm_version(start);
    Ok(())
}

/// Writes the record or renews its lease if due, then lists the nodes if due. Writing comes first, so that of two nodes
/// that start at the same time at least one finds the other.
async fn register_and_list(
    n: &Arc<Node>,
    registration: &mut Registration,
) -> Result<(), StoreError> {
    let now = n.clock.now();
    let lease = match registration.lease {
        Some(lease) => lease,
        None => n.store.grant_lease(LEASE_TTL).await?,
    };
    registration.lease = Some(lease);
    if !registration.written {
        // The parts that change are sent on links only.
        let record = NodeRecord {
            sequence: 0,
            target: None,
            ..n.record()
        };
        let value = serde_json::to_vec(&record).unwrap_or_default();
        write_record(n, registration, value, lease).await?;
        registration.written = true;
        registration.on_renewed(lease, now);
        n.last_confirmed.record(Confirmation::Lease, now);
    }
    if now >= registration.next_renewal(n) {
        renew_lease(n, lease).await?;
        registration.on_renewed(lease, now);
        n.last_confirmed.record(Confirmation::Lease, now);
    }
    if now >= registration.next_list_at {
        list_nodes(n, registration).await?;
        let next = EARLY_LIST_AGES.get(registration.list_count).copied();
        registration.next_list_at =
            next.unwrap_or(now + LIST_INTERVAL.mul_f64(0.8 + 0.4 * rand::random::<f64>()));
        registration.list_count += 1;
    }
    Ok(())
}

/// Writes the record. If the first attempt creates it, there was no process of this node before.
async fn write_record(
    n: &Arc<Node>,
    registration: &mut Registration,
    value: Vec<u8>,
    lease: LeaseId,
) -> Result<(), StoreError> {
    let key = node_key(&n.id);
    if !std::mem::replace(&mut registration.created, true) {
        let written = n
            .store
            .swap(&key, Revision::ABSENT, Some(value.clone()), Some(lease))
            .await?;
        if matches!(written, Swap::Done(_)) {
            n.target().on_first_process();
            n.apply_target_state();
            return Ok(());
        }
    }
    n.store.put(&key, value, Some(lease)).await.map(drop)
}

/// Removes the record of this node, so that other nodes do not try to reach it.
pub async fn remove_record(n: &Node) {
    let key = node_key(&n.id);
    if let Err(e) = n.store.remove(&key).await {
        n.log.event("leave_failed", &[("error", &e.to_string())]);
    }
}

/// Records in the store that a target announced its stop, for the next process of this node. Returns the era of the store
/// that has it.
///
/// # Errors
///
/// See [`crate::store::Store`].
pub async fn record_departure(
    n: &Node,
    id: &TargetId,
    incarnation: u64,
) -> Result<Era, StoreError> {
    let lease = n.store.grant_lease(DEPARTED_TTL).await?;
    let key = format!("{DEPARTED_PREFIX}{id}");
    let value = incarnation.to_string().into_bytes();
    let written = n.store.put(&key, value, Some(lease)).await?;
    Ok(written.era())
}

async fn list_nodes(n: &Arc<Node>, registration: &mut Registration) -> Result<(), StoreError> {
    let listing = n.store.list_stale(ROOT_PREFIX).await?;
    let mut records = Vec::new();
    let mut departed: HashMap<TargetId, u64> = HashMap::default();
    let mut own_found = false;
    for e in &listing.entries {
        if let Some(id) = e.key.strip_prefix(DEPARTED_PREFIX) {
            let incarnation = std::str::from_utf8(&e.value).ok();
            match incarnation.and_then(|t| t.parse().ok()) {
                Some(incarnation) => drop(departed.insert(id.into(), incarnation)),
                None => n.log.event("record_rejected", &[("key", &e.key)]),
            }
        }
        let Some(r) = parse_record(n, &e.key, &e.value) else {
            // Another writer replaced the record of this node.
            registration.written &= e.key != node_key(&n.id);
            continue;
        };
        if r.node == n.id {
            own_found = true;
            // The record is from another process with this node id, or from a delayed write of an earlier one.
            if r.incarnation != n.record().incarnation && registration.list_count > 0 {
                n.raise_incarnation(&r);
                registration.written = false;
            }
        }
        records.push(r);
    }
    // The record is missing although its lease was renewed. Early listings do not count, because they may be older than
    // the record.
    if !own_found && registration.list_count > EARLY_LIST_AGES.len() {
        registration.written = false;
    }
    // Later listings may be older than the news that a request was served, and other nodes tell of culprits by then.
    if registration.list_count == 0 {
        let keys = listing.entries.iter().map(|e| culprits::parse_key(&e.key));
        let stored: Vec<_> = keys.flatten().collect();
        lock(&n.crash_suspects).record_stored(&stored, n.clock.now());
    }
    n.target().on_departures_listed(departed, n.clock.now());
    n.apply_target_state();
    let changes = n.members().merge_listing(records, n.clock.now());
    changes.into_iter().for_each(|c| n.apply_change(c));
    n.last_confirmed
        .record(Confirmation::Members, n.clock.now());
    n.members_listed.store(true, Ordering::SeqCst);
    Ok(())
}

fn parse_record(n: &Node, key: &str, value: &[u8]) -> Option<NodeRecord> {
    let node = key.strip_prefix(NODE_PREFIX)?;
    let record = serde_json::from_slice(value).ok();
    let record = record.filter(|r: &NodeRecord| r.is_plausible(node));
    if record.is_none() {
        n.metrics
            .rejected_inputs
            .with_label_values(&["record"])
            .inc();
        n.log.event("record_rejected", &[("key", key)]);
    }
    record
}
