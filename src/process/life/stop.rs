//! Planned stops in the store.

use std::fmt;

use crate::prelude::*;
use crate::process::life::drain::{plan, Candidate, Phase, Stop, Stops};
use crate::process::members::record::TargetState;
use crate::process::node::Process;
use crate::process::target::backend;
use crate::store::{Revision, StoreError, Swap};

/// Attempts at a compare-and-swap that other plans win, before the command is told to try again.
const ATTEMPTS: u32 = 8;
/// Time after which a node that is not known counts as ended; records spread in less.
const SETTLE: Duration = Duration::from_secs(20);
/// Pause between two attempts to remove a finished stop while the store is down.
const FORGET_PAUSE: Duration = Duration::from_secs(5);
/// Attempts to remove a finished stop; a stop of a node that ended is removed by the next plan.
const FORGET_ATTEMPTS: u32 = 60;

/// Why a stop is not planned.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StopError {
    /// No backend server has announced itself to this node.
    NoTarget,
    /// No other ready target without a planned stop remains; the nodes whose stops are planned.
    LastTarget(Vec<NodeId>),
    /// Other plans came first each time.
    Conflict,
    /// The store gave no answer, so that it is unknown whether the plan is written.
    Unknown(String),
    /// The store cannot be reached; nothing was planned.
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

fn key(p: &Process, service: &str) -> String {
    format!("dq/{}/stops/{service}", p.settings.node.site)
}

fn me(p: &Process) -> Stop {
    Stop {
        node: p.settings.node.id.clone(),
        incarnation: p.own_record().incarnation,
    }
}

/// Targets of a service as this node knows them.
fn candidates(p: &Process, service: &str, stops: &Stops) -> Vec<Candidate> {
    let records = p.records.load();
    let each = records.values().map(|r| {
        let target = r.target.as_ref().filter(|t| t.service == service);
        Candidate {
            node: r.node.clone(),
            incarnation: r.incarnation,
            ready: p.is_reachable(r) && target.is_some_and(|t| t.state == TargetState::Ready),
            dead: p.is_dead(r),
        }
    });
    // Records of dead nodes are not kept with the others. A node that has just started does not know anybody yet.
    let settled = p.clock.now() >= SETTLE;
    let ended = stops
        .iter()
        .filter(|s| settled && !records.contains_key(&s.node));
    let ended = ended.map(|s| Candidate {
        node: s.node.clone(),
        incarnation: s.incarnation,
        ready: false,
        dead: true,
    });
    each.chain(ended).collect()
}

async fn read(p: &Process, key: &str) -> Result<(Revision, Stops), StoreError> {
    match p.store.get(key).await? {
        None => Ok((0, Stops::new())),
        Some(e) => serde_json::from_slice(&e.value)
            .map(|stops| (e.revision, stops))
            .map_err(|e| StoreError::Invalid(e.to_string())),
    }
}

async fn write(p: &Process, key: &str, at: Revision, stops: &Stops) -> Result<bool, StoreError> {
    let value = match stops.is_empty() {
        true => None,
        false => Some(serde_json::to_vec(stops).unwrap_or_default()),
    };
    let done = p.store.swap(key, at, value, None).await?;
    Ok(matches!(done, Swap::Done(_)))
}

/// Plans a stop of this node's target in the store and starts it; does nothing when one is under way or finished.
///
/// # Errors
///
/// See [`StopError`]. Only [`StopError::Unknown`] leaves the plan open; it is then removed in the background.
pub async fn begin(p: &Arc<Process>, force: bool) -> Result<(), StopError> {
    if p.local_backend.phase() != Phase::Serving {
        return Ok(());
    }
    let target = p.own_record().target.ok_or(StopError::NoTarget)?;
    let key = key(p, &target.service);
    let mut open = false;
    for _ in 0..ATTEMPTS {
        let found = read(p, &key).await;
        let (revision, stops) = match found {
            Ok(found) => found,
            Err(e) if open => {
                tokio::spawn(forget(p.clone()));
                return Err(StopError::Unknown(e.to_string()));
            }
            Err(e) => return Err(StopError::Unavailable(e.to_string())),
        };
        let known = candidates(p, &target.service, &stops);
        let next = match plan(stops.clone(), &me(p), &known, force) {
            Ok(next) => next,
            Err(e) => {
                let names = e.planned.into_iter().map(|s| s.node);
                return Err(StopError::LastTarget(names.collect()));
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
            // The next round looks the plan up.
            Err(StoreError::Unknown(_)) => open = true,
            Err(e) => return Err(StopError::Unavailable(e.to_string())),
        }
    }
    Err(StopError::Conflict)
}

/// Removes the stop of this node from the list; gives up after a while when the store is down.
pub async fn forget(p: Arc<Process>) {
    let Some(target) = p.own_record().target else {
        return;
    };
    let key = key(&p, &target.service);
    for _ in 0..FORGET_ATTEMPTS {
        let me = me(&p);
        let done = match read(&p, &key).await {
            Ok((_, stops)) if !stops.contains(&me) => Ok(true),
            Ok((revision, mut stops)) => {
                stops.retain(|s| *s != me);
                // A lost answer is looked up by the next round.
                write(&p, &key, revision, &stops).await
            }
            Err(e) => Err(e),
        };
        match done {
            Ok(true) => return,
            Ok(false) => {}
            Err(_) => tokio::time::sleep(FORGET_PAUSE).await,
        }
    }
}
