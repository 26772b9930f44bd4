//! Running requests of an accepted link: decodes and starts them, and cancels them at the request of the peer or when
//! the link is closed.

use std::sync::Mutex;

use bytes::Bytes;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;

use crate::prelude::*;
use crate::request::reason::{Failure, Reason};
use crate::sidecar::connection::frame::{parse_method, Message, RequestHead, Seq};
use crate::sidecar::connection::link::lock;
use crate::sidecar::connection::liveness::CLOSE_AFTER;
use crate::sidecar::connection::response_sender::{result_message, send_result};
use crate::sidecar::connection::upload_receiver::{IncomingBodies, IncomingBody};
use crate::sidecar::process::bandwidth::Urgency;
use crate::sidecar::process::node::Node;
use crate::sidecar::request::admit::{self, AttemptResult, TargetRequest};

/// Running requests of an accepted link. Dropping it cancels them as described at [`admit::run`].
pub(super) struct RunningRequests {
    n: Arc<Node>,
    /// Messages to the peer.
    tx: mpsc::Sender<Message>,
    tasks: Mutex<HashMap<Seq, AbortHandle>>,
    bodies: IncomingBodies,
}

impl Drop for RunningRequests {
    fn drop(&mut self) {
        for task in lock(&self.tasks).values() {
            task.abort();
        }
    }
}

impl RunningRequests {
    /// Creates the state of a link without requests, whose results go to `tx`.
    pub(super) fn new(n: Arc<Node>, tx: mpsc::Sender<Message>) -> Self {
        Self {
            n,
            tx,
            tasks: Mutex::default(),
            bodies: IncomingBodies::default(),
        }
    }

    /// Starts a request that arrived whole and was delayed on its link for `delay`.
    pub(super) fn start(self: &Arc<Self>, head: &RequestHead, message: &Message, delay: Duration) {
        self.run(head, message, delay, None);
    }

    /// Starts a request whose body of `len` bytes follows in parts.
    pub(super) fn start_offered(
        self: &Arc<Self>,
        head: &RequestHead,
        len: usize,
        message: &Message,
        delay: Duration,
    ) {
        let body = IncomingBody {
            seq: head.seq,
            len,
            parts: self.bodies.begin(head.seq),
            tx: self.tx.clone(),
        };
        self.run(head, message, delay, Some(body));
    }

    /// Adds a part of the body of an offered request.
    pub(super) fn add_part(&self, seq: Seq, part: Bytes) {
        self.bodies.add(seq, part);
    }

    /// Cancels a request, if it still runs.
    pub(super) fn cancel(&self, seq: Seq) {
        self.bodies.end(seq);
        if let Some(task) = lock(&self.tasks).remove(&seq) {
            task.abort();
        }
    }

    fn run(
        self: &Arc<Self>,
        head: &RequestHead,
        message: &Message,
        delay: Duration,
        body: Option<IncomingBody>,
    ) {
        let seq = head.seq;
        let request = match decode_request(&self.n, head, message, delay) {
            Ok(request) => request,
            Err(reason) => {
                let rejection = AttemptResult::undelivered(Failure::not_run(reason));
                let rejection = result_message(&self.n, seq, 0, rejection);
                let _ = self.tx.try_send(rejection);
                self.bodies.end(seq);
                return;
            }
        };
        // The task must not keep the requests of its link, which are cancelled when they are dropped.
        let (n, tx, weak) = (self.n.clone(), self.tx.clone(), Arc::downgrade(self));
        let urgency = Urgency {
            rank: request.rank,
            due: request.due,
        };
        let task = tokio::spawn(async move {
            let _guard = n.track_request();
            let result = match body {
                Some(body) => body.run(&n, request).await,
                None => admit::run(&n, request).await,
            };
            send_result(&n, &tx, seq, urgency, result).await;
            if let Some(requests) = weak.upgrade() {
                requests.bodies.end(seq);
                lock(&requests.tasks).remove(&seq);
            }
        });
        if !task.is_finished() {
            lock(&self.tasks).insert(seq, task.abort_handle());
        }
    }
}

/// Decodes a request that was delayed on its link for `delay`, which counts against its deadline.
fn decode_request(
    n: &Node,
    head: &RequestHead,
    message: &Message,
    delay: Duration,
) -> Result<TargetRequest, Reason> {
    let now = n.clock.now();
    let remaining = Duration::from_millis(head.remaining_ms).saturating_sub(delay);
    // The sender gives a link up that delays its pings for so long, with all requests on it.
    if remaining.is_zero() || delay >= CLOSE_AFTER {
        return Err(Reason::Expired);
    }
    let payload = message.split_payload(head.header_len);
    let (headers, body) = payload.map_err(|_| Reason::BadRequest)?;
    Ok(TargetRequest {
        id: head.id.clone(),
        route: head.route.clone(),
        service: head.service.clone(),
        caller: head.caller.clone(),
        tenant: head.tenant.clone(),
        rank: head.rank.min(crate::sidecar::version::routes::RANKS - 1),
        idempotent: head.idempotent,
        retry: head.retry,
        objective: Duration::from_millis(head.objective_ms),
        due: now + Duration::from_millis(head.until_due_ms).saturating_sub(delay),
        deadline: now + remaining,
        baseline: Duration::from_millis(head.baseline_ms),
        max_wait: head.max_wait_ms.map(Duration::from_millis),
        limit: head.limit.filter(|rate| rate.is_finite() && *rate >= 0.0),
        method: parse_method(&head.method).map_err(|_| Reason::BadRequest)?,
        path: head.path.clone(),
        headers,
        body,
    })
}
