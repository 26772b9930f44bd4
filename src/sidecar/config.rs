//! Follows the configuration in the store, and takes it from another node while the store cannot be reached.

use bytes::Bytes;
use tokio::sync::mpsc;

use super::node::{ConfigHint, Node};
use crate::prelude::*;
use crate::store::{Revision, StoreError};

/// Pause after a change, so that a series of changes costs one watch and not one for each.
const COALESCE: Duration = Duration::from_millis(350);
/// Longest wait of a watch. What a silent connection hides is found by the version numbers on links.
const WATCH_WAIT: Duration = Duration::from_secs(25);
/// Pauses between failed calls.
const RETRY: (Duration, Duration) = (Duration::from_millis(150), Duration::from_millis(1000));
/// Time for the own watch to deliver a version that another node holds already.
const OWN_WATCH_TIME: Duration = Duration::from_millis(250);

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
        let changes = n.store.watch(key, from, WATCH_WAIT).await?;
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
                    n.links.ask_config(&node);
                    // Its document answers all hints that came meanwhile.
                    tokio::time::sleep(OWN_WATCH_TIME).await;
                }
            }
        }
    }
}
