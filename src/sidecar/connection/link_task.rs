//! Task of a link that this node opened: exchanges its messages, and pings the peer to detect an unresponsive one well before
//! the deadlines of the requests on the link.

use std::sync::atomic::Ordering;

use bytes::Bytes;
use futures_util::stream::SplitSink;
use futures_util::{SinkExt, StreamExt};
use http::StatusCode;
use tokio::sync::mpsc;
use tokio_tungstenite::tungstenite::Message as Ws;

use crate::prelude::*;
use crate::request::reason::Reason;
use crate::sidecar::connection::dial::LinkStream;
use crate::sidecar::connection::frame::{Head, Message, ResponseHead, Seq};
use crate::sidecar::connection::link::{lock, Link, MAX_OUTGOING};
use crate::sidecar::connection::liveness::{
    Liveness, PeerState, AVOID_AFTER, CLOSE_AFTER, IDLE_PING_AFTER, PING_AFTER, SUSPECT_AFTER,
};
use crate::sidecar::connection::pool::TargetResponse;
use crate::sidecar::process::node::Node;
use crate::sidecar::request::admit::AttemptResult;

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
    let (mut sink, mut source) = stream.split();
    let hop = n.hop(node);
    let hello = Ws::Binary(n.encode(&hello_message(n), hop));
    if let Err(e) = sink.send(hello).await {
        return e.to_string();
    }
    if let Some(known) = n.known_targets_message(node) {
        // The queue is empty.
        let _ = link.outgoing.try_send((0, known));
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
                    lock(&link.freshness).on_message(liveness.last_heard);
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
    link.fail_all();
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

/// Joins the parts of a response that have arrived with the rest of its body.
///
/// # Errors
///
/// A part is missing.
fn join_parts(link: &Link, r: &ResponseHead, rest: Bytes) -> Result<Bytes, String> {
    if r.sent_before == 0 {
        return Ok(rest);
    }
    let mut body = link.take_parts(r.seq);
    // The parts of a request that was given up are not kept, and nobody waits for its response.
    if body.len() != r.sent_before && link.is_pending(r.seq) {
        return Err("a part of a response is missing".into());
    }
    body.extend_from_slice(&rest);
    Ok(body.freeze())
}

/// Handles a message on a link that this node opened.
fn handle_message(n: &Arc<Node>, link: &Link, data: Bytes) -> Result<(), String> {
    let bytes = data.len();
    let message = Message::decode(data)?;
    n.record_received(&message.head, bytes);
    let now = n.clock.now();
    match &message.head {
        Head::Grant(seq, bytes) => link.grant(*seq, *bytes),
        Head::ResponsePart(seq) => link.add_part(*seq, &message.payload)?,
        Head::Response(r, load) => {
            n.placement().record_load(now, &link.node, *load);
            let (headers, rest) = message.split_payload(r.header_len)?;
            let status = StatusCode::from_u16(r.status).map_err(|e| e.to_string())?;
            let body = join_parts(link, r, rest)?;
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
            link.set_reaches_store(*reaches_store);
            n.on_peer_record(record.as_ref().clone());
            n.on_peer_version(&link.node, *version);
        }
        Head::TargetChanged(sequence, target) => {
            n.on_peer_target(&link.node, *sequence, target.clone())
        }
        Head::Status(version, reaches_store) => {
            link.set_reaches_store(*reaches_store);
            n.on_peer_version(&link.node, *version);
        }
        Head::Pong(version) => n.on_peer_version(&link.node, *version),
        Head::Freshness(version, age_ms) => {
            let age = age_ms.map(Duration::from_millis);
            let max_age = n.freshness_limits().max_age;
            let current_at = lock(&link.freshness).on_answer(age, max_age);
            n.on_peer_version(&link.node, *version);
            if let Some(at) = current_at.filter(|_| *version <= n.version()) {
                n.confirm_version(at);
            }
        }
        Head::KnownTargets(known) => n.on_known_targets(known),
        Head::QuotaGrant(process, grants) => n.on_quota_grants(&link.node, *process, grants),
        Head::Rollout(news) => n.on_rollout_news(news, &link.node),
        Head::DepartureKept(known) => n.on_departure_kept(&link.node, known),
        Head::Config(base) => n.on_peer_config(&link.node, *base, message.payload),
        _ => return Err("unexpected message".into()),
    }
    n.members().record_contact(&link.node, now);
    Ok(())
}
