//! Links that other nodes opened: runs their requests at the target of this node, and notifies them of changes.

use std::sync::{Mutex, OnceLock};

use futures_util::{SinkExt, StreamExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::{AbortHandle, JoinHandle};
use tokio_tungstenite::tungstenite::Message as Ws;

use crate::connection::gate::Door;
use crate::connection::meter::Account;
use crate::prelude::*;
use crate::request::reason::{Failure, Outcome, Reason};
use crate::sidecar::connection::dial::{websocket_config, OPEN_TIMEOUT};
use crate::sidecar::connection::frame::{
    join_payload, parse_method, FailureHead, Head, Message, RequestHead, ResponseHead, Seq,
};
use crate::sidecar::connection::greeting::Greeting;
use crate::sidecar::connection::link::{lock, MAX_OUTGOING};
use crate::sidecar::connection::link_task::hello_message;
use crate::sidecar::connection::liveness::CLOSE_AFTER;
use crate::sidecar::connection::pacing::is_large;
use crate::sidecar::connection::transit::TransitDelay;
use crate::sidecar::connection::upload_receiver::{IncomingBodies, IncomingBody};
use crate::sidecar::process::bandwidth::Urgency;
use crate::sidecar::process::limits::{self, Port};
use crate::sidecar::process::metrics::Hop;
use crate::sidecar::process::node::Node;
use crate::sidecar::request::admit::{self, strip_response, AttemptResult, TargetRequest};
use crate::sidecar::version::config_server::ConfigRequest;

/// Delay after a failed `accept`, which usually means that the process ran out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Delay on a link from which on a request is logged; a multiple of what a loaded process needs to read it.
const LOGGED_DELAY: Duration = Duration::from_millis(250);

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

/// Running requests of an accepted link. Dropping it cancels them as described at [`admit::run`].
#[derive(Default)]
struct RunningRequests {
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
    let (mut sink, mut source) = stream.split();
    let (tx, mut rx) = mpsc::channel::<Message>(MAX_OUTGOING);
    let peer: Arc<OnceLock<NodeId>> = Arc::default();
    let (writer_node, writer_peer) = (n.clone(), peer.clone());
    let _writer = AbortOnDrop(tokio::spawn(async move {
        while let Some(m) = rx.recv().await {
            let hop = writer_peer
                .get()
                .map_or(Hop::SameAz, |p| writer_node.hop(p));
            let data = writer_node.encode(&m, hop);
            if sink.send(Ws::Binary(data)).await.is_err() {
                return;
            }
        }
    }));
    let mut changed = n.state_changed.subscribe();
    let mut sent_state = SentState::new(&n);
    let _ = tx.send(hello_message(&n)).await;
    // Dropped when the link is closed, which cancels the requests that are still running.
    let requests = Arc::new(RunningRequests::default());
    let mut transit = TransitDelay::default();
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
        let bytes = data.len();
        let Ok(message) = Message::decode(data) else {
            break;
        };
        n.record_received(&message.head, bytes);
        match &message.head {
            Head::Request(head) => {
                let delay = transit.record(head.sent_ms, n.clock.boot_time());
                record_delay(&n, peer.get(), head, delay);
                start_request(&n, &requests, &tx, head, &message, delay, None);
            }
            Head::Offer(head, len) => {
                let delay = transit.record(head.sent_ms, n.clock.boot_time());
                record_delay(&n, peer.get(), head, delay);
                let body = IncomingBody {
                    seq: head.seq,
                    len: *len,
                    parts: requests.bodies.begin(head.seq),
                    tx: tx.clone(),
                };
                start_request(&n, &requests, &tx, head, &message, delay, Some(body));
            }
            Head::BodyPart(seq) => requests.bodies.add(*seq, message.payload),
            Head::Cancel(seq) => {
                requests.bodies.end(*seq);
                if let Some(task) = lock(&requests.tasks).remove(seq) {
                    task.abort();
                }
            }
            Head::Hello(record, version, _) => {
                greeting.finish();
                transit.reset();
                if let Some(known) = n.known_targets_message(&record.node) {
                    let _ = tx.try_send(known);
                }
                for news in n.rollout_messages() {
                    let _ = tx.try_send(news);
                }
                n.on_peer_record(record.as_ref().clone());
                n.on_peer_version(&record.node, *version);
                let _ = peer.set(record.node.clone());
            }
            Head::Ping(version) => {
                if let Some(peer) = peer.get() {
                    n.on_peer_version(peer, *version);
                }
                let _ = tx.try_send(Message::without_payload(Head::Pong(n.version())));
            }
            Head::GetFreshness => {
                let age = n.confirmation_age().map(|age| age.as_millis() as u64);
                let answer = Head::Freshness(n.version(), age);
                let _ = tx.try_send(Message::without_payload(answer));
            }
            Head::KnownTargets(known) => n.on_known_targets(known),
            Head::Rollout(news) => {
                n.on_rollout_news(news, peer.get().map_or("", |p| p));
            }
            Head::RolloutReport(report) => {
                if let Some(peer) = peer.get() {
                    n.on_rollout_report(peer, report.as_ref().clone());
                }
            }
            Head::Crash(crashed) => n.on_crash(crashed),
            Head::NoSuspect(fingerprint) => n.on_no_suspect(*fingerprint),
            Head::Departure(known) => {
                if let Some(peer) = peer.get() {
                    n.keep_departure(peer, known);
                    let kept = Head::DepartureKept(known.clone());
                    let _ = tx.try_send(Message::without_payload(kept));
                }
            }
            Head::QuotaAsk(process, asks) => {
                let answer = peer.get().and_then(|p| n.on_quota_asks(p, *process, asks));
                if let Some(answer) = answer {
                    let _ = tx.try_send(answer);
                }
            }
            Head::GetConfig(held) => {
                let request = ConfigRequest {
                    reply: tx.clone(),
                    held: *held,
                };
                // The receiver is never dropped while the process runs.
                let _ = n.config_requests.send(request);
            }
            _ => break,
        }
    }
}

/// Records for how long a request was delayed on its link.
fn record_delay(n: &Node, peer: Option<&NodeId>, head: &RequestHead, delay: Duration) {
    let hop = peer.map_or(Hop::SameAz, |p| n.hop(p));
    let seconds = n
        .metrics
        .link_delay_seconds
        .with_label_values(&[hop.as_str()]);
    seconds.observe(delay.as_secs_f64());
    if delay >= LOGGED_DELAY {
        n.log.event(
            "request_delayed",
            &[
                ("request", &head.id),
                ("from", peer.map_or("", |p| p)),
                ("delay_ms", &delay.as_millis().to_string()),
                ("remaining_ms", &head.remaining_ms.to_string()),
            ],
        );
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

fn start_request(
    n: &Arc<Node>,
    requests: &Arc<RunningRequests>,
    tx: &mpsc::Sender<Message>,
    head: &RequestHead,
    message: &Message,
    delay: Duration,
    body: Option<IncomingBody>,
) {
    let seq = head.seq;
    let request = match decode_request(n, head, message, delay) {
        Ok(request) => request,
        Err(reason) => {
            let rejection = AttemptResult::undelivered(Failure::not_run(reason));
            let _ = tx.try_send(result_message(n, seq, 0, rejection));
            requests.bodies.end(seq);
            return;
        }
    };
    let (n, tx, weak) = (n.clone(), tx.clone(), Arc::downgrade(requests));
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
        lock(&requests.tasks).insert(seq, task.abort_handle());
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

/// Sends the result of a request; a large response in parts, as the link has room.
async fn send_result(
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
fn result_message(n: &Node, seq: Seq, sent_before: usize, result: AttemptResult) -> Message {
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
