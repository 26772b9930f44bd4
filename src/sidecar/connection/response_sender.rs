//! Results of requests of other nodes: a large response goes out in parts, as the link has room.

use tokio::sync::mpsc;

use crate::request::reason::Outcome;
use crate::sidecar::connection::frame::{
    join_payload, FailureHead, Head, Message, ResponseHead, Seq,
};
use crate::sidecar::connection::pacing::is_large;
use crate::sidecar::process::bandwidth::Urgency;
use crate::sidecar::process::node::Node;
use crate::sidecar::request::admit::{strip_response, AttemptResult};

/// Sends the result of a request; a large response in parts, as the link has room.
pub(super) async fn send_result(
    n: &Node,
    tx: &mpsc::Sender<Message>,
    seq: Seq,
    urgency: Urgency,
    mut result: AttemptResult,
) {
    let mut sent_before = 0;
    if let AttemptResult::Response(response) = &mut result {
        let body = &mut response.body;
        if is_large(body.len()) {
            let transfer = n.shared_link.begin(urgency, body.len());
            loop {
                let bytes = transfer.next_piece().await;
                if bytes >= body.len() {
                    break;
                }
                let part = Message {
                    head: Head::ResponsePart(seq),
                    payload: body.split_to(bytes),
                };
                sent_before += bytes;
                if tx.send(part).await.is_err() {
                    return;
                }
            }
        }
    }
    // The queue is full only if the peer does not read; the peer then gets no responses to its pings and closes the
    // link.
    let _ = tx.send(result_message(n, seq, sent_before, result)).await;
}

/// Message with a result. `sent_before` bytes of the body were sent in parts.
pub(super) fn result_message(
    n: &Node,
    seq: Seq,
    sent_before: usize,
    result: AttemptResult,
) -> Message {
    let load = n.load();
    match result {
        AttemptResult::Response(mut response) => {
            strip_response(&mut response.headers);
            let (header_len, payload) = join_payload(&response.headers, &response.body);
            let head = ResponseHead {
                seq,
                status: response.status.as_u16(),
                service_ms: response.service_time.as_millis() as u64,
                header_len,
                sent_before,
            };
            Message {
                head: Head::Response(head, load),
                payload,
            }
        }
        AttemptResult::Failed { failure, delivered } => {
            let head = FailureHead {
                seq,
                unknown: failure.outcome != Outcome::NotRun,
                reason: failure.reason.as_str().into(),
                back_off_ms: failure.back_off.as_millis() as u64,
                delivered,
            };
            Message::without_payload(Head::Failed(head, load))
        }
    }
}
