//! Follows the configuration: a few nodes watch the store, all others take it from them.

use std::sync::atomic::Ordering;

use bytes::Bytes;
use tokio::sync::mpsc;

use super::node::{ConfigHint, Node};
use super::patch;
use super::sample::Fact;
use super::watchers::must_watch;
use crate::prelude::*;
use crate::store::{Revision, StoreError};

/// Pause after a change, so that a series of changes costs one watch and not one for each. Half of the time in which a
/// change has to be in force.
const COALESCE: Duration = Duration::from_millis(900);
/// Longest wait of a watch; what a silent connection hides is found at its end.
const WATCH_WAIT: Duration = Duration::from_secs(6);
/// Pauses between failed calls.
const RETRY: (Duration, Duration) = (Duration::from_millis(150), Duration::from_millis(1000));
/// Intervals in which a node looks whether it has to watch: without a version, and with one.
const LOOK: (Duration, Duration) = (Duration::from_millis(30), Duration::from_millis(250));
/// Time for links to open after the members are known, before a node without any watches by itself.
const LINK_TIME: Duration = Duration::from_millis(100);
/// Time without a version after which a node reads it although others watch.
const PEER_TIME: Duration = Duration::from_millis(1200);
/// Time for the answer of a node that was asked for its version, before another one is asked.
const ASK_TIME: Duration = Duration::from_millis(250);
/// Time for the own watch to deliver what another node holds, the pause after a change included.
const OWN_WATCH_TIME: Duration = Duration::from_millis(1400);

/// Watches the store for as long as this node has to; for ever.
pub async fn follow(n: Arc<Node>) {
    while !n.joined.load(Ordering::SeqCst) {
        tokio::time::sleep(LOOK.0).await;
    }
    tokio::time::sleep(LINK_TIME).await;
    let start = n.clock.now();
    let mut pause = RETRY.0;
    loop {
        let unknown = n.version() == 0 && n.clock.now() >= start + PEER_TIME;
        if !must_watch(&n.id, &n.links.watcher_candidates()) && !unknown {
            n.set_fresh(false);
            let look = match n.version() {
                0 => LOOK.0,
                _ => LOOK.1,
            };
            tokio::time::sleep(look.mul_f64(0.5 + rand::random::<f64>())).await;
            continue;
        }
        let Err(e) = watch_from_now(&n, &mut pause).await else {
            continue;
        };
        if e != StoreError::Compacted {
            n.set_fresh(false);
            n.log
                .event("config_read_failed", &[("error", &e.to_string())]);
            let wait = pause.mul_f64(0.5 + rand::random::<f64>());
            tokio::time::sleep(wait).await;
            pause = (pause * 2).min(RETRY.1);
        }
    }
}

/// Reads the configuration and watches it until a call fails, the connection cannot be relied on, or others watch.
async fn watch_from_now(n: &Arc<Node>, pause: &mut Duration) -> Result<(), StoreError> {
    let key = n.adapter.config_key();
    let mut back = n.store_back.subscribe();
    let listing = n.store.list(key).await?;
    let mut from: Revision = listing.revision;
    for e in listing.entries.into_iter().filter(|e| e.key == key) {
        take(n, e.value.into(), "store");
    }
    while must_watch(&n.id, &n.links.watcher_candidates()) {
        n.set_fresh(true);
        let wait = WATCH_WAIT.mul_f64(0.7 + 0.3 * rand::random::<f64>());
        let changes = tokio::select! {
            changes = n.store.watch(key, from, wait) => changes?,
            _ = back.changed() => return Ok(()),
        };
        *pause = RETRY.0;
        n.confirmed.note(Fact::Version, n.clock.now());
        from = changes.revision;
        let news = changes.events.into_iter().filter(|e| e.key == key);
        // Only the newest of a series matters.
        if let Some(value) = news.filter_map(|e| e.value).next_back() {
            take(n, value.into(), "store");
            tokio::time::sleep(COALESCE).await;
        }
    }
    Ok(())
}

/// Reads a document and puts it in force if it is newer. Returns its number.
fn take(n: &Node, document: Bytes, source: &str) -> Option<VersionNumber> {
    match n.adapter.config(document) {
        Ok(table) => {
            let number = table.number;
            if source == "store" {
                n.stored_version.fetch_max(number, Ordering::SeqCst);
            }
            n.adopt(table, source);
            Some(number)
        }
        Err(f) => {
            n.metrics.rejected.with_label_values(&["config"]).inc();
            let first = f.items.first().map(|x| x.to_string()).unwrap_or_default();
            n.log.event(
                "config_rejected",
                &[("source", source), ("finding", &first)],
            );
            None
        }
    }
}

/// Takes versions from other nodes.
pub async fn follow_peers(n: Arc<Node>, mut hints: mpsc::UnboundedReceiver<ConfigHint>) {
    let mut asked: Option<(VersionNumber, Now)> = None;
    while let Some(hint) = hints.recv().await {
        match hint {
            ConfigHint::Version(_, number) if number <= n.version() => {}
            ConfigHint::Version(node, number) => {
                let now = n.clock.now();
                let waiting = asked.is_some_and(|(v, t)| v >= number && now < t + ASK_TIME);
                if !waiting && n.links.request_config(&node, n.version()) {
                    asked = Some((number, now));
                }
            }
            ConfigHint::Document(node, base, data) => {
                asked = None;
                take_from_peer(&n, &node, base, &data);
            }
        }
    }
}

fn take_from_peer(n: &Arc<Node>, node: &NodeId, base: VersionNumber, data: &[u8]) {
    let document = match base {
        0 => patch::decode_whole(data),
        _ => n
            .document(base)
            .ok_or(patch::PatchError)
            .and_then(|d| patch::apply(&d, data)),
    };
    let Ok(document) = document else {
        n.metrics.rejected.with_label_values(&["patch"]).inc();
        n.links.request_config(node, 0);
        return;
    };
    if let Some(number) = take(n, document, "peer").filter(|_| n.is_fresh()) {
        tokio::spawn(check_watch(n.clone(), number));
    }
}

/// Begins the own watch again when it does not see what another node's watch saw: its connection may be silent.
async fn check_watch(n: Arc<Node>, number: VersionNumber) {
    tokio::time::sleep(OWN_WATCH_TIME).await;
    if n.stored_version.load(Ordering::SeqCst) < number {
        n.log
            .event("watch_behind", &[("number", &number.to_string())]);
        n.store_back.send_modify(|n| *n += 1);
    }
}
