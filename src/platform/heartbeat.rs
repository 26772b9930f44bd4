//! Heartbeats of targets.

use http::Method;
use serde::Deserialize;

use crate::prelude::*;
use crate::sidecar::adapter::TargetCall;
use crate::sidecar::target::{Heartbeat, ReportedState};

/// Path of a target's calls; its name follows.
const PATH: &str = "/api/instances/";
/// Longest name, in bytes.
const MAX_NAME_BYTES: usize = 128;

/// Body of a heartbeat. Unknown fields are ignored.
#[derive(Debug, Deserialize)]
struct Beat {
    service: SmolStr,
    address: std::net::SocketAddr,
    slots: u32,
    state: State,
    #[serde(default)]
    cold_remaining_ms: f64,
    seq: u64,
    /// Start of the lifetime, in ms since 1970.
    #[serde(default)]
    born: u64,
}

#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "lowercase")]
enum State {
    Ready,
    Draining,
}

/// Body of a call that ends a lifetime; it may be empty.
#[derive(Debug, Default, Deserialize)]
struct Leave {
    #[serde(default)]
    born: u64,
}

/// Reads a call of a target.
///
/// # Errors
///
/// What is wrong with it.
pub fn read(method: &Method, path: &str, body: &[u8]) -> Result<TargetCall, String> {
    let id = path.strip_prefix(PATH).unwrap_or_default();
    if id.is_empty() || id.len() > MAX_NAME_BYTES || id.contains('/') {
        return Err(format!("no call {method} {path}"));
    }
    match *method {
        Method::PUT => {
            let b: Beat = serde_json::from_slice(body).map_err(|e| e.to_string())?;
            let cold = b.cold_remaining_ms.clamp(0.0, 600_000.0);
            Ok(TargetCall::Heartbeat(Heartbeat {
                id: id.into(),
                service: b.service,
                address: b.address,
                slots: b.slots,
                state: match b.state {
                    State::Ready => ReportedState::Ready,
                    State::Draining => ReportedState::Draining,
                },
                warm_up: Duration::from_millis(cold as u64),
                incarnation: b.born,
                seq: b.seq,
            }))
        }
        Method::DELETE if body.is_empty() => Ok(TargetCall::Ended(id.into(), 0)),
        Method::DELETE => {
            let leave: Leave = serde_json::from_slice(body).map_err(|e| e.to_string())?;
            Ok(TargetCall::Ended(id.into(), leave.born))
        }
        _ => Err(format!("no call {method} {path}")),
    }
}
