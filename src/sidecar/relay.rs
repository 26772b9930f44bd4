//! Links that other nodes opened: their requests for the target beside this node, and what they are told.

use std::sync::{Mutex, OnceLock};

use futures_util::{SinkExt, StreamExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::AbortHandle;
use tokio_tungstenite::tungstenite::Message as Ws;

use super::admit::{self, strip_answer, Reply, Work};
use super::dial::{buffers, OPEN_TIMEOUT};
use super::frame::{join, method, AnswerHead, FailedHead, Head, Message, RequestHead, Seq};
use super::link::{hello, lock, OUTGOING};
use super::metrics::Hop;
use super::node::Node;
use super::patch;
use crate::prelude::*;
use crate::request::reason::{Failure, Outcome, Reason};

/// Pause after a failed `accept`, which usually means that file descriptors ran out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts links of other nodes for ever.
pub async fn accept(n: Arc<Node>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(serve(n.clone(), stream));
            }
            Err(e) => {
                spdlog::warn!("event=accept_failed", kv: { error = e.to_string() });
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Requests of one accepted link that have not ended.
#[derive(Default)]
struct Served {
    running: Mutex<HashMap<Seq, AbortHandle>>,
}

impl Drop for Served {
    fn drop(&mut self) {
        for task in lock(&self.running).values() {
            task.abort();
        }
    }
}

async fn serve(n: Arc<Node>, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let opened = tokio_tungstenite::accept_async_with_config(stream, Some(buffers()));
    let Ok(Ok(stream)) = tokio::time::timeout(OPEN_TIMEOUT, opened).await else {
        return;
    };
    let (mut sink, mut source) = stream.split();
    let (tx, mut rx) = mpsc::channel::<Message>(OUTGOING);
    let peer: Arc<OnceLock<NodeId>> = Arc::default();
    let (writer_node, writer_peer) = (n.clone(), peer.clone());
    let writer = tokio::spawn(async move {
        while let Some(m) = rx.recv().await {
            let hop = writer_peer.get().map_or(Hop::Zone, |p| writer_node.hop(p));
            let data = writer_node.encode(&m, hop);
            if sink.send(Ws::Binary(data)).await.is_err() {
                return;
            }
        }
    });
    let mut changed = n.changed.subscribe();
    let mut told = Told::new(&n);
    let _ = tx.send(hello(&n)).await;
    // Requests that still run when the link ends are dropped with this.
    let served = Arc::new(Served::default());
    loop {
        let data = tokio::select! {
            message = source.next() => match message {
                Some(Ok(Ws::Binary(data))) => data,
                Some(Ok(Ws::Close(_)) | Err(_)) | None => break,
                Some(Ok(_)) => continue,
            },
            changed = changed.changed() => {
                let sent = told.news(&n).into_iter().all(|m| tx.try_send(m).is_ok());
                if changed.is_err() || !sent {
                    break;
                }
                continue;
            }
        };
        let Ok(message) = Message::decode(data) else {
            break;
        };
        match &message.head {
            Head::Request(head) => start(&n, &served, &tx, head, &message),
            Head::Cancel(seq) => {
                if let Some(task) = lock(&served.running).remove(seq) {
                    task.abort();
                }
            }
            Head::Hello(record, version, _) => {
                n.met(record.as_ref().clone());
                n.heard_version(&record.node, *version);
                let _ = peer.set(record.node.clone());
            }
            Head::Ping(version) => {
                if let Some(peer) = peer.get() {
                    n.heard_version(peer, *version);
                }
                let _ = tx.try_send(Message::bare(Head::Pong(n.version())));
            }
            Head::AskConfig(have) => {
                if let Some(answer) = config_message(&n, *have) {
                    let _ = tx.try_send(answer);
                }
            }
            _ => break,
        }
    }
    writer.abort();
}

/// What the other side of an accepted link was told last.
struct Told {
    sequence: u64,
    version: VersionNumber,
    fresh: bool,
}

impl Told {
    fn new(n: &Node) -> Self {
        Self {
            sequence: n.record().sequence,
            version: n.version(),
            fresh: n.is_fresh(),
        }
    }

    /// Messages about what changed. Only nodes that watch the store tell their version: all others have it from them.
    fn news(&mut self, n: &Node) -> Vec<Message> {
        let now = Self::new(n);
        let mut out = Vec::new();
        if now.sequence != self.sequence {
            let head = Head::Target(now.sequence, n.record().target);
            out.push(Message::bare(head));
        }
        if now.fresh != self.fresh || now.fresh && now.version != self.version {
            out.push(Message::bare(Head::News(now.version, now.fresh)));
        }
        *self = now;
        out
    }
}

/// The version in force for a node that holds `have`.
fn config_message(n: &Node, have: VersionNumber) -> Option<Message> {
    let table = n.routes.load_full()?;
    if table.number <= have {
        return None;
    }
    let base = n.document(have);
    let from = base.as_ref().map_or(0, |_| have);
    // All other nodes ask at once, mostly from the same version.
    let mut cache = lock(&n.patches);
    if cache.number != table.number {
        cache.number = table.number;
        cache.patches.clear();
    }
    let patch = cache.patches.entry(from).or_insert_with(|| {
        let data = patch::encode(base.as_ref(), &table.document);
        data.into()
    });
    Some(Message {
        head: Head::Config(from),
        rest: patch.clone(),
    })
}

/// Starts a request of another node.
fn start(
    n: &Arc<Node>,
    served: &Arc<Served>,
    tx: &mpsc::Sender<Message>,
    head: &RequestHead,
    message: &Message,
) {
    let seq = head.seq;
    let Some(work) = read_work(n, head, message) else {
        let bad = Reply::refused(Failure::not_run(Reason::BadRequest));
        let _ = tx.try_send(reply_message(n, seq, bad));
        return;
    };
    let (n, tx, owner) = (n.clone(), tx.clone(), Arc::downgrade(served));
    let task = tokio::spawn(async move {
        let _flight = n.flight();
        let reply = admit::run(&n, work).await;
        // The queue is full only when the other side does not read; it then finds the link silent.
        let _ = tx.send(reply_message(&n, seq, reply)).await;
        if let Some(served) = owner.upgrade() {
            lock(&served.running).remove(&seq);
        }
    });
    if !task.is_finished() {
        lock(&served.running).insert(seq, task.abort_handle());
    }
}

fn read_work(n: &Node, head: &RequestHead, message: &Message) -> Option<Work> {
    let now = n.clock.now();
    let (headers, body) = message.split(head.header_len).ok()?;
    Some(Work {
        id: head.id.clone(),
        route: head.route.clone(),
        service: head.service.clone(),
        caller: head.caller.clone(),
        rank: head.rank.min(super::routes::RANKS - 1),
        idempotent: head.idempotent,
        repeat: head.repeat,
        aim: Duration::from_millis(head.aim_ms),
        due: now + Duration::from_millis(head.due_ms),
        deadline: now + Duration::from_millis(head.left_ms),
        usual: Duration::from_millis(head.usual_ms),
        patience: head.patience_ms.map(Duration::from_millis),
        method: method(&head.method).ok()?,
        path: head.path.clone(),
        headers,
        body,
    })
}

fn reply_message(n: &Node, seq: Seq, reply: Reply) -> Message {
    let load = n.slots.load();
    match reply {
        Reply::Answer(mut whole) => {
            strip_answer(&mut whole.headers);
            let (header_len, rest) = join(&whole.headers, &whole.body);
            let head = AnswerHead {
                seq,
                status: whole.status.as_u16(),
                ran_ms: whole.ran.as_millis() as u64,
                header_len,
            };
            Message {
                head: Head::Answer(head, load),
                rest,
            }
        }
        Reply::Failed { failure, at_target } => {
            let head = FailedHead {
                seq,
                unknown: failure.outcome != Outcome::NotRun,
                reason: failure.reason.as_str().into(),
                back_off_ms: failure.back_off.as_millis() as u64,
                at_target,
            };
            Message::bare(Head::Failed(head, load))
        }
    }
}
