//! At-most-once requests: from the entry node to the owner of the key, and at the owner.

use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use http::{HeaderName, HeaderValue, Method, Request, Response};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Incoming;
use tokio::sync::oneshot;

use super::body::{full, settle, Body};
use super::context;
use super::entry;
use super::gate::Way;
use super::job::{content, Job};
use super::key::Key;
use super::reason::{Failure, Outcome, Reason};
use crate::prelude::*;
use crate::process::members::notices::KeyRange;
use crate::process::node::Process;
use crate::process::once::dedup::{Decision, RunResult, MAX_STORED_BYTES};
use crate::process::once::ownership::{self, StoredResponse};
use crate::process::target::quarantine::Verdict;

/// Names the role in which a relayed request reaches a node; absent for admission.
pub const ROLE: HeaderName = HeaderName::from_static("dq-role");
/// Value of [`ROLE`] for the owner of the key.
pub const OWNER_ROLE: &str = "owner";
/// Incarnation that the sender looked up for the owner.
pub const INCARNATION: HeaderName = HeaderName::from_static("dq-incarnation");
/// Path on the caller port that issues a key.
pub const KEY_PATH: &str = "/.dq/key";
/// Largest body of a non-idempotent request, in bytes; the owner holds it in memory.
pub const MAX_KEYED_BYTES: usize = 256 << 10;

/// Whether a request asks for a key.
pub fn asks_for_key(req: &Request<Incoming>) -> bool {
    req.method() == Method::POST && req.uri().path() == KEY_PATH
}

/// Issues a key whose owner is alive and near.
///
/// # Errors
///
/// No living owner is known.
pub fn issue(p: &Process) -> Result<Response<Body>, Failure> {
    let key = ownership::issue_key(p).ok_or(Failure::not_run(Reason::OwnerUnreachable))?;
    Ok(Response::new(full(format!("{}\n", key.text()))))
}

/// The failure as it may be reported for a request with a key before the owner has answered: this attempt did not
/// run, but an earlier one with the same key may have.
pub fn before_owner(f: Failure) -> Failure {
    Failure {
        outcome: Outcome::Unknown,
        ..f
    }
}

/// Entry node: passes a non-idempotent request to the owner of its key.
///
/// # Errors
///
/// The request has no answer.
pub async fn pass(p: &Arc<Process>, job: Job) -> Result<Way, Failure> {
    if job.route.idempotent {
        return Ok(Way::Run(Box::new(job)));
    }
    let key = Key::read(&job.headers)?;
    let range = p
        .notices
        .owner(key.shard(), key.time_ms())
        .map_err(Failure::unknown)?;
    let own = p.own_record();
    let res = match range.owner == own.node && range.incarnation == own.incarnation {
        true => run(p.clone(), job, key, range.incarnation).await?,
        false => forward(p, &job, &range).await?,
    };
    Ok(Way::Answered(res))
}

async fn forward(p: &Process, job: &Job, range: &KeyRange) -> Result<Response<Body>, Failure> {
    let unreachable = Failure::unknown(Reason::OwnerUnreachable);
    let relay = {
        let records = p.records.load();
        let same = records.get(&range.owner);
        let same = same.filter(|r| r.incarnation == range.incarnation && p.may_reach(r));
        same.map(|r| r.addresses.relay).ok_or(unreachable)?
    };
    let left = job.deadline.saturating_sub(p.clock.now());
    let mut req = job.relay_request(p, relay).map_err(before_owner)?;
    let h = req.headers_mut();
    h.insert(ROLE, HeaderValue::from_static(OWNER_ROLE));
    h.insert(INCARNATION, range.incarnation.into());
    let send = async {
        let mut res = match p.upstream.send(req).await.map_err(Failure::from) {
            Err(f) if f.outcome == Outcome::NotRun => return Err(unreachable),
            sent => sent?,
        };
        if job.ctx.is_crossed(res.headers()) {
            return Err(Failure::unknown(Reason::BadAnswer));
        }
        if let Some(f) = Failure::read(res.headers()) {
            return Err(f);
        }
        context::strip_hop(res.headers_mut());
        settle(res, left).await
    };
    let sent = tokio::time::timeout(left, send).await;
    sent.unwrap_or(Err(Failure::unknown(Reason::Deadline)))
}

/// Whether a relayed request is meant for the owner of its key.
pub fn is_for_owner(req: &Request<Incoming>) -> bool {
    req.headers().get(ROLE).is_some_and(|v| v == OWNER_ROLE)
}

/// Owner, relay port: runs a request that another node passed on.
///
/// # Errors
///
/// The request has no answer.
pub async fn serve(p: &Arc<Process>, req: Request<Incoming>) -> Result<Response<Body>, Failure> {
    let incarnation = context::header(req.headers(), &INCARNATION);
    let key = Key::read(req.headers())?;
    let job = Job::relayed(p, req).await.map_err(before_owner)?;
    run(p.clone(), job, key, incarnation.unwrap_or(0)).await
}

/// Owner: runs a request, or answers from the first run of its key.
async fn run(
    p: Arc<Process>,
    mut job: Job,
    key: Key,
    incarnation: Incarnation,
) -> Result<Response<Body>, Failure> {
    let left = job.deadline.saturating_sub(p.clock.now());
    let hold = tokio::time::timeout(left, job.body.hold(MAX_KEYED_BYTES)).await;
    hold.unwrap_or(Err(Reason::SlowCaller))
        .map_err(Failure::unknown)?;
    if !p.ownership.accept(key, incarnation) {
        return Err(Failure::unknown(Reason::OwnerUnreachable));
    }
    let left = job.deadline.saturating_sub(p.clock.now());
    let begun = p.ownership.begin(key, content(&job));
    match tokio::time::timeout(left, begun).await {
        Ok(Decision::Run) => start(&p, job, key).await,
        Ok(Decision::Done(stored)) => Ok(stored.response()),
        Ok(Decision::Unknown(reason)) => Err(Failure::unknown(reason)),
        Ok(Decision::Reused) => Err(Failure::unknown(Reason::KeyReused)),
        Ok(Decision::Expired) => Err(Failure::unknown(Reason::KeyExpired)),
        Ok(Decision::Full) => Err(Failure::not_run(Reason::QueueFull)),
        Ok(Decision::Wait) | Err(_) => Err(Failure::unknown(Reason::Deadline)),
    }
}

/// Ends the run of a key as unknown unless a better end was reported, also when the task panics.
struct Run {
    p: Arc<Process>,
    key: Key,
    end: Option<RunResult<Arc<StoredResponse>>>,
}

impl Drop for Run {
    fn drop(&mut self) {
        let end = self.end.take().unwrap_or(RunResult::Unknown(Reason::Lost));
        self.p.ownership.finish(self.key, end);
    }
}

/// Runs in a task of its own, so that a caller that disconnects takes no answer away from duplicates.
async fn start(p: &Arc<Process>, job: Job, key: Key) -> Result<Response<Body>, Failure> {
    let (tx, rx) = oneshot::channel();
    let run = Run {
        p: p.clone(),
        key,
        end: None,
    };
    tokio::spawn(async move {
        let _ = tx.send(execute(run, job).await);
    });
    rx.await.unwrap_or(Err(Failure::unknown(Reason::Lost)))
}

async fn execute(mut run: Run, mut job: Job) -> Result<Response<Body>, Failure> {
    let p = run.p.clone();
    let sent = match p.notices.verdict(&job.fingerprint()) {
        Verdict::Quarantined => Err(Failure::not_run(Reason::Quarantined)),
        _ => entry::run(&p, &mut job).await,
    };
    let res = sent.inspect_err(|f| run.end = Some(end_of(*f)))?;
    let (mut parts, body) = res.into_parts();
    context::strip_internal(&mut parts.headers);
    let left = job.deadline.saturating_sub(p.clock.now());
    let read = tokio::time::timeout(left, read_answer(body)).await;
    let (data, rest) = read.unwrap_or(Err(Failure::unknown(Reason::Deadline)))?;
    let stored = Arc::new(StoredResponse {
        status: parts.status,
        headers: parts.headers.clone(),
        body: data.clone(),
    });
    let size = match rest {
        Some(_) => usize::MAX,
        None => stored.size(),
    };
    run.end = Some(RunResult::Done(stored, size));
    Ok(Response::from_parts(parts, joined(data, rest)))
}

fn end_of(f: Failure) -> RunResult<Arc<StoredResponse>> {
    match f.outcome {
        Outcome::NotRun => RunResult::NotRun,
        _ => RunResult::Unknown(f.reason),
    }
}

/// Reads an answer up to the size that is kept; the rest of a larger one follows as a stream.
async fn read_answer(mut body: Body) -> Result<(Bytes, Option<Body>), Failure> {
    let mut data = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| Failure::unknown(Reason::BadAnswer))?;
        data.extend(frame.into_data().unwrap_or_default());
        if data.len() > MAX_STORED_BYTES {
            return Ok((data.freeze(), Some(body)));
        }
    }
    Ok((data.freeze(), None))
}

fn joined(data: Bytes, rest: Option<Body>) -> Body {
    match rest {
        None => full(data),
        Some(rest) => {
            let first = futures_util::stream::iter([Ok(http_body::Frame::data(data))]);
            let rest = http_body_util::BodyStream::new(rest);
            StreamBody::new(first.chain(rest)).boxed_unsync()
        }
    }
}
