//! Links to other nodes: each node opens one to every other and sends its requests there.
//!
//! A link finds out by its own pings that the other side is silent, well before the deadline of a request.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard};

use futures_util::{SinkExt, StreamExt};
use http::StatusCode;
use tokio::sync::{mpsc, oneshot, Notify};
use tokio_tungstenite::tungstenite::Message as Ws;

use super::admit::{Reply, Work};
use super::dial::{self, Stream};
use super::frame::{join, Head, Message, RequestHead, Seq};
use super::liveness::{
    Liveness, PeerState, AVOID_AFTER, CLOSE_AFTER, IDLE_PING_AFTER, PING_AFTER, SUSPECT_AFTER,
};
use super::node::Node;
use super::pool::Whole;
use super::watchers::WatcherCandidate;
use crate::prelude::*;
use crate::request::reason::{Failure, Reason};

/// Messages that wait to be written; beyond it the other side does not read.
pub(super) const OUTGOING: usize = 512;

struct Pending {
    reply: oneshot::Sender<Reply>,
    idempotent: bool,
}

/// An open link that this node opened.
struct Link {
    node: NodeId,
    outgoing: mpsc::Sender<(Seq, Message)>,
    pending: Mutex<BTreeMap<Seq, Pending>>,
    /// Greatest request number that was handed to the connection.
    written: AtomicU64,
    next: AtomicU64,
    /// Whether the other side says that it watches the store.
    fresh: AtomicBool,
    /// Asks for a ping now, because another link fell silent.
    alarm: Notify,
    /// Since when requests wait on the link, in ms.
    waiting_since: AtomicU64,
    /// Says that requests began to wait.
    waits: Notify,
}

pub(super) fn lock<T>(m: &Mutex<T>) -> MutexGuard<'_, T> {
    m.lock().unwrap_or_else(|e| e.into_inner())
}

impl Link {
    fn finish(&self, seq: Seq, reply: Reply) {
        if let Some(p) = lock(&self.pending).remove(&seq) {
            // The caller may have gone.
            let _ = p.reply.send(reply);
        }
    }

    /// Fails requests whose answer cannot be expected any more; those that were not written never ran.
    fn fail<F>(&self, which: F)
    where
        F: Fn(&Pending) -> bool,
    {
        let written = self.written.load(Ordering::SeqCst);
        let mut pending = lock(&self.pending);
        let found = pending.iter().filter(|(_, p)| which(p));
        let found: Vec<Seq> = found.map(|(seq, _)| *seq).collect();
        for seq in found {
            let Some(p) = pending.remove(&seq) else {
                continue;
            };
            let reply = match seq <= written {
                true => Reply::Failed {
                    failure: Failure::unknown(Reason::Lost),
                    at_target: true,
                },
                false => Reply::refused(Failure::not_run(Reason::NotSent)),
            };
            let _ = p.reply.send(reply);
        }
    }

    /// Adds a request. The first one on an idle link starts the look for silence.
    fn add(&self, n: &Node, seq: Seq, p: Pending) {
        let mut pending = lock(&self.pending);
        if pending.is_empty() {
            let now = n.clock.now().as_millis() as u64;
            self.waiting_since.store(now, Ordering::SeqCst);
            self.waits.notify_one();
        }
        pending.insert(seq, p);
    }

    /// Since when requests wait; `None` while there are none.
    fn waiting(&self) -> Option<Now> {
        let since = || Duration::from_millis(self.waiting_since.load(Ordering::SeqCst));
        (!lock(&self.pending).is_empty()).then(since)
    }
}

/// Cancels a request whose caller has gone.
struct Waiting<'a> {
    link: &'a Link,
    seq: Seq,
    ended: bool,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if !self.ended && lock(&self.link.pending).remove(&self.seq).is_some() {
            let cancel = Message::bare(Head::Cancel(self.seq));
            // A link that is that full will be closed, which cancels too.
            let _ = self.link.outgoing.try_send((0, cancel));
        }
    }
}

/// Links to all other nodes.
#[derive(Default)]
pub struct Links {
    open: Mutex<HashMap<NodeId, Arc<Link>>>,
    kept: Mutex<HashSet<NodeId>>,
}

impl Links {
    /// Keeps a link to this node open until it is forgotten.
    pub fn ensure(&self, n: &Arc<Node>, node: &NodeId) {
        if lock(&self.kept).insert(node.clone()) {
            tokio::spawn(dial::keep(n.clone(), node.clone()));
        }
    }

    /// Ends the keeping of a link to a node that is forgotten.
    pub(super) fn let_go(&self, node: &NodeId) {
        lock(&self.kept).remove(node);
    }

    /// Whether a link to this node is open.
    pub fn is_open(&self, node: &str) -> bool {
        lock(&self.open).contains_key(node)
    }

    /// Number of open links.
    pub fn len(&self) -> usize {
        lock(&self.open).len()
    }

    /// Whether no link is open.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Sends a request to the node beside a target and waits for its reply.
    pub async fn call(&self, n: &Node, node: &NodeId, work: &Work) -> Reply {
        let link = lock(&self.open).get(node).cloned();
        let not_sent = Reply::refused(Failure::not_run(Reason::NotSent));
        let Some(link) = link else {
            return not_sent;
        };
        let seq = link.next.fetch_add(1, Ordering::SeqCst) + 1;
        let (tx, rx) = oneshot::channel();
        let pending = Pending {
            reply: tx,
            idempotent: work.idempotent,
        };
        link.add(n, seq, pending);
        let mut waiting = Waiting {
            link: &link,
            seq,
            ended: false,
        };
        let message = request_message(n, work, seq);
        if link.outgoing.try_send((seq, message)).is_err() {
            lock(&link.pending).remove(&seq);
            return not_sent;
        }
        let reply = rx.await;
        waiting.ended = true;
        reply.unwrap_or(Reply::Failed {
            failure: Failure::unknown(Reason::Lost),
            at_target: true,
        })
    }

    /// Asks a node for the version in force, as a patch of `have`.
    pub fn ask_config(&self, node: &str, have: VersionNumber) -> bool {
        let link = lock(&self.open).get(node).cloned();
        link.is_some_and(|l| {
            let ask = Message::bare(Head::AskConfig(have));
            l.outgoing.try_send((0, ask)).is_ok()
        })
    }

    /// Has all quiet links pinged now.
    fn alarm(&self) {
        lock(&self.open).values().for_each(|l| l.alarm.notify_one());
    }

    /// The nodes at the other ends, and whether they say that they watch the store.
    pub fn candidates(&self) -> Vec<WatcherCandidate> {
        let open = lock(&self.open);
        let candidate = |l: &Arc<Link>| WatcherCandidate {
            node: l.node.clone(),
            reaches_store: l.fresh.load(Ordering::SeqCst),
        };
        open.values().map(candidate).collect()
    }
}

pub(super) fn hello(n: &Node) -> Message {
    Message::bare(Head::Hello(Box::new(n.record()), n.version(), n.is_fresh()))
}

fn request_message(n: &Node, work: &Work, seq: Seq) -> Message {
    let now = n.clock.now();
    let (header_len, rest) = join(&work.headers, &work.body);
    let head = RequestHead {
        seq,
        id: work.id.clone(),
        route: work.route.clone(),
        service: work.service.clone(),
        caller: work.caller.clone(),
        rank: work.rank,
        idempotent: work.idempotent,
        repeat: work.repeat,
        aim_ms: work.aim.as_millis() as u64,
        due_ms: work.due.saturating_sub(now).as_millis() as u64,
        left_ms: work.deadline.saturating_sub(now).as_millis() as u64,
        usual_ms: work.usual.as_millis() as u64,
        patience_ms: work.patience.map(|p| p.as_millis() as u64),
        method: work.method.as_str().into(),
        path: work.path.clone(),
        header_len,
    };
    Message {
        head: Head::Request(Box::new(head)),
        rest,
    }
}

/// Moves messages on an open link until it ends; returns why.
pub(super) async fn drive(n: &Arc<Node>, node: &NodeId, stream: Stream) -> String {
    let (outgoing, mut queue) = mpsc::channel(OUTGOING);
    let link = Arc::new(Link {
        node: node.clone(),
        outgoing,
        pending: Mutex::default(),
        written: AtomicU64::new(0),
        next: AtomicU64::new(0),
        fresh: AtomicBool::new(false),
        alarm: Notify::new(),
        waiting_since: AtomicU64::new(0),
        waits: Notify::new(),
    });
    let (mut sink, mut source) = stream.split();
    let hop = n.hop(node);
    let greeting = Ws::Binary(n.encode(&hello(n), hop));
    if let Err(e) = sink.send(greeting).await {
        return e.to_string();
    }
    // Writing has a task of its own: a peer that does not read must not keep its answers from being read.
    let (writer_node, writer_link) = (n.clone(), link.clone());
    let writer = tokio::spawn(async move {
        while let Some((seq, message)) = queue.recv().await {
            // A request whose caller has gone meanwhile is not sent at all.
            if seq > 0 && !lock(&writer_link.pending).contains_key(&seq) {
                continue;
            }
            writer_link.written.fetch_max(seq, Ordering::SeqCst);
            let data = writer_node.encode(&message, hop);
            if sink.send(Ws::Binary(data)).await.is_err() {
                return;
            }
        }
    });
    lock(&n.links.open).insert(node.clone(), link.clone());
    n.place().set_reachable(node, true);
    let mut silence = Liveness {
        last_heard: n.clock.now(),
        pinged_at: None,
        state: PeerState::Healthy,
    };
    let why = loop {
        let wait = silence.next_check(link.waiting(), n.clock.now());
        tokio::select! {
            message = source.next() => match message {
                Some(Ok(Ws::Binary(data))) => {
                    silence.last_heard = n.clock.now();
                    silence.pinged_at = None;
                    if silence.state != PeerState::Healthy {
                        silence.state = PeerState::Healthy;
                        n.place().set_reachable(node, true);
                    }
                    if let Err(e) = receive(n, &link, data) {
                        break e;
                    }
                }
                Some(Ok(Ws::Close(_))) | None => break "closed".to_owned(),
                Some(Ok(_)) => {}
                Some(Err(e)) => break e.to_string(),
            },
            () = link.waits.notified() => {}
            () = link.alarm.notified() => {
                let now = n.clock.now();
                if silence.pinged_at.is_none() && now >= silence.last_heard + PING_AFTER {
                    ping(n, &link, &mut silence);
                }
            }
            () = tokio::time::sleep(wait) => {
                if let Some(why) = check_silence(n, &link, &mut silence) {
                    break why;
                }
            }
        }
    };
    n.place().set_reachable(node, false);
    lock(&n.links.open).remove(node);
    writer.abort();
    link.fail(|_| true);
    why
}

fn check_silence(n: &Node, link: &Link, s: &mut Liveness) -> Option<String> {
    let now = n.clock.now();
    let Some(pinged) = s.pinged_at else {
        let silent = link
            .waiting()
            .is_some_and(|t| now >= s.last_heard.max(t) + PING_AFTER);
        if silent || now >= s.last_heard + IDLE_PING_AFTER {
            ping(n, link, s);
        }
        return None;
    };
    let age = now.saturating_sub(pinged);
    // A busy process looks late, so one look may take several steps.
    if age >= AVOID_AFTER && s.state < PeerState::Avoided {
        s.state = PeerState::Avoided;
        n.place().set_reachable(&link.node, false);
        // A partition silences many links at once; idle ones would each cost a request to find out.
        n.links.alarm();
    }
    if age >= SUSPECT_AFTER && s.state < PeerState::Suspect {
        s.state = PeerState::Suspect;
        link.fail(|p| p.idempotent);
    }
    (age >= CLOSE_AFTER).then(|| "silent".to_owned())
}

fn ping(n: &Node, link: &Link, s: &mut Liveness) {
    s.pinged_at = Some(n.clock.now());
    let ping = Message::bare(Head::Ping(n.version()));
    // A full queue is the silence itself.
    let _ = link.outgoing.try_send((0, ping));
}

/// Takes a message of the node that this one opened a link to.
fn receive(n: &Arc<Node>, link: &Link, data: bytes::Bytes) -> Result<(), String> {
    let message = Message::decode(data)?;
    let now = n.clock.now();
    match &message.head {
        Head::Answer(a, load) => {
            n.place().record_load(now, &link.node, *load);
            let (headers, body) = message.split(a.header_len)?;
            let status = StatusCode::from_u16(a.status).map_err(|e| e.to_string())?;
            let whole = Whole {
                status,
                headers,
                body,
                ran: Duration::from_millis(a.ran_ms),
            };
            link.finish(a.seq, Reply::Answer(whole));
        }
        Head::Failed(f, load) => {
            n.place().record_load(now, &link.node, *load);
            let reply = Reply::Failed {
                failure: f.failure(),
                at_target: f.at_target,
            };
            link.finish(f.seq, reply);
        }
        Head::Hello(record, version, fresh) => {
            link.fresh.store(*fresh, Ordering::SeqCst);
            n.met(record.as_ref().clone());
            n.heard_version(&link.node, *version);
        }
        Head::Target(sequence, target) => n.heard_target(&link.node, *sequence, target.clone()),
        Head::News(version, fresh) => {
            link.fresh.store(*fresh, Ordering::SeqCst);
            n.heard_version(&link.node, *version);
        }
        Head::Pong(version) => n.heard_version(&link.node, *version),
        Head::Config(base) => n.offer_config(&link.node, *base, message.rest),
        _ => return Err("unexpected message".into()),
    }
    n.members().record_contact(&link.node, now);
    Ok(())
}
