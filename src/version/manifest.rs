//! The manifest, in which operators declare the configuration of a site.

use serde::{Deserialize, Serialize};

use super::validate::validate;
use crate::findings::Findings;
use crate::prelude::*;
use crate::strict_toml;

/// Maximum size of a manifest, in bytes.
pub const MAX_MANIFEST_BYTES: usize = 16 << 20;

/// Declarations of one configuration version.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Manifest {
    /// Name of the site; must be the same as in the settings of the nodes.
    pub site: SmolStr,
    /// Priority ranks of requests.
    pub rank: Vec<Rank>,
    /// Services that routes may refer to.
    pub service: Vec<Service>,
    /// Resources that routes may refer to.
    pub resource: Vec<Resource>,
    /// Routes; a request that matches none is rejected.
    pub route: Vec<Route>,
}

/// A priority rank of requests.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Rank {
    /// Name of the rank, unique among the ranks.
    pub name: RankId,
    /// Order in which ranks are served; 0 comes first.
    pub order: u8,
    /// Guaranteed share of dispatches while requests of this rank wait, in percent.
    pub min_share_percent: u8,
}

/// A service that routes may refer to.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Service {
    /// Name of the service, unique among the services, as backend servers announce it.
    pub name: ServiceId,
}

/// A resource that routes may refer to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Resource {
    /// Headers that are added to forwarded requests.
    HeaderSet {
        /// Name of the header set, unique among the resources.
        #[serde(default)]
        name: SmolStr,
        /// Header names and values.
        #[serde(default)]
        headers: BTreeMap<String, String>,
    },
    /// Limit on the concurrent requests of one caller at one node.
    CallerLimit {
        /// Name of the limit, unique among the resources.
        #[serde(default)]
        name: SmolStr,
        /// Maximum number of concurrent requests.
        #[serde(default)]
        concurrent: u32,
    },
}

impl Resource {
    /// Name that routes refer to.
    pub fn name(&self) -> &SmolStr {
        match self {
            Self::HeaderSet { name, .. } | Self::CallerLimit { name, .. } => name,
        }
    }
}

/// A route from matching requests to a service.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Route {
    /// Name of the route, unique among the routes.
    pub name: SmolStr,
    /// HTTP method to match, in upper case.
    pub method: SmolStr,
    /// Exact path, or a prefix that ends in `/*`.
    pub path: SmolStr,
    /// Host header to match; any host when absent.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub host: Option<SmolStr>,
    /// Service that executes the request.
    pub service: ServiceId,
    /// Rank of the requests, one of those that the manifest declares.
    pub rank: RankId,
    /// Maximum time that a request may take, in milliseconds.
    pub deadline_ms: u32,
    /// Whether executing the request more than once has the same effect as executing it once.
    pub idempotent: bool,
    /// Number of retries allowed in the whole call tree of a request.
    pub retries: u8,
    /// Names of the resources that apply to the route.
    pub resources: Vec<SmolStr>,
}

/// Parses and validates a manifest.
///
/// # Errors
///
/// All findings, each with its line and location.
pub fn parse(text: &str) -> Result<Manifest, Findings> {
    if text.len() > MAX_MANIFEST_BYTES {
        let mut f = Findings::default();
        f.add(
            "file",
            format!("{} bytes exceed {MAX_MANIFEST_BYTES}", text.len()),
            "make the manifest smaller",
        );
        return Err(f);
    }
    let (m, lines) = strict_toml::read::<Manifest>(text)?;
    match validate(&m) {
        Ok(()) => Ok(m),
        Err(f) => Err(lines.annotate(f)),
    }
}
