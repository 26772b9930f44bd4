//! Planned stops: the list of each service in the store, and the phases of the stop at one node.

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// Time in which requests are still accepted while the record propagates to the other nodes.
pub const PROPAGATION_TIME: Duration = Duration::from_secs(2);
/// Maximum wait for the release of key ranges, because the store may be down. Ranges that are not released expire.
pub const RELEASE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time from [`Phase::Closing`] to [`Phase::Drained`], in which idle connections close.
pub const CLOSE_DELAY: Duration = Duration::from_millis(500);

/// A planned stop of a target, as stored in the list of its service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlannedStop {
    /// Id of the node beside the target.
    pub node: NodeId,
    /// Incarnation of the node when the stop was planned; the stop is obsolete once a higher one is known.
    pub incarnation: Incarnation,
}

/// Planned stops of a service: the value of the store key `stops/<service>`.
pub type PlannedStops = Vec<PlannedStop>;

/// A node, as known to the one that plans a stop. Only targets of the service can be ready.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KnownTarget {
    /// Id of the node, compared with those of the planned stops.
    pub node: NodeId,
    /// Incarnation of the node, compared with that of its planned stop.
    pub incarnation: Incarnation,
    /// Whether the target accepts requests now.
    pub ready: bool,
    /// Whether the node is known to have stopped.
    pub dead: bool,
}

/// The stop was rejected, because no other ready target without a planned stop would remain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LastTarget {
    /// Stops that are already planned.
    pub planned: PlannedStops,
}

/// Removes the planned stops of nodes that have stopped or restarted.
pub fn prune_obsolete(stops: &mut PlannedStops, known: &[KnownTarget]) {
    stops.retain(|s| {
        let has_stopped = |t: &KnownTarget| {
            t.node == s.node
                && (t.incarnation > s.incarnation || (t.dead && t.incarnation == s.incarnation))
        };
        !known.iter().any(has_stopped)
    });
}

/// Adds a stop to the list and returns the new list.
///
/// # Errors
///
/// [`LastTarget`] if no other ready target without a planned stop would remain and `force` is not set.
pub fn plan_stop(
    mut stops: PlannedStops,
    stop: &PlannedStop,
    known: &[KnownTarget],
    force: bool,
) -> Result<PlannedStops, LastTarget> {
    prune_obsolete(&mut stops, known);
    if stops.contains(stop) {
        return Ok(stops);
    }
    let planned = |t: &KnownTarget| stops.iter().any(|s| s.node == t.node);
    let is_available = |t: &KnownTarget| t.node != stop.node && t.ready && !t.dead && !planned(t);
    if !force && !known.iter().any(is_available) {
        return Err(LastTarget { planned: stops });
    }
    stops.retain(|s| s.node != stop.node);
    stops.push(stop.clone());
    Ok(stops)
}

/// Phase of a planned stop.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize, schemars::JsonSchema,
)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// No stop is planned.
    #[default]
    Serving,
    /// The membership record says draining; new requests are still accepted.
    Announced,
    /// New requests are rejected; accepted requests finish and key ranges are released.
    Finishing,
    /// All requests have finished; connections close.
    Closing,
    /// The stop is complete; the backend server may stop.
    Drained,
}

impl Phase {
    /// All phases, for a metric with one value for each.
    pub const ALL: [Self; 5] = [
        Self::Serving,
        Self::Announced,
        Self::Finishing,
        Self::Closing,
        Self::Drained,
    ];

    /// Value of the metric label.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Serving => "serving",
            Self::Announced => "announced",
            Self::Finishing => "finishing",
            Self::Closing => "closing",
            Self::Drained => "drained",
        }
    }
}

/// An action that the owner of the state machine has to carry out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Mark the membership record of this node as draining.
    MarkDraining,
    /// Release the key ranges of this process.
    ReleaseRanges,
    /// Close idle connections and send `Connection: close` with responses.
    CloseConnections,
    /// Remove the stop from the list in the store; the backend server may stop.
    Finish,
}

/// State machine of the planned stop of this node.
#[derive(Debug, Clone, Copy, Default)]
pub struct Drain {
    phase: Phase,
    phase_since: Now,
    started: Now,
}

impl Drain {
    /// Phase of the stop; [`Phase::Serving`] when none is in progress.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Whether new requests for the backend server are accepted.
    pub fn accepts(&self) -> bool {
        matches!(self.phase, Phase::Serving | Phase::Announced)
    }

    /// Starts the stop; does nothing if one is in progress.
    pub fn begin(&mut self, now: Now) -> Vec<Action> {
        if self.phase != Phase::Serving {
            return Vec::new();
        }
        self.started = now;
        self.enter(Phase::Announced, now);
        vec![Action::MarkDraining, Action::ReleaseRanges]
    }

    /// Advances the phase. `busy` is the number of accepted requests that have not finished, including queued ones.
    /// `is_released` says whether all key ranges of this process are released.
    pub fn tick(&mut self, now: Now, busy: usize, is_released: bool) -> Vec<Action> {
        let elapsed = now.saturating_sub(self.phase_since);
        let released = is_released || now.saturating_sub(self.started) >= RELEASE_TIMEOUT;
        match self.phase {
            Phase::Announced if elapsed >= PROPAGATION_TIME => {
                self.enter(Phase::Finishing, now);
                Vec::new()
            }
            Phase::Finishing if busy == 0 && released => {
                self.enter(Phase::Closing, now);
                vec![Action::CloseConnections]
            }
            Phase::Closing if busy > 0 => {
                self.enter(Phase::Finishing, now);
                Vec::new()
            }
            Phase::Closing if elapsed >= CLOSE_DELAY => {
                self.enter(Phase::Drained, now);
                vec![Action::Finish]
            }
            _ => Vec::new(),
        }
    }

    fn enter(&mut self, phase: Phase, now: Now) {
        self.phase = phase;
        self.phase_since = now;
    }

    /// Handles a new backend server: after a completed stop the node serves again. Returns whether the phase changed.
    pub fn resume(&mut self, now: Now) -> bool {
        let resumed = self.phase == Phase::Drained;
        if resumed {
            self.enter(Phase::Serving, now);
        }
        resumed
    }
}
