//! Settings of a node, read from a TOML file.

mod check;
mod source;

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};

use crate::findings::Findings;
use crate::prelude::*;
use crate::sidecar::settings::SidecarSettings;
use crate::strict_toml;

pub use check::validate;
pub use source::Source;

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
    /// Limits on connections and requests.
    pub limits: LimitSettings,
    /// Policies for balancing, queueing and retries.
    pub policy: PolicySettings,
    /// A node beside a target that only it can reach; read by the `sidecar` command only.
    pub sidecar: SidecarSettings,
    /// Fault injection for tests.
    pub faults: FaultSettings,
    /// Logs, which go to standard error, or to standard output with `sidecar`.
    pub log: LogSettings,
}

/// Fault injection for tests.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultSettings {
    /// Whether the admin API accepts `PUT /faults`.
    pub enabled: bool,
}

/// Logs, which go to standard error, or to standard output with `sidecar`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogSettings {
    /// Least severe level that is logged.
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
    /// Logs nothing.
    Off,
    /// Logs failures that do not pass by themselves, such as damaged data in the store.
    Error,
    /// Also logs failures from which the process recovers.
    Warn,
    /// Also logs changes of state.
    Info,
    /// Also logs single requests.
    Debug,
}

/// Identity of the node.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct NodeSettings {
    /// Id of the node, unique in the site.
    pub id: NodeId,
    /// Availability zone of the node; the default balancing prefers targets in it.
    pub az: Az,
    /// Region of the node, which the `node` command publishes in its record; routing does not use it.
    pub region: SmolStr,
    /// Site; links from nodes of other sites are rejected.
    pub site: SmolStr,
    /// Number of worker threads, 1 to 64; 1 selects a single-threaded runtime.
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

/// Listening addresses. Port 0 selects a free port, which the log line `event=listening` shows.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ListenSettings {
    /// Requests from callers.
    pub caller: SocketAddr,
    /// Requests relayed by other nodes.
    pub relay: SocketAddr,
    /// Links from other nodes.
    pub peer: SocketAddr,
    /// Admin API, announcements from the backend server, and metrics.
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
    /// Peer addresses of the nodes to which this node opens its first links.
    pub seeds: Vec<SocketAddr>,
    /// File that holds the site's shared key; without it peers are not authenticated.
    pub key_file: Option<PathBuf>,
}

/// The platform's store.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreSettings {
    /// Address of the store's HTTP server.
    pub address: SocketAddr,
    /// Longest wait for a response, in milliseconds.
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

/// Limits on connections and requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LimitSettings {
    /// Maximum number of connections on the caller port, and also on the relay port.
    pub connections: usize,
    /// Maximum size of the headers of a request, in bytes.
    pub header_bytes: usize,
    /// Maximum number of headers of a request.
    pub headers: usize,
    /// Time within which the headers of a request have to arrive, in milliseconds.
    pub header_timeout_ms: u64,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Time within which the next part of a request body has to arrive, in milliseconds.
    pub body_timeout_ms: u64,
    /// Maximum number of requests that a connection starts while an earlier one runs; 0 runs them one after the other.
    pub pipelined: usize,
    /// Memory of the VM, in MB; 0 if it is not known. With it, `memory_bytes` has a default.
    pub vm_memory_mb: u64,
    /// Memory for everything that clients make the process hold, in bytes; 0 stands for half of `vm_memory_mb`. Without
    /// both, it is not limited.
    pub memory_bytes: u64,
    /// Maximum number of descriptors of the process; 0 if it is not known. A quarter is kept for the store, links and the
    /// target.
    pub descriptors: u64,
    /// Rate at which a client has to send a request body and to read a response, in bytes per second, over a window.
    pub min_bytes_per_s: u64,
    /// Length of the window of `min_bytes_per_s`, in milliseconds.
    pub rate_window_ms: u64,
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
            pipelined: 16,
            vm_memory_mb: 0,
            memory_bytes: 0,
            descriptors: 0,
            min_bytes_per_s: 64,
            rate_window_ms: 15_000,
        }
    }
}

impl LimitSettings {
    /// Limits for relayed requests. They are larger, because the entry node adds headers to the request it accepted.
    pub fn for_relay(&self) -> Self {
        Self {
            header_bytes: 2 * self.header_bytes,
            headers: 2 * self.headers,
            ..self.clone()
        }
    }
}

/// Policies for balancing, queueing and retries. The baselines exist for measurements that compare policies.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PolicySettings {
    /// How a target is chosen.
    pub balance: BalancePolicy,
    /// How waiting requests are ordered.
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
    /// The less loaded of two random targets, with the node's own zone first.
    LeastLoaded,
    /// Any ready target (baseline).
    Random,
}

/// How waiting requests are ordered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum QueuePolicy {
    /// By rank, with a minimum share for each rank.
    Ranked,
    /// First come, first served (baseline).
    Fifo,
}

/// How retries are limited.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RetryPolicy {
    /// By the retry budget of the call tree and the node's token bucket.
    Budget,
    /// Until the deadline (baseline).
    Unlimited,
}

/// Reads a settings file.
///
/// # Errors
///
/// All findings, each with its location.
pub fn read(path: &Path) -> Result<Settings, Findings> {
    let mut f = Findings::default();
    let text = std::fs::read_to_string(path).map_err(|e| {
        f.add(
            path.display().to_string(),
            e.to_string(),
            "give the path of a readable file",
        );
        f
    })?;
    parse(&text)
}

/// Parses and validates settings.
///
/// # Errors
///
/// All findings, each with its line and location.
pub fn parse(text: &str) -> Result<Settings, Findings> {
    let (s, lines) = strict_toml::read::<Settings>(text)?;
    match validate(&s) {
        Ok(()) => Ok(s),
        Err(f) => Err(lines.annotate(f)),
    }
}
