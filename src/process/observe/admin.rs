//! Admin API: announcements of the backend server, status, metrics, injected faults, health and readiness.

use std::net::SocketAddr;

use dropshot::{
    endpoint, ApiDescription, ClientErrorStatusCode, ConfigDropshot, HttpError, HttpResponseOk,
    HttpServer, RequestContext, ServerBuilder, TypedBody,
};
use http::Response;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::connection::frame::Liveness;
use crate::prelude::*;
use crate::process::lifecycle::faults::FaultList;
use crate::process::lifecycle::operator_api;
use crate::process::members::control_view::LivenessMap;
use crate::process::members::record::TargetState;
use crate::process::node::Process;
use crate::process::target::backend;
use crate::process::target::monitor::{BackendAnnouncement, ANNOUNCEMENT_TTL};

/// Maximum length of the name of a service in an announcement, in bytes.
const MAX_SERVICE_BYTES: usize = 64;
const MAX_SLOTS: u32 = 1 << 16;

/// Announcement that a backend server sends about once a second.
#[derive(Debug, Clone, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Service that the backend server provides.
    pub service: String,
    /// Address on which it receives requests.
    pub address: String,
    /// Number of requests that it executes at the same time.
    pub slots: u32,
    /// Number of connections that it accepts.
    pub connections: u32,
    /// State that the backend server reports.
    pub state: TargetState,
    /// Distinguishes successive processes of the backend server.
    pub incarnation: u64,
    /// Health as the backend server reports it. A hint: it may be outdated or wrong.
    #[serde(default)]
    pub healthy: Option<bool>,
    /// Load in percent. A hint: it may be outdated or wrong.
    #[serde(default)]
    pub load_percent: Option<u8>,
    /// Floor token from the last response, returned unchanged.
    #[serde(default)]
    pub floor: Option<String>,
}

/// Response to an announcement.
#[derive(Debug, Clone, Serialize, Deserialize, JsonSchema)]
#[schemars(rename = "AnnounceAnswer")]
pub struct AnnounceResponse {
    /// Time after which the backend server is considered gone unless it sends another announcement, in milliseconds.
    pub ttl_ms: u64,
    /// Whether a planned stop has finished, so that the backend server may stop.
    pub drained: bool,
    /// Floor token to return with the next announcement.
    pub floor: Option<String>,
}

/// Status of a node.
#[derive(Debug, Clone, Serialize, Deserialize, JsonSchema)]
pub struct Status {
    /// Id of the node, unique in the site.
    pub node: String,
    /// Availability zone of the node.
    pub az: String,
    /// Number of the version in force; 0 when there is none.
    pub version: u64,
    /// Content hash of the version in force; all zeros when there is none.
    pub hash: String,
    /// Greatest version number that the node knows of.
    pub heard: u64,
    /// Number of versions by which the node is behind the greatest one that it knows of.
    pub lag: u64,
    /// Lowest version number that may be adopted.
    pub floor: u64,
    /// Versions rejected because another version with the same number is held.
    pub forks: u64,
    /// Number of known nodes that have not stopped.
    pub nodes: usize,
    /// Number of known nodes by state.
    pub members: MemberCounts,
    /// Number of links that this node opened.
    pub links_opened: usize,
    /// Number of links that other nodes opened.
    pub links_accepted: usize,
    /// Whether this node watches the store's head.
    pub watcher: bool,
}

/// Number of nodes by state.
#[derive(Debug, Clone, Serialize, Deserialize, JsonSchema)]
pub struct MemberCounts {
    /// Nodes that respond.
    pub alive: usize,
    /// Nodes that did not respond to another node.
    pub suspect: usize,
    /// Nodes in an availability zone that cannot be reached.
    pub unreachable: usize,
    /// Nodes that have stopped.
    pub dead: usize,
}

fn member_counts(members: &LivenessMap) -> MemberCounts {
    MemberCounts {
        alive: members.count(Liveness::Alive),
        suspect: members.count(Liveness::Suspect),
        unreachable: members.count(Liveness::Unreachable),
        dead: members.count(Liveness::Dead) + members.count(Liveness::Expired),
    }
}

pub(in crate::process) type Ctx = RequestContext<Arc<Process>>;

fn bad_request(message: &str) -> HttpError {
    HttpError::for_client_error(None, ClientErrorStatusCode::BAD_REQUEST, message.to_owned())
}

/// Rejects invalid values, which the record of this node would otherwise carry to every node.
fn check_announcement(a: &Announcement) -> Result<(), HttpError> {
    match a {
        a if a.service.is_empty() || a.service.len() > MAX_SERVICE_BYTES => Err(bad_request(
            "service: expected a name of 1 to 64 bytes, as the manifest declares it",
        )),
        a if !(1..=MAX_SLOTS).contains(&a.slots) => {
            Err(bad_request("slots: expected a number from 1 to 65536"))
        }
        _ => Ok(()),
    }
}

/// Receives the announcement of the backend server beside this node.
#[endpoint { method = POST, path = "/announce" }]
async fn announce(
    ctx: Ctx,
    body: TypedBody<Announcement>,
) -> Result<HttpResponseOk<AnnounceResponse>, HttpError> {
    let a = body.into_inner();
    let address: SocketAddr = a
        .address
        .parse()
        .map_err(|_| bad_request("address: expected IP:PORT"))?;
    check_announcement(&a)?;
    let p = ctx.context();
    p.handle_floor_token(a.floor.as_deref());
    let drained = backend::handle_announcement(
        p,
        BackendAnnouncement {
            address,
            service: a.service.into(),
            state: a.state,
            slots: a.slots,
            connections: a.connections,
            incarnation: a.incarnation,
            healthy: a.healthy,
            load: a.load_percent,
        },
    );
    Ok(HttpResponseOk(AnnounceResponse {
        ttl_ms: ANNOUNCEMENT_TTL.as_millis() as u64,
        drained,
        floor: p.floor_token(),
    }))
}

/// Returns the version in force, the members and the links, as this node sees them.
#[endpoint { method = GET, path = "/status" }]
async fn status(ctx: Ctx) -> Result<HttpResponseOk<Status>, HttpError> {
    let p = ctx.context();
    let version = p.version();
    let status = p.view.status.load();
    let heard = status.newest.number.max(version.number);
    Ok(HttpResponseOk(Status {
        node: p.settings.node.id.to_string(),
        az: p.settings.node.az.to_string(),
        version: version.number,
        hash: version.hash.to_string(),
        heard,
        lag: heard - version.number,
        floor: status.floor,
        forks: status.forks,
        nodes: p.records.load().len(),
        members: member_counts(&p.view.liveness.load()),
        links_opened: status.opened,
        links_accepted: status.accepted,
        watcher: status.watcher,
    }))
}

/// Returns the metrics in the Prometheus text format.
#[endpoint { method = GET, path = "/metrics" }]
async fn metrics(ctx: Ctx) -> Result<Response<dropshot::Body>, HttpError> {
    let p = ctx.context();
    Response::builder()
        .header("content-type", "text/plain; version=0.0.4")
        .body(p.metrics.render(p).into())
        .map_err(|e| HttpError::for_internal_error(e.to_string()))
}

/// Replaces the injected faults.
#[endpoint { method = PUT, path = "/faults" }]
async fn put_faults(
    ctx: Ctx,
    body: TypedBody<FaultList>,
) -> Result<HttpResponseOk<FaultList>, HttpError> {
    let list = body.into_inner();
    match ctx.context().faults.set(list.clone()) {
        true => Ok(HttpResponseOk(list)),
        false => Err(HttpError::for_client_error(
            None,
            ClientErrorStatusCode::FORBIDDEN,
            "faults are not enabled in the settings".into(),
        )),
    }
}

/// Succeeds while the process runs.
#[endpoint { method = GET, path = "/health" }]
async fn health(_ctx: Ctx) -> Result<HttpResponseOk<String>, HttpError> {
    Ok(HttpResponseOk("ok".into()))
}

/// Succeeds once a configuration version is in force.
#[endpoint { method = GET, path = "/ready" }]
async fn ready(ctx: Ctx) -> Result<HttpResponseOk<String>, HttpError> {
    match ctx.context().config.load().as_ref() {
        Some(_) => Ok(HttpResponseOk("ready".into())),
        None => Err(HttpError::for_unavail(
            None,
            "no configuration version is in force yet".into(),
        )),
    }
}

/// Describes the admin API.
///
/// # Errors
///
/// A message about the endpoint that could not be registered.
pub fn api() -> Result<ApiDescription<Arc<Process>>, String> {
    let mut api = ApiDescription::new();
    api.register(announce).map_err(|e| e.to_string())?;
    api.register(status).map_err(|e| e.to_string())?;
    operator_api::register(&mut api)?;
    api.register(metrics).map_err(|e| e.to_string())?;
    api.register(put_faults).map_err(|e| e.to_string())?;
    api.register(health).map_err(|e| e.to_string())?;
    api.register(ready).map_err(|e| e.to_string())?;
    Ok(api)
}

/// Starts the admin API on `address`; port 0 selects a free port.
///
/// # Errors
///
/// A message that says why the server could not start.
pub fn start(
    address: SocketAddr,
    process: Arc<Process>,
) -> Result<HttpServer<Arc<Process>>, String> {
    ServerBuilder::new(api()?, process, crate::logging::dropshot_log())
        .config(ConfigDropshot {
            bind_address: address,
            ..Default::default()
        })
        .start()
        .map_err(|e| e.to_string())
}
