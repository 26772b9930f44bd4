//! Follows the eras of the store: it begins a new one when it comes back from an older copy of itself. What this node wrote
//! since then is gone.
//!
//! Most nodes call the store rarely. One that learns of a new era from the store tells the others, which then check their
//! leases after random delays. What they hear is only a hint: an era counts once the store itself has named it.

use tokio::sync::watch;

use crate::prelude::*;
use crate::sidecar::connection::frame::{Head, Message};
use crate::sidecar::process::node::Node;
use crate::sidecar::process::target::departure;
use crate::store::Era;

/// Longest random delay before a node calls the store because of a new era, so that not all nodes call it at once.
const MAX_DELAY: Duration = Duration::from_secs(1);

/// Follows the era of the store once it has responded, and writes again what it has lost. Never returns.
pub(super) async fn run(n: Arc<Node>) {
    let mut eras = n.store.era();
    let mut current = *eras.borrow_and_update();
    n.metrics.store_era.set(current.0 as i64);
    // It may have begun another era since the first stop of the target was written.
    departure::write_again(&n, current);
    // The sender lives as long as the store.
    while eras.changed().await.is_ok() {
        let era = *eras.borrow_and_update();
        n.metrics.store_era.set(era.0 as i64);
        on_new_era(&n, current, era).await;
        current = era;
    }
}

async fn on_new_era(n: &Arc<Node>, from: Era, to: Era) {
    n.log.event(
        "store_era_changed",
        &[("from", &from.to_string()), ("to", &to.to_string())],
    );
    // The others have heard of it if one of them has told this node.
    if *n.reported_era.borrow() < to {
        let message = Message::without_payload(Head::StoreEra(to));
        n.links.send_to_all(&message);
    }
    tokio::time::sleep(random_delay()).await;
    departure::write_again(n, to);
}

/// Delay before a call to the store because of a new era.
pub(super) fn random_delay() -> Duration {
    MAX_DELAY.mul_f64(rand::random())
}

/// Waits for an era after `era`. Returns it.
pub(super) async fn wait_for_later(mut eras: watch::Receiver<Era>, era: Era) -> Era {
    let later = eras.wait_for(|e| *e > era).await.map(|e| *e);
    match later {
        Ok(later) => later,
        // The senders live as long as the node.
        Err(_) => std::future::pending().await,
    }
}

/// Waits until the store has begun an era after `era`, or another node says so. Returns the later one.
pub(super) async fn wait_for_hint(n: &Node, era: Era) -> Era {
    tokio::select! {
        later = wait_for_later(n.store.era(), era) => later,
        later = wait_for_later(n.reported_era.subscribe(), era) => later,
    }
}

impl Node {
    /// Records that another node has heard of an era of the store.
    pub(crate) fn on_peer_era(&self, era: Era) {
        self.reported_era.send_if_modified(|reported| {
            let rises = era > *reported;
            *reported = era.max(*reported);
            rises
        });
    }
}
