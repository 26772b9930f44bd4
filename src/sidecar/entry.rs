//! Entry node: finds the route of a caller's request, chooses targets one after the other and answers the caller.

use bytes::Bytes;
use http::{header, HeaderMap, HeaderValue, Request, Response};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;

use super::admit::{strip_answer, Reply, Work};
use super::attempt::{attempt, Job, NOT_READY_AGAIN};
use super::edge::CallerFacts;
use super::node::{Node, Phase};
use super::pool::Whole;
use super::routes::{Route, RouteTable};
use crate::prelude::*;
use crate::request::body::{full, Body};
use crate::request::context;
use crate::request::reason::{Failure, Outcome, Reason};

/// Nodes that one request asks for a slot at most. A refusal costs no run, but its way costs time.
const MAX_ASKED: usize = 4;
/// Time that a caller waits when it names none and no version is known.
const DEFAULT_LEFT: Duration = Duration::from_secs(1);
/// Least time that a caller is told to wait when no room is foreseen.
const LEAST_AGAIN: Duration = Duration::from_millis(20);
/// Time that a request waits for the first version, and the interval in which it looks for it. Short against the time of
/// any caller, so that it can still come back.
const VERSION_WAIT: Duration = Duration::from_millis(150);
const VERSION_LOOK: Duration = Duration::from_millis(10);
/// Serves one request of a caller.
pub async fn serve(n: Arc<Node>, req: Request<Incoming>) -> Response<Body> {
    let start = n.clock.now();
    let facts = n.edge.caller(req.headers());
    let id = facts.id.clone().unwrap_or_default();
    let _flight = n.flight();
    let mut job = match accept(&n, req, facts, start).await {
        Ok(job) => job,
        Err(f) => {
            n.metrics.ended("none", 0, Some(&f), Duration::ZERO);
            log_failure(&n, &id, &f);
            return refuse(&n, &f, &id, NOT_READY_AGAIN);
        }
    };
    let sheds = n.fair().must_shed(&job.work.service, job.route.rank);
    let out = match sheds {
        true => Err(Failure::not_run(Reason::HeldOff)),
        false => run(&n, &mut job).await,
    };
    let now = n.clock.now();
    let took = now.saturating_sub(start);
    let (name, rank) = (&job.route.name, job.route.rank);
    n.metrics.ended(name, rank, out.as_ref().err(), took);
    if let Some(served) = was_served(&out) {
        n.fair().record(&job.work.service, rank, served, now);
    }
    match out {
        Ok(whole) => {
            if whole.status.is_server_error() {
                log_end(&n, &job, took, "done", whole.status.as_str());
            }
            answer(&n, whole)
        }
        Err(f) => {
            log_end(&n, &job, took, f.outcome.as_str(), f.reason.as_str());
            refuse(&n, &f, &id, job.again)
        }
    }
}

/// Logs a request that was refused before it had a route.
fn log_failure(n: &Node, id: &str, f: &Failure) {
    n.log.event(
        "request_refused",
        &[
            ("request", id),
            ("version", &n.version().to_string()),
            ("outcome", f.outcome.as_str()),
            ("reason", f.reason.as_str()),
        ],
    );
}

/// Logs a request that was not served, with everything that decided it. Its attempts are kept with it until its end, so
/// that a request that looks healthy at first loses nothing.
fn log_end(n: &Node, job: &Job, took: Duration, outcome: &str, reason: &str) {
    let w = &job.work;
    let left = w.deadline.saturating_sub(n.clock.now()).as_millis();
    n.log.event(
        "request_failed",
        &[
            ("request", &w.id),
            ("route", &w.route),
            ("service", &w.service),
            ("version", &job.version.to_string()),
            ("rank", &job.route.rank.to_string()),
            ("as_rank", &w.rank.to_string()),
            ("outcome", outcome),
            ("reason", reason),
            ("ms", &took.as_millis().to_string()),
            ("left_ms", &left.to_string()),
            ("again_ms", &job.again.as_millis().to_string()),
            ("attempts", &job.trace),
        ],
    );
}

/// Whether a request was served or found no room; `None` for what says nothing about room.
fn was_served(out: &Result<Whole, Failure>) -> Option<bool> {
    match out {
        Ok(_) => Some(true),
        Err(f) if f.outcome == Outcome::NotRun && f.reason.is_overload() => Some(false),
        Err(_) => None,
    }
}

fn answer(n: &Node, whole: Whole) -> Response<Body> {
    let mut res = Response::new(full(whole.body));
    *res.status_mut() = whole.status;
    *res.headers_mut() = whole.headers;
    strip_answer(res.headers_mut());
    close_when_leaving(n, res.headers_mut());
    res
}

fn refuse(n: &Node, f: &Failure, id: &str, again: Duration) -> Response<Body> {
    // Callers that were refused together would come back together.
    let spread = 0.75 + 0.5 * rand::random::<f64>();
    let again = again.max(f.back_off).max(LEAST_AGAIN).mul_f64(spread);
    let again = (f.outcome == Outcome::NotRun).then_some(again);
    let mut res = n.edge.refusal(f, (!id.is_empty()).then_some(id), again);
    close_when_leaving(n, res.headers_mut());
    res
}

fn close_when_leaving(n: &Node, h: &mut HeaderMap) {
    if n.phase() != Phase::Serving {
        h.insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
}

/// Finds the route and reads the whole body.
async fn accept(
    n: &Arc<Node>,
    req: Request<Incoming>,
    facts: CallerFacts,
    start: Now,
) -> Result<Job, Failure> {
    let table = version(n).await?;
    let (parts, body) = req.into_parts();
    let host = parts
        .headers
        .get(header::HOST)
        .and_then(|v| v.to_str().ok())
        .or(parts.uri.host())
        .unwrap_or_default();
    let route = table.route(host, parts.uri.path());
    let route = route.ok_or(Failure::not_run(Reason::NoRoute))?.clone();
    let left = facts.left.unwrap_or(DEFAULT_LEFT.max(route.timeout));
    let left = left.min(route.timeout);
    let body = read_body(body, table.limits.body_bytes, left).await?;
    let service = n.split().next(&route.name, &route.services).service.clone();
    let mut headers = parts.headers;
    context::strip_hop_by_hop(&mut headers);
    headers.remove(header::CONTENT_LENGTH);
    n.edge.strip(&mut headers);
    n.count_request(&service, route.rank, start);
    let rank = n.fair().effective_rank(&service, route.rank);
    Ok(Job {
        work: Work {
            id: facts.id.ok_or(Failure::not_run(Reason::BadRequest))?,
            route: route.name.clone(),
            service,
            caller: n.service.clone(),
            rank,
            idempotent: route.idempotent,
            aim: route.objective,
            due: start + due(&route, left),
            deadline: start + left,
            usual: n.place().baseline(&route.name),
            patience: None,
            repeat: false,
            method: parts.method,
            path: parts
                .uri
                .path_and_query()
                .map_or("/", |p| p.as_str())
                .into(),
            headers,
            body,
        },
        version: table.number,
        route,
        tried: Vec::new(),
        full: Vec::new(),
        sent: 0,
        ran: 0,
        again: Duration::ZERO,
        trace: String::new(),
    })
}

/// The version in force. A process that has just started learns it within moments, so its first requests wait for it.
async fn version(n: &Node) -> Result<Arc<RouteTable>, Failure> {
    let end = n.clock.now() + VERSION_WAIT;
    loop {
        match n.routes.load_full() {
            Some(table) => return Ok(table),
            None if n.clock.now() >= end => return Err(Failure::not_run(Reason::NoVersion)),
            None => tokio::time::sleep(VERSION_LOOK).await,
        }
    }
}

/// What is left to the aim. A caller with less time than the route gives has spent the rest on earlier attempts.
fn due(route: &Route, left: Duration) -> Duration {
    let spent = route.timeout.saturating_sub(left);
    route.objective.saturating_sub(spent)
}

async fn read_body(body: Incoming, max: usize, left: Duration) -> Result<Bytes, Failure> {
    if http_body::Body::is_end_stream(&body) {
        return Ok(Bytes::new());
    }
    match tokio::time::timeout(left, Limited::new(body, max).collect()).await {
        Ok(Ok(b)) => Ok(b.to_bytes()),
        Ok(Err(e)) if e.is::<http_body_util::LengthLimitError>() => {
            Err(Failure::not_run(Reason::TooLarge))
        }
        Ok(Err(_)) => Err(Failure::not_run(Reason::BadRequest)),
        Err(_) => Err(Failure::not_run(Reason::SlowCaller)),
    }
}

/// Runs the request at one target, or at several one after the other when the rules allow it.
async fn run(n: &Arc<Node>, job: &mut Job) -> Result<Whole, Failure> {
    let mut kept: Option<Whole> = None;
    let mut last: Option<Failure> = None;
    loop {
        let left = job.work.deadline.saturating_sub(n.clock.now());
        let reply = match tokio::time::timeout(left, attempt(n, job)).await {
            Ok(reply) => reply,
            Err(_) => Err(job.gave_up()),
        };
        let f = match reply {
            Ok(Reply::Answer(whole)) if !whole.status.is_server_error() => return Ok(whole),
            Ok(Reply::Answer(whole)) => {
                kept = Some(whole);
                Failure::unknown(Reason::BadAnswer)
            }
            Ok(Reply::Failed { failure, .. }) => failure,
            // No target is left to ask; what the last one said explains more than that.
            Err(f) => {
                let f = last.unwrap_or(f);
                return kept.map_or_else(|| Err(report(job, f)), Ok);
            }
        };
        if !may_repeat(n, job, &f) {
            return kept.map_or_else(|| Err(report(job, f)), Ok);
        }
        n.metrics.retried(f.reason);
        last = Some(f);
    }
}

/// One attempt of unknown result makes the result of the whole request unknown.
fn report(job: &Job, f: Failure) -> Failure {
    match job.ran {
        0 => f,
        _ => Failure {
            outcome: Outcome::Unknown,
            ..f
        },
    }
}

fn may_repeat(n: &Node, job: &Job, f: &Failure) -> bool {
    let now = n.clock.now();
    let ran = f.outcome != Outcome::NotRun;
    match f.reason {
        _ if now >= job.work.deadline => false,
        _ if ran && !job.work.idempotent => false,
        Reason::Deadline if ran => false,
        Reason::BadRequest | Reason::TooLarge => false,
        _ if job.tried.len() >= MAX_ASKED => false,
        _ if job.ran >= job.route.max_attempts.max(1) => false,
        _ => job.sent == 0 || n.take_retry(&job.work.service, job.route.rank, now),
    }
}
