//! Confirmation of the version in force by the nodes that watch the store.

use crate::prelude::*;
use crate::sidecar::process::node::Node;

/// Confirms the version in force at regular intervals while this node does not watch the store itself. If its source
/// does not answer, all other sources are asked; if these do not answer either, this node checks whether it must watch.
/// Never returns.
pub async fn run(n: Arc<Node>) {
    let mut confirmed = true;
    loop {
        let interval = n.freshness_limits().interval;
        tokio::time::sleep(interval.mul_f64(0.8 + 0.4 * rand::random::<f64>())).await;
        if n.reaches_store() || n.version() == 0 {
            continue;
        }
        let mut confirmations = n.version_confirmed.subscribe();
        let timeout = n.freshness_limits().answer_timeout;
        n.links.ask_nearest_watcher(&n);
        let mut answer = tokio::time::timeout(timeout, confirmations.changed()).await;
        if answer.is_err() {
            n.links.ask_all_watchers(&n);
            answer = tokio::time::timeout(timeout, confirmations.changed()).await;
            n.role_check.notify_one();
        }
        if answer.is_ok() != confirmed {
            confirmed = answer.is_ok();
            log_change(&n, confirmed);
        }
    }
}

fn log_change(n: &Node, confirmed: bool) {
    let age = n.unconfirmed_time().as_millis().to_string();
    match confirmed {
        true => n.log.event("version_confirmed", &[]),
        false => n.log.event("version_unconfirmed", &[("age_ms", &age)]),
    }
}
