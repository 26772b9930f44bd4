//! The operator's configuration document.

use bytes::Bytes;
use serde::Deserialize;

use crate::findings::Findings;
use crate::prelude::*;
use crate::sidecar::routes::{CallerLimits, Route, RouteTable, Service, WeightedService, RANKS};

#[derive(Debug, Deserialize)]
struct Document {
    version: u64,
    services: Vec<ServiceEntry>,
    #[serde(default)]
    limits: Option<Limits>,
    virtual_hosts: Vec<Host>,
}

#[derive(Debug, Deserialize)]
struct ServiceEntry {
    name: SmolStr,
    health_path: SmolStr,
    max_connections: usize,
}

#[derive(Debug, Deserialize)]
struct Limits {
    max_header_bytes: usize,
    max_body_bytes: usize,
    header_timeout_ms: f64,
    idle_timeout_ms: f64,
}

#[derive(Debug, Deserialize)]
struct Host {
    host: SmolStr,
    paths: Vec<Path>,
}

#[derive(Debug, Deserialize)]
struct Path {
    name: SmolStr,
    prefix: SmolStr,
    /// `safe` may run more than once; anything else at most once.
    route_type: SmolStr,
    timeout_ms: f64,
    #[serde(default)]
    aim_ms: Option<f64>,
    #[serde(default)]
    priority: usize,
    #[serde(default)]
    service: Option<SmolStr>,
    #[serde(default)]
    backends: Vec<Backend>,
    /// Targets that may get one request, the first included.
    #[serde(default = "one")]
    retry_attempts: u32,
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

/// Reads a document.
///
/// # Errors
///
/// Findings when it cannot be read or is not coherent.
pub fn read(data: Bytes) -> Result<RouteTable, Findings> {
    let mut f = Findings::default();
    let d: Document = match serde_json::from_slice(&data) {
        Ok(d) => d,
        Err(e) => {
            f.add("document", e.to_string(), "write a valid configuration");
            return Err(f);
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
    for host in d.virtual_hosts {
        for path in host.paths {
            let route = route(path);
            check(&mut f, &route, &services);
            routes.push((host.host.clone(), route));
        }
    }
    let limits = d.limits.map(|l| CallerLimits {
        header_bytes: l.max_header_bytes,
        body_bytes: l.max_body_bytes,
        header_timeout: millis(l.header_timeout_ms),
        idle_timeout: millis(l.idle_timeout_ms),
    });
    let mut table = RouteTable::new(d.version, routes);
    table.limits = limits.unwrap_or_default();
    table.services = services;
    table.document = data;
    f.into_result(table)
}

fn route(p: Path) -> Route {
    let timeout = millis(p.timeout_ms);
    let part = |b: Backend| WeightedService {
        service: b.service,
        weight: b.weight,
    };
    let single = p
        .service
        .map(|service| WeightedService { service, weight: 1 });
    let parts: Vec<WeightedService> = p.backends.into_iter().map(part).collect();
    Route {
        name: p.name,
        prefix: p.prefix,
        idempotent: p.route_type == "safe",
        timeout,
        objective: p.aim_ms.map_or(timeout, millis),
        rank: p.priority.min(RANKS - 1),
        max_attempts: p.retry_attempts,
        services: match parts.is_empty() {
            true => single.into_iter().collect(),
            false => parts,
        },
    }
}

fn check(f: &mut Findings, r: &Route, services: &HashMap<ServiceId, Service>) {
    let place = format!("route {}", r.name);
    if r.services.is_empty() {
        f.add(
            place.clone(),
            "no service runs it",
            "name a service or parts",
        );
    }
    if r.services.iter().all(|p| p.weight == 0) && !r.services.is_empty() {
        f.add(place.clone(), "all weights are 0", "give a part a weight");
    }
    for p in r
        .services
        .iter()
        .filter(|p| !services.contains_key(&p.service))
    {
        let message = format!("service {} is not declared", p.service);
        f.add(place.clone(), message, "declare the service");
    }
    if !r.prefix.starts_with('/') || !r.prefix.ends_with('/') {
        let message = format!("prefix {} does not begin and end with a slash", r.prefix);
        f.add(place, message, "write the prefix as /name/");
    }
}
