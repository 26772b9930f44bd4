//! Follows the eras of the store: it begins a new one when it comes back from an older copy of itself. What this node wrote
//! since then is gone.

use crate::prelude::*;
use crate::sidecar::process::node::Node;
use crate::sidecar::process::target::departure;
use crate::store::Era;

/// Longest random delay before a node writes again what the store has lost, so that not all nodes write at once.
const MAX_WRITE_DELAY: Duration = Duration::from_secs(1);

/// Logs each new era and writes again what the store has lost. Never returns.
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
            tokio::time::sleep(MAX_WRITE_DELAY.mul_f64(rand::random())).await;
            departure::write_again(&n, era);
        }
        current = era;
    }
}
