//! State that the control task shares with the request path and the admin API.

use std::sync::Mutex;

use arc_swap::ArcSwap;
use tokio::sync::Notify;

use crate::connection::frame::Liveness;
use crate::prelude::*;
use crate::process::members::notices::Notice;
use crate::version::snapshot::VersionRef;

/// Whether a node may be used, as seen by this one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Usable {
    /// The node answers.
    Yes,
    /// At least one node got no response from it; prefer others.
    Suspect,
    /// The availability zone of the node counts as partitioned; use the node only if no other can serve.
    LastResort,
    /// The node has stopped or is unknown.
    No,
}

/// Liveness of each known node.
#[derive(Debug, Clone, Default)]
pub struct LivenessMap {
    by_node: HashMap<NodeId, Liveness>,
}

impl LivenessMap {
    /// Creates a map from the liveness of each node id.
    pub fn new(by_node: HashMap<NodeId, Liveness>) -> Self {
        Self { by_node }
    }

    /// Whether a node may be used. An unknown node counts as stopped.
    pub fn usable(&self, node: &NodeId) -> Usable {
        match self.by_node.get(node) {
            Some(Liveness::Alive) => Usable::Yes,
            Some(Liveness::Suspect) => Usable::Suspect,
            Some(Liveness::Unreachable) => Usable::LastResort,
            Some(Liveness::Dead | Liveness::Expired) | None => Usable::No,
        }
    }

    /// Number of nodes with this liveness.
    pub fn count(&self, liveness: Liveness) -> usize {
        self.by_node.values().filter(|m| **m == liveness).count()
    }
}

/// State of the control task, for the admin API and the metrics.
#[derive(Debug, Clone, Default)]
pub struct ControlStatus {
    /// Highest version that this node knows of, from other nodes or from the store.
    pub newest: VersionRef,
    /// Number of links that this node opened.
    pub opened: usize,
    /// Number of links that other nodes opened.
    pub accepted: usize,
    /// Whether this node watches the store's head.
    pub watcher: bool,
    /// Lowest version number that this node may adopt.
    pub floor: VersionNumber,
    /// Number of versions rejected as forks.
    pub forks: u64,
}

/// A message to the control task.
#[derive(Debug, Clone)]
pub enum ControlMessage {
    /// Notices that changed on this node and have to be sent to all linked peers.
    Notices(Vec<Notice>),
    /// The backend server announced itself, with the version of its floor token.
    Token(Option<VersionRef>),
}

/// Shared state of the control task.
#[derive(Default)]
pub struct ControlView {
    /// Liveness of all known nodes; replaced when the member table changes.
    pub liveness: ArcSwap<LivenessMap>,
    /// Status of the control task; replaced at each of its ticks.
    pub status: ArcSwap<ControlStatus>,
    messages: Mutex<Vec<ControlMessage>>,
    wake: Notify,
}

impl ControlView {
    /// Queues a message for the control task and wakes it.
    pub fn send(&self, message: ControlMessage) {
        let mut messages = self.messages.lock().unwrap_or_else(|e| e.into_inner());
        messages.push(message);
        drop(messages);
        self.wake();
    }

    /// Wakes the control task, which then reads this node's record and the queued messages.
    pub fn wake(&self) {
        self.wake.notify_one();
    }

    /// Waits for [`Self::wake`].
    pub async fn notified(&self) {
        self.wake.notified().await;
    }

    /// Removes and returns all queued messages.
    pub fn take_messages(&self) -> Vec<ControlMessage> {
        std::mem::take(&mut *self.messages.lock().unwrap_or_else(|e| e.into_inner()))
    }
}
