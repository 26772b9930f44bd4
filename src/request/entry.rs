//! Entry node: matches the route, chooses a target, relays the request and decides about retries.

use std::net::{IpAddr, SocketAddr};

use http::{Request, Response};
use hyper::body::Incoming;
use rand::RngExt;

use super::body::{settle, Body, Guarded};
use super::context;
use super::gate::{self, Way};
use super::job::Job;
use super::reason::{Failure, Outcome, Reason, OUTCOME};
use crate::prelude::*;
use crate::process::node::Process;
use crate::process::record::{Target, TargetState};

/// Time beyond the deadline in which the admitting node can still report that it never ran the request.
const REPORT_GRACE: Duration = Duration::from_millis(20);

/// Serves one request of a caller.
pub async fn serve(p: Arc<Process>, req: Request<Incoming>, from: IpAddr) -> Response<Body> {
    let out = match Job::accept(&p, req, from).await {
        Ok(job) => answer(&p, job).await,
        Err(f) => Err(f),
    };
    out.unwrap_or_else(|f| {
        p.metrics.refused(f.reason);
        f.response()
    })
}

async fn answer(p: &Arc<Process>, job: Job) -> Result<Response<Body>, Failure> {
    gate::check_entry(p, &job)?;
    let deadline = job.deadline;
    let mut res = match gate::pass_to_owner(p, job).await? {
        Way::Run(mut job) => run(p, &mut job).await?,
        Way::Answered(res) => res,
    };
    context::strip_internal(res.headers_mut());
    let done = http::HeaderValue::from_static(Outcome::Done.as_str());
    res.headers_mut().insert(OUTCOME, done);
    let left = deadline.saturating_sub(p.clock.now());
    Ok(res.map(|b| http_body_util::BodyExt::boxed_unsync(Guarded::new(b, left, ()))))
}

/// Runs a request at one target of its service, or at several one after the other when the rules for retries allow it.
///
/// # Errors
///
/// The request has no answer; the failure says whether it may have run.
pub async fn run(p: &Arc<Process>, job: &mut Job) -> Result<Response<Body>, Failure> {
    let target = choose(p, &job.route.service).ok_or(Failure::not_run(Reason::NoTarget))?;
    attempt(p, job, target).await
}

async fn attempt(p: &Process, job: &Job, target: SocketAddr) -> Result<Response<Body>, Failure> {
    let left = job.deadline.saturating_sub(p.clock.now());
    if left.is_zero() {
        return Err(Failure::not_run(Reason::Deadline));
    }
    let send = async {
        let mut res = p.upstream.send(job.relay_request(p, target)?).await?;
        if let Some(f) = Failure::read(res.headers()) {
            return Err(f);
        }
        context::strip_hop(res.headers_mut());
        settle(res, left).await
    };
    let sent = tokio::time::timeout(left + REPORT_GRACE, send).await;
    let sent = sent.unwrap_or(Err(Failure::unknown(Reason::Deadline)));
    sent.map_err(|f| match job.body.fault() {
        Some(reason) => Failure { reason, ..f },
        None => f,
    })
}

fn choose(p: &Process, service: &str) -> Option<SocketAddr> {
    let records = p.records.load();
    let usable = |t: &Target| t.service == service && t.state == TargetState::Ready;
    let found: Vec<_> = records
        .values()
        .filter(|r| r.target.as_ref().is_some_and(usable))
        .map(|r| r.addresses.relay)
        .collect();
    match found.len() {
        0 => None,
        n => Some(found[rand::rng().random_range(0..n)]),
    }
}
