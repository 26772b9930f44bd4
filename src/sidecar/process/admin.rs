//! Admin API of a sidecar node: metrics, status and explanations of routing decisions.

use http::{header, HeaderValue, Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::Serialize;

use crate::connection::body_buffer;
use crate::connection::meter::ActiveRequest;
use crate::prelude::*;
use crate::request::body::{full, Body};
use crate::sidecar::process::explain::answer::Query;
use crate::sidecar::process::explain::{explain, QueryError};
use crate::sidecar::process::node::Node;
use crate::sidecar::process::rollout::view::View;

/// Maximum size of a query, in bytes.
const MAX_QUERY_BYTES: usize = 16 << 10;

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

/// Serves a request of the admin API. The body of `/explain` is read, those of others are not.
pub async fn serve(n: Arc<Node>, req: Request<Incoming>) -> Response<Body> {
    if (req.method(), req.uri().path()) == (&Method::POST, "/explain") {
        return serve_explain(&n, req).await;
    }
    let (kind, body) = match (req.method(), req.uri().path()) {
        (&Method::GET, "/metrics") => ("text/plain; version=0.0.4", n.metrics.render(&n)),
        (&Method::GET, "/status") => ("application/json", status(&n)),
        (_, "/metrics" | "/status" | "/explain") => return failure(StatusCode::METHOD_NOT_ALLOWED),
        _ => return failure(StatusCode::NOT_FOUND),
    };
    let mut res = Response::new(full(body));
    let kind = HeaderValue::from_static(kind);
    res.headers_mut().insert(header::CONTENT_TYPE, kind);
    res
}

/// Answers a query about a request.
async fn serve_explain(n: &Node, req: Request<Incoming>) -> Response<Body> {
    let timeout = Duration::from_millis(n.settings().limits.body_timeout_ms);
    let active = req.extensions().get::<ActiveRequest>().cloned();
    let read = body_buffer::collect(req.into_body(), MAX_QUERY_BYTES, active.as_ref());
    let Ok(Ok(body)) = tokio::time::timeout(timeout, read).await else {
        let message = "the body is longer than 16 KiB, incomplete or late";
        return refusal(StatusCode::BAD_REQUEST, message);
    };
    let query = match serde_json::from_slice::<Query>(&body) {
        Ok(query) => query,
        // The text of the error may contain the API key.
        Err(e) => {
            let (line, column) = (e.line(), e.column());
            let message = format!("the body is no query: see line {line}, column {column}");
            return refusal(StatusCode::BAD_REQUEST, &message);
        }
    };
    match explain(n, &query) {
        Ok(answer) => json_response(
            StatusCode::OK,
            serde_json::to_string(&answer).unwrap_or_default(),
        ),
        Err(QueryError::Invalid(message)) => refusal(StatusCode::BAD_REQUEST, message),
        Err(QueryError::UnknownTenant) => refusal(
            StatusCode::NOT_FOUND,
            "the version in force has no such tenant",
        ),
    }
}

/// Response with a message for the operator.
fn refusal(status: StatusCode, message: &str) -> Response<Body> {
    let body = serde_json::json!({ "message": message });
    json_response(status, body.to_string())
}

fn json_response(status: StatusCode, body: String) -> Response<Body> {
    let mut res = Response::new(full(body));
    *res.status_mut() = status;
    let kind = HeaderValue::from_static("application/json");
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
