//! Membership record of a node.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::version::snapshot::VersionRef;

/// Addresses on which a node listens.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Addresses {
    /// Listener for requests from callers.
    pub caller: SocketAddr,
    /// Listener for requests relayed by other nodes.
    pub relay: SocketAddr,
    /// Listener for links from other nodes.
    pub peer: SocketAddr,
    /// Listener of the admin API.
    pub admin: SocketAddr,
}

/// State of a target, as the node beside it publishes it.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize, schemars::JsonSchema,
)]
#[serde(rename_all = "kebab-case")]
pub enum TargetState {
    /// Cannot run requests, because it is starting or reports itself unhealthy.
    #[default]
    Starting,
    /// Runs requests.
    Ready,
    /// Finishes the requests that it has and accepts no new ones.
    Draining,
    /// Does not answer, or has stopped announcing itself.
    Gone,
}

impl TargetState {
    /// All states, for metrics with one value for each.
    pub const ALL: [Self; 4] = [Self::Starting, Self::Ready, Self::Draining, Self::Gone];

    /// Name of the state, as the value of a metric label.
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
    /// Service that it provides.
    pub service: ServiceId,
    /// State that the node beside it derives from announcements, hints and responses.
    pub state: TargetState,
    /// Largest number of requests that it runs at the same time.
    pub slots: u32,
    /// Time from becoming ready until the record was written, in milliseconds.
    pub age_ms: u64,
}

/// Membership record: what a node publishes about itself to all other nodes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Id of the node that wrote the record, unique in the site.
    pub node: NodeId,
    /// Incarnation of the process that wrote the record; a higher one replaces all records of lower ones.
    pub incarnation: Incarnation,
    /// Raised with each change that the node makes to its record.
    pub sequence: u64,
    /// Availability zone of the node, from its settings.
    pub az: Az,
    /// Region of the node, from its settings; routing does not use it.
    pub region: SmolStr,
    /// Addresses of its listeners.
    pub addresses: Addresses,
    /// Version in force at the node.
    pub version: VersionRef,
    /// Whether the node holds a lease to watch the store's head.
    pub watcher: bool,
    /// The backend server, once it has announced itself.
    pub target: Option<Target>,
}

impl Record {
    /// Sort key: of two records of the same node, the one with the greater key replaces the other.
    pub fn order(&self) -> (Incarnation, u64) {
        (self.incarnation, self.sequence)
    }
}
