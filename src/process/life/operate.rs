//! Admin API for operators: planned stops, members and quarantine.

use std::sync::Arc;

use dropshot::{
    endpoint, ApiDescription, ClientErrorStatusCode, ErrorStatusCode, HttpError, HttpResponseOk,
    Path, TypedBody,
};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::digest::Digest;
use crate::process::life::drain::Phase;
use crate::process::life::stop::{self, StopError};
use crate::process::members::notices::Notice;
use crate::process::members::record::TargetState;
use crate::process::node::Process;
use crate::process::observe::admin::Ctx;
use crate::process::target::backend;
use crate::process::target::quarantine::is_quarantined;

/// Asks for a planned stop.
#[derive(Debug, Clone, Default, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct StopRequest {
    /// Stop also when no other ready target remains.
    pub force: bool,
}

/// Progress of a planned stop.
#[derive(Debug, Clone, Serialize, Deserialize, JsonSchema)]
pub struct StopStatus {
    /// Node id.
    pub node: String,
    /// Step.
    pub phase: Phase,
    /// Accepted requests that have not finished.
    pub busy: usize,
}

/// A node as another one sees it.
#[derive(Debug, Clone, Serialize, Deserialize, JsonSchema)]
pub struct MemberStatus {
    /// Node id.
    pub node: String,
    /// Availability zone.
    pub az: String,
    /// Whether it answers: `alive`, `unreachable` or `dead`.
    pub state: String,
    /// Number of the version in force.
    pub version: u64,
    /// Versions that it is behind the greatest one known here.
    pub lag: u64,
    /// Where the version comes from: `record`, which may be late, or `node`.
    pub source: String,
    /// Service of its backend server, empty without one.
    pub service: String,
    /// State of its backend server.
    pub target: Option<TargetState>,
    /// Admin address.
    pub admin: String,
}

/// A suspected or quarantined request.
#[derive(Debug, Clone, Serialize, Deserialize, JsonSchema)]
pub struct SuspectStatus {
    /// Fingerprint.
    pub fingerprint: String,
    /// Whether it is quarantined.
    pub quarantined: bool,
    /// Crashes counted.
    pub crashes: usize,
    /// Time since the first crash, in milliseconds.
    pub age_ms: u64,
}

/// Names a suspect.
#[derive(Debug, Deserialize, JsonSchema)]
struct SuspectPath {
    fingerprint: String,
}

/// Number of cleared entries.
#[derive(Debug, Clone, Serialize, Deserialize, JsonSchema)]
pub struct Cleared {
    /// Entries.
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

/// Plans and starts a stop of the backend server beside this node.
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

/// Returns all known nodes, from memory.
#[endpoint { method = GET, path = "/members" }]
async fn get_members(ctx: Ctx) -> Result<HttpResponseOk<Vec<MemberStatus>>, HttpError> {
    let p = ctx.context();
    let records = p.records.load();
    let newest = records.values().map(|r| r.version.number).max();
    let newest = newest.unwrap_or(0);
    let each = records.values().map(|r| MemberStatus {
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
    Ok(HttpResponseOk(each.collect()))
}

/// Returns suspected and quarantined requests.
#[endpoint { method = GET, path = "/quarantine" }]
async fn get_quarantine(ctx: Ctx) -> Result<HttpResponseOk<Vec<SuspectStatus>>, HttpError> {
    let list = ctx.context().notices.suspects(|s, now| s.list(now));
    let each = list.iter().filter(|s| !s.crashes.is_empty());
    let each = each.map(|s| SuspectStatus {
        fingerprint: s.fingerprint.to_string(),
        quarantined: is_quarantined(s),
        crashes: s.crashes.len(),
        age_ms: s.age_ms,
    });
    Ok(HttpResponseOk(each.collect()))
}

fn clear(p: &Arc<Process>, list: &[Digest]) -> Cleared {
    let notices: Vec<_> = p.notices.suspects(|s, now| {
        let each = list.iter().filter_map(|f| s.clear(f, now));
        each.map(Notice::Suspect).collect()
    });
    let cleared = notices.len();
    p.send_notices(notices);
    backend::wake(p);
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
    match clear(ctx.context(), &[f]) {
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
    Ok(HttpResponseOk(clear(p, &all)))
}

/// Adds these endpoints.
///
/// # Errors
///
/// A text that names the endpoint that could not be registered.
pub fn register(api: &mut ApiDescription<Arc<Process>>) -> Result<(), String> {
    api.register(post_stop).map_err(|e| e.to_string())?;
    api.register(get_stop).map_err(|e| e.to_string())?;
    api.register(get_members).map_err(|e| e.to_string())?;
    api.register(get_quarantine).map_err(|e| e.to_string())?;
    api.register(delete_suspect).map_err(|e| e.to_string())?;
    api.register(delete_quarantine).map_err(|e| e.to_string())
}
