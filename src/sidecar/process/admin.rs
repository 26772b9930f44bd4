//! Admin API of a sidecar node: metrics and status.

use http::{header, HeaderValue, Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::Serialize;

use crate::prelude::*;
use crate::request::body::{full, Body};
use crate::sidecar::process::node::Node;
use crate::sidecar::process::rollout::view::View;

/// State of a node.
#[derive(Debug, Serialize)]
struct Status {
    /// Id of this node.
    node: String,
    /// Number of the version in force; 0 if there is none.
    version: u64,
    /// Whether the node is ready to serve callers.
    ready: bool,
    /// Number of known nodes, including this one.
    nodes: usize,
    /// Number of open links to other nodes.
    links: usize,
    /// Id of its target; `null` if unknown.
    target: Option<String>,
    /// Number of requests that are running or waiting at the target.
    queued: usize,
    /// Number of requests of callers and of other nodes in progress.
    in_flight: usize,
    /// Last rollout of each service that has an order.
    rollouts: Vec<RolloutSummary>,
}

/// State of a rollout as this node knows it.
#[derive(Debug, Serialize)]
struct RolloutSummary {
    /// Service whose traffic moves.
    service: String,
    /// Version to which it moves.
    to: String,
    /// Version of the old targets; `null` if unknown.
    from: Option<String>,
    /// Current step: `listed`, `ordered`, `canary`, `move`, `completed` or `rolled-back`.
    step: &'static str,
    /// Fraction of the requests of this node that go to the new version now.
    share: f64,
    /// Time since the order, in ms.
    elapsed_ms: u64,
    /// Time limit of the order, in ms.
    limit_ms: u64,
    /// Time since the last news of the decider, in ms; `null` if there were none.
    silent_ms: Option<u64>,
    /// Node that decides; empty if none is known.
    decider: String,
    /// Term of that node.
    term: u64,
}

fn rollouts(n: &Node) -> Vec<RolloutSummary> {
    let now = n.clock.now();
    let ms = |since: Now| now.saturating_sub(since).as_millis() as u64;
    let summary = |v: &View| RolloutSummary {
        service: v.news().order.service.to_string(),
        to: v.news().order.to.to_string(),
        from: v.news().from.as_ref().map(SmolStr::to_string),
        step: v.news().step.as_str(),
        share: v.share(now),
        elapsed_ms: ms(v.started_at()),
        limit_ms: v.news().order.limit.as_millis() as u64,
        silent_ms: v.heard_at().map(ms),
        decider: v.news().decider.to_string(),
        term: v.news().term,
    };
    n.rollout_views(summary)
}

/// Serves a request of the admin API; its body is not read.
pub async fn serve(n: Arc<Node>, req: Request<Incoming>) -> Response<Body> {
    let (kind, body) = match (req.method(), req.uri().path()) {
        (&Method::GET, "/metrics") => ("text/plain; version=0.0.4", n.metrics.render(&n)),
        (&Method::GET, "/status") => ("application/json", status(&n)),
        (_, "/metrics" | "/status") => return failure(StatusCode::METHOD_NOT_ALLOWED),
        _ => return failure(StatusCode::NOT_FOUND),
    };
    let mut res = Response::new(full(body));
    let kind = HeaderValue::from_static(kind);
    res.headers_mut().insert(header::CONTENT_TYPE, kind);
    res
}

fn failure(status: StatusCode) -> Response<Body> {
    let mut res = Response::new(full("{}"));
    *res.status_mut() = status;
    res
}

/// State of the node, as JSON.
fn status(n: &Node) -> String {
    let status = Status {
        node: n.id.to_string(),
        version: n.version(),
        ready: n.ready(),
        nodes: n.members().count(),
        links: n.links.len(),
        target: n.record().target.map(|t| t.id.to_string()),
        queued: n.slots.len(),
        in_flight: n.in_flight(),
        rollouts: rollouts(n),
    };
    // A struct of strings and numbers is always valid JSON.
    serde_json::to_string(&status).unwrap_or_default()
}
