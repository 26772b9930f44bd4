//! Links to other nodes: each node opens one to every other node and sends its requests there.

use std::sync::atomic::Ordering;
use std::sync::Mutex;

use bytes::{Bytes, BytesMut};
use tokio::sync::oneshot;

use crate::digest::Digest;
use crate::prelude::*;
use crate::request::reason::{Failure, Reason};
use crate::sidecar::connection::dial;
use crate::sidecar::connection::frame::{join_payload, Head, Message, RequestHead, Seq};
use crate::sidecar::connection::link::{lock, CancelOnDrop, Link, OutgoingBody, PendingRequest};
use crate::sidecar::process::fleet::watchers::WatcherCandidate;
use crate::sidecar::process::metrics::Hop;
use crate::sidecar::process::node::Node;
use crate::sidecar::request::admit::{AttemptResult, TargetRequest};
use crate::sidecar::version::distribution;

/// Result of [`Links::call`].
pub(crate) enum CallResult {
    /// The request is finished.
    Done(AttemptResult),
    /// The node does not respond. The request may still be running there, and its result may still arrive.
    Suspected(PendingCall),
}

/// A request whose result has not arrived. Dropping it cancels the request.
pub(crate) struct PendingCall {
    rx: oneshot::Receiver<AttemptResult>,
    pub(super) guard: CancelOnDrop,
}

/// Result of a request that was not sent.
pub(super) fn not_sent() -> AttemptResult {
    AttemptResult::undelivered(Failure::not_run(Reason::NotSent))
}

impl PendingCall {
    /// Queues the first message of the request. Returns false if the queue is full, which ends the request.
    pub(super) fn queue(&self, message: Message) -> bool {
        let (link, seq) = (&self.guard.link, self.guard.seq);
        let queued = link.outgoing.try_send((seq, message)).is_ok();
        if !queued {
            lock(&link.pending).remove(&seq);
        }
        queued
    }

    /// Waits for the result.
    pub(crate) async fn wait(&mut self) -> AttemptResult {
        let result = (&mut self.rx).await;
        self.guard.finished = true;
        result.unwrap_or(AttemptResult::Failed {
            failure: Failure::unknown(Reason::Lost),
            delivered: true,
        })
    }
}

/// Links to all other nodes.
#[derive(Default)]
pub struct Links {
    pub(super) open: Mutex<HashMap<NodeId, Arc<Link>>>,
    /// Nodes to which a link is kept open.
    maintained: Mutex<HashSet<NodeId>>,
}

impl Links {
    /// Keeps a link to a node open until the node is forgotten.
    pub fn maintain(&self, n: &Arc<Node>, node: &NodeId) {
        if lock(&self.maintained).insert(node.clone()) {
            tokio::spawn(dial::maintain(n.clone(), node.clone()));
        }
    }

    /// Stops keeping a link to a node that was forgotten.
    pub(crate) fn forget(&self, node: &NodeId) {
        lock(&self.maintained).remove(node);
    }

    /// Whether a link from this node to `node` is open.
    pub fn is_open(&self, node: &str) -> bool {
        lock(&self.open).contains_key(node)
    }

    /// Whether a link from this node to `node` is open and its peer responds.
    pub fn is_responsive(&self, node: &str) -> bool {
        let open = lock(&self.open);
        open.get(node)
            .is_some_and(|l| l.responsive.load(Ordering::SeqCst))
    }

    /// Number of open links that this node opened.
    pub fn len(&self) -> usize {
        lock(&self.open).len()
    }

    /// Whether no link that this node opened is open.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Sends a request to the node of a target and waits for the result, or until the node has not responded for so
    /// long that an idempotent request may be sent elsewhere too.
    pub(crate) async fn call(
        &self,
        n: &Node,
        node: &NodeId,
        request: &TargetRequest,
    ) -> CallResult {
        let Some(mut call) = self.begin(n, node, request, None) else {
            return CallResult::Done(not_sent());
        };
        let mut suspected = call.guard.link.suspected.subscribe();
        let (head, payload) = request_head(n, request, call.guard.seq);
        let message = Message {
            head: Head::Request(Box::new(head)),
            payload,
        };
        if !call.queue(message) {
            return CallResult::Done(not_sent());
        }
        tokio::select! {
            biased;
            result = call.wait() => CallResult::Done(result),
            _ = suspected.changed(), if request.idempotent => CallResult::Suspected(call),
        }
    }

    /// Adds a request to those that wait for their results on the link to a node; `None` without a link.
    pub(super) fn begin(
        &self,
        n: &Node,
        node: &NodeId,
        request: &TargetRequest,
        body: Option<OutgoingBody>,
    ) -> Option<PendingCall> {
        let link = lock(&self.open).get(node).cloned()?;
        let seq = link.last_seq.fetch_add(1, Ordering::SeqCst) + 1;
        let (tx, rx) = oneshot::channel();
        let pending = PendingRequest {
            result: tx,
            deadline: request.deadline,
            parts: BytesMut::new(),
            body,
        };
        link.add(n, seq, pending);
        let guard = CancelOnDrop {
            link,
            seq,
            finished: false,
        };
        Some(PendingCall { rx, guard })
    }

    /// Requests the version in force from a node, as a patch of the version `held`. Returns whether the request was
    /// queued. Also asks how fresh the version is, so that a silent node is noticed before the version can be expected.
    pub fn request_config(&self, n: &Node, node: &str, held: VersionNumber) -> bool {
        let link = lock(&self.open).get(node).cloned();
        link.is_some_and(|l| {
            l.ask_freshness(n.clock.now());
            let message = Message::without_payload(Head::GetConfig(held));
            l.outgoing.try_send((0, message)).is_ok()
        })
    }

    /// Sends a message to a node, if it is linked.
    pub(crate) fn send(&self, node: &str, message: Message) {
        let link = lock(&self.open).get(node).cloned();
        if let Some(l) = link {
            // The queue is full only if the peer does not read.
            let _ = l.outgoing.try_send((0, message));
        }
    }

    /// Sends a message to all linked nodes. Returns their number.
    pub(crate) fn send_to_all(&self, message: &Message) -> usize {
        let open = lock(&self.open);
        let sent = open
            .values()
            .filter(|l| l.outgoing.try_send((0, message.clone())).is_ok());
        sent.count()
    }

    /// Sends a message to a few randomly chosen linked nodes.
    pub(crate) fn send_to_some(&self, count: usize, message: &Message) {
        let open = lock(&self.open);
        let first = rand::random_range(0..open.len().max(1));
        // The map has a random order.
        for link in open
            .values()
            .cycle()
            .skip(first)
            .take(count.min(open.len()))
        {
            let _ = link.outgoing.try_send((0, message.clone()));
        }
    }

    /// Pings the peers of all links that have been quiet for a while.
    pub(super) fn ping_all(&self) {
        lock(&self.open)
            .values()
            .for_each(|l| l.ping_now.notify_one());
    }

    /// Whether a linked node reports that it watches the store and reaches it.
    pub fn reach_store(&self) -> bool {
        !self.watchers().is_empty()
    }

    /// Links to the nodes that report that they watch the store and reach it.
    fn watchers(&self) -> Vec<Arc<Link>> {
        let open = lock(&self.open);
        let reaching = |l: &&Arc<Link>| l.reaches_store.load(Ordering::SeqCst);
        open.values().filter(reaching).cloned().collect()
    }

    /// Asks a node that watches the store how fresh its version is: one that answered the last question, and one in the
    /// zone of this node, if there are such.
    pub fn ask_nearest_watcher(&self, n: &Node) {
        let (now, limits) = (n.clock.now(), n.freshness_limits());
        let nearest = self.watchers().into_iter().min_by_key(|l| {
            // Nodes without a watcher in their zone are spread over all watchers.
            let spread = Digest::of(format!("{}/{}", n.id, l.node).as_bytes()).short();
            (
                !l.is_watcher(now, &limits),
                n.hop(&l.node) != Hop::SameAz,
                spread,
            )
        });
        if let Some(link) = nearest {
            link.ask_freshness(now);
        }
    }

    /// Asks all nodes that watch the store how fresh their version is.
    pub fn ask_all_watchers(&self, n: &Node) {
        let now = n.clock.now();
        self.watchers().iter().for_each(|l| l.ask_freshness(now));
    }

    /// Whether a node has not answered a question about its version in time, or has no link.
    pub fn is_silent(&self, n: &Node, node: &str) -> bool {
        let link = lock(&self.open).get(node).cloned();
        link.is_none_or(|l| l.is_silent(n.clock.now(), &n.freshness_limits()))
    }

    /// The linked nodes that may watch the store.
    pub fn watcher_candidates(&self, n: &Node) -> Vec<WatcherCandidate> {
        self.candidates(n, |_| true)
    }

    /// Nodes from which this node requests a version, the preferred one first; see [`distribution::sources`].
    pub fn config_sources(&self, n: &Node) -> Vec<NodeId> {
        let (now, limits) = (n.clock.now(), n.freshness_limits());
        let linked = self.candidates(n, |l| {
            l.responsive.load(Ordering::SeqCst) && !l.is_silent(now, &limits)
        });
        distribution::sources(&n.watcher_candidate(), &linked)
    }

    fn candidates<F>(&self, n: &Node, which: F) -> Vec<WatcherCandidate>
    where
        F: Fn(&Link) -> bool,
    {
        let open: Vec<Arc<Link>> = lock(&self.open).values().cloned().collect();
        let (now, limits) = (n.clock.now(), n.freshness_limits());
        let members = n.members();
        let selected = open.iter().filter(|l| which(l));
        let candidate = |l: &Arc<Link>| {
            let record = members.get(&l.node);
            WatcherCandidate {
                node: l.node.clone(),
                az: record.map_or_else(Az::default, |r| r.az.clone()),
                link_mbps: record.map_or(0, |r| r.link_mbps),
                reaches_store: l.is_watcher(now, &limits),
            }
        };
        selected.map(candidate).collect()
    }
}

/// Head and payload of a message with a request.
pub(super) fn request_head(n: &Node, request: &TargetRequest, seq: Seq) -> (RequestHead, Bytes) {
    let now = n.clock.now();
    let (header_len, payload) = join_payload(&request.headers, &request.body);
    let head = RequestHead {
        seq,
        id: request.id.clone(),
        route: request.route.clone(),
        service: request.service.clone(),
        caller: request.caller.clone(),
        tenant: request.tenant.clone(),
        rank: request.rank,
        idempotent: request.idempotent,
        retry: request.retry,
        objective_ms: request.objective.as_millis() as u64,
        until_due_ms: request.due.saturating_sub(now).as_millis() as u64,
        remaining_ms: request.deadline.saturating_sub(now).as_millis() as u64,
        baseline_ms: request.baseline.as_millis() as u64,
        sent_ms: n.clock.boot_time().as_millis() as u64,
        max_wait_ms: request.max_wait.map(|w| w.as_millis() as u64),
        limit: request.limit,
        method: request.method.as_str().into(),
        path: request.path.clone(),
        header_len,
    };
    (head, payload)
}
