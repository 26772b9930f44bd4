//! At-most-once requests: relaying to the owner of the idempotency key, and execution at the owner.

use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use http::{HeaderName, HeaderValue, Method, Request, Response};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Incoming;
use tokio::sync::oneshot;

use super::body::{buffer_short_response, full, Body};
use super::checks::NextStep;
use super::context;
use super::entry;
use super::key::IdempotencyKey;
use super::reason::{Failure, Outcome, Reason};
use super::routed::{content_hash, RoutedRequest};
use crate::prelude::*;
use crate::process::at_most_once::dedup::{Decision, RunResult, MAX_STORED_BYTES};
use crate::process::at_most_once::ownership::{self, StoredResponse};
use crate::process::members::notices::KeyRange;
use crate::process::node::Process;
use crate::process::target::quarantine::Verdict;

/// Header that names the role in which the receiving node handles a relayed request; absent for the admitting node.
pub const ROLE: HeaderName = HeaderName::from_static("dq-role");
/// Value of [`ROLE`] for the owner of the key.
pub const OWNER_ROLE: &str = "owner";
/// Header that carries the incarnation of the owner that the sender expects.
pub const INCARNATION: HeaderName = HeaderName::from_static("dq-incarnation");
/// Path on the caller port that issues an idempotency key.
pub const KEY_PATH: &str = "/.dq/key";
/// Largest body of a non-idempotent request, in bytes; the owner holds it in memory.
pub const MAX_KEYED_BODY_BYTES: usize = 256 << 10;

/// Whether a request asks for an idempotency key.
pub fn is_key_request(req: &Request<Incoming>) -> bool {
    req.method() == Method::POST && req.uri().path() == KEY_PATH
}

/// Issues a key whose owner is alive, if possible in the availability zone of this node.
///
/// # Errors
///
/// No live owner is known.
pub fn issue_key(p: &Process) -> Result<Response<Body>, Failure> {
    let key = ownership::issue_key(p).ok_or(Failure::not_run(Reason::OwnerUnreachable))?;
    Ok(Response::new(full(format!("{}\n", key.text()))))
}

/// The failure to report for a keyed request when the owner has not responded: this attempt did not run, but an earlier
/// request with the same key may have.
pub fn with_unknown_outcome(f: Failure) -> Failure {
    Failure {
        outcome: Outcome::Unknown,
        ..f
    }
}

/// Entry node: passes a non-idempotent request to the owner of its key; an idempotent one is run by the entry node.
///
/// # Errors
///
/// The owner did not respond or rejected the request.
pub async fn dispatch(p: &Arc<Process>, routed: RoutedRequest) -> Result<NextStep, Failure> {
    if routed.route.idempotent {
        return Ok(NextStep::Run(Box::new(routed)));
    }
    let key = IdempotencyKey::read(&routed.headers)?;
    let range = p
        .notices
        .owner(key.shard(), key.time_ms())
        .map_err(Failure::unknown)?;
    let own = p.own_record();
    let res = match range.owner == own.node && range.incarnation == own.incarnation {
        true => run_once(p.clone(), routed, key, range.incarnation).await?,
        false => relay(p, &routed, &range).await?,
    };
    Ok(NextStep::Respond(res))
}

/// Relays a request to the owner of its key and returns the response.
async fn relay(
    p: &Process,
    routed: &RoutedRequest,
    range: &KeyRange,
) -> Result<Response<Body>, Failure> {
    let unreachable = Failure::unknown(Reason::OwnerUnreachable);
    let relay_address = {
        let records = p.records.load();
        let owner = records.get(&range.owner);
        let owner = owner.filter(|r| r.incarnation == range.incarnation && p.may_reach(r));
        owner.map(|r| r.addresses.relay).ok_or(unreachable)?
    };
    let remaining = routed.deadline.saturating_sub(p.clock.now());
    let mut req = routed
        .relay_request(p, relay_address)
        .map_err(with_unknown_outcome)?;
    let h = req.headers_mut();
    h.insert(ROLE, HeaderValue::from_static(OWNER_ROLE));
    h.insert(INCARNATION, range.incarnation.into());
    let send = async {
        let mut res = match p.upstream.send(req).await.map_err(Failure::from) {
            Err(f) if f.outcome == Outcome::NotRun => return Err(unreachable),
            result => result?,
        };
        if routed.ctx.is_mismatched(res.headers()) {
            return Err(Failure::unknown(Reason::BadResponse));
        }
        if let Some(f) = Failure::from_headers(res.headers()) {
            return Err(f);
        }
        context::strip_hop_by_hop(res.headers_mut());
        buffer_short_response(res, remaining).await
    };
    let result = tokio::time::timeout(remaining, send).await;
    result.unwrap_or(Err(Failure::unknown(Reason::Deadline)))
}

/// Whether a relayed request is meant for the owner of its key.
pub fn is_for_owner(req: &Request<Incoming>) -> bool {
    req.headers().get(ROLE).is_some_and(|v| v == OWNER_ROLE)
}

/// Owner: runs a request that another node relayed.
///
/// # Errors
///
/// The request was rejected, or no backend server responded.
pub async fn serve(p: &Arc<Process>, req: Request<Incoming>) -> Result<Response<Body>, Failure> {
    let incarnation = context::parse_header(req.headers(), &INCARNATION);
    let key = IdempotencyKey::read(req.headers())?;
    let routed = RoutedRequest::accept_relayed(p, req)
        .await
        .map_err(with_unknown_outcome)?;
    run_once(p.clone(), routed, key, incarnation.unwrap_or(0)).await
}

/// Owner: runs a request unless its key was used before; then returns the stored response of the first run.
async fn run_once(
    p: Arc<Process>,
    mut routed: RoutedRequest,
    key: IdempotencyKey,
    incarnation: Incarnation,
) -> Result<Response<Body>, Failure> {
    let remaining = routed.deadline.saturating_sub(p.clock.now());
    let buffered =
        tokio::time::timeout(remaining, routed.body.buffer_all(MAX_KEYED_BODY_BYTES)).await;
    buffered
        .unwrap_or(Err(Reason::SlowCaller))
        .map_err(Failure::unknown)?;
    if !p.ownership.accept(key, incarnation) {
        return Err(Failure::unknown(Reason::OwnerUnreachable));
    }
    let remaining = routed.deadline.saturating_sub(p.clock.now());
    let begin = p.ownership.begin(key, content_hash(&routed));
    match tokio::time::timeout(remaining, begin).await {
        Ok(Decision::Run) => spawn_run(&p, routed, key).await,
        Ok(Decision::Done(stored)) => Ok(stored.response()),
        Ok(Decision::Unknown(reason)) => Err(Failure::unknown(reason)),
        Ok(Decision::Reused) => Err(Failure::unknown(Reason::KeyReused)),
        Ok(Decision::Expired) => Err(Failure::unknown(Reason::KeyExpired)),
        Ok(Decision::Full) => Err(Failure::not_run(Reason::QueueFull)),
        Ok(Decision::Wait) | Err(_) => Err(Failure::unknown(Reason::Deadline)),
    }
}

/// Records the result of a run in the table of keys when dropped. A run without a result, for instance because its task
/// panicked, is recorded as unknown.
struct RunGuard {
    p: Arc<Process>,
    key: IdempotencyKey,
    result: Option<RunResult<Arc<StoredResponse>>>,
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        let result = self
            .result
            .take()
            .unwrap_or(RunResult::Unknown(Reason::Lost));
        self.p.ownership.finish(self.key, result);
    }
}

/// Runs the request in its own task, so that duplicates still get the response when the first caller disconnects.
async fn spawn_run(
    p: &Arc<Process>,
    routed: RoutedRequest,
    key: IdempotencyKey,
) -> Result<Response<Body>, Failure> {
    let (tx, rx) = oneshot::channel();
    let run = RunGuard {
        p: p.clone(),
        key,
        result: None,
    };
    tokio::spawn(async move {
        let _ = tx.send(execute(run, routed).await);
    });
    rx.await.unwrap_or(Err(Failure::unknown(Reason::Lost)))
}

/// Runs the request and records the result in `run`, with the response if it is short enough to be stored.
async fn execute(mut run: RunGuard, mut routed: RoutedRequest) -> Result<Response<Body>, Failure> {
    let p = run.p.clone();
    let result = match p.notices.verdict(&routed.fingerprint()) {
        Verdict::Quarantined => Err(Failure::not_run(Reason::Quarantined)),
        _ => entry::run(&p, &mut routed).await,
    };
    let res = result.inspect_err(|f| run.result = Some(run_result(*f)))?;
    let (mut parts, body) = res.into_parts();
    context::strip_internal(&mut parts.headers);
    let remaining = routed.deadline.saturating_sub(p.clock.now());
    let read = tokio::time::timeout(remaining, read_response(body)).await;
    let (data, remainder) = read.unwrap_or(Err(Failure::unknown(Reason::Deadline)))?;
    let stored = Arc::new(StoredResponse {
        status: parts.status,
        headers: parts.headers.clone(),
        body: data.clone(),
    });
    let size = match remainder {
        Some(_) => usize::MAX,
        None => stored.size(),
    };
    run.result = Some(RunResult::Done(stored, size));
    Ok(Response::from_parts(parts, join_body(data, remainder)))
}

fn run_result(f: Failure) -> RunResult<Arc<StoredResponse>> {
    match f.outcome {
        Outcome::NotRun => RunResult::NotRun,
        _ => RunResult::Unknown(f.reason),
    }
}

/// Reads a response up to the largest size that is stored; the remainder of a larger one is returned as a stream.
async fn read_response(mut body: Body) -> Result<(Bytes, Option<Body>), Failure> {
    let mut data = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| Failure::unknown(Reason::BadResponse))?;
        data.extend(frame.into_data().unwrap_or_default());
        if data.len() > MAX_STORED_BYTES {
            return Ok((data.freeze(), Some(body)));
        }
    }
    Ok((data.freeze(), None))
}

fn join_body(data: Bytes, remainder: Option<Body>) -> Body {
    match remainder {
        None => full(data),
        Some(remainder) => {
            let prefix = futures_util::stream::iter([Ok(http_body::Frame::data(data))]);
            let remainder = http_body_util::BodyStream::new(remainder);
            StreamBody::new(prefix.chain(remainder)).boxed_unsync()
        }
    }
}
