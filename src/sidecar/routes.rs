//! An immutable configuration version: routes by host and longest prefix.

use bytes::Bytes;

use crate::prelude::*;

/// Ranks that are told apart; less urgent ones count as the last.
pub const RANKS: usize = 4;

/// One service among which a route splits its requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Part {
    /// Service.
    pub service: ServiceId,
    /// Share of the requests, relative to the other parts.
    pub weight: u32,
}

/// A route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Name.
    pub name: SmolStr,
    /// Path prefix; begins and ends with a slash.
    pub prefix: SmolStr,
    /// Whether running a request twice has the effect of running it once.
    pub idempotent: bool,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer has its full worth.
    pub aim: Duration,
    /// Urgency, 0 for the most urgent, below [`RANKS`].
    pub rank: usize,
    /// Targets to which one request may be sent.
    pub attempts: u32,
    /// Services that run it, at least one.
    pub parts: Vec<Part>,
}

/// A service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// Path of the health probe.
    pub health_path: SmolStr,
    /// Connections that a target accepts.
    pub connections: usize,
}

/// Limits on what callers send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerLimits {
    /// Size of a request's headers, in bytes.
    pub header_bytes: usize,
    /// Size of a request body, in bytes.
    pub body_bytes: usize,
    /// Time in which the headers of a request have to arrive.
    pub header_time: Duration,
    /// Time after which an idle connection is closed.
    pub idle_time: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            header_bytes: 16 << 10,
            body_bytes: 1 << 20,
            header_time: Duration::from_secs(5),
            idle_time: Duration::from_secs(15),
        }
    }
}

/// A configuration version.
#[derive(Debug, Clone, Default)]
pub struct RouteTable {
    /// Number; a later version has a greater one.
    pub number: VersionNumber,
    /// Limits on callers.
    pub limits: CallerLimits,
    /// Services by name.
    pub services: HashMap<ServiceId, Service>,
    /// The document that this version was read from, for nodes that cannot reach the store.
    pub document: Bytes,
    hosts: HashMap<SmolStr, Vec<Arc<Route>>>,
}

impl RouteTable {
    /// A version with these routes, each with its host.
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

    /// The route of a host with the longest prefix of a path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let list = match self.hosts.get(name) {
            Some(list) => list,
            None => self.hosts.get(name.to_lowercase().as_str())?,
        };
        list.iter().find(|r| path.starts_with(r.prefix.as_str()))
    }

    /// Names of all routes.
    pub fn names(&self) -> HashSet<&str> {
        let all = self.hosts.values().flatten();
        all.map(|r| r.name.as_str()).collect()
    }

    /// Number of routes.
    pub fn len(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }

    /// Whether there is no route.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }
}
