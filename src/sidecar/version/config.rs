//! Distribution of the configuration: a few nodes watch the store, and all others get new versions from them.

use std::collections::VecDeque;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use tokio::sync::mpsc;

use crate::prelude::*;
use crate::sidecar::process::node::Node;
use crate::sidecar::version::config_server;
use crate::sidecar::version::in_force::ConfigUpdate;
use crate::sidecar::version::patch;
use crate::store::{Listing, Revision, StoreError};

/// Longest delay after a change before the next watch call, so that one call covers a series of changes.
const MAX_COALESCE_DELAY: Duration = Duration::from_millis(900);
/// Part of the time within which a change must be in force that the delay may take.
const COALESCE_FRACTION: f64 = 0.45;
/// Maximum duration of a watch call. Changes that were missed because the connection was unresponsive are found when it
/// ends.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(6);
/// Shortest and longest back-off after a failed call.
const RETRY_BACK_OFF: (Duration, Duration) =
    (Duration::from_millis(150), Duration::from_millis(1000));
/// Interval at which a node checks whether it must watch the store: while it has no version, and once it has one.
const ROLE_CHECK_INTERVAL: (Duration, Duration) =
    (Duration::from_millis(30), Duration::from_millis(250));
/// Time for links to open after the nodes have been listed. A node without links watches the store itself.
const LINK_DELAY: Duration = Duration::from_millis(100);
/// Time without a version after which a node reads it from the store although it is not to watch: while it knows of no
/// node that watches, and if it does. A version needs some time to reach all nodes from those that watch.
const FIRST_VERSION_TIMEOUT: (Duration, Duration) =
    (Duration::from_millis(1200), Duration::from_secs(4));
/// Time for the response of a node from which a version was requested, before it is requested from another one. The node
/// may have to wait for its own copy first.
const SOURCE_TIMEOUT: Duration = Duration::from_millis(700);
/// Time within which the watch of this node must deliver a version that another node holds, including the delay after a
/// change.
const WATCH_LAG_TIMEOUT: Duration = Duration::from_millis(1400);

/// Watches the store whenever this node must. Never returns.
pub async fn watch_store(n: Arc<Node>) {
    while !n.members_listed.load(Ordering::SeqCst) {
        tokio::time::sleep(ROLE_CHECK_INTERVAL.0).await;
    }
    tokio::time::sleep(LINK_DELAY).await;
    // Time since which the node has had no version, or of its last read of the store without one.
    let mut since = n.clock.now();
    let mut back_off = RETRY_BACK_OFF.0;
    loop {
        let timeout = match n.links.reach_store() {
            false => FIRST_VERSION_TIMEOUT.0,
            true => FIRST_VERSION_TIMEOUT.1,
        };
        let overdue = n.version() == 0 && n.clock.now() >= since + timeout;
        if !n.must_watch() && !overdue {
            n.set_reaches_store(false);
            let interval = match n.version() {
                0 => ROLE_CHECK_INTERVAL.0,
                _ => ROLE_CHECK_INTERVAL.1,
            };
            let wait = interval.mul_f64(0.5 + rand::random::<f64>());
            let _ = tokio::time::timeout(wait, n.role_check.notified()).await;
            continue;
        }
        let result = read_and_watch(&n, &mut back_off).await;
        since = n.clock.now();
        let Err(e) = result else {
            continue;
        };
        if e != StoreError::Compacted {
            n.set_reaches_store(false);
            n.log
                .event("config_read_failed", &[("error", &e.to_string())]);
            let wait = back_off.mul_f64(0.5 + rand::random::<f64>());
            tokio::time::sleep(wait).await;
            back_off = (back_off * 2).min(RETRY_BACK_OFF.1);
        }
    }
}

/// Reads the configuration and watches it until a call fails, the store begins a new era, a restart of the watch is
/// requested, or other nodes watch instead.
async fn read_and_watch(n: &Arc<Node>, back_off: &mut Duration) -> Result<(), StoreError> {
    let prefix = n.adapter.operator_prefix();
    let mut restart = n.restart_watch.subscribe();
    let mut era = n.store.era();
    let watching = n.must_watch();
    let start = n.clock.now();
    let listing = list_documents(n, *back_off).await?;
    let mut from: Revision = listing.revision;
    for e in listing.entries {
        apply_entry(n, &e.key, e.value, e.revision, true);
    }
    n.confirm_version(start);
    if watching {
        n.set_reaches_store(true);
    }
    while n.must_watch() {
        n.set_reaches_store(true);
        let wait = MAX_WATCH_WAIT.mul_f64(0.7 + 0.3 * rand::random::<f64>());
        let changes = tokio::select! {
            changes = n.store.watch(prefix, from, wait) => changes?,
            _ = restart.changed() => return Ok(()),
            // Another call has shown that the store came back from an older copy. It may have `from` all the same, and
            // no change of its new history up to there would be delivered.
            _ = era.wait_for(|era| *era != from.era()) => return Err(StoreError::Compacted),
        };
        *back_off = RETRY_BACK_OFF.0;
        from = changes.revision;
        // Only the latest document of a series matters.
        let mut latest: BTreeMap<String, (Revision, Vec<u8>)> = BTreeMap::new();
        for e in changes.events {
            if let Some(value) = e.value {
                latest.insert(e.key, (e.revision, value));
            }
        }
        let changed = latest.contains_key(n.adapter.config_key());
        for (key, (revision, value)) in latest {
            apply_entry(n, &key, value, revision, false);
        }
        if changed {
            tokio::time::sleep(coalesce_delay(n)).await;
        }
    }
    Ok(())
}

/// Reads what the operator wrote. If that fails again and again, only the documents that this node uses are read, because
/// others under the same prefix may be too large to be read in time.
async fn list_documents(n: &Node, back_off: Duration) -> Result<Listing, StoreError> {
    if back_off < RETRY_BACK_OFF.1 {
        return n.store.list(n.adapter.operator_prefix()).await;
    }
    let mut listing = n.store.list(n.adapter.config_key()).await?;
    let orders = n.store.list(n.adapter.order_prefix()).await?;
    listing.entries.extend(orders.entries);
    Ok(listing)
}

/// Applies what the operator wrote under a key; `listed` if it was there when this node began to watch.
fn apply_entry(n: &Arc<Node>, key: &str, value: Vec<u8>, revision: Revision, listed: bool) {
    match key {
        k if k == n.adapter.config_key() => {
            adopt_document(n, value.into(), "store");
        }
        k if k.starts_with(n.adapter.order_prefix()) => {
            n.on_rollout_order(k, &value, revision, listed);
        }
        _ => {}
    }
}

fn coalesce_delay(n: &Node) -> Duration {
    let apply_time = Duration::from_millis(n.settings().sidecar.apply_ms);
    apply_time
        .mul_f64(COALESCE_FRACTION)
        .min(MAX_COALESCE_DELAY)
}

/// Parses a document and adopts it if it is newer than the version in force. Returns its number.
fn adopt_document(n: &Node, document: Bytes, source: &str) -> Option<VersionNumber> {
    match n.adapter.parse_config(document) {
        Ok(table) => {
            let number = table.number;
            if source == "store" {
                n.max_stored_version.fetch_max(number, Ordering::SeqCst);
            }
            n.adopt(table, source);
            Some(number)
        }
        Err(f) => {
            n.metrics
                .rejected_inputs
                .with_label_values(&["config"])
                .inc();
            let first = f.items.first().map(|x| x.to_string()).unwrap_or_default();
            n.log.event(
                "config_rejected",
                &[("source", source), ("finding", &first)],
            );
            None
        }
    }
}

/// Newer version that this node has heard of and requests from other nodes.
struct WantedVersion {
    number: VersionNumber,
    /// Node that reported it last.
    holder: NodeId,
    /// Nodes to request it from next.
    sources: VecDeque<NodeId>,
    /// Node that it was requested from last, if any.
    requested: Option<NodeId>,
    /// Time at which it is requested from the next node.
    request_at: Now,
    /// Time at which the last node should have shown that it is not silent.
    check_at: Now,
}

impl WantedVersion {
    fn new(n: &Node, number: VersionNumber, holder: NodeId) -> Self {
        let now = n.clock.now();
        Self {
            number,
            sources: n.links.config_sources(n).into(),
            holder,
            requested: None,
            check_at: Duration::MAX,
            // A watcher gets the version from the store, and from another node only if its own watch is late.
            request_at: match n.reaches_store() {
                true => now + SOURCE_TIMEOUT,
                false => now,
            },
        }
    }

    /// Requests the version from the next source that is linked; after the last source from the node that reported it.
    fn request(&mut self, n: &Node) {
        let now = n.clock.now();
        self.request_at = now + SOURCE_TIMEOUT;
        self.check_at = now + n.freshness_limits().answer_timeout;
        while let Some(source) = self.sources.pop_front() {
            if n.links.request_config(n, &source, n.version()) {
                self.requested = Some(source);
                return;
            }
        }
        n.links.request_config(n, &self.holder, n.version());
        self.requested = Some(self.holder.clone());
        self.sources = n.links.config_sources(n).into();
    }

    /// Requests the version if it is time to, or if the last source is silent. Returns the time of the next call.
    fn advance(&mut self, n: &Node) -> Now {
        let now = n.clock.now();
        if now >= self.check_at {
            self.check_at = Duration::MAX;
            let requested = self.requested.as_ref();
            if requested.is_some_and(|node| n.links.is_silent(n, node)) {
                self.request_at = now;
            }
        }
        if now >= self.request_at {
            self.request(n);
        }
        self.request_at.min(self.check_at)
    }
}

/// Processes what other nodes report about the configuration: requests newer versions and adopts documents. Never
/// returns while the process runs.
pub async fn process_updates(n: Arc<Node>, mut updates: mpsc::UnboundedReceiver<ConfigUpdate>) {
    let mut wanted: Option<WantedVersion> = None;
    loop {
        wanted = wanted.filter(|w| w.number > n.version());
        let next = wanted.as_mut().map(|w| w.advance(&n));
        let wait = next.map_or(Duration::MAX, |at| at.saturating_sub(n.clock.now()));
        let update = match tokio::time::timeout(wait, updates.recv()).await {
            Ok(Some(update)) => update,
            Ok(None) => return,
            Err(_) => continue,
        };
        match (update, &mut wanted) {
            (ConfigUpdate::Version(_, number), _) if number <= n.version() => {}
            (ConfigUpdate::Version(node, number), Some(w)) => {
                w.number = w.number.max(number);
                w.holder = node;
            }
            (ConfigUpdate::Version(node, number), None) => {
                wanted = Some(WantedVersion::new(&n, number, node));
            }
            (ConfigUpdate::Document(node, base, data), _) => {
                let before = n.version();
                adopt_peer_document(&n, &node, base, &data);
                if n.version() > before {
                    // A version that is newer still is requested at once.
                    wanted = wanted.map(|w| WantedVersion::new(&n, w.number, w.holder));
                }
            }
        }
    }
}

fn adopt_peer_document(n: &Arc<Node>, node: &NodeId, base: VersionNumber, data: &Bytes) {
    let document = match base {
        0 => patch::decode_whole(data),
        _ => n
            .document(base)
            .ok_or(patch::PatchError)
            .and_then(|d| patch::apply(&d, data)),
    };
    let Ok(document) = document else {
        n.metrics
            .rejected_inputs
            .with_label_values(&["patch"])
            .inc();
        if base > 0 {
            n.links.request_config(n, node, 0);
        }
        return;
    };
    let Some(number) = adopt_document(n, document, "peer") else {
        return;
    };
    if number == n.version() {
        config_server::keep_patch(n, number, base, data);
    }
    if n.reaches_store() {
        tokio::spawn(check_watch_lag(n.clone(), number));
    }
}

/// Restarts the watch of this node if it has not delivered a version that another node holds: its connection may be
/// unresponsive.
async fn check_watch_lag(n: Arc<Node>, number: VersionNumber) {
    tokio::time::sleep(WATCH_LAG_TIMEOUT).await;
    if n.max_stored_version.load(Ordering::SeqCst) < number {
        n.log
            .event("watch_behind", &[("number", &number.to_string())]);
        n.restart_watch.send_modify(|n| *n += 1);
    }
}
