//! Sends large request bodies to the nodes of their targets, as these grant them.

use tokio::sync::mpsc;

use crate::prelude::*;
use crate::request::reason::{Failure, Outcome};
use crate::sidecar::connection::frame::{Head, Message, Seq};
use crate::sidecar::connection::link::{Link, OutgoingBody};
use crate::sidecar::connection::links::{not_sent, request_head, Links};
use crate::sidecar::process::bandwidth::{Urgency, PIECE_BYTES};
use crate::sidecar::process::node::Node;
use crate::sidecar::request::admit::{AttemptResult, TargetRequest};
use crate::sidecar::request::upload::Upload;

impl Links {
    /// Offers a request to the node of a target, sends its body as that node grants it, and waits for the result.
    /// Dropping the future cancels the request.
    pub(crate) async fn call_upload(
        &self,
        n: &Arc<Node>,
        node: &NodeId,
        request: &TargetRequest,
        upload: &Upload,
    ) -> AttemptResult {
        let (grants, granted) = mpsc::unbounded_channel();
        let body = OutgoingBody {
            grants,
            passed_on: false,
        };
        let Some(mut call) = self.begin(n, node, request, Some(body)) else {
            return not_sent();
        };
        let (link, seq) = (call.guard.link.clone(), call.guard.seq);
        let (head, payload) = request_head(n, request, seq);
        let offer = Message {
            head: Head::Offer(Box::new(head), upload.len()),
            payload,
        };
        if !call.queue(offer) {
            return not_sent();
        }
        let sender = BodySender {
            n: n.clone(),
            link: &link,
            seq,
            upload,
            urgency: Urgency {
                rank: request.rank,
                due: request.due,
            },
        };
        let sent = tokio::select! {
            biased;
            result = call.wait() => return explain(n, upload, result),
            sent = sender.send(granted) => sent,
        };
        match sent {
            Ok(()) => call.wait().await,
            // Dropping the call cancels it before its body is whole, so the request does not run.
            Err(f) => AttemptResult::undelivered(f),
        }
    }
}

/// Names the caller as the cause if the node gave up a body that the caller did not send.
fn explain(n: &Node, upload: &Upload, result: AttemptResult) -> AttemptResult {
    match result {
        AttemptResult::Failed { failure, delivered }
            if failure.outcome == Outcome::NotRun && !delivered =>
        {
            AttemptResult::undelivered(upload.explain(n.clock.now(), failure))
        }
        other => other,
    }
}

/// A body that is being sent.
struct BodySender<'a> {
    n: Arc<Node>,
    link: &'a Link,
    seq: Seq,
    upload: &'a Upload,
    urgency: Urgency,
}

impl BodySender<'_> {
    /// Sends the body as it is granted. Returns when all of it is on its way or the request has ended.
    async fn send(&self, mut grants: mpsc::UnboundedReceiver<usize>) -> Result<(), Failure> {
        let (mut granted, mut sent) = (0, 0);
        while sent < self.upload.len() {
            while granted <= sent {
                match grants.recv().await {
                    Some(bytes) => granted = self.upload.len().min(bytes.saturating_add(granted)),
                    // The request has ended.
                    None => return Ok(()),
                }
            }
            let bytes = PIECE_BYTES.min(granted - sent);
            let part = self.upload.read(&self.n, sent, bytes).await?;
            // The next grant may be late, so only what was granted counts as waiting for the link.
            let transfer = self.n.shared_link.begin(self.urgency, bytes);
            transfer.next_piece().await;
            sent += bytes;
            if sent == self.upload.len() {
                self.upload.pass_on();
                self.link.pass_body_on(self.seq);
            }
            let message = Message {
                head: Head::BodyPart(self.seq),
                payload: part,
            };
            if self.link.outgoing.send((self.seq, message)).await.is_err() {
                return Ok(());
            }
        }
        Ok(())
    }
}
