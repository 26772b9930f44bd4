//! Admin API endpoints for operators: planned stops, members and quarantine.

use std::sync::Arc;

use dropshot::{
    endpoint, ApiDescription, ClientErrorStatusCode, ErrorStatusCode, HttpError, HttpResponseOk,
    Path, TypedBody,
};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::digest::Digest;
use crate::process::lifecycle::drain::Phase;
use crate::process::lifecycle::stop::{self, StopError};
use crate::process::members::notices::Notice;
use crate::process::members::record::TargetState;
use crate::process::node::Process;
use crate::process::observe::admin::Ctx;
use crate::process::target::backend;
use crate::process::target::quarantine::is_quarantined;

/// Request for a planned stop.
#[derive(Debug, Clone, Default, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct StopRequest {
    /// Stop even if no other ready target remains.
    pub force: bool,
}

/// Progress of a planned stop.
#[derive(Debug, Clone, Serialize, Deserialize, JsonSchema)]
pub struct StopStatus {
    /// Id of the node that sent this status.
    pub node: String,
    /// Phase of the stop; `serving` when none is in progress.
    pub phase: Phase,
    /// Number of accepted requests that have not finished.
    pub busy: usize,
}

/// State of a node, as seen by the node that was queried.
#[derive(Debug, Clone, Serialize, Deserialize, JsonSchema)]
pub struct MemberStatus {
    /// Id of the node, unique in the site.
    pub node: String,
    /// Availability zone of the node.
    pub az: String,
    /// Reachability: `alive`, `unreachable` or `dead`.
    pub state: String,
    /// Number of the version in force; 0 when there is none.
    pub version: u64,
    /// Number of versions behind the highest one in the records, or with source `node` behind the highest one that the
    /// node itself knows of.
    pub lag: u64,
    /// Source of the version: `record`, which may be outdated, or `node`.
    pub source: String,
    /// Service of the backend server; empty if there is none.
    pub service: String,
    /// State of the backend server; null if there is none.
    pub target: Option<TargetState>,
    /// Address of the node's admin API.
    pub admin: String,
}

/// A suspected or quarantined request.
#[derive(Debug, Clone, Serialize, Deserialize, JsonSchema)]
pub struct SuspectStatus {
    /// Fingerprint of the request, 64 hexadecimal digits.
    pub fingerprint: String,
    /// Whether the request is quarantined, so that all nodes reject it; otherwise it is suspected.
    pub quarantined: bool,
    /// Number of crashes that were attributed to the request.
    pub crashes: usize,
    /// Time since the first crash, in milliseconds.
    pub age_ms: u64,
}

/// Path parameters that identify a suspect.
#[derive(Debug, Deserialize, JsonSchema)]
struct SuspectPath {
    fingerprint: String,
}

/// Result of clearing suspects.
#[derive(Debug, Clone, Serialize, Deserialize, JsonSchema)]
pub struct Cleared {
    /// Number of cleared suspects.
    pub cleared: usize,
}

fn stop_status(p: &Process) -> StopStatus {
    StopStatus {
        node: p.settings.node.id.to_string(),
        phase: p.local_backend.phase(),
        busy: p.local_backend.busy(),
    }
}

fn stop_error(e: &StopError) -> HttpError {
    let (code, status) = match e {
        StopError::NoTarget => ("no-target", ClientErrorStatusCode::NOT_FOUND.into()),
        StopError::LastTarget(_) => {
            let s = ClientErrorStatusCode::PRECONDITION_FAILED;
            ("last-target", s.into())
        }
        StopError::Conflict => ("conflict", ClientErrorStatusCode::CONFLICT.into()),
        StopError::Unknown(_) => ("unknown", ErrorStatusCode::GATEWAY_TIMEOUT),
        StopError::Unavailable(_) => {
            let s = ErrorStatusCode::SERVICE_UNAVAILABLE;
            ("unavailable", s)
        }
    };
    HttpError {
        status_code: status,
        error_code: Some(code.to_owned()),
        external_message: e.to_string(),
        internal_message: e.to_string(),
        headers: None,
    }
}

/// Plans and starts a stop of the local backend server.
#[endpoint { method = POST, path = "/stop" }]
async fn post_stop(
    ctx: Ctx,
    body: TypedBody<StopRequest>,
) -> Result<HttpResponseOk<StopStatus>, HttpError> {
    let p = ctx.context();
    let begun = stop::begin(p, body.into_inner().force).await;
    begun.map_err(|e| stop_error(&e))?;
    Ok(HttpResponseOk(stop_status(p)))
}

/// Returns the progress of a planned stop.
#[endpoint { method = GET, path = "/stop" }]
async fn get_stop(ctx: Ctx) -> Result<HttpResponseOk<StopStatus>, HttpError> {
    Ok(HttpResponseOk(stop_status(ctx.context())))
}

/// Returns all known nodes from memory, without queries to other nodes.
#[endpoint { method = GET, path = "/members" }]
async fn get_members(ctx: Ctx) -> Result<HttpResponseOk<Vec<MemberStatus>>, HttpError> {
    let p = ctx.context();
    let records = p.records.load();
    let newest = records.values().map(|r| r.version.number).max();
    let newest = newest.unwrap_or(0);
    let statuses = records.values().map(|r| MemberStatus {
        node: r.node.to_string(),
        az: r.az.to_string(),
        state: match (p.is_dead(r), p.is_reachable(r)) {
            (true, _) => "dead",
            (_, false) => "unreachable",
            _ => "alive",
        }
        .to_owned(),
        version: r.version.number,
        lag: newest - r.version.number,
        source: "record".into(),
        service: r
            .target
            .as_ref()
            .map_or_else(String::new, |t| t.service.to_string()),
        target: r.target.as_ref().map(|t| t.state),
        admin: r.addresses.admin.to_string(),
    });
    Ok(HttpResponseOk(statuses.collect()))
}

/// Returns all suspected and quarantined requests.
#[endpoint { method = GET, path = "/quarantine" }]
async fn get_quarantine(ctx: Ctx) -> Result<HttpResponseOk<Vec<SuspectStatus>>, HttpError> {
    let list = ctx.context().notices.suspects(|s, now| s.list(now));
    let active = list.iter().filter(|s| !s.crashes.is_empty());
    let statuses = active.map(|s| SuspectStatus {
        fingerprint: s.fingerprint.to_string(),
        quarantined: is_quarantined(s),
        crashes: s.crashes.len(),
        age_ms: s.age_ms,
    });
    Ok(HttpResponseOk(statuses.collect()))
}

fn clear_suspects(p: &Arc<Process>, list: &[Digest]) -> Cleared {
    let notices: Vec<_> = p.notices.suspects(|s, now| {
        let updates = list.iter().filter_map(|f| s.clear(f, now));
        updates.map(Notice::Suspect).collect()
    });
    let cleared = notices.len();
    p.send_notices(notices);
    backend::wake_suspects(p);
    Cleared { cleared }
}

/// Clears one suspect.
#[endpoint { method = DELETE, path = "/quarantine/{fingerprint}" }]
async fn delete_suspect(
    ctx: Ctx,
    path: Path<SuspectPath>,
) -> Result<HttpResponseOk<Cleared>, HttpError> {
    let text = path.into_inner().fingerprint;
    let Ok(f) = text.parse::<Digest>() else {
        let m = "fingerprint: expected 64 hexadecimal digits".to_owned();
        return Err(HttpError::for_bad_request(None, m));
    };
    match clear_suspects(ctx.context(), &[f]) {
        Cleared { cleared: 0 } => {
            let m = format!("no suspect {f}");
            Err(HttpError::for_client_error(
                None,
                ClientErrorStatusCode::NOT_FOUND,
                m,
            ))
        }
        c => Ok(HttpResponseOk(c)),
    }
}

/// Clears all suspects.
#[endpoint { method = DELETE, path = "/quarantine" }]
async fn delete_quarantine(ctx: Ctx) -> Result<HttpResponseOk<Cleared>, HttpError> {
    let p = ctx.context();
    let all = p.notices.suspects(|s, now| s.list(now));
    let all: Vec<_> = all.iter().map(|s| s.fingerprint).collect();
    Ok(HttpResponseOk(clear_suspects(p, &all)))
}

/// Registers the endpoints of this module.
///
/// # Errors
///
/// A message that names the endpoint that could not be registered.
pub fn register(api: &mut ApiDescription<Arc<Process>>) -> Result<(), String> {
    api.register(post_stop).map_err(|e| e.to_string())?;
    api.register(get_stop).map_err(|e| e.to_string())?;
    api.register(get_members).map_err(|e| e.to_string())?;
    api.register(get_quarantine).map_err(|e| e.to_string())?;
    api.register(delete_suspect).map_err(|e| e.to_string())?;
    api.register(delete_quarantine).map_err(|e| e.to_string())
}
