//! Settings of a node, read from a TOML file.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};

use crate::findings::Findings;
use crate::prelude::*;
use crate::sidecar::settings::SidecarSettings;
use crate::strict;
use crate::version::validate::check_name;

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
    /// The node beside a target that only it can reach; read by `sidecar` only.
    pub sidecar: SidecarSettings,
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

/// Parses and validates settings.
///
/// # Errors
///
/// All findings, each with its line and place.
pub fn parse(text: &str) -> Result<Settings, Findings> {
    let (s, places) = strict::read::<Settings>(text)?;
    match validate(&s) {
        Ok(()) => Ok(s),
        Err(f) => Err(places.locate(f)),
    }
}

/// Checks the settings as a whole.
///
/// # Errors
///
/// All findings, each with its place.
pub fn validate(s: &Settings) -> Result<(), Findings> {
    let mut f = Findings::default();
    check_name(&mut f, "node.id".into(), &s.node.id);
    check_name(&mut f, "node.az".into(), &s.node.az);
    check_name(&mut f, "node.region".into(), &s.node.region);
    check_name(&mut f, "node.site".into(), &s.node.site);
    check_addresses(&mut f, s);
    let l = &s.limits;
    // Ranges keep a typing error of a unit, such as seconds for milliseconds, from reaching a node.
    let c = &s.sidecar;
    let ranges: [(&str, u64, RangeInclusive<u64>); 12] = [
        ("sidecar.heartbeat_ms", c.heartbeat_ms, 10..=600_000),
        ("sidecar.drain_ms", c.drain_ms, 0..=600_000),
        ("sidecar.grace_s", c.grace_s, 1..=600),
        ("sidecar.budget_window_s", c.budget_window_s, 1..=3600),
        ("node.threads", s.node.threads as u64, 1..=64),
        ("store.timeout_ms", s.store.timeout_ms, 10..=60_000),
        ("limits.connections", l.connections as u64, 1..=65_536),
        ("limits.header_bytes", l.header_bytes as u64, 1024..=1 << 20),
        ("limits.headers", l.headers as u64, 16..=1024),
        (
            "limits.header_timeout_ms",
            l.header_timeout_ms,
            10..=600_000,
        ),
        ("limits.body_bytes", l.body_bytes as u64, 1..=1 << 30),
        ("limits.body_timeout_ms", l.body_timeout_ms, 10..=600_000),
    ];
    for (place, value, range) in ranges {
        if !range.contains(&value) {
            let remedy = format!("use {} to {}", range.start(), range.end());
            f.add(place, format!("{value} is out of range"), remedy);
        }
    }
    for (place, value) in [
        ("sidecar.budget_ratio", c.budget_ratio),
        ("sidecar.budget_least", c.budget_least),
    ] {
        if !(0.0..=1e6).contains(&value) {
            f.add(
                place,
                format!("{value} is out of range"),
                "use 0 to 1000000",
            );
        }
    }
    f.into_result(())
}

fn check_addresses(f: &mut Findings, s: &Settings) {
    let mut used: HashMap<SocketAddr, &str> = HashMap::default();
    for (place, address) in [
        ("listen.caller", s.listen.caller),
        ("listen.relay", s.listen.relay),
        ("listen.peer", s.listen.peer),
        ("listen.admin", s.listen.admin),
    ] {
        // Other nodes connect to these addresses, so a wildcard would be of no use to them.
        check_ip(f, place.to_owned(), address.ip());
        match used.insert(address, place) {
            Some(first) if address.port() != 0 => f.add(
                place,
                format!("{address} is already used by {first}"),
                "give each listener its own port",
            ),
            _ => {}
        }
    }
    check_ip(f, "sidecar.target".into(), s.sidecar.target.ip());
    check_ip(f, "sidecar.control".into(), s.sidecar.control.ip());
    check_ip(f, "sidecar.ready".into(), s.sidecar.ready.ip());
    check_remote(f, "store.address".into(), s.store.address);
    let mut seeds = HashSet::default();
    for (i, seed) in s.peers.seeds.iter().enumerate() {
        let place = format!("peers.seeds[{i}]");
        check_remote(f, place.clone(), *seed);
        if !seeds.insert(seed) {
            f.add(
                place,
                format!("{seed} is named twice"),
                "remove one of them",
            );
        }
    }
    if s.peers
        .key_file
        .as_ref()
        .is_some_and(|p| p.as_os_str().is_empty())
    {
        f.add(
            "peers.key_file",
            "the file name is empty",
            "name the key file",
        );
    }
}

fn check_remote(f: &mut Findings, place: String, address: SocketAddr) {
    if address.port() == 0 {
        f.add(place.clone(), "port 0 cannot be reached", "name the port");
    }
    check_ip(f, place, address.ip());
}

fn check_ip(f: &mut Findings, place: String, ip: IpAddr) {
    if ip.is_unspecified() || ip.is_multicast() {
        f.add(
            place,
            format!("{ip} is not the address of one machine"),
            "name the address that other processes connect to",
        );
    }
}
