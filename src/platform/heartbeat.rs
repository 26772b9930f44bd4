//! Calls of a target to its node: heartbeats, and the announcement that it stops.

use http::Method;
use serde::Deserialize;

use crate::prelude::*;
use crate::sidecar::adapter::TargetCall;
use crate::sidecar::process::target::heartbeat::{Heartbeat, ReportedState};

/// Path of the calls of a target; its id follows.
const PATH_PREFIX: &str = "/api/instances/";
/// Maximum length of a target id, in bytes.
const MAX_ID_BYTES: usize = 128;
/// Maximum length of the version of a target, in bytes; every node gets it.
const MAX_VERSION_BYTES: usize = 128;

/// Body of a heartbeat. Unknown fields are ignored.
#[derive(Debug, Deserialize)]
struct HeartbeatBody {
    service: SmolStr,
    address: std::net::SocketAddr,
    slots: u32,
    state: State,
    /// Remaining time for which the target is slow after its start.
    #[serde(default)]
    cold_remaining_ms: f64,
    seq: u64,
    /// Incarnation: start of the target, in ms since 1970; 0 if absent.
    #[serde(default)]
    born: u64,
    /// Version of the program that the target runs.
    #[serde(default)]
    version: Option<SmolStr>,
}

#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "lowercase")]
enum State {
    Ready,
    Draining,
}

/// Body of the announcement that the target stops; may be empty.
#[derive(Debug, Default, Deserialize)]
struct StopBody {
    /// Incarnation, as in a heartbeat.
    #[serde(default)]
    born: u64,
}

/// Parses a call of a target: `PUT` is a heartbeat, `DELETE` announces a stop.
///
/// # Errors
///
/// Description of what is wrong with it.
pub fn parse(method: &Method, path: &str, body: &[u8]) -> Result<TargetCall, String> {
    let id = path.strip_prefix(PATH_PREFIX).unwrap_or_default();
    if id.is_empty() || id.len() > MAX_ID_BYTES || id.contains('/') {
        return Err(format!("unsupported call {method} {path}"));
    }
    match *method {
        Method::PUT => {
            let b: HeartbeatBody = serde_json::from_slice(body).map_err(|e| e.to_string())?;
            let warm_up_ms = b.cold_remaining_ms.clamp(0.0, 600_000.0);
            Ok(TargetCall::Heartbeat(Heartbeat {
                id: id.into(),
                service: b.service,
                address: b.address,
                slots: b.slots,
                state: match b.state {
                    State::Ready => ReportedState::Ready,
                    State::Draining => ReportedState::Draining,
                },
                warm_up: Duration::from_millis(warm_up_ms as u64),
                incarnation: b.born,
                seq: b.seq,
                version: b
                    .version
                    .filter(|v| !v.is_empty() && v.len() <= MAX_VERSION_BYTES),
            }))
        }
        Method::DELETE if body.is_empty() => Ok(TargetCall::Stop(id.into(), 0)),
        Method::DELETE => {
            let b: StopBody = serde_json::from_slice(body).map_err(|e| e.to_string())?;
            Ok(TargetCall::Stop(id.into(), b.born))
        }
        _ => Err(format!("unsupported call {method} {path}")),
    }
}
