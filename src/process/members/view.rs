//! What the control task shares with the request path and the admin API.

use std::sync::Mutex;

use arc_swap::ArcSwap;
use tokio::sync::Notify;

use crate::connection::frame::Liveness;
use crate::prelude::*;
use crate::process::members::notices::Notice;
use crate::version::snapshot::VersionRef;

/// How far a node's record may be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Usable {
    /// The node answers.
    Yes,
    /// Some node got no answer; prefer others.
    Doubtful,
    /// The node's zone is cut off; use it only while no other can serve.
    LastResort,
    /// The node has ended.
    No,
}

/// Marks of the nodes, beside their records.
#[derive(Debug, Clone, Default)]
pub struct Members {
    marks: HashMap<NodeId, Liveness>,
}

impl Members {
    /// Creates a view.
    pub fn new(marks: HashMap<NodeId, Liveness>) -> Self {
        Self { marks }
    }

    /// How far the record of a node may be used. Unknown nodes count as ended.
    pub fn usable(&self, node: &NodeId) -> Usable {
        match self.marks.get(node) {
            Some(Liveness::Alive) => Usable::Yes,
            Some(Liveness::Suspect) => Usable::Doubtful,
            Some(Liveness::Unreachable) => Usable::LastResort,
            Some(Liveness::Dead | Liveness::Expired) | None => Usable::No,
        }
    }

    /// Number of nodes with a mark.
    pub fn count(&self, mark: Liveness) -> usize {
        self.marks.values().filter(|m| **m == mark).count()
    }
}

/// State of the control task, for the admin API.
#[derive(Debug, Clone, Default)]
pub struct ControlStatus {
    /// Version with the greatest number heard of.
    pub heard: VersionRef,
    /// Links that this node opened.
    pub opened: usize,
    /// Links that other nodes opened.
    pub accepted: usize,
    /// Whether this node watches the store's head.
    pub watcher: bool,
    /// Version floor.
    pub floor: VersionNumber,
    /// Forks seen.
    pub forks: u64,
}

/// A message to the control task.
#[derive(Debug, Clone)]
pub enum Post {
    /// Notices that changed here and are to be sent on.
    Notices(Vec<Notice>),
    /// The backend server announced itself, with the version of its floor token.
    Token(Option<VersionRef>),
}

/// Shared state of the control task.
#[derive(Default)]
pub struct View {
    /// Marks of the nodes.
    pub members: ArcSwap<Members>,
    /// Status.
    pub status: ArcSwap<ControlStatus>,
    posts: Mutex<Vec<Post>>,
    wake: Notify,
}

impl View {
    /// Leaves a message for the control task.
    pub fn post(&self, post: Post) {
        let mut posts = self.posts.lock().unwrap_or_else(|e| e.into_inner());
        posts.push(post);
        drop(posts);
        self.wake();
    }

    /// Makes the control task look at the own record and at its messages.
    pub fn wake(&self) {
        self.wake.notify_one();
    }

    /// Waits for [`Self::wake`].
    pub async fn woken(&self) {
        self.wake.notified().await;
    }

    /// Takes the messages.
    pub fn take_posts(&self) -> Vec<Post> {
        std::mem::take(&mut *self.posts.lock().unwrap_or_else(|e| e.into_inner()))
    }
}
