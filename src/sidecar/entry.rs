//! Entry node: finds the route of a caller's request, chooses targets one after the other and answers the caller.

use bytes::Bytes;
use http::{header, HeaderMap, HeaderValue, Request, Response};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;

use super::admit::{self, strip_answer, Reply, Work};
use super::edge::CallerFacts;
use super::node::{Node, Phase};
use super::placement::{Ask, Choice};
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
/// Attempts of a request that are taken only where there is room now. Reports of load are old where there are many targets,
/// so the first choice is often full while another target is idle.
const EAGER_ASKS: usize = 4;
/// Part of the time to the aim that counts as no wait.
const PATIENCE_PART: f64 = 0.05;
/// Least time that a caller is told to wait when no room is foreseen.
const LEAST_AGAIN: Duration = Duration::from_millis(20);
/// Time that a request waits for the first version, and the interval in which it looks for it. Short against the time of
/// any caller, so that it can still come back.
const VERSION_WAIT: Duration = Duration::from_millis(150);
const VERSION_LOOK: Duration = Duration::from_millis(10);
/// Wait that a caller is told while the node knows no version or no target.
const NOT_READY_AGAIN: Duration = Duration::from_millis(150);

/// A request of a caller, from its arrival to its answer.
struct Job {
    work: Work,
    route: Arc<Route>,
    /// Version that routed it.
    version: VersionNumber,
    tried: Vec<NodeId>,
    /// Nodes whose targets had no room at once. They are left out until the last attempt, which waits at the best one.
    full: Vec<NodeId>,
    /// Targets that got the request.
    sent: u32,
    /// Targets that may have run it.
    ran: u32,
    /// Time after which there may be room.
    again: Duration,
    trace: String,
}

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
    let sheds = n.fair().sheds(&job.work.service, job.route.rank);
    let out = match sheds {
        true => Err(Failure::not_run(Reason::HeldOff)),
        false => run(&n, &mut job).await,
    };
    let now = n.clock.now();
    let took = now.saturating_sub(start);
    let (name, rank) = (&job.route.name, job.route.rank);
    n.metrics.ended(name, rank, out.as_ref().err(), took);
    if let Some(served) = was_served(&out) {
        n.fair().ended(&job.work.service, rank, served, now);
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
    let service = n.split().next(&route.name, &route.parts).service.clone();
    let mut headers = parts.headers;
    context::strip_hop(&mut headers);
    headers.remove(header::CONTENT_LENGTH);
    n.edge.strip(&mut headers);
    n.count_request(&service, route.rank, start);
    let rank = n.fair().rank(&service, route.rank);
    Ok(Job {
        work: Work {
            id: facts.id.ok_or(Failure::not_run(Reason::BadRequest))?,
            route: route.name.clone(),
            service,
            caller: n.service.clone(),
            rank,
            idempotent: route.idempotent,
            aim: route.aim,
            due: start + due(&route, left),
            deadline: start + left,
            usual: n.place().usual(&route.name),
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
    route.aim.saturating_sub(spent)
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
    loop {
        let left = job.work.deadline.saturating_sub(n.clock.now());
        let reply = match tokio::time::timeout(left, attempt(n, job)).await {
            Ok(reply) => reply,
            Err(_) => Err(match job.sent {
                0 => Failure::not_run(Reason::Deadline),
                _ => Failure::unknown(Reason::Deadline),
            }),
        };
        let f = match reply {
            Ok(Reply::Answer(whole)) if !whole.status.is_server_error() => return Ok(whole),
            Ok(Reply::Answer(whole)) => {
                kept = Some(whole);
                Failure::unknown(Reason::BadAnswer)
            }
            Ok(Reply::Failed { failure, .. }) => failure,
            // No target is left to ask.
            Err(f) => return kept.map_or_else(|| Err(report(job, f)), Ok),
        };
        if !may_repeat(n, job, &f) {
            return kept.map_or_else(|| Err(report(job, f)), Ok);
        }
        n.metrics.retried(f.reason);
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
        _ if job.ran >= job.route.attempts.max(1) => false,
        _ => job.sent == 0 || n.take_repeat(&job.work.service, job.route.rank, now),
    }
}

/// Chooses a target and sends the request there.
///
/// # Errors
///
/// No target can be asked.
async fn attempt(n: &Arc<Node>, job: &mut Job) -> Result<Reply, Failure> {
    let now = n.clock.now();
    let eager = job.full.len() < EAGER_ASKS && n.place().has_room(&job.work.service);
    let mut left_out = job.tried.clone();
    if eager {
        left_out.extend_from_slice(&job.full);
    }
    let ask = Ask {
        service: &job.work.service,
        route: &job.work.route,
        rank: job.work.rank,
        due: job.work.due.saturating_sub(now),
        left: job.work.deadline.saturating_sub(now),
        tried: &left_out,
    };
    let node = match choose(n, &ask, &job.tried) {
        Choice::Target(node) => node,
        Choice::Full(back_off) => {
            job.again = longest_hint(job.again, back_off);
            return Err(Failure {
                back_off: job.again,
                ..Failure::not_run(Reason::HeldOff)
            });
        }
        Choice::None => {
            job.again = longest_hint(job.again, NOT_READY_AGAIN);
            return Err(Failure::not_run(Reason::NoTarget));
        }
    };
    job.tried.push(node.clone());
    let patience = job.work.due.saturating_sub(now).mul_f64(PATIENCE_PART);
    job.work.patience = eager.then_some(patience);
    job.work.repeat = job.sent > 0;
    n.place().sent(&node, now);
    let hop = n.hop(&node);
    n.metrics.attempted(job.route.rank, hop);
    // Until the reply says otherwise the request counts as run: the attempt may be cut short.
    job.sent += 1;
    job.ran += 1;
    let reply = match node == n.id {
        true => {
            let reply = admit::run(n, job.work.clone()).await;
            n.place().reported(n.clock.now(), &node, n.slots.load());
            reply
        }
        false => n.links.call(n, &node, &job.work).await,
    };
    if let Reply::Answer(whole) = &reply {
        if whole.status.is_success() {
            n.place().ran(&node, &job.work.route, whole.ran);
        }
        let took = n.clock.now().saturating_sub(now);
        n.metrics.answered(job.route.rank, hop, took);
    }
    note(n, job, &node, &reply);
    Ok(reply)
}

/// Chooses a target, and one that had no room at once if there is no other.
fn choose(n: &Node, ask: &Ask<'_>, tried: &[NodeId]) -> Choice {
    match n.choose(ask) {
        Choice::Target(node) => Choice::Target(node),
        _ if tried.len() < ask.tried.len() => n.choose(&Ask { tried, ..*ask }),
        none => none,
    }
}

/// Notes what the reply of a node says about the request and about its target.
fn note(n: &Node, job: &mut Job, node: &NodeId, reply: &Reply) {
    let now = n.clock.now();
    let failure = match reply {
        Reply::Answer(whole) => {
            job.trace_attempt(node, whole.status.as_str());
            return;
        }
        Reply::Failed { failure, at_target } => {
            job.sent -= u32::from(!at_target);
            failure
        }
    };
    job.trace_attempt(node, failure.reason.as_str());
    if failure.outcome != Outcome::NotRun {
        return;
    }
    job.ran -= 1;
    if job.work.patience.is_some() && failure.reason == Reason::QueueFull {
        // Its load is known now, so it is chosen again only if there is no better one.
        job.full.extend(job.tried.pop());
        return;
    }
    let rank = job.work.rank;
    let due = job.work.due.saturating_sub(now);
    match failure.reason {
        Reason::QueueFull | Reason::Declined => {
            n.place().full(now, node, rank, due, failure.back_off);
            job.again = longest_hint(job.again, failure.back_off);
        }
        Reason::NotReady | Reason::Draining | Reason::NotSent => {
            let any = Duration::MAX;
            n.place().full(now, node, 0, any, NOT_READY_AGAIN);
        }
        _ => {}
    }
}

fn longest_hint(a: Duration, b: Duration) -> Duration {
    match (a.is_zero(), b.is_zero()) {
        (true, _) => b,
        (_, true) => a,
        _ => a.min(b),
    }
}

impl Job {
    fn trace_attempt(&mut self, node: &str, result: &str) {
        if !self.trace.is_empty() {
            self.trace.push(',');
        }
        self.trace.push_str(node);
        self.trace.push('=');
        self.trace.push_str(result);
    }
}
