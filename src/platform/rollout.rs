//! Documents of rollouts in the store: the orders of the operator, and the status that the system writes.

use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::sidecar::process::rollout::order::{Order, RolloutState, RolloutStatus};

/// Prefix of the keys of orders; the service follows.
pub const ORDER_PREFIX: &str = "op/rollout/";
/// Prefix of the keys of status documents; the service follows.
const STATUS_PREFIX: &str = "status/rollout/";
/// Longest time limit of an order, in seconds.
const MAX_DURATION_S: f64 = 86_400.0;
/// Maximum length of the name of a service or a version, in bytes; every node gets both.
const MAX_NAME_BYTES: usize = 128;

/// Order of the operator. Unknown fields are ignored.
#[derive(Debug, Deserialize)]
struct OrderBody {
    service: SmolStr,
    to_version: SmolStr,
    duration_s: f64,
}

#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum State {
    Running,
    Completed,
    RolledBack,
}

#[derive(Debug, Serialize, Deserialize)]
struct StatusBody {
    state: State,
    to_version: SmolStr,
}

/// Parses the order under a key.
///
/// # Errors
///
/// Description of what is wrong with it.
pub fn parse_order(key: &str, value: &[u8]) -> Result<Order, String> {
    let service = key.strip_prefix(ORDER_PREFIX).unwrap_or_default();
    let b: OrderBody = serde_json::from_slice(value).map_err(|e| e.to_string())?;
    let is_name = |s: &str| !s.is_empty() && s.len() <= MAX_NAME_BYTES;
    match &b {
        b if b.service != service => Err(format!("the order is for the service {}", b.service)),
        b if !is_name(&b.service) || !is_name(&b.to_version) => {
            Err("a name is empty or too long".into())
        }
        b if !(b.duration_s > 0.0 && b.duration_s <= MAX_DURATION_S) => {
            Err(format!("duration_s is {}", b.duration_s))
        }
        _ => Ok(Order {
            service: b.service,
            to: b.to_version,
            limit: Duration::from_secs_f64(b.duration_s),
        }),
    }
}

/// Key of the status of the rollouts of a service.
pub fn status_key(service: &str) -> String {
    format!("{STATUS_PREFIX}{service}")
}

/// Writes a status document.
pub fn write_status(status: &RolloutStatus) -> Vec<u8> {
    let body = StatusBody {
        state: match status.state {
            RolloutState::Running => State::Running,
            RolloutState::Completed => State::Completed,
            RolloutState::RolledBack => State::RolledBack,
        },
        to_version: status.to.clone(),
    };
    serde_json::to_vec(&body).unwrap_or_default()
}

/// Parses a status document; `None` if it is malformed.
pub fn parse_status(value: &[u8]) -> Option<RolloutStatus> {
    let b: StatusBody = serde_json::from_slice(value).ok()?;
    Some(RolloutStatus {
        state: match b.state {
            State::Running => RolloutState::Running,
            State::Completed => RolloutState::Completed,
            State::RolledBack => RolloutState::RolledBack,
        },
        to: b.to_version,
    })
}
