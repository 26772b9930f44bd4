//! Membership record of a node.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::version::snapshot::VersionRef;

/// Where the parts of a node listen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Addresses {
    /// Requests of callers.
    pub caller: SocketAddr,
    /// Requests relayed by other nodes.
    pub relay: SocketAddr,
    /// Links of other nodes.
    pub peer: SocketAddr,
    /// Administration.
    pub admin: SocketAddr,
}

/// State of a target, as its owner announces it.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize, schemars::JsonSchema,
)]
#[serde(rename_all = "kebab-case")]
pub enum TargetState {
    /// Not yet able to run requests.
    #[default]
    Starting,
    /// Runs requests.
    Ready,
    /// Finishes what it has and takes nothing new.
    Draining,
    /// Does not answer or has stopped announcing itself.
    Gone,
}

impl TargetState {
    /// Every state.
    pub const ALL: [Self; 4] = [Self::Starting, Self::Ready, Self::Draining, Self::Gone];

    /// Value of the metric label.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Starting => "starting",
            Self::Ready => "ready",
            Self::Draining => "draining",
            Self::Gone => "gone",
        }
    }
}

/// The backend server beside a node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Service that it runs.
    pub service: ServiceId,
    /// State.
    pub state: TargetState,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Time since it became ready, in milliseconds, when the record was written.
    pub age_ms: u64,
}

/// What a node tells the others about itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Node id.
    pub node: NodeId,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// Grows with each change by the owner.
    pub sequence: u64,
    /// Availability zone.
    pub az: Az,
    /// Region.
    pub region: SmolStr,
    /// Addresses.
    pub addresses: Addresses,
    /// Version in force.
    pub version: VersionRef,
    /// Whether the node holds a lease on the store's head.
    pub watcher: bool,
    /// The backend server, once it has announced itself.
    pub target: Option<Target>,
}

impl Record {
    /// Order in which records of one node replace each other.
    pub fn order(&self) -> (Incarnation, u64) {
        (self.incarnation, self.sequence)
    }
}
