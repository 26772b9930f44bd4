//! Graceful stop of the process.

use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::prelude::*;
use crate::sidecar::process::fleet::discovery;
use crate::sidecar::process::node::{Node, Phase};

/// Time after the stop signal during which new requests are accepted. Callers stop sending after two failed readiness
/// checks, which are one second apart, and it takes a moment until all callers know.
const LEAVING_DURATION: Duration = Duration::from_millis(2300);
/// Part of the grace period that must be left when the process exits.
const GRACE_MARGIN: Duration = Duration::from_millis(500);
/// Time between the last responses to requests in progress and the exit of the process.
const RESPONSE_MARGIN: Duration = Duration::from_millis(100);
/// Interval at which the stopping process checks whether all requests have finished.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum time to remove the record of this node.
const CLEANUP_TIMEOUT: Duration = Duration::from_millis(300);
/// Time without a request in progress after which connections of callers are closed although a request on them may be
/// incomplete.
const QUIET_DURATION: Duration = Duration::from_secs(1);

/// Stops gracefully: tells callers to go elsewhere, then rejects the requests of other nodes, then waits for the
/// requests in progress.
pub(super) async fn stop(n: &Arc<Node>, close: watch::Sender<bool>, callers: JoinHandle<()>) {
    let start = n.clock.now();
    let grace = Duration::from_secs(n.settings().sidecar.grace_s);
    let end = start + grace.saturating_sub(GRACE_MARGIN);
    n.stop_end.send_replace(end.saturating_sub(RESPONSE_MARGIN));
    n.set_phase(Phase::Leaving);
    n.log.event("stopping", &[]);
    tokio::time::sleep(LEAVING_DURATION.min(grace / 2)).await;
    n.set_phase(Phase::Draining);
    close.send_replace(true);
    let removal = discovery::remove_record(n);
    let _ = tokio::time::timeout(CLEANUP_TIMEOUT, removal).await;
    wait_for_callers(n, callers, end).await;
    while is_busy(n) && n.clock.now() < end {
        tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
    let elapsed = n.clock.now().saturating_sub(start).as_millis().to_string();
    let unfinished = n.in_flight().to_string();
    n.log
        .event("stopped", &[("ms", &elapsed), ("cut", &unfinished)]);
}

fn is_busy(n: &Node) -> bool {
    n.in_flight() > 0 || !n.slots.is_empty()
}

/// Waits until the connections of callers are closed. A request that becomes complete on one of them is in progress from
/// then on, so the wait ends early only after a time without any.
async fn wait_for_callers(n: &Node, mut callers: JoinHandle<()>, end: Now) {
    let mut quiet_since = n.clock.now();
    loop {
        let now = n.clock.now();
        if is_busy(n) {
            quiet_since = now;
        }
        if now >= end.min(quiet_since + QUIET_DURATION) {
            return;
        }
        let closed = tokio::time::timeout(DRAIN_POLL_INTERVAL, &mut callers).await;
        if closed.is_ok() {
            return;
        }
    }
}
