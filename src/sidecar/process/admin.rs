//! Admin API of a sidecar node: metrics and status.

use http::{header, HeaderValue, Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::Serialize;

use crate::prelude::*;
use crate::request::body::{full, Body};
use crate::sidecar::process::node::Node;

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
    };
    // A struct of strings and numbers is always valid JSON.
    serde_json::to_string(&status).unwrap_or_default()
}
