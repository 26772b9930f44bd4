//! Heartbeats of targets, in the terms of this program.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::sidecar::process::target::state::TargetId;

/// State that a target reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReportedState {
    /// Accepts requests.
    Ready,
    /// Stops soon.
    Draining,
}

/// Report of a target that it runs, sent at regular intervals.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heartbeat {
    /// Id of the target that sent it.
    pub id: TargetId,
    /// Service that it runs; has to be that of the settings.
    pub service: ServiceId,
    /// Address that accepts requests; has to be that of the settings.
    pub address: SocketAddr,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// State that the target reports.
    pub state: ReportedState,
    /// Remaining time for which the target is slow after its start.
    pub warm_up: Duration,
    /// Start of the target, in ms since 1970; greater for a later incarnation.
    pub incarnation: u64,
    /// Incremented with each heartbeat of an incarnation.
    pub seq: u64,
    /// Version of the program that the target runs; `None` if the heartbeat does not tell it.
    pub version: Option<SmolStr>,
}

/// Reason for which a heartbeat or an announced stop was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatError {
    /// It is not from the target of this node.
    Foreign,
    /// It is from an earlier incarnation.
    Stale,
    /// It is a late one of a target that has announced its stop.
    Departed,
}

impl HeartbeatError {
    /// Label for logs and counters.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Foreign => "foreign",
            Self::Stale => "stale",
            Self::Departed => "departed",
        }
    }
}
