//! Sends the configuration to other nodes that request it, one at a time and slowly enough for requests to pass.

use std::collections::VecDeque;

use tokio::sync::mpsc;

use crate::prelude::*;
use crate::sidecar::connection::frame::{Head, Message};
use crate::sidecar::process::node::{lock, Node};
use crate::sidecar::version::distribution::pause_after;
use crate::sidecar::version::patch;

/// Time for which a request waits here for a version that this node does not hold yet. The other node requests it
/// elsewhere before that.
const MAX_HOLD: Duration = Duration::from_secs(2);

/// Request of another node for a version.
#[derive(Debug)]
pub struct ConfigRequest {
    /// Queue of the link on which the request came.
    pub reply: mpsc::Sender<Message>,
    /// Version that the other node holds, 0 for none.
    pub held: VersionNumber,
}

/// Requests that wait until this node holds a newer version, or until its link has room.
#[derive(Default)]
struct Waiting(VecDeque<(ConfigRequest, Now)>);

impl Waiting {
    fn add(&mut self, request: ConfigRequest, now: Now) {
        // A node that requests again has only one place.
        self.0
            .retain(|(r, _)| !r.reply.same_channel(&request.reply));
        self.0.push_back((request, now));
    }

    /// Removes the first request that a version can serve, and requests that have waited too long.
    fn next(&mut self, version: VersionNumber, now: Now) -> Option<ConfigRequest> {
        self.0
            .retain(|(r, since)| now < *since + MAX_HOLD && !r.reply.is_closed());
        let found = self.0.iter().position(|(r, _)| r.held < version)?;
        self.0.remove(found).map(|(r, _)| r)
    }
}

/// Serves requests for the configuration. Never returns while the process runs.
pub async fn serve(n: Arc<Node>, mut requests: mpsc::UnboundedReceiver<ConfigRequest>) {
    let mut adopted = n.version_adopted.subscribe();
    let mut waiting = Waiting::default();
    loop {
        while let Ok(request) = requests.try_recv() {
            waiting.add(request, n.clock.now());
        }
        let Some(request) = waiting.next(n.version(), n.clock.now()) else {
            tokio::select! {
                request = requests.recv() => match request {
                    Some(request) => waiting.add(request, n.clock.now()),
                    None => return,
                },
                _ = adopted.changed() => {}
            }
            continue;
        };
        if let Some(message) = config_message(&n, request.held) {
            let bytes = message.payload.len();
            // The queue is full only if the peer does not read; it requests the version again then.
            let _ = request.reply.try_send(message);
            let link_mbps = n.settings().sidecar.link_mbps;
            tokio::time::sleep(pause_after(bytes, link_mbps)).await;
        }
    }
}

/// Message with the version in force, for a node that holds the version `held`; `None` if no newer one is known.
fn config_message(n: &Node, held: VersionNumber) -> Option<Message> {
    let table = n.routes.load_full()?;
    if table.number <= held {
        return None;
    }
    let base = n.document(held);
    let base_version = base.as_ref().map_or(0, |_| held);
    // Most nodes request a new version from the same base.
    let mut cache = lock(&n.patch_cache);
    if cache.number != table.number {
        cache.number = table.number;
        cache.patches.clear();
    }
    let patch = cache.patches.entry(base_version).or_insert_with(|| {
        let data = patch::encode(base.as_ref(), &table.document);
        data.into()
    });
    Some(Message {
        head: Head::Config(base_version),
        payload: patch.clone(),
    })
}

/// Keeps the patch with which this node got its version, to pass it on as it is.
pub(crate) fn keep_patch(
    n: &Node,
    number: VersionNumber,
    base: VersionNumber,
    data: &bytes::Bytes,
) {
    let mut cache = lock(&n.patch_cache);
    if cache.number != number {
        cache.number = number;
        cache.patches.clear();
    }
    cache.patches.insert(base, data.clone());
}
