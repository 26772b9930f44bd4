//! Entry node: matches the route, chooses a target, relays the request and decides on retries.

use std::net::{IpAddr, SocketAddr};

use http::{Request, Response};
use hyper::body::Incoming;

use super::body::{buffer_short_response, guard_response, Body};
use super::checks::{self, NextStep};
use super::context;
use super::key::IdempotencyKey;
use super::owner;
use super::reason::{Failure, Outcome, Reason, OUTCOME};
use super::retry::{Decision, FailedAttempt};
use super::routed::RoutedRequest;
use crate::prelude::*;
use crate::process::node::Process;

/// Time after the deadline in which the admitting node can still report that it did not run the request.
const REPORT_GRACE: Duration = Duration::from_millis(20);

/// Longest wait for a target to recover, also limited to half of the remaining time. In the simulation of
/// docs/decisions/0004-recovery-wait.md a longer wait served hardly any more requests.
const MAX_RECOVERY_WAIT: Duration = Duration::from_millis(300);
/// Shortest pause between two checks for a recovered target; a random jitter of up to the same length is added.
const RECOVERY_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Serves one request of a caller, which may also be for an idempotency key.
pub async fn serve(p: Arc<Process>, req: Request<Incoming>, from: IpAddr) -> Response<Body> {
    let start = p.clock.now();
    // Before routing it is unknown whether the request is idempotent; one with a key may have run when its caller sent
    // it before.
    let has_key = IdempotencyKey::read(req.headers()).is_ok();
    let (rank, id, result) = match owner::is_key_request(&req) {
        true => (RankId::default(), SmolStr::default(), owner::issue_key(&p)),
        false => match RoutedRequest::accept(&p, req, from).await {
            Ok(routed) => {
                let (rank, id) = (routed.ctx.rank.clone(), routed.ctx.id.clone());
                (rank, id, handle(&p, routed).await)
            }
            Err(f) if has_key => (
                RankId::default(),
                SmolStr::default(),
                Err(owner::with_unknown_outcome(f)),
            ),
            Err(f) => (RankId::default(), SmolStr::default(), Err(f)),
        },
    };
    let elapsed = p.clock.now().saturating_sub(start);
    record_end(&p, &rank, &id, result.as_ref().err(), elapsed);
    let mut res = result.unwrap_or_else(|f| {
        p.metrics.count_rejection(f.reason);
        f.response()
    });
    close_if_draining(&p, &mut res);
    res
}

/// Sets the outcome header of a backend server's response to `done`.
pub fn mark_done(mut res: Response<Body>) -> Response<Body> {
    let done = http::HeaderValue::from_static(Outcome::Done.as_str());
    res.headers_mut().insert(OUTCOME, done);
    res
}

/// Closes the caller's connection after this response once a planned stop is finishing the remaining work, so that the
/// caller opens its next connection to another node.
pub fn close_if_draining(p: &Process, res: &mut Response<Body>) {
    if p.local_backend.closes_connections() {
        let close = http::HeaderValue::from_static("close");
        res.headers_mut().insert(http::header::CONNECTION, close);
    }
}

/// Updates the metrics of a finished request and logs it.
fn record_end(p: &Process, rank: &str, id: &str, failure: Option<&Failure>, elapsed: Duration) {
    let outcome = failure.map_or(Outcome::Done, |f| f.outcome).as_str();
    let m = &p.metrics;
    m.requests.with_label_values(&[rank, outcome]).inc();
    m.request_seconds
        .with_label_values(&[rank])
        .observe(elapsed.as_secs_f64());
    let reason = failure.map_or("none", |f| f.reason.as_str());
    // Logged at debug level, because rejections during an overload would fill the log at a higher one.
    spdlog::debug!("event=request_ended", kv: {
        request = id,
        rank,
        outcome,
        reason,
        ms = elapsed.as_millis() as u64
    });
}

/// Runs a request from this node, or has the owner of its key run it.
async fn handle(p: &Arc<Process>, mut routed: RoutedRequest) -> Result<Response<Body>, Failure> {
    checks::check_entry(p, &routed)?;
    let deadline = routed.deadline;
    let permits = std::mem::take(&mut routed.permits);
    let mut res = match checks::dispatch_to_owner(p, routed).await? {
        NextStep::Run(mut routed) => run(p, &mut routed).await?,
        NextStep::Respond(res) => res,
    };
    context::strip_internal(res.headers_mut());
    let remaining = deadline.saturating_sub(p.clock.now());
    Ok(guard_response(mark_done(res), remaining, permits))
}

/// Runs a request at one target of its service, and at further ones if the retry rules allow it.
///
/// # Errors
///
/// No backend server responded; the failure says whether the request may have run.
pub async fn run(p: &Arc<Process>, routed: &mut RoutedRequest) -> Result<Response<Body>, Failure> {
    p.routing.deposit_retry();
    let mut tried: Vec<NodeId> = Vec::new();
    let mut overloads = 0;
    let mut may_have_run = false;
    // One attempt with an unknown outcome makes the outcome of the request unknown.
    let with_outcome = |f: Failure, may_have_run| match may_have_run {
        true => Failure {
            outcome: Outcome::Unknown,
            ..f
        },
        false => f,
    };
    loop {
        let (node, address) = choose_target(p, routed, &tried)
            .await
            .map_err(|f| with_outcome(f, may_have_run))?;
        let f = match attempt(p, routed, &node, address).await {
            Ok(res) => return Ok(res),
            Err(f) => f,
        };
        may_have_run |= f.outcome != Outcome::NotRun;
        let f =
            checks::check_after_failure(p, routed, f).map_err(|f| with_outcome(f, may_have_run))?;
        overloads += u32::from(f.reason.is_overload());
        tried.push(node);
        match p
            .routing
            .decide(&failed_attempt(p, routed, f, &tried, overloads))
        {
            Decision::NoRetry(_) => return Err(with_outcome(f, may_have_run)),
            Decision::RetryAfter(delay) => tokio::time::sleep(delay).await,
        }
        p.metrics.count_retry(f.reason);
        spdlog::debug!("event=request_retried", kv: {
            request = routed.ctx.id.as_str(),
            reason = f.reason.as_str()
        });
        routed.ctx.retries = routed.ctx.retries.saturating_sub(1);
    }
}

/// Chooses a target. If the service has targets but none is usable, waits briefly for one to recover.
async fn choose_target(
    p: &Process,
    routed: &RoutedRequest,
    tried: &[NodeId],
) -> Result<(NodeId, SocketAddr), Failure> {
    let (service, rank) = (&routed.route.service, &routed.ctx.rank);
    let start = p.clock.now();
    let end = start + MAX_RECOVERY_WAIT.min(routed.deadline.saturating_sub(start) / 2);
    loop {
        let f = match p.routing.choose(service, rank, tried) {
            Ok(found) => return Ok(found),
            Err(f) => f,
        };
        let may_recover = f.reason == Reason::NoTarget && p.routing.may_recover(service);
        if !may_recover || p.clock.now() >= end {
            return Err(f);
        }
        tokio::time::sleep(RECOVERY_POLL_INTERVAL + p.routing.jitter(RECOVERY_POLL_INTERVAL)).await;
    }
}

fn failed_attempt(
    p: &Process,
    routed: &RoutedRequest,
    failure: Failure,
    tried: &[NodeId],
    overloads: u32,
) -> FailedAttempt {
    let other = p
        .routing
        .choose(&routed.route.service, &routed.ctx.rank, tried);
    FailedAttempt {
        failure,
        idempotent: routed.route.idempotent,
        replayable: routed.body.replayable(),
        depth: routed.ctx.depth,
        retries: routed.ctx.retries,
        attempts: tried.len() as u32,
        overloads,
        other_target: other.is_ok_and(|(node, _)| !tried.contains(&node)),
        remaining: routed.deadline.saturating_sub(p.clock.now()),
    }
}

/// Makes one attempt at the target of `node` and reports the result to the balancer.
async fn attempt(
    p: &Arc<Process>,
    routed: &RoutedRequest,
    node: &NodeId,
    address: SocketAddr,
) -> Result<Response<Body>, Failure> {
    let remaining = routed.deadline.saturating_sub(p.clock.now());
    if remaining.is_zero() {
        return Err(Failure::not_run(Reason::Deadline));
    }
    if p.is_cut_off(node) {
        return Err(Failure::not_run(Reason::NotSent));
    }
    p.metrics.attempts.inc();
    let mut pending = p.routing.begin_attempt(node, &routed.ctx.rank);
    let result = tokio::time::timeout(
        remaining + REPORT_GRACE,
        send_to_target(p, routed, address, remaining),
    )
    .await;
    let result = result.unwrap_or(Err(Failure::unknown(Reason::Deadline)));
    // A failure of the caller's body stream says nothing about the target.
    if let (Err(f), Some(reason)) = (&result, routed.body.read_error()) {
        return Err(Failure { reason, ..*f });
    }
    match &result {
        Ok(res) if res.status().is_server_error() => pending.server_error(),
        Ok(res) => pending.responded(context::parse_header(res.headers(), &context::LOAD_PERCENT)),
        Err(f) => pending.failed(f),
    }
    let remaining = routed.deadline.saturating_sub(p.clock.now());
    result.map(|res| guard_response(res, remaining, pending))
}

async fn send_to_target(
    p: &Process,
    routed: &RoutedRequest,
    address: SocketAddr,
    timeout: Duration,
) -> Result<Response<Body>, Failure> {
    let mut res = p.upstream.send(routed.relay_request(p, address)?).await?;
    if routed.ctx.is_mismatched(res.headers()) {
        return Err(Failure::unknown(Reason::BadResponse));
    }
    if let Some(f) = Failure::from_headers(res.headers()) {
        checks::read_suspect(p, || routed.fingerprint(), res.headers());
        return Err(f);
    }
    context::strip_hop_by_hop(res.headers_mut());
    buffer_short_response(res, timeout).await
}
