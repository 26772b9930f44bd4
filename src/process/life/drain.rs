//! Planned stops: the list of a service in the store and the steps of one node.

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// Time in which work is still accepted while the record spreads.
pub const SPREAD_TIME: Duration = Duration::from_secs(2);
/// Longest wait for the hand-over of key ranges in the store, which may be down. The ranges then run out on their own.
pub const HAND_OVER_TIME: Duration = Duration::from_secs(10);
/// Time between the last finished request and "drained", in which idle connections close.
pub const CLOSE_TIME: Duration = Duration::from_millis(500);

/// A planned stop.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stop {
    /// Node.
    pub node: NodeId,
    /// Incarnation of the node.
    pub incarnation: Incarnation,
}

/// The value of `stops/<service>`.
pub type Stops = Vec<Stop>;

/// A target of the service, as the planning node knows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Node.
    pub node: NodeId,
    /// Incarnation of the node.
    pub incarnation: Incarnation,
    /// Whether it takes work now.
    pub ready: bool,
    /// Whether it is known to have ended.
    pub dead: bool,
}

/// No other ready target without a planned stop remains.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LastTarget {
    /// Stops that are planned already.
    pub planned: Stops,
}

/// Removes the stops of nodes that have ended or were started again.
pub fn prune(stops: &mut Stops, known: &[Candidate]) {
    stops.retain(|s| {
        let ended = |c: &Candidate| {
            c.node == s.node
                && (c.incarnation > s.incarnation || (c.dead && c.incarnation == s.incarnation))
        };
        !known.iter().any(ended)
    });
}

/// The list with this stop added.
///
/// # Errors
///
/// [`LastTarget`] when no other ready target without a planned stop remains and `force` is not set.
pub fn plan(
    mut stops: Stops,
    me: &Stop,
    known: &[Candidate],
    force: bool,
) -> Result<Stops, LastTarget> {
    prune(&mut stops, known);
    if stops.contains(me) {
        return Ok(stops);
    }
    let planned = |c: &Candidate| stops.iter().any(|s| s.node == c.node);
    let remains = |c: &Candidate| c.node != me.node && c.ready && !c.dead && !planned(c);
    if !force && !known.iter().any(remains) {
        return Err(LastTarget { planned: stops });
    }
    stops.retain(|s| s.node != me.node);
    stops.push(me.clone());
    Ok(stops)
}

/// Step of a planned stop.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize, schemars::JsonSchema,
)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// No stop is planned.
    #[default]
    Serving,
    /// The record says draining; work is still accepted.
    Announced,
    /// New work is rejected; accepted work finishes and key ranges are handed over.
    Finishing,
    /// All work has finished; connections close.
    Closing,
    /// Nothing is left.
    Drained,
}

impl Phase {
    /// Every step.
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

/// What the driver has to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Mark the own record as draining.
    MarkDraining,
    /// Give up key ranges.
    HandOver,
    /// Close idle connections and answer with `Connection: close`.
    CloseConnections,
    /// Remove the stop from the list; the backend server may stop.
    Finish,
}

/// The planned stop of this node.
#[derive(Debug, Clone, Copy, Default)]
pub struct Drain {
    phase: Phase,
    since: Now,
    began: Now,
}

impl Drain {
    /// Present step.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Whether new work for the backend server is accepted.
    pub fn accepts(&self) -> bool {
        matches!(self.phase, Phase::Serving | Phase::Announced)
    }

    /// Starts the stop; does nothing when one is under way.
    pub fn begin(&mut self, now: Now) -> Vec<Action> {
        if self.phase != Phase::Serving {
            return Vec::new();
        }
        self.began = now;
        self.enter(Phase::Announced, now);
        vec![Action::MarkDraining, Action::HandOver]
    }

    /// Advances. `busy` counts accepted requests that have not finished, queued ones included.
    pub fn tick(&mut self, now: Now, busy: usize, handed_over: bool) -> Vec<Action> {
        let passed = now.saturating_sub(self.since);
        let handed = handed_over || now.saturating_sub(self.began) >= HAND_OVER_TIME;
        match self.phase {
            Phase::Announced if passed >= SPREAD_TIME => {
                self.enter(Phase::Finishing, now);
                Vec::new()
            }
            Phase::Finishing if busy == 0 && handed => {
                self.enter(Phase::Closing, now);
                vec![Action::CloseConnections]
            }
            Phase::Closing if busy > 0 => {
                self.enter(Phase::Finishing, now);
                Vec::new()
            }
            Phase::Closing if passed >= CLOSE_TIME => {
                self.enter(Phase::Drained, now);
                vec![Action::Finish]
            }
            _ => Vec::new(),
        }
    }

    fn enter(&mut self, phase: Phase, now: Now) {
        self.phase = phase;
        self.since = now;
    }

    /// A new backend server has announced itself: after a finished stop the node serves again.
    pub fn resume(&mut self, now: Now) -> bool {
        let resumed = self.phase == Phase::Drained;
        if resumed {
            self.enter(Phase::Serving, now);
        }
        resumed
    }
}
