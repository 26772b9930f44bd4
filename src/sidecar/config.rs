//! Follows the configuration in the store, and takes it from another node while the store cannot be reached.

use bytes::Bytes;
use tokio::sync::mpsc;

use super::node::{ConfigHint, Node};
use crate::prelude::*;
use crate::store::{Changes, Revision, StoreError};

/// Pause after a change, so that a series of changes costs one watch and not one for each. Half of the time in which a
/// change has to be in force.
const COALESCE: Duration = Duration::from_millis(900);
/// Pauses between failed calls.
const RETRY: (Duration, Duration) = (Duration::from_millis(150), Duration::from_millis(1000));
/// Time for the own watch to deliver a version that another node holds already; the watch may be in its pause.
const OWN_WATCH_TIME: Duration = Duration::from_millis(1150);
/// Time for another node to send its document.
const PEER_TIME: Duration = Duration::from_millis(250);

/// Follows the store for ever.
pub async fn follow(n: Arc<Node>) {
    let key = n.edge.config_key();
    let mut pause = RETRY.0;
    loop {
        let e = match watch_from_now(&n, key, &mut pause).await {
            Ok(()) => continue,
            Err(e) => e,
        };
        if e != StoreError::Compacted {
            n.log
                .event("config_read_failed", &[("error", &e.to_string())]);
            let wait = pause.mul_f64(0.5 + rand::random::<f64>());
            tokio::time::sleep(wait).await;
            pause = (pause * 2).min(RETRY.1);
        }
    }
}

/// Reads the configuration and watches it until a call fails.
async fn watch_from_now(n: &Node, key: &str, pause: &mut Duration) -> Result<(), StoreError> {
    let listing = n.store.list(key).await?;
    let mut from: Revision = listing.revision;
    for e in listing.entries.into_iter().filter(|e| e.key == key) {
        take(n, e.value.into(), "store");
    }
    loop {
        let Some(changes) = watch(n, key, from).await? else {
            return Ok(());
        };
        *pause = RETRY.0;
        from = changes.revision;
        let news = changes.events.into_iter().filter(|e| e.key == key);
        // Only the newest of a series matters.
        if let Some(value) = news.filter_map(|e| e.value).last() {
            take(n, value.into(), "store");
            tokio::time::sleep(COALESCE).await;
        }
    }
}

/// Waits for changes; `None` when what the connection says cannot be relied on any more and the keys have to be read
/// again.
///
/// # Errors
///
/// See [`crate::store::Store::watch`].
pub(super) async fn watch(
    n: &Node,
    prefix: &str,
    from: Revision,
) -> Result<Option<Changes>, StoreError> {
    let mut back = n.store_back.subscribe();
    tokio::select! {
        changes = n.store.watch(prefix, from, n.watch_wait()) => changes.map(Some),
        _ = back.changed() => Ok(None),
    }
}

fn take(n: &Node, document: Bytes, source: &str) {
    match n.edge.config(document) {
        Ok(table) => {
            n.adopt(table, source);
        }
        Err(f) => {
            n.metrics.rejected.with_label_values(&["config"]).inc();
            let first = f.items.first().map(|x| x.to_string()).unwrap_or_default();
            n.log.event(
                "config_rejected",
                &[("source", source), ("finding", &first)],
            );
        }
    }
}

/// Takes versions from other nodes when the store does not deliver them.
pub async fn follow_peers(n: Arc<Node>, mut hints: mpsc::UnboundedReceiver<ConfigHint>) {
    while let Some(hint) = hints.recv().await {
        match hint {
            ConfigHint::Document(d) => take(&n, d, "peer"),
            ConfigHint::Version(_, number) if number <= n.version() => {}
            ConfigHint::Version(node, number) => {
                if n.version() > 0 {
                    tokio::time::sleep(OWN_WATCH_TIME).await;
                }
                if number > n.version() {
                    n.log.event("watch_behind", &[("node", &node)]);
                    n.links.ask_config(&node);
                    // The own watch did not see what another one saw: its connection may be silent for good.
                    n.store_back.send_modify(|n| *n += 1);
                    // The document answers all hints that came meanwhile.
                    tokio::time::sleep(PEER_TIME).await;
                }
            }
        }
    }
}
