//! Entry node: matches the route, chooses a target, relays the request and decides about retries.

use std::net::{IpAddr, SocketAddr};

use http::{Request, Response};
use hyper::body::Incoming;

use super::body::{guard, settle, Body};
use super::context;
use super::gate::{self, Way};
use super::job::Job;
use super::key::Key;
use super::owner;
use super::reason::{Failure, Outcome, Reason, OUTCOME};
use super::retry::{Decision, Failed};
use crate::prelude::*;
use crate::process::node::Process;

/// Time beyond the deadline in which the admitting node can still report that it never ran the request.
const REPORT_GRACE: Duration = Duration::from_millis(20);

/// Longest wait for a target to recover, at most half of the remaining time. In the simulation of
/// docs/decisions/0004-recovery-wait.md a longer wait hardly served more requests.
const RECOVERY_WAIT: Duration = Duration::from_millis(300);
/// Least pause between two looks for a recovered target; up to as much again is added at random.
const RECOVERY_LOOK: Duration = Duration::from_millis(10);

/// Serves one request of a caller.
pub async fn serve(p: Arc<Process>, req: Request<Incoming>, from: IpAddr) -> Response<Body> {
    let start = p.clock.now();
    // Without a job it is not known whether the route is idempotent.
    let keyed = Key::read(req.headers()).is_ok();
    let (rank, id, out) = match owner::asks_for_key(&req) {
        true => (RankId::default(), SmolStr::default(), owner::issue(&p)),
        false => match Job::accept(&p, req, from).await {
            Ok(job) => {
                let (rank, id) = (job.ctx.rank.clone(), job.ctx.id.clone());
                (rank, id, answer(&p, job).await)
            }
            Err(f) if keyed => (
                RankId::default(),
                SmolStr::default(),
                Err(owner::before_owner(f)),
            ),
            Err(f) => (RankId::default(), SmolStr::default(), Err(f)),
        },
    };
    let took = p.clock.now().saturating_sub(start);
    ended(&p, &rank, &id, out.as_ref().err(), took);
    let mut res = out.unwrap_or_else(|f| {
        p.metrics.count_rejection(f.reason);
        f.response()
    });
    close_when_leaving(&p, &mut res);
    res
}

/// Marks the answer of a backend server.
pub fn mark_done(mut res: Response<Body>) -> Response<Body> {
    let done = http::HeaderValue::from_static(Outcome::Done.as_str());
    res.headers_mut().insert(OUTCOME, done);
    res
}

/// Asks the client to open its next connection elsewhere once a planned stop finishes work.
pub fn close_when_leaving(p: &Process, res: &mut Response<Body>) {
    if p.local_backend.closing() {
        let close = http::HeaderValue::from_static("close");
        res.headers_mut().insert(http::header::CONNECTION, close);
    }
}

/// Counts and logs the end of a request.
fn ended(p: &Process, rank: &str, id: &str, failure: Option<&Failure>, took: Duration) {
    let outcome = failure.map_or(Outcome::Done, |f| f.outcome).as_str();
    let m = &p.metrics;
    m.requests.with_label_values(&[rank, outcome]).inc();
    m.request_seconds
        .with_label_values(&[rank])
        .observe(took.as_secs_f64());
    let reason = failure.map_or("none", |f| f.reason.as_str());
    // Only a single request's own trace; refusals in an overload would fill the log at a higher level.
    spdlog::debug!("event=request_ended", kv: {
        request = id,
        rank,
        outcome,
        reason,
        ms = took.as_millis() as u64
    });
}

async fn answer(p: &Arc<Process>, mut job: Job) -> Result<Response<Body>, Failure> {
    gate::check_entry(p, &job)?;
    let deadline = job.deadline;
    let permits = std::mem::take(&mut job.permits);
    let mut res = match gate::pass_to_owner(p, job).await? {
        Way::Run(mut job) => run(p, &mut job).await?,
        Way::Answered(res) => res,
    };
    context::strip_internal(res.headers_mut());
    let left = deadline.saturating_sub(p.clock.now());
    Ok(guard(mark_done(res), left, permits))
}

/// Runs a request at one target of its service, or at several one after the other when the rules for retries allow it.
///
/// # Errors
///
/// The request has no answer; the failure says whether it may have run.
pub async fn run(p: &Arc<Process>, job: &mut Job) -> Result<Response<Body>, Failure> {
    p.routing.earn();
    let mut tried: Vec<NodeId> = Vec::new();
    let mut overloads = 0;
    let mut may_have_run = false;
    // One attempt of unknown result makes the result of the whole request unknown.
    let report = |f: Failure, may_have_run| match may_have_run {
        true => Failure {
            outcome: Outcome::Unknown,
            ..f
        },
        false => f,
    };
    loop {
        let (node, address) = choose(p, job, &tried)
            .await
            .map_err(|f| report(f, may_have_run))?;
        let f = match attempt(p, job, &node, address).await {
            Ok(res) => return Ok(res),
            Err(f) => f,
        };
        may_have_run |= f.outcome != Outcome::NotRun;
        let f = gate::check_again(p, job, f).map_err(|f| report(f, may_have_run))?;
        overloads += u32::from(f.reason.is_overload());
        tried.push(node);
        match p.routing.decide(&failed(p, job, f, &tried, overloads)) {
            Decision::Stop(_) => return Err(report(f, may_have_run)),
            Decision::After(delay) => tokio::time::sleep(delay).await,
        }
        p.metrics.count_retry(f.reason);
        spdlog::debug!("event=request_retried", kv: {
            request = job.ctx.id.as_str(),
            reason = f.reason.as_str()
        });
        job.ctx.retries = job.ctx.retries.saturating_sub(1);
    }
}

/// Chooses a target. While a service has targets and none is usable, waits a short time for one to recover.
async fn choose(p: &Process, job: &Job, tried: &[NodeId]) -> Result<(NodeId, SocketAddr), Failure> {
    let (service, rank) = (&job.route.service, &job.ctx.rank);
    let start = p.clock.now();
    let end = start + RECOVERY_WAIT.min(job.deadline.saturating_sub(start) / 2);
    loop {
        let f = match p.routing.choose(service, rank, tried) {
            Ok(found) => return Ok(found),
            Err(f) => f,
        };
        let waits = f.reason == Reason::NoTarget && p.routing.may_recover(service);
        if !waits || p.clock.now() >= end {
            return Err(f);
        }
        tokio::time::sleep(RECOVERY_LOOK + p.routing.jitter(RECOVERY_LOOK)).await;
    }
}

fn failed(p: &Process, job: &Job, failure: Failure, tried: &[NodeId], overloads: u32) -> Failed {
    let other = p.routing.choose(&job.route.service, &job.ctx.rank, tried);
    Failed {
        failure,
        idempotent: job.route.idempotent,
        replayable: job.body.replayable(),
        depth: job.ctx.depth,
        retries: job.ctx.retries,
        attempts: tried.len() as u32,
        overloads,
        other: other.is_ok_and(|(node, _)| !tried.contains(&node)),
        left: job.deadline.saturating_sub(p.clock.now()),
    }
}

async fn attempt(
    p: &Arc<Process>,
    job: &Job,
    node: &NodeId,
    address: SocketAddr,
) -> Result<Response<Body>, Failure> {
    let left = job.deadline.saturating_sub(p.clock.now());
    if left.is_zero() {
        return Err(Failure::not_run(Reason::Deadline));
    }
    if p.is_cut_off(node) {
        return Err(Failure::not_run(Reason::NotSent));
    }
    p.metrics.attempts.inc();
    let mut sent = p.routing.sent(node, &job.ctx.rank);
    let out = tokio::time::timeout(left + REPORT_GRACE, exchange(p, job, address, left)).await;
    let out = out.unwrap_or(Err(Failure::unknown(Reason::Deadline)));
    // A fault of the caller's own stream says nothing about the target.
    if let (Err(f), Some(reason)) = (&out, job.body.fault()) {
        return Err(Failure { reason, ..*f });
    }
    match &out {
        Ok(res) if res.status().is_server_error() => sent.broken(),
        Ok(res) => sent.answered(context::header(res.headers(), &context::LOAD)),
        Err(f) => sent.failed(f),
    }
    let left = job.deadline.saturating_sub(p.clock.now());
    out.map(|res| guard(res, left, sent))
}

async fn exchange(
    p: &Process,
    job: &Job,
    address: SocketAddr,
    left: Duration,
) -> Result<Response<Body>, Failure> {
    let mut res = p.upstream.send(job.relay_request(p, address)?).await?;
    if job.ctx.is_crossed(res.headers()) {
        return Err(Failure::unknown(Reason::BadAnswer));
    }
    if let Some(f) = Failure::read(res.headers()) {
        gate::read_suspect(p, || job.fingerprint(), res.headers());
        return Err(f);
    }
    context::strip_hop(res.headers_mut());
    settle(res, left).await
}
