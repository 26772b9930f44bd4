//! Configuration document of the operator, which is decoded into routes.

use bytes::Bytes;
use serde::Deserialize;

use crate::findings::Findings;
use crate::prelude::*;
use crate::sidecar::version::routes::{
    ApiKey, CallerLimits, Route, RouteTable, Service, Tenant, WeightedService, RANKS,
};

#[derive(Deserialize)]
struct Document {
    version: u64,
    services: Vec<ServiceEntry>,
    #[serde(default)]
    limits: Option<Limits>,
    #[serde(default)]
    tenants: Vec<TenantEntry>,
    virtual_hosts: Vec<VirtualHost>,
}

#[derive(Debug, Deserialize)]
struct ServiceEntry {
    name: SmolStr,
    health_path: SmolStr,
    /// Per target, not for the whole service.
    max_connections: usize,
}

#[derive(Debug, Deserialize)]
struct Limits {
    max_header_bytes: usize,
    max_body_bytes: usize,
    header_timeout_ms: f64,
    idle_timeout_ms: f64,
}

/// No `Debug`: it would contain the keys.
#[derive(Deserialize)]
struct TenantEntry {
    name: TenantId,
    #[serde(default)]
    api_keys: Vec<SmolStr>,
    /// Rank; 0 is the most urgent.
    #[serde(default)]
    priority: usize,
    /// Requests per second over all nodes; 0 for no limit.
    #[serde(default)]
    rate_per_s: f64,
    #[serde(default)]
    burst: f64,
}

#[derive(Debug, Deserialize)]
struct VirtualHost {
    host: SmolStr,
    paths: Vec<PathEntry>,
}

#[derive(Debug, Deserialize)]
struct PathEntry {
    name: SmolStr,
    prefix: SmolStr,
    route_type: SmolStr,
    timeout_ms: f64,
    /// Latency objective; the timeout if absent.
    #[serde(default)]
    aim_ms: Option<f64>,
    /// Rank; 0 is the most urgent.
    #[serde(default)]
    priority: usize,
    /// The only service of the route; ignored if there are `backends`.
    #[serde(default)]
    service: Option<SmolStr>,
    /// Services among which the requests are split; not backend servers.
    #[serde(default)]
    backends: Vec<Backend>,
    /// Maximum number of targets that may run one request, including the first one.
    #[serde(default = "one")]
    retry_attempts: u32,
    /// Whether requests need no API key.
    #[serde(default)]
    auth_exempt: bool,
}

/// Type of a route, which says whether its requests are idempotent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RouteType {
    /// Requests without side effects.
    Safe,
    /// Requests without side effects and with large responses.
    Download,
    /// Requests that must not run twice.
    Unsafe,
    /// Requests that must not run twice and have large bodies.
    Upload,
    /// A type that this version of the program does not know.
    Unknown,
}

impl RouteType {
    fn parse(name: &str) -> Self {
        match name {
            "safe" => Self::Safe,
            "download" => Self::Download,
            "unsafe" => Self::Unsafe,
            "upload" => Self::Upload,
            _ => Self::Unknown,
        }
    }

    fn is_idempotent(self) -> bool {
        matches!(self, Self::Safe | Self::Download)
    }
}

#[derive(Debug, Deserialize)]
struct Backend {
    service: SmolStr,
    weight: u32,
}

fn one() -> u32 {
    1
}

fn millis(ms: f64) -> Duration {
    Duration::from_secs_f64((ms / 1000.0).clamp(0.0, 86_400.0))
}

/// Parses a document, checks its routes and returns the version that it describes.
///
/// # Errors
///
/// The document is malformed or inconsistent; all problems found.
pub fn parse(data: Bytes) -> Result<RouteTable, Findings> {
    let mut findings = Findings::default();
    let d: Document = match serde_json::from_slice(&data) {
        Ok(d) => d,
        Err(e) => {
            findings.add("document", e.to_string(), "write a valid configuration");
            return Err(findings);
        }
    };
    let services: HashMap<ServiceId, Service> = d
        .services
        .into_iter()
        .map(|s| {
            let service = Service {
                health_path: s.health_path,
                max_connections: s.max_connections,
            };
            (s.name, service)
        })
        .collect();
    let mut routes = Vec::new();
    let mut unknown_types: Vec<SmolStr> = Vec::new();
    for host in d.virtual_hosts {
        for path in host.paths {
            let route_type = RouteType::parse(&path.route_type);
            if route_type == RouteType::Unknown && !unknown_types.contains(&path.route_type) {
                unknown_types.push(path.route_type.clone());
            }
            let route = decode_route(path, route_type);
            check_route(&mut findings, &route, &services);
            routes.push((host.host.clone(), route));
        }
    }
    let limits = d.limits.map(|l| CallerLimits {
        header_bytes: l.max_header_bytes,
        body_bytes: l.max_body_bytes,
        header_timeout: millis(l.header_timeout_ms),
        idle_timeout: millis(l.idle_timeout_ms),
    });
    let tenants = decode_tenants(&mut findings, d.tenants);
    let mut table = RouteTable::new(d.version, routes);
    (table.tenants, table.keys) = tenants;
    table.limits = limits.unwrap_or_default();
    table.services = services;
    table.document = data;
    table.unknown_types = unknown_types;
    findings.into_result(table)
}

type Tenants = (HashMap<TenantId, Arc<Tenant>>, HashMap<ApiKey, Arc<Tenant>>);

fn decode_tenants(f: &mut Findings, entries: Vec<TenantEntry>) -> Tenants {
    let (mut tenants, mut keys) = Tenants::default();
    for e in entries {
        let place = format!("tenant {}", e.name);
        let valid = |x: f64| x.is_finite() && x >= 0.0;
        if !valid(e.rate_per_s) || !valid(e.burst) {
            f.add(
                place.clone(),
                "the quota is invalid",
                "set a rate and a burst of 0 or more",
            );
        }
        let tenant = Arc::new(Tenant {
            name: e.name.clone(),
            rank: e.priority.min(RANKS - 1),
            rate: e.rate_per_s,
            burst: e.burst,
        });
        for key in &e.api_keys {
            let other = keys.insert(ApiKey::new(key), tenant.clone());
            if other.is_some_and(|t| t.name != tenant.name) {
                f.add(
                    place.clone(),
                    "a key belongs to two tenants",
                    "remove it from one of them",
                );
            }
        }
        if tenants.insert(e.name, tenant).is_some() {
            f.add(
                place,
                "the tenant is listed twice",
                "remove one of the entries",
            );
        }
    }
    (tenants, keys)
}

fn decode_route(p: PathEntry, route_type: RouteType) -> Route {
    let timeout = millis(p.timeout_ms);
    let weighted = |b: Backend| WeightedService {
        service: b.service,
        weight: b.weight,
    };
    let only = p
        .service
        .map(|service| WeightedService { service, weight: 1 });
    let split: Vec<WeightedService> = p.backends.into_iter().map(weighted).collect();
    Route {
        name: p.name,
        prefix: p.prefix,
        idempotent: route_type.is_idempotent(),
        timeout,
        objective: p.aim_ms.map_or(timeout, millis),
        rank: p.priority.min(RANKS - 1),
        max_attempts: p.retry_attempts,
        public: p.auth_exempt,
        services: match split.is_empty() {
            true => only.into_iter().collect(),
            false => split,
        },
    }
}

fn check_route(f: &mut Findings, r: &Route, services: &HashMap<ServiceId, Service>) {
    let place = format!("route {}", r.name);
    if r.services.is_empty() {
        f.add(
            place.clone(),
            "the route has no service",
            "set service or backends",
        );
    }
    if r.services.iter().all(|s| s.weight == 0) && !r.services.is_empty() {
        f.add(
            place.clone(),
            "all weights are 0",
            "set the weight of at least one backend above 0",
        );
    }
    for s in r
        .services
        .iter()
        .filter(|s| !services.contains_key(&s.service))
    {
        let message = format!("service {} is not declared", s.service);
        f.add(place.clone(), message, "declare the service");
    }
    if !r.prefix.starts_with('/') || !r.prefix.ends_with('/') {
        let message = format!("prefix {} does not begin and end with a slash", r.prefix);
        f.add(place, message, "write the prefix as /name/");
    }
}
