//! An immutable configuration version, whose routes are looked up by host and longest path prefix.

use std::fmt;

use bytes::Bytes;

use crate::prelude::*;
use crate::sidecar::process::quota::limits::Quota;

/// Number of ranks; less urgent ones in a document count as the last.
pub const RANKS: usize = 4;

/// One of the services among which a route splits its requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightedService {
    /// Service that gets this share; the same version declares it.
    pub service: ServiceId,
    /// Share of the requests, relative to the other services of the route.
    pub weight: u32,
}

/// API key of a caller. Its debug output is redacted, so that no log contains a key.
#[derive(Clone, PartialEq, Eq, Hash)]
pub struct ApiKey(SmolStr);

impl ApiKey {
    /// Wraps the text of a key.
    pub fn new(text: &str) -> Self {
        Self(text.into())
    }
}

impl fmt::Debug for ApiKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ApiKey(..)")
    }
}

/// An organisation whose callers authenticate with API keys.
#[derive(Debug, Clone, PartialEq)]
pub struct Tenant {
    /// Name, unique in the version.
    pub name: TenantId,
    /// Rank of its requests, which comes before the rank of the route; 0 is the most urgent.
    pub rank: usize,
    /// Requests per second over all nodes; 0 for no quota.
    pub rate: f64,
    /// Requests beyond the rate that may come at once, over all nodes.
    pub burst: f64,
}

/// How requests to a host and a path prefix are run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Name of the route, for estimates, metrics and logs.
    pub name: SmolStr,
    /// Path prefix; begins and ends with a slash.
    pub prefix: SmolStr,
    /// Whether running a request twice has the effect of running it once.
    pub idempotent: bool,
    /// Maximum time until the caller gets a response.
    pub timeout: Duration,
    /// Latency objective; equal to `timeout` if the document has none.
    pub objective: Duration,
    /// Urgency: 0 is the most urgent; below [`RANKS`].
    pub rank: usize,
    /// Maximum number of targets that may run one request; targets that did not run it do not count.
    pub max_attempts: u32,
    /// Whether its requests need no API key.
    pub public: bool,
    /// Services that run the requests, at least one.
    pub services: Vec<WeightedService>,
}

/// Properties of a service that the version declares.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// Path of the health probe.
    pub health_path: SmolStr,
    /// Maximum number of connections that a target accepts; the node does not enforce it.
    pub max_connections: usize,
}

/// Limits on what callers send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of the headers of a request, in bytes. Not enforced: that of the settings applies.
    pub header_bytes: usize,
    /// Maximum size of the body of a request, in bytes.
    pub body_bytes: usize,
    /// Time within which the headers of a request must arrive after their first byte. Enforced where the settings limit the
    /// memory or the descriptors of the process; elsewhere `idle_timeout` applies.
    pub header_timeout: Duration,
    /// Time after which an idle connection of a caller is closed.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            header_bytes: 16 << 10,
            body_bytes: 1 << 20,
            header_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// A configuration version: routes, services and limits.
#[derive(Debug, Clone, Default)]
pub struct RouteTable {
    /// Version number; later versions have greater numbers.
    pub number: VersionNumber,
    /// Limits on what callers send; the defaults if the document has none.
    pub limits: CallerLimits,
    /// Declared services by name; the routes use no others.
    pub services: HashMap<ServiceId, Service>,
    /// Document that the version was parsed from, to be sent to nodes that cannot reach the store.
    pub document: Bytes,
    /// Tenants by name. Without any, requests need no API key.
    pub tenants: HashMap<TenantId, Arc<Tenant>>,
    /// Tenant of each API key.
    pub keys: HashMap<ApiKey, Arc<Tenant>>,
    /// Types of routes that the document names and that are unknown; their requests count as not idempotent.
    pub unknown_types: Vec<SmolStr>,
    hosts: HashMap<SmolStr, Vec<Arc<Route>>>,
}

impl RouteTable {
    /// Creates a version with these routes, each with its host.
    pub fn new(number: VersionNumber, routes: Vec<(SmolStr, Route)>) -> Self {
        let mut hosts: HashMap<SmolStr, Vec<Arc<Route>>> = HashMap::default();
        for (host, route) in routes {
            let host = host.to_lowercase().into();
            hosts.entry(host).or_default().push(Arc::new(route));
        }
        for list in hosts.values_mut() {
            list.sort_by_key(|r| std::cmp::Reverse(r.prefix.len()));
        }
        Self {
            number,
            hosts,
            ..Self::default()
        }
    }

    /// Returns the route of a host with the longest prefix that matches a path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let list = match self.hosts.get(name) {
            Some(list) => list,
            None => self.hosts.get(name.to_lowercase().as_str())?,
        };
        list.iter().find(|r| path.starts_with(r.prefix.as_str()))
    }

    /// Rank of the requests of a tenant to a route: that of the tenant, or of the route if there is no tenant. Where
    /// callers authenticate, requests without a tenant are calls of targets. They go first, because a call that is refused
    /// wastes the slot that the calling request occupies.
    pub fn rank(&self, route: &Route, tenant: Option<&Tenant>) -> usize {
        match tenant {
            Some(t) => t.rank,
            None if self.tenants.is_empty() => route.rank,
            None => 0,
        }
    }

    /// Names of the routes of all hosts.
    pub fn route_names(&self) -> HashSet<&str> {
        let all = self.hosts.values().flatten();
        all.map(|r| r.name.as_str()).collect()
    }

    /// Quota of a tenant; `None` if it has none.
    pub fn quota(&self, tenant: &str) -> Option<Quota> {
        let tenant = self.tenants.get(tenant)?;
        Quota::new(tenant.rate, tenant.burst)
    }

    /// Number of routes of all hosts.
    pub fn len(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }

    /// Whether no host has a route.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }
}
