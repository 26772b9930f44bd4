//! Handles the messages that arrive on a link that this node opened.

use bytes::Bytes;

use crate::connection::upstream::final_status;
use crate::prelude::*;
use crate::request::reason::{Failure, Reason};
use crate::sidecar::connection::frame::{FailureHead, Head, Message, ResponseHead};
use crate::sidecar::connection::link::{lock, Link};
use crate::sidecar::connection::link_task::hello_message;
use crate::sidecar::connection::pool::TargetResponse;
use crate::sidecar::process::node::Node;
use crate::sidecar::process::target::queue::Load;
use crate::sidecar::request::admit::AttemptResult;

/// Handles a message on a link that this node opened.
///
/// # Errors
///
/// It cannot be read, or only the node that accepted a link may get it. The link has to be closed.
pub(super) fn handle_message(n: &Arc<Node>, link: &Link, data: Bytes) -> Result<(), String> {
    let bytes = data.len();
    let message = Message::decode(data)?;
    n.record_received(&message.head, bytes);
    let now = n.clock.now();
    match &message.head {
        Head::Grant(seq, bytes) => link.grant(*seq, *bytes),
        Head::ResponsePart(seq) => link.add_part(*seq, &message.payload)?,
        Head::Response(r, load) => {
            n.placement().record_load(now, &link.node, *load);
            on_response(link, r, &message)?;
        }
        Head::Failed(f, load) => on_failed(n, link, f, *load, now),
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
        Head::Freshness(version, age_ms) => on_freshness(n, link, *version, *age_ms),
        Head::KnownTargets(known) => n.on_known_targets(known),
        Head::Suspects(reports) => n.on_suspects(reports),
        Head::QuotaGrant(process, grants) => n.on_quota_grants(&link.node, *process, grants),
        Head::Rollout(news) => n.on_rollout_news(news, &link.node),
        Head::DepartureKept(known) => n.on_departure_kept(&link.node, known),
        Head::Config(base) => n.on_peer_config(&link.node, *base, message.payload),
        _ => return Err("unexpected message".into()),
    }
    n.members().record_contact(&link.node, now);
    Ok(())
}

fn on_response(link: &Link, r: &ResponseHead, message: &Message) -> Result<(), String> {
    let (headers, rest) = message.split_payload(r.header_len)?;
    let Some(status) = final_status(r.status) else {
        let failure = Failure::unknown(Reason::BadResponse);
        link.finish(r.seq, AttemptResult::failed_at_target(failure));
        return Ok(());
    };
    let body = join_parts(link, r, rest)?;
    let response = TargetResponse {
        status,
        headers,
        body,
        service_time: Duration::from_millis(r.service_ms),
    };
    link.finish(r.seq, AttemptResult::Response(response));
    Ok(())
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

fn on_failed(n: &Node, link: &Link, f: &FailureHead, load: Load, now: Now) {
    n.placement().record_load(now, &link.node, load);
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

/// Handles the answer of the peer to the question how fresh its version is.
fn on_freshness(n: &Node, link: &Link, version: VersionNumber, age_ms: Option<u64>) {
    let age = age_ms.map(Duration::from_millis);
    let max_age = n.freshness_limits().max_age;
    let current_at = lock(&link.freshness).on_answer(age, max_age);
    n.on_peer_version(&link.node, version);
    if let Some(at) = current_at.filter(|_| version <= n.version()) {
        n.confirm_version(at);
    }
}
