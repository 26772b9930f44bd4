//! Admin API of a sidecar node: metrics and status.

use std::net::SocketAddr;

use dropshot::{
    endpoint, ApiDescription, ConfigDropshot, HttpError, HttpResponseOk, HttpServer,
    RequestContext, ServerBuilder,
};
use http::Response;
use schemars::JsonSchema;
use serde::Serialize;

use crate::logging;
use crate::prelude::*;
use crate::sidecar::process::node::Node;
use crate::sidecar::process::rollout::view::View;

type Ctx = RequestContext<Arc<Node>>;

/// State of a node.
#[derive(Debug, Serialize, JsonSchema)]
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
#[derive(Debug, Serialize, JsonSchema)]
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

/// Metrics in the Prometheus text format.
#[endpoint { method = GET, path = "/metrics" }]
async fn metrics(ctx: Ctx) -> Result<Response<dropshot::Body>, HttpError> {
    let n = ctx.context();
    let text = n.metrics.render(n);
    Response::builder()
        .header(http::header::CONTENT_TYPE, "text/plain; version=0.0.4")
        .body(text.into())
        .map_err(|e| HttpError::for_internal_error(e.to_string()))
}

/// State of the node.
#[endpoint { method = GET, path = "/status" }]
async fn status(ctx: Ctx) -> Result<HttpResponseOk<Status>, HttpError> {
    let n = ctx.context();
    let record = n.record();
    let nodes = n.members().count();
    Ok(HttpResponseOk(Status {
        node: n.id.to_string(),
        version: n.version(),
        ready: n.ready(),
        nodes,
        links: n.links.len(),
        target: record.target.map(|t| t.id.to_string()),
        queued: n.slots.len(),
        in_flight: n.in_flight(),
        rollouts: rollouts(n),
    }))
}

/// Starts the server of the admin API on `address`.
///
/// # Errors
///
/// Description of why the server cannot start.
pub fn start(address: SocketAddr, n: Arc<Node>) -> Result<HttpServer<Arc<Node>>, String> {
    let mut api = ApiDescription::new();
    api.register(metrics).map_err(|e| e.to_string())?;
    api.register(status).map_err(|e| e.to_string())?;
    let config = ConfigDropshot {
        bind_address: address,
        ..ConfigDropshot::default()
    };
    ServerBuilder::new(api, n, logging::dropshot_log())
        .config(config)
        .start()
        .map_err(|e| e.to_string())
}
