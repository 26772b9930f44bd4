//! Links to other nodes: each node opens one to every other node and sends its requests there.
//!
//! A node pings its peers to detect an unresponsive one well before the deadlines of the requests on the link.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard};

use futures_util::stream::SplitSink;
use futures_util::{SinkExt, StreamExt};
use http::StatusCode;
use tokio::sync::{mpsc, oneshot, Notify};
use tokio_tungstenite::tungstenite::Message as Ws;

use crate::prelude::*;
use crate::request::reason::{Failure, Reason};
use crate::sidecar::connection::dial::{self, LinkStream};
use crate::sidecar::connection::frame::{join_payload, Head, Message, RequestHead, Seq};
use crate::sidecar::connection::liveness::{
    Liveness, PeerState, AVOID_AFTER, CLOSE_AFTER, IDLE_PING_AFTER, PING_AFTER, SUSPECT_AFTER,
};
use crate::sidecar::connection::pool::TargetResponse;
use crate::sidecar::process::fleet::watchers::WatcherCandidate;
use crate::sidecar::process::node::Node;
use crate::sidecar::request::admit::{AttemptResult, TargetRequest};
use crate::sidecar::version::distribution;

/// Maximum number of messages that wait to be written on a link. The limit is reached only if the peer does not read.
pub(crate) const MAX_OUTGOING: usize = 512;

struct PendingRequest {
    result: oneshot::Sender<AttemptResult>,
    idempotent: bool,
    deadline: Now,
}

/// An open link from this node to another one.
struct Link {
    node: NodeId,
    outgoing: mpsc::Sender<(Seq, Message)>,
    /// Cancelled requests. They do not wait behind `outgoing`, which may be full; at most one is sent for each request.
    cancels: mpsc::UnboundedSender<Seq>,
    pending: Mutex<BTreeMap<Seq, PendingRequest>>,
    /// Greatest number of a request that was written to the connection.
    last_written: AtomicU64,
    last_seq: AtomicU64,
    /// Whether the peer reports that it watches the store and reaches it.
    reaches_store: AtomicBool,
    /// Whether the peer responds to pings.
    responsive: AtomicBool,
    /// Requests a ping now, because the peer of another link does not respond.
    ping_now: Notify,
    /// Time since which the link has had pending requests, in ms.
    pending_since: AtomicU64,
    /// Notifies the task of the link that there are pending requests again.
    pending_added: Notify,
}

pub(crate) fn lock<T>(m: &Mutex<T>) -> MutexGuard<'_, T> {
    m.lock().unwrap_or_else(|e| e.into_inner())
}

impl Link {
    fn finish(&self, seq: Seq, result: AttemptResult) {
        if let Some(p) = lock(&self.pending).remove(&seq) {
            // The receiver is dropped if the caller has gone.
            let _ = p.result.send(result);
        }
    }

    /// Marks a request as written. Returns false if it was cancelled while it waited, and must not be sent.
    fn begin_write(&self, seq: Seq) -> bool {
        // Under the lock, because a request that fails as not written must never be sent.
        let pending = lock(&self.pending);
        let wanted = pending.contains_key(&seq);
        if wanted {
            self.last_written.fetch_max(seq, Ordering::SeqCst);
        }
        wanted
    }

    fn was_written(&self, seq: Seq) -> bool {
        seq <= self.last_written.load(Ordering::SeqCst)
    }

    /// Tells the peer that nobody waits for a request any more.
    fn cancel(&self, seq: Seq) {
        // The receiver is dropped when the link is closed, which cancels all its requests.
        let _ = self.cancels.send(seq);
    }

    /// Fails the pending requests that `which` selects, and cancels them; those that were not written were not run.
    fn fail<F>(&self, which: F)
    where
        F: Fn(&PendingRequest) -> bool,
    {
        let mut pending = lock(&self.pending);
        let selected = pending.iter().filter(|(_, p)| which(p));
        let selected: Vec<Seq> = selected.map(|(seq, _)| *seq).collect();
        for seq in selected {
            let Some(p) = pending.remove(&seq) else {
                continue;
            };
            let result = match self.was_written(seq) {
                true => {
                    self.cancel(seq);
                    AttemptResult::Failed {
                        failure: Failure::unknown(Reason::Lost),
                        delivered: true,
                    }
                }
                false => AttemptResult::undelivered(Failure::not_run(Reason::NotSent)),
            };
            let _ = p.result.send(result);
        }
    }

    /// Adds a pending request. The first one on an idle link wakes its task, which then checks whether the peer
    /// responds.
    fn add(&self, n: &Node, seq: Seq, p: PendingRequest) {
        let mut pending = lock(&self.pending);
        if pending.is_empty() {
            let now = n.clock.now().as_millis() as u64;
            self.pending_since.store(now, Ordering::SeqCst);
            self.pending_added.notify_one();
        }
        pending.insert(seq, p);
    }

    fn is_before_deadline(&self, seq: Seq, now: Now) -> bool {
        let pending = lock(&self.pending);
        pending.get(&seq).is_some_and(|p| now < p.deadline)
    }

    /// Time since which there have been pending requests; `None` if there are none.
    fn pending_since(&self) -> Option<Now> {
        let since = || Duration::from_millis(self.pending_since.load(Ordering::SeqCst));
        (!lock(&self.pending).is_empty()).then(since)
    }
}

/// Cancels a pending request when it is dropped, unless the request is finished.
struct CancelOnDrop<'a> {
    link: &'a Link,
    seq: Seq,
    finished: bool,
}

impl Drop for CancelOnDrop<'_> {
    fn drop(&mut self) {
        if !self.finished && lock(&self.link.pending).remove(&self.seq).is_some() {
            self.link.cancel(self.seq);
        }
    }
}

/// Links to all other nodes.
#[derive(Default)]
pub struct Links {
    open: Mutex<HashMap<NodeId, Arc<Link>>>,
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

    /// Number of open links that this node opened.
    pub fn len(&self) -> usize {
        lock(&self.open).len()
    }

    /// Whether no link that this node opened is open.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Sends a request to the node of a target and waits for the result.
    pub async fn call(&self, n: &Node, node: &NodeId, request: &TargetRequest) -> AttemptResult {
        let link = lock(&self.open).get(node).cloned();
        let not_sent = AttemptResult::undelivered(Failure::not_run(Reason::NotSent));
        let Some(link) = link else {
            return not_sent;
        };
        let seq = link.last_seq.fetch_add(1, Ordering::SeqCst) + 1;
        let (tx, rx) = oneshot::channel();
        let pending = PendingRequest {
            result: tx,
            idempotent: request.idempotent,
            deadline: request.deadline,
        };
        link.add(n, seq, pending);
        let mut guard = CancelOnDrop {
            link: &link,
            seq,
            finished: false,
        };
        let message = request_message(n, request, seq);
        if link.outgoing.try_send((seq, message)).is_err() {
            lock(&link.pending).remove(&seq);
            return not_sent;
        }
        let result = rx.await;
        guard.finished = true;
        result.unwrap_or(AttemptResult::Failed {
            failure: Failure::unknown(Reason::Lost),
            delivered: true,
        })
    }

    /// Requests the version in force from a node, as a patch of the version `held`. Returns whether the request was
    /// queued.
    pub fn request_config(&self, node: &str, held: VersionNumber) -> bool {
        let link = lock(&self.open).get(node).cloned();
        link.is_some_and(|l| {
            let message = Message::without_payload(Head::GetConfig(held));
            l.outgoing.try_send((0, message)).is_ok()
        })
    }

    /// Pings the peers of all links that have been quiet for a while.
    fn ping_all(&self) {
        lock(&self.open)
            .values()
            .for_each(|l| l.ping_now.notify_one());
    }

    /// The linked nodes that may watch the store.
    pub fn watcher_candidates(&self, n: &Node) -> Vec<WatcherCandidate> {
        self.candidates(n, |_| true)
    }

    /// Nodes from which this node requests a version, the preferred one first; see [`distribution::sources`].
    pub fn config_sources(&self, n: &Node) -> Vec<NodeId> {
        let linked = self.candidates(n, |l| l.responsive.load(Ordering::SeqCst));
        distribution::sources(&n.watcher_candidate(), &linked)
    }

    fn candidates<F>(&self, n: &Node, which: F) -> Vec<WatcherCandidate>
    where
        F: Fn(&Link) -> bool,
    {
        let open: Vec<Arc<Link>> = lock(&self.open).values().cloned().collect();
        let members = n.members();
        let selected = open.iter().filter(|l| which(l));
        let candidate = |l: &Arc<Link>| WatcherCandidate {
            node: l.node.clone(),
            link_mbps: members.get(&l.node).map_or(0, |r| r.link_mbps),
            reaches_store: l.reaches_store.load(Ordering::SeqCst),
        };
        selected.map(candidate).collect()
    }
}

pub(crate) fn hello_message(n: &Node) -> Message {
    Message::without_payload(Head::Hello(
        Box::new(n.record()),
        n.version(),
        n.reaches_store(),
    ))
}

fn request_message(n: &Node, request: &TargetRequest, seq: Seq) -> Message {
    let now = n.clock.now();
    let (header_len, payload) = join_payload(&request.headers, &request.body);
    let head = RequestHead {
        seq,
        id: request.id.clone(),
        route: request.route.clone(),
        service: request.service.clone(),
        caller: request.caller.clone(),
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
    Message {
        head: Head::Request(Box::new(head)),
        payload,
    }
}

/// Exchanges messages on a link until it is closed. Returns the reason.
pub(crate) async fn drive(n: &Arc<Node>, node: &NodeId, stream: LinkStream) -> String {
    let (outgoing, queue) = mpsc::channel(MAX_OUTGOING);
    let (cancels, cancelled) = mpsc::unbounded_channel();
    let link = Arc::new(Link {
        node: node.clone(),
        outgoing,
        cancels,
        pending: Mutex::default(),
        last_written: AtomicU64::new(0),
        last_seq: AtomicU64::new(0),
        reaches_store: AtomicBool::new(false),
        responsive: AtomicBool::new(true),
        ping_now: Notify::new(),
        pending_since: AtomicU64::new(0),
        pending_added: Notify::new(),
    });
    let (mut sink, mut source) = stream.split();
    let hop = n.hop(node);
    let hello = Ws::Binary(n.encode(&hello_message(n), hop));
    if let Err(e) = sink.send(hello).await {
        return e.to_string();
    }
    // Messages are written by a separate task, because a peer that does not read must not delay the reading of its
    // responses.
    let writer = tokio::spawn(write_messages(
        n.clone(),
        link.clone(),
        sink,
        queue,
        cancelled,
    ));
    lock(&n.links.open).insert(node.clone(), link.clone());
    n.placement().set_reachable(node, true);
    let mut liveness = Liveness {
        last_heard: n.clock.now(),
        pinged_at: None,
        state: PeerState::Healthy,
    };
    let reason = loop {
        let wait = liveness.next_check(link.pending_since(), n.clock.now());
        tokio::select! {
            message = source.next() => match message {
                Some(Ok(Ws::Binary(data))) => {
                    liveness.last_heard = n.clock.now();
                    liveness.pinged_at = None;
                    if liveness.state != PeerState::Healthy {
                        liveness.state = PeerState::Healthy;
                        link.responsive.store(true, Ordering::SeqCst);
                        n.placement().set_reachable(node, true);
                    }
                    if let Err(e) = handle_message(n, &link, data) {
                        break e;
                    }
                }
                Some(Ok(Ws::Close(_))) | None => break "closed".to_owned(),
                Some(Ok(_)) => {}
                Some(Err(e)) => break e.to_string(),
            },
            () = link.pending_added.notified() => {}
            () = link.ping_now.notified() => {
                let now = n.clock.now();
                if liveness.pinged_at.is_none() && now >= liveness.last_heard + PING_AFTER {
                    ping(n, &link, &mut liveness);
                }
            }
            () = tokio::time::sleep(wait) => {
                if let Some(reason) = check_liveness(n, &link, &mut liveness) {
                    break reason;
                }
            }
        }
    };
    n.placement().set_reachable(node, false);
    lock(&n.links.open).remove(node);
    writer.abort();
    link.fail(|_| true);
    reason
}

/// Writes the messages of a link, cancellations first, until the link is closed.
async fn write_messages(
    n: Arc<Node>,
    link: Arc<Link>,
    mut sink: SplitSink<LinkStream, Ws>,
    mut queue: mpsc::Receiver<(Seq, Message)>,
    mut cancelled: mpsc::UnboundedReceiver<Seq>,
) {
    let hop = n.hop(&link.node);
    loop {
        let message = tokio::select! {
            biased;
            Some(seq) = cancelled.recv() => match link.was_written(seq) {
                true => Message::without_payload(Head::Cancel(seq)),
                false => continue,
            },
            Some((seq, message)) = queue.recv() => {
                if seq > 0 && !link.begin_write(seq) {
                    continue;
                }
                message
            }
            else => return,
        };
        let data = n.encode(&message, hop);
        if sink.send(Ws::Binary(data)).await.is_err() {
            return;
        }
    }
}

/// Pings, avoids or suspects a peer that has not responded for some time. Returns the reason if the link must be
/// closed.
fn check_liveness(n: &Node, link: &Link, liveness: &mut Liveness) -> Option<String> {
    let now = n.clock.now();
    let Some(pinged) = liveness.pinged_at else {
        let silent = link
            .pending_since()
            .is_some_and(|t| now >= liveness.last_heard.max(t) + PING_AFTER);
        if silent || now >= liveness.last_heard + IDLE_PING_AFTER {
            ping(n, link, liveness);
        }
        return None;
    };
    let age = now.saturating_sub(pinged);
    // This check may be late in a busy process, so several limits may have been passed since the last one.
    if age >= AVOID_AFTER && liveness.state < PeerState::Avoided {
        liveness.state = PeerState::Avoided;
        link.responsive.store(false, Ordering::SeqCst);
        n.placement().set_reachable(&link.node, false);
        // A partition affects many links at once. Without these pings, an idle link would be avoided only after a
        // request on it got no response.
        n.links.ping_all();
    }
    if age >= SUSPECT_AFTER && liveness.state < PeerState::Suspect {
        liveness.state = PeerState::Suspect;
        link.fail(|p| p.idempotent);
    }
    (age >= CLOSE_AFTER).then(|| "silent".to_owned())
}

fn ping(n: &Node, link: &Link, liveness: &mut Liveness) {
    liveness.pinged_at = Some(n.clock.now());
    let ping = Message::without_payload(Head::Ping(n.version()));
    // The queue is full only if the peer does not read; then the ping counts as sent and remains unanswered.
    let _ = link.outgoing.try_send((0, ping));
}

/// Handles a message on a link that this node opened.
fn handle_message(n: &Arc<Node>, link: &Link, data: bytes::Bytes) -> Result<(), String> {
    let message = Message::decode(data)?;
    let now = n.clock.now();
    match &message.head {
        Head::Response(r, load) => {
            n.placement().record_load(now, &link.node, *load);
            let (headers, body) = message.split_payload(r.header_len)?;
            let status = StatusCode::from_u16(r.status).map_err(|e| e.to_string())?;
            let response = TargetResponse {
                status,
                headers,
                body,
                service_time: Duration::from_millis(r.service_ms),
            };
            link.finish(r.seq, AttemptResult::Response(response));
        }
        Head::Failed(f, load) => {
            n.placement().record_load(now, &link.node, *load);
            if f.failure().reason == Reason::Expired && link.is_before_deadline(f.seq, now) {
                // The clock of one side jumped; another hello makes the peer measure delays anew.
                let _ = link.outgoing.try_send((0, hello_message(n)));
            }
            let result = AttemptResult::Failed {
                failure: f.failure(),
                delivered: f.delivered,
            };
            link.finish(f.seq, result);
        }
        Head::Hello(record, version, reaches_store) => {
            link.reaches_store.store(*reaches_store, Ordering::SeqCst);
            n.on_peer_record(record.as_ref().clone());
            n.on_peer_version(&link.node, *version);
        }
        Head::TargetChanged(sequence, target) => {
            n.on_peer_target(&link.node, *sequence, target.clone())
        }
        Head::Status(version, reaches_store) => {
            link.reaches_store.store(*reaches_store, Ordering::SeqCst);
            n.on_peer_version(&link.node, *version);
        }
        Head::Pong(version) => n.on_peer_version(&link.node, *version),
        Head::Config(base) => n.on_peer_config(&link.node, *base, message.payload),
        _ => return Err("unexpected message".into()),
    }
    n.members().record_contact(&link.node, now);
    Ok(())
}
