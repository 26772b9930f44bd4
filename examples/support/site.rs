//! Models of the two deployments that the design page describes, with their services, slots and delays.

use dragonflyquay::load::plan::{KeySource, RequestKind};
use dragonflyquay::version::manifest::{self, Manifest};

use super::fleet::Fleet;
use super::Result;

/// A service and its number of targets.
pub type Service = (&'static str, usize);

/// A site with its manifest, targets and the properties of its backend servers.
pub struct Deployment {
    pub name: &'static str,
    /// Manifest as TOML.
    manifest: &'static str,
    pub services: [Service; 2],
    /// Slots of each target.
    pub slots: u32,
    /// Time that a backend server works on a request. It gives the whole site a capacity of 500 requests/s.
    pub work_ms: u64,
    /// Connections of each target.
    connections: u64,
    /// One-way delay between availability zones. `devbackend` takes whole milliseconds, so 1.5 ms becomes 2.
    zone_ms: u64,
    /// Route with the least urgent requests among those that share a service with urgent requests.
    pub least_urgent: &'static str,
    /// Route with urgent requests.
    pub urgent_route: &'static str,
}

pub const DEPLOYMENTS: [Deployment; 2] = [
    Deployment {
        name: "trust",
        manifest: include_str!("../trust.toml"),
        services: [("catalogue-desk", 6), ("parcel-hall", 4)],
        slots: 6,
        work_ms: 120,
        connections: 100,
        zone_ms: 1,
        least_urgent: "sample-request",
        urgent_route: "catalogue-lookup",
    },
    Deployment {
        name: "leiloes",
        manifest: include_str!("../leiloes.toml"),
        services: [("catalogo", 8), ("liquidacao", 4)],
        slots: 12,
        work_ms: 288,
        connections: 130,
        zone_ms: 2,
        least_urgent: "standing-order",
        urgent_route: "price-check",
    },
];

/// Load of each route without a flood, as a fraction of the capacity of its service.
const NORMAL_LOAD: f64 = 0.2;
/// Delay of a new connection, in milliseconds.
const CONNECT_DELAY_MS: u64 = 1;
/// Callers of each route, enough that limits on a single caller do not take effect.
const CALLERS_PER_ROUTE: u64 = 40;

impl Deployment {
    pub fn manifest(&self) -> Result<Manifest> {
        manifest::parse(self.manifest).map_err(|f| f.to_string())
    }

    /// Requests per second that the targets of a service can complete.
    pub fn capacity(&self, service: &str, work_ms: u64) -> f64 {
        let targets: usize = self
            .services
            .iter()
            .filter(|s| s.0 == service)
            .map(|s| s.1)
            .sum();
        targets as f64 * f64::from(self.slots) * 1000.0 / work_ms as f64
    }

    /// Options of `devbackend`. With `work_ms` 0 zones have no delay either, to measure the latency that nodes add.
    fn backend_options(&self, work_ms: u64) -> Vec<(&'static str, u64)> {
        let zone_delay = if work_ms == 0 { 0 } else { self.zone_ms };
        vec![
            ("--slots", self.slots.into()),
            ("--work-ms", work_ms),
            ("--connections", self.connections),
            ("--zone-delay-ms", zone_delay),
            ("--connect-delay-ms", CONNECT_DELAY_MS),
        ]
    }

    /// Starts nodes with the settings in `policy` and their backend servers, and commits the manifest.
    pub fn start(&self, policy: &str, work_ms: u64) -> Result<Fleet> {
        let n = self.services.iter().map(|s| s.1).sum();
        let mut f = Fleet::start(self.name, n, policy)?;
        for (name, targets) in self.services {
            for _ in 0..targets {
                f.start_backend(name, &self.backend_options(work_ms))?;
            }
        }
        f.commit(&self.manifest()?, 0)?;
        if !f.wait_status("version", 1) || !f.wait_status("nodes", n as u64) {
            eprintln!(
                "{}: not every node knows all others and has the version after 60 s: known nodes {:?}, versions {:?}",
                self.name,
                f.status("nodes"),
                f.status("version")
            );
        }
        Ok(f)
    }

    /// Kinds of request for a load plan, one for each route at its normal rate. A `flood` names a route and a factor:
    /// the route gets so many requests that the load of its service is `factor` times the capacity.
    pub fn request_kinds(
        &self,
        flood: Option<(&str, f64)>,
        key: KeySource,
    ) -> Result<Vec<(String, RequestKind)>> {
        let m = self.manifest()?;
        let capacity = |service: &str| self.capacity(service, self.work_ms);
        let mut out = Vec::new();
        for r in &m.route {
            let route_count = m.route.iter().filter(|o| o.service == r.service).count() as f64;
            let load = match flood {
                Some((name, factor)) if name == r.name => {
                    factor - (route_count - 1.0) * NORMAL_LOAD
                }
                _ => NORMAL_LOAD,
            };
            let kind = RequestKind {
                method: r.method.to_string(),
                path: r.path.replace("/*", "/item-{n}"),
                rank: r.name.to_string(),
                rate: load * capacity(&r.service),
                key: if r.idempotent { KeySource::None } else { key },
                deadline_ms: r.deadline_ms.into(),
                callers: CALLERS_PER_ROUTE,
                body: String::new(),
            };
            out.push((r.name.to_string(), kind));
        }
        Ok(out)
    }
}
