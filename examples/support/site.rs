//! The two deployments of the design page, in shape.

use dragonflyquay::load::plan::{KeySource, RequestKind};
use dragonflyquay::version::manifest::{self, Manifest};

use super::fleet::Fleet;
use super::Result;

/// A service and its number of targets.
pub type Service = (&'static str, usize);

/// A deployment.
pub struct Deployment {
    pub name: &'static str,
    manifest: &'static str,
    pub services: [Service; 2],
    pub slots: u32,
    /// Work time of a request, chosen so that the whole site has a capacity of 500 requests/s.
    pub work_ms: u64,
    /// Connections of each target.
    connections: u64,
    /// Delay of each way between zones; the stand-in takes whole milliseconds, so 1.5 ms become 2.
    zone_ms: u64,
    /// Route whose flood is the least urgent work that shares a service with urgent work.
    pub least: &'static str,
    /// Route whose flood is urgent work.
    pub urgent: &'static str,
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
        least: "sample-request",
        urgent: "catalogue-lookup",
    },
    Deployment {
        name: "leiloes",
        manifest: include_str!("../leiloes.toml"),
        services: [("catalogo", 8), ("liquidacao", 4)],
        slots: 12,
        work_ms: 288,
        connections: 130,
        zone_ms: 2,
        least: "standing-order",
        urgent: "price-check",
    },
];

/// Part of a service's capacity that each kind of work takes outside a flood.
const NORMAL: f64 = 0.2;
/// Time that a new connection costs.
const CONNECT_MS: u64 = 1;
/// Caller identities of each kind, above the number at which limits for one caller take effect.
const CALLERS: u64 = 40;

impl Deployment {
    pub fn manifest(&self) -> Result<Manifest> {
        manifest::parse(self.manifest).map_err(|f| f.to_string())
    }

    /// Requests per second that a service can run.
    pub fn capacity(&self, service: &str, work_ms: u64) -> f64 {
        let targets: usize = self
            .services
            .iter()
            .filter(|s| s.0 == service)
            .map(|s| s.1)
            .sum();
        targets as f64 * f64::from(self.slots) * 1000.0 / work_ms as f64
    }

    /// Options of a backend server. Without work there are no delays either, to measure what nodes add.
    fn options(&self, work_ms: u64) -> Vec<(&'static str, u64)> {
        let zone = if work_ms == 0 { 0 } else { self.zone_ms };
        vec![
            ("--slots", self.slots.into()),
            ("--work-ms", work_ms),
            ("--connections", self.connections),
            ("--zone-delay-ms", zone),
            ("--connect-delay-ms", CONNECT_MS),
        ]
    }

    /// Starts nodes and backend servers and commits the manifest.
    pub fn start(&self, policy: &str, work_ms: u64) -> Result<Fleet> {
        let n = self.services.iter().map(|s| s.1).sum();
        let mut f = Fleet::start(self.name, n, policy)?;
        for (name, targets) in self.services {
            for _ in 0..targets {
                f.start_backend(name, &self.options(work_ms))?;
            }
        }
        f.commit(&self.manifest()?, 0)?;
        if !f.wait_status("version", 1) || !f.wait_status("nodes", n as u64) {
            eprintln!(
                "{}: nodes {:?}, versions {:?}",
                self.name,
                f.status("nodes"),
                f.status("version")
            );
        }
        Ok(f)
    }

    /// Kinds of request with their normal rates; the flooded route fills its service up to `factor` times capacity.
    pub fn kinds(
        &self,
        flood: Option<(&str, f64)>,
        key: KeySource,
    ) -> Result<Vec<(String, RequestKind)>> {
        let m = self.manifest()?;
        let capacity = |service: &str| self.capacity(service, self.work_ms);
        let mut out = Vec::new();
        for r in &m.route {
            let sharing = m.route.iter().filter(|o| o.service == r.service).count() as f64;
            let part = match flood {
                Some((name, factor)) if name == r.name => factor - (sharing - 1.0) * NORMAL,
                _ => NORMAL,
            };
            let kind = RequestKind {
                method: r.method.to_string(),
                path: r.path.replace("/*", "/item-{n}"),
                rank: r.name.to_string(),
                rate: part * capacity(&r.service),
                key: if r.idempotent { KeySource::None } else { key },
                deadline_ms: r.deadline_ms.into(),
                callers: CALLERS,
                body: String::new(),
            };
            out.push((r.name.to_string(), kind));
        }
        Ok(out)
    }
}
