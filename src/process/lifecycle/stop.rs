//! Planning and removal of stops in the store.

use std::fmt;

use crate::prelude::*;
use crate::process::lifecycle::drain::{plan_stop, KnownTarget, Phase, PlannedStop, PlannedStops};
use crate::process::members::record::TargetState;
use crate::process::node::Process;
use crate::process::target::backend;
use crate::store::{Revision, StoreError, Swap};

/// Maximum number of attempts to write the plan while concurrent plans win the compare-and-swap. If all fail, the
/// operator is told to try again.
const PLAN_ATTEMPTS: u32 = 8;
/// Time after the start from which an unknown node is considered to have stopped. The records of all nodes arrive
/// sooner.
const MEMBER_SETTLE_TIME: Duration = Duration::from_secs(20);
/// Delay between attempts to remove a completed stop while the store is down.
const REMOVE_RETRY_INTERVAL: Duration = Duration::from_secs(5);
/// Maximum number of attempts to remove a completed stop. If all fail, the next plan removes the stop after the node
/// has stopped.
const REMOVE_ATTEMPTS: u32 = 60;

/// Reason why a stop was not planned.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StopError {
    /// No backend server has announced itself to this node.
    NoTarget,
    /// No other ready target without a planned stop would remain. Contains the nodes with planned stops.
    LastTarget(Vec<NodeId>),
    /// Concurrent plans won the compare-and-swap in all attempts.
    Conflict,
    /// The store did not respond to a write, so it is unknown whether the stop is planned.
    Unknown(String),
    /// The store is unavailable; nothing was planned.
    Unavailable(String),
}

impl fmt::Display for StopError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoTarget => f.write_str("no backend server has announced itself to this node"),
            Self::LastTarget(planned) if planned.is_empty() => {
                f.write_str("no other target of the service is ready; use --force to stop the last one")
            }
            Self::LastTarget(planned) => write!(
                f,
                "no other ready target remains: stops are planned for {}; use --force to stop the last one",
                planned.join(", ")
            ),
            Self::Conflict => f.write_str("other stops were planned at the same time; try again"),
            Self::Unknown(m) => write!(f, "{m}; the stop may be planned, run the command again"),
            Self::Unavailable(m) => write!(f, "{m}; nothing was planned"),
        }
    }
}

impl std::error::Error for StopError {}

fn store_key(p: &Process, service: &str) -> String {
    format!("dq/{}/stops/{service}", p.settings.node.site)
}

fn own_stop(p: &Process) -> PlannedStop {
    PlannedStop {
        node: p.settings.node.id.clone(),
        incarnation: p.own_record().incarnation,
    }
}

/// All known nodes, and those in `stops` that count as stopped. Only targets of `service` can be ready.
fn known_targets(p: &Process, service: &str, stops: &PlannedStops) -> Vec<KnownTarget> {
    let records = p.records.load();
    let known = records.values().map(|r| {
        let target = r.target.as_ref().filter(|t| t.service == service);
        KnownTarget {
            node: r.node.clone(),
            incarnation: r.incarnation,
            ready: p.is_reachable(r) && target.is_some_and(|t| t.state == TargetState::Ready),
            dead: p.is_dead(r),
        }
    });
    // Records of dead nodes are not in `records`. A node that has just started does not know the other nodes yet.
    let settled = p.clock.now() >= MEMBER_SETTLE_TIME;
    let stopped = stops
        .iter()
        .filter(|s| settled && !records.contains_key(&s.node));
    let stopped = stopped.map(|s| KnownTarget {
        node: s.node.clone(),
        incarnation: s.incarnation,
        ready: false,
        dead: true,
    });
    known.chain(stopped).collect()
}

async fn read(p: &Process, key: &str) -> Result<(Revision, PlannedStops), StoreError> {
    match p.store.get(key).await? {
        None => Ok((Revision::ABSENT, PlannedStops::new())),
        Some(e) => serde_json::from_slice(&e.value)
            .map(|stops| (e.revision, stops))
            .map_err(|e| StoreError::Invalid(e.to_string())),
    }
}

async fn write(
    p: &Process,
    key: &str,
    expect: Revision,
    stops: &PlannedStops,
) -> Result<bool, StoreError> {
    let value = match stops.is_empty() {
        true => None,
        false => Some(serde_json::to_vec(stops).unwrap_or_default()),
    };
    let swap = p.store.swap(key, expect, value, None).await?;
    Ok(matches!(swap, Swap::Done(_)))
}

/// Plans a stop of the target of this node in the store and starts it. Does nothing if one is in progress or complete.
///
/// # Errors
///
/// See [`StopError`]. After [`StopError::Unknown`] the stop may be planned; it is removed in the background.
pub async fn begin(p: &Arc<Process>, force: bool) -> Result<(), StopError> {
    if p.local_backend.phase() != Phase::Serving {
        return Ok(());
    }
    let target = p.own_record().target.ok_or(StopError::NoTarget)?;
    let key = store_key(p, &target.service);
    let mut maybe_written = false;
    for _ in 0..PLAN_ATTEMPTS {
        let found = read(p, &key).await;
        let (revision, stops) = match found {
            Ok(found) => found,
            Err(e) if maybe_written => {
                tokio::spawn(remove_stop(p.clone()));
                return Err(StopError::Unknown(e.to_string()));
            }
            Err(e) => return Err(StopError::Unavailable(e.to_string())),
        };
        let known = known_targets(p, &target.service, &stops);
        let next = match plan_stop(stops.clone(), &own_stop(p), &known, force) {
            Ok(next) => next,
            Err(e) => {
                let nodes = e.planned.into_iter().map(|s| s.node);
                return Err(StopError::LastTarget(nodes.collect()));
            }
        };
        if next == stops {
            backend::begin_drain(p);
            return Ok(());
        }
        match write(p, &key, revision, &next).await {
            Ok(true) => {
                backend::begin_drain(p);
                return Ok(());
            }
            Ok(false) => {}
            // The next iteration reads whether the plan was written.
            Err(StoreError::Unknown(_)) => maybe_written = true,
            Err(e) => return Err(StopError::Unavailable(e.to_string())),
        }
    }
    Err(StopError::Conflict)
}

/// Removes the stop of this node from the list in the store. Gives up after a limited number of attempts if the
/// store stays down.
pub async fn remove_stop(p: Arc<Process>) {
    let Some(target) = p.own_record().target else {
        return;
    };
    let key = store_key(&p, &target.service);
    for _ in 0..REMOVE_ATTEMPTS {
        let stop = own_stop(&p);
        let removed = match read(&p, &key).await {
            Ok((_, stops)) if !stops.contains(&stop) => Ok(true),
            Ok((revision, mut stops)) => {
                stops.retain(|s| *s != stop);
                // After an unknown result, the next iteration reads whether the stop was removed.
                write(&p, &key, revision, &stops).await
            }
            Err(e) => Err(e),
        };
        match removed {
            Ok(true) => return,
            Ok(false) => {}
            Err(_) => tokio::time::sleep(REMOVE_RETRY_INTERVAL).await,
        }
    }
}
