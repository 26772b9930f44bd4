//! Bodies of requests that other nodes offer: grants them in pieces and runs the request once its body is whole.

use std::sync::Mutex;

use bytes::Bytes;
use tokio::sync::mpsc;

use crate::prelude::*;
use crate::request::reason::{Failure, Reason};
use crate::sidecar::connection::frame::{Head, Message, Seq};
use crate::sidecar::connection::inbound_link::InboundTransfer;
use crate::sidecar::connection::link::lock;
use crate::sidecar::connection::pool::append;
use crate::sidecar::process::node::Node;
use crate::sidecar::request::admit::{AttemptResult, TargetRequest};
use crate::sidecar::request::admit_upload::{self, Source};

/// Bodies of an accepted link that have not arrived as a whole.
#[derive(Default)]
pub(super) struct IncomingBodies(Mutex<HashMap<Seq, mpsc::UnboundedSender<Bytes>>>);

impl IncomingBodies {
    /// Begins a body.
    pub(super) fn begin(&self, seq: Seq) -> mpsc::UnboundedReceiver<Bytes> {
        let (tx, rx) = mpsc::unbounded_channel();
        lock(&self.0).insert(seq, tx);
        rx
    }

    /// Adds a part of a body, unless its request has ended.
    pub(super) fn add(&self, seq: Seq, part: Bytes) {
        if let Some(tx) = lock(&self.0).get(&seq) {
            // The receiver is dropped if the body was given up.
            let _ = tx.send(part);
        }
    }

    /// Ends a body.
    pub(super) fn end(&self, seq: Seq) {
        lock(&self.0).remove(&seq);
    }
}

/// A body that another node sends.
pub(super) struct IncomingBody {
    pub(super) seq: Seq,
    /// Announced length, in bytes.
    pub(super) len: usize,
    pub(super) parts: mpsc::UnboundedReceiver<Bytes>,
    /// Messages to the sender.
    pub(super) tx: mpsc::Sender<Message>,
}

impl IncomingBody {
    /// Admits the body, receives it and runs its request. The target gets nothing before the body is whole.
    pub(super) async fn run(mut self, n: &Arc<Node>, mut request: TargetRequest) -> AttemptResult {
        request.end_before(n.stop_end());
        let transfer = match admit_upload::admit(n, &request, self.len, Source::Link) {
            Ok(transfer) => transfer,
            Err(f) => return AttemptResult::undelivered(f),
        };
        let received = self.receive(n, &transfer, request.deadline).await;
        // Nothing more is accepted.
        self.parts.close();
        match received {
            Ok(body) => admit_upload::run(n, request, body, transfer).await,
            Err(f) => AttemptResult::undelivered(f),
        }
    }

    /// Grants the body piece by piece, until all of it has arrived.
    async fn receive(
        &mut self,
        n: &Node,
        transfer: &InboundTransfer,
        deadline: Now,
    ) -> Result<Bytes, Failure> {
        // Grows with what arrives, because the announced length proves nothing.
        let mut body = Vec::new();
        let mut granted = 0;
        while body.len() < self.len {
            tokio::select! {
                biased;
                part = self.parts.recv() => {
                    let part = part.ok_or(Failure::not_run(Reason::Lost))?;
                    if body.len() + part.len() > granted {
                        return Err(Failure::not_run(Reason::BadRequest));
                    }
                    transfer.arrived(part.len());
                    append(&mut body, &part);
                }
                bytes = transfer.next_grant(), if granted < self.len => {
                    let bytes = bytes?;
                    granted += bytes;
                    let grant = Message::without_payload(Head::Grant(self.seq, bytes));
                    let _ = self.tx.send(grant).await;
                }
                () = n.wait_until(deadline) => return Err(Failure::not_run(Reason::Deadline)),
            }
        }
        Ok(body.into())
    }
}
