//! Settings of the `sidecar` command.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// Settings of a sidecar node.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct SidecarSettings {
    /// Address at which the target accepts requests; heartbeats that name another one are rejected.
    pub target: SocketAddr,
    /// Service of the target; heartbeats that name another one are rejected.
    pub service: ServiceId,
    /// Address for calls of the target, such as heartbeats.
    pub control: SocketAddr,
    /// Address for readiness checks.
    pub ready: SocketAddr,
    /// Address at which other nodes reach `listen.relay`, if it differs.
    pub advertise: Option<SocketAddr>,
    /// Interval of the target's heartbeats, in milliseconds.
    pub heartbeat_ms: u64,
    /// Time for which the target still accepts requests after its announced stop was acknowledged, in milliseconds.
    pub drain_ms: u64,
    /// Time after which a new configuration version must be in force at all nodes, in milliseconds.
    pub apply_ms: u64,
    /// Bandwidth of the link of the VM, in Mbit/s; new configuration versions use at most half of it.
    pub link_mbps: f64,
    /// Time from SIGTERM until the process is killed, in seconds.
    pub grace_s: u64,
    /// Length of the window of the retry budget, in seconds.
    pub budget_window_s: u64,
    /// Allowed retries per request of a service in a window, over all nodes.
    pub budget_ratio: f64,
    /// Retries of a service that are always allowed in a window, over all nodes.
    pub budget_least: f64,
    /// Length of the window in which the requests of a tenant are bounded, in seconds.
    pub quota_window_s: u64,
    /// Allowed excess of the requests of a tenant in a window, as a fraction of what its quota allows.
    pub quota_overage: f64,
    /// Further allowed excess, in requests.
    pub quota_slack: f64,
    /// Whether a target that resets connections or goes silent, as full ones do, gets fewer requests for a while.
    pub limit_full: bool,
    /// Whether a target that starts or recovers gets few requests at first, as many as its responses allow.
    pub pace: bool,
    /// Fraction of the requests that reach a service between the order of a rollout and its time limit which a bad version
    /// may get.
    pub exposure_share: f64,
    /// Requests that a bad version may get in addition.
    pub exposure_slack: f64,
    /// Time after the first bad responses of a version after which it gets no more requests, in milliseconds.
    pub rollback_ms: u64,
}

impl Default for SidecarSettings {
    fn default() -> Self {
        let local = |port| SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), port);
        Self {
            target: local(7600),
            service: ServiceId::default(),
            control: local(7404),
            ready: local(7405),
            advertise: None,
            heartbeat_ms: 1500,
            drain_ms: 2000,
            apply_ms: 2000,
            link_mbps: 1000.0,
            grace_s: 6,
            budget_window_s: 10,
            budget_ratio: 0.1,
            budget_least: 10.0,
            quota_window_s: 5,
            quota_overage: 0.1,
            quota_slack: 20.0,
            limit_full: false,
            pace: false,
            exposure_share: 0.1,
            exposure_slack: 50.0,
            rollback_ms: 5000,
        }
    }
}
