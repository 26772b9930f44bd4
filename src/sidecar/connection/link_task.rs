//! Task of a link that this node opened: exchanges its messages, and pings the peer to detect an unresponsive one well before
//! the deadlines of the requests on the link.

use std::sync::atomic::Ordering;

use futures_util::stream::{SplitSink, SplitStream};
use futures_util::{SinkExt, StreamExt};
use tokio::sync::mpsc;
use tokio_tungstenite::tungstenite::Message as Ws;

use crate::prelude::*;
use crate::sidecar::connection::dial::LinkStream;
use crate::sidecar::connection::frame::{Head, Message, Seq};
use crate::sidecar::connection::link::{lock, Link, MAX_OUTGOING};
use crate::sidecar::connection::link_messages::handle_message;
use crate::sidecar::connection::liveness::{
    Liveness, PeerState, AVOID_AFTER, CLOSE_AFTER, IDLE_PING_AFTER, PING_AFTER, SUSPECT_AFTER,
};
use crate::sidecar::process::node::Node;

pub(crate) fn hello_message(n: &Node) -> Message {
    Message::without_payload(Head::Hello(
        Box::new(n.record()),
        n.version(),
        n.reaches_store(),
    ))
}

/// Exchanges messages on a link until it is closed. Returns the reason.
pub(crate) async fn drive(n: &Arc<Node>, node: &NodeId, stream: LinkStream) -> String {
    let (outgoing, queue) = mpsc::channel(MAX_OUTGOING);
    let (cancels, cancelled) = mpsc::unbounded_channel();
    let link = Arc::new(Link::new(node.clone(), outgoing, cancels));
    let (mut sink, source) = stream.split();
    let hop = n.hop(node);
    let hello = Ws::Binary(n.encode(&hello_message(n), hop));
    if let Err(e) = sink.send(hello).await {
        return e.to_string();
    }
    if let Some(known) = n.known_targets_message(node) {
        // The queue is empty.
        let _ = link.outgoing.try_send((0, known));
    }
    let reports = n.suspect_reports();
    if !reports.is_empty() {
        let suspects = Message::without_payload(Head::Suspects(reports));
        let _ = link.outgoing.try_send((0, suspects));
    }
    for news in n.rollout_messages() {
        let _ = link.outgoing.try_send((0, news));
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
    let reason = read_messages(n, &link, source).await;
    n.placement().set_reachable(node, false);
    lock(&n.links.open).remove(node);
    writer.abort();
    link.fail_all();
    reason
}

/// Reads the messages of a link and checks the liveness of its peer until the link has to be closed. Returns the reason.
async fn read_messages(n: &Arc<Node>, link: &Link, mut source: SplitStream<LinkStream>) -> String {
    let mut liveness = Liveness {
        last_heard: n.clock.now(),
        pinged_at: None,
        state: PeerState::Healthy,
    };
    loop {
        let wait = liveness.next_check(link.pending_since(), n.clock.now());
        tokio::select! {
            message = source.next() => match message {
                Some(Ok(Ws::Binary(data))) => {
                    record_heard(n, link, &mut liveness);
                    if let Err(e) = handle_message(n, link, data) {
                        return e;
                    }
                }
                Some(Ok(Ws::Close(_))) | None => return "closed".to_owned(),
                Some(Ok(_)) => {}
                Some(Err(e)) => return e.to_string(),
            },
            () = link.pending_added.notified() => {}
            () = link.ping_now.notified() => {
                let now = n.clock.now();
                if liveness.pinged_at.is_none() && now >= liveness.last_heard + PING_AFTER {
                    ping(n, link, &mut liveness);
                }
            }
            () = tokio::time::sleep(wait) => {
                if let Some(reason) = check_liveness(n, link, &mut liveness) {
                    return reason;
                }
            }
        }
    }
}

/// Records a message from the peer, which gets requests again if it was avoided.
fn record_heard(n: &Node, link: &Link, liveness: &mut Liveness) {
    liveness.last_heard = n.clock.now();
    liveness.pinged_at = None;
    lock(&link.freshness).on_message(liveness.last_heard);
    if liveness.state != PeerState::Healthy {
        liveness.state = PeerState::Healthy;
        link.responsive.store(true, Ordering::SeqCst);
        n.placement().set_reachable(&link.node, true);
    }
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
        link.suspected.send_modify(|n| *n += 1);
    }
    (age >= CLOSE_AFTER).then(|| "silent".to_owned())
}

fn ping(n: &Node, link: &Link, liveness: &mut Liveness) {
    liveness.pinged_at = Some(n.clock.now());
    let ping = Message::without_payload(Head::Ping(n.version()));
    // The queue is full only if the peer does not read; then the ping counts as sent and remains unanswered.
    let _ = link.outgoing.try_send((0, ping));
}
