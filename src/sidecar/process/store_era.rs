//! Follows the eras of the store: it begins a new one when it comes back from an older copy of itself.

use crate::prelude::*;
use crate::sidecar::process::node::Node;
use crate::store::Era;

/// Logs each new era. Never returns.
pub(super) async fn run(n: Arc<Node>) {
    let mut eras = n.store.era();
    let mut current = Era::default();
    // The sender lives as long as the store.
    while eras.changed().await.is_ok() {
        let era = *eras.borrow_and_update();
        n.metrics.store_era.set(era.0 as i64);
        // The first era that a process hears of is no change.
        if current != Era::default() {
            n.log.event(
                "store_era_changed",
                &[("from", &current.to_string()), ("to", &era.to_string())],
            );
        }
        current = era;
    }
}
