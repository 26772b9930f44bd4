//! Settings of a node, read from a TOML file.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};

use crate::findings::Findings;
use crate::prelude::*;

/// Settings of one node.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Identity of the node.
    pub node: NodeSettings,
    /// Listening addresses.
    pub listen: ListenSettings,
    /// Links to other nodes.
    pub peers: PeerSettings,
    /// The platform's store.
    pub store: StoreSettings,
    /// Limits on input.
    pub limits: LimitSettings,
    /// Choice of policies.
    pub policy: PolicySettings,
    /// Injection of faults by tests.
    pub faults: FaultSettings,
    /// Logs.
    pub log: LogSettings,
}

/// Injection of faults by tests.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultSettings {
    /// Whether the admin API takes `PUT /faults`.
    pub enabled: bool,
}

/// Logs, which go to standard error.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogSettings {
    /// Least severe level that is written.
    pub level: LogLevel,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            level: LogLevel::Info,
        }
    }
}

/// Severity of log events.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogLevel {
    /// Nothing.
    Off,
    /// Only failures that end a process.
    Error,
    /// Also failures that the process works around.
    Warn,
    /// Also changes of state.
    Info,
    /// Also single requests.
    Debug,
}

/// Identity of the node.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct NodeSettings {
    /// Name, unique in the site.
    pub id: NodeId,
    /// Availability zone.
    pub az: Az,
    /// Region.
    pub region: SmolStr,
    /// Site; nodes of other sites are refused.
    pub site: SmolStr,
    /// Worker threads.
    pub threads: usize,
}

impl Default for NodeSettings {
    fn default() -> Self {
        Self {
            id: "node".into(),
            az: "a".into(),
            region: "local".into(),
            site: "default".into(),
            threads: 2,
        }
    }
}

const LOOPBACK: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);

/// Listening addresses; port 0 takes a free port, which the log line `event=listening` names.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ListenSettings {
    /// Requests of callers.
    pub caller: SocketAddr,
    /// Requests relayed by other nodes.
    pub relay: SocketAddr,
    /// Links of other nodes.
    pub peer: SocketAddr,
    /// Administration, announcements of the backend server and metrics.
    pub admin: SocketAddr,
}

impl Default for ListenSettings {
    fn default() -> Self {
        Self {
            caller: (LOOPBACK, 7400).into(),
            relay: (LOOPBACK, 7401).into(),
            peer: (LOOPBACK, 7402).into(),
            admin: (LOOPBACK, 7403).into(),
        }
    }
}

/// Links to other nodes.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PeerSettings {
    /// Peer addresses of nodes to contact first.
    pub seeds: Vec<SocketAddr>,
    /// File that holds the site's shared key.
    pub key_file: Option<PathBuf>,
}

/// The platform's store.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreSettings {
    /// Address of the store.
    pub address: SocketAddr,
    /// Longest wait for an answer, in milliseconds.
    pub timeout_ms: u64,
}

impl Default for StoreSettings {
    fn default() -> Self {
        Self {
            address: (LOOPBACK, 7500).into(),
            timeout_ms: 1000,
        }
    }
}

/// Limits on input.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LimitSettings {
    /// Connections accepted on the caller and relay ports, each.
    pub connections: usize,
    /// Size of a request's headers, in bytes.
    pub header_bytes: usize,
    /// Number of headers of a request.
    pub headers: usize,
    /// Time in which the headers of a request have to arrive, in milliseconds.
    pub header_timeout_ms: u64,
    /// Size of a request body, in bytes.
    pub body_bytes: usize,
    /// Time in which the next part of a request body has to arrive, in milliseconds.
    pub body_timeout_ms: u64,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            connections: 1024,
            header_bytes: 16 << 10,
            headers: 64,
            header_timeout_ms: 5000,
            body_bytes: 1 << 20,
            body_timeout_ms: 5000,
        }
    }
}

impl LimitSettings {
    /// Limits for relayed requests: entry nodes add headers to what they accepted.
    pub fn for_relay(&self) -> Self {
        Self {
            header_bytes: 2 * self.header_bytes,
            headers: 2 * self.headers,
            ..self.clone()
        }
    }
}

/// Choice of policies; the baselines serve comparison measurements.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PolicySettings {
    /// How a target is chosen.
    pub balance: BalancePolicy,
    /// How waiting work is ordered.
    pub queue: QueuePolicy,
    /// How retries are limited.
    pub retries: RetryPolicy,
}

impl Default for PolicySettings {
    fn default() -> Self {
        Self {
            balance: BalancePolicy::LeastLoaded,
            queue: QueuePolicy::Ranked,
            retries: RetryPolicy::Budget,
        }
    }
}

/// How a target is chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum BalancePolicy {
    /// The less loaded of two random targets, own zone first.
    LeastLoaded,
    /// Any ready target (baseline).
    Random,
}

/// How waiting work is ordered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum QueuePolicy {
    /// By rank with minimum shares.
    Ranked,
    /// First come, first served (baseline).
    Fifo,
}

/// How retries are limited.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RetryPolicy {
    /// By the budget of the call tree and the node's token bucket.
    Budget,
    /// Until the deadline (baseline).
    Unlimited,
}

/// Reads a settings file.
///
/// # Errors
///
/// The findings, each with its place.
pub fn read(path: &Path) -> Result<Settings, Findings> {
    let mut f = Findings::default();
    let text = std::fs::read_to_string(path).map_err(|e| {
        f.add(
            path.display().to_string(),
            e.to_string(),
            "name a readable file",
        );
        f
    })?;
    parse(&text)
}

/// Parses settings.
///
/// # Errors
///
/// The findings, each with its place.
pub fn parse(text: &str) -> Result<Settings, Findings> {
    toml::from_str(text).map_err(|e| {
        let mut f = Findings::default();
        let line = e
            .span()
            .map_or(1, |s| 1 + text[..s.start].matches('\n').count());
        f.add(format!("line {line}"), e.message(), "correct the settings");
        f
    })
}
