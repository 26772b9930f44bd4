//! Links that other nodes opened: runs their requests at the target of this node, and notifies them of changes.

use std::sync::OnceLock;

use futures_util::{Sink, SinkExt, StreamExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio_tungstenite::tungstenite::Message as Ws;

use crate::connection::gate::Door;
use crate::connection::meter::Account;
use crate::prelude::*;
use crate::sidecar::connection::accepted_link::AcceptedLink;
use crate::sidecar::connection::dial::{websocket_config, OPEN_TIMEOUT};
use crate::sidecar::connection::frame::{Head, Message};
use crate::sidecar::connection::greeting::Greeting;
use crate::sidecar::connection::link::MAX_OUTGOING;
use crate::sidecar::connection::link_task::hello_message;
use crate::sidecar::process::limits::{self, Port};
use crate::sidecar::process::metrics::Hop;
use crate::sidecar::process::node::Node;

/// Delay after a failed `accept`, which usually means that the process ran out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts links of other nodes. Never returns.
pub async fn accept(n: Arc<Node>, listener: TcpListener) {
    let door = limits::door(&n, Port::Relay);
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let account = door.as_ref().map(Door::open);
                if let Some(door) = &door {
                    door.settle().await;
                }
                if let Some(account) = account.map_or(Some(None), |a| a.map(Some)) {
                    tokio::spawn(serve_guarded(n.clone(), stream, account));
                }
            }
            Err(e) => {
                spdlog::warn!("event=accept_failed", kv: { error = e.to_string() });
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// A task that ends with its owner, also while it waits for a peer that does not read.
struct AbortOnDrop(JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Serves a link until it is closed, or until it gives way to others before its peer has shown that it is a node.
async fn serve_guarded(n: Arc<Node>, stream: TcpStream, account: Option<Account>) {
    let greeting = Greeting::new(account);
    tokio::select! {
        () = serve(n, stream, &greeting) => {}
        () = greeting.given_up() => {}
    }
}

async fn serve(n: Arc<Node>, stream: TcpStream, greeting: &Greeting) {
    let _ = stream.set_nodelay(true);
    let stream = greeting.limit(stream);
    let opened = tokio_tungstenite::accept_async_with_config(stream, Some(websocket_config()));
    let Ok(Ok(stream)) = tokio::time::timeout(OPEN_TIMEOUT, opened).await else {
        return;
    };
    let (sink, mut source) = stream.split();
    let (tx, rx) = mpsc::channel(MAX_OUTGOING);
    let peer: Arc<OnceLock<NodeId>> = Arc::default();
    let writer = write_messages(n.clone(), peer.clone(), sink, rx);
    let _writer = AbortOnDrop(tokio::spawn(writer));
    let mut changed = n.state_changed.subscribe();
    let mut sent_state = SentState::new(&n);
    let _ = tx.send(hello_message(&n)).await;
    let mut link = AcceptedLink::new(n.clone(), tx.clone(), peer, greeting);
    loop {
        let data = tokio::select! {
            message = source.next() => match message {
                Some(Ok(Ws::Binary(data))) => data,
                Some(Ok(Ws::Close(_)) | Err(_)) | None => break,
                Some(Ok(_)) => continue,
            },
            changed = changed.changed() => {
                let sent = sent_state.updates(&n).into_iter().all(|m| tx.try_send(m).is_ok());
                if changed.is_err() || !sent {
                    break;
                }
                continue;
            }
        };
        if link.handle(data).is_err() {
            break;
        }
    }
}

/// Writes the messages to the peer of a link, until the connection fails.
async fn write_messages<S>(
    n: Arc<Node>,
    peer: Arc<OnceLock<NodeId>>,
    mut sink: S,
    mut queue: mpsc::Receiver<Message>,
) where
    S: Sink<Ws> + Unpin,
{
    while let Some(m) = queue.recv().await {
        let hop = peer.get().map_or(Hop::SameAz, |p| n.hop(p));
        let data = n.encode(&m, hop);
        if sink.send(Ws::Binary(data)).await.is_err() {
            return;
        }
    }
}

/// State of this node as it was last sent on an accepted link.
struct SentState {
    sequence: u64,
    version: VersionNumber,
    reaches_store: bool,
}

impl SentState {
    fn new(n: &Node) -> Self {
        Self {
            sequence: n.record().sequence,
            version: n.version(),
            reaches_store: n.reaches_store(),
        }
    }

    /// Messages about what has changed. Only nodes that watch the store send their version, because all others learn it
    /// from them.
    fn updates(&mut self, n: &Node) -> Vec<Message> {
        let now = Self::new(n);
        let mut out = Vec::new();
        if now.sequence != self.sequence {
            let head = Head::TargetChanged(now.sequence, n.record().target);
            out.push(Message::without_payload(head));
        }
        if now.reaches_store != self.reaches_store
            || now.reaches_store && now.version != self.version
        {
            out.push(Message::without_payload(Head::Status(
                now.version,
                now.reaches_store,
            )));
        }
        *self = now;
        out
    }
}
