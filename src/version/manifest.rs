//! The manifest that operators write.

use serde::{Deserialize, Serialize};

use super::validate::validate;
use crate::findings::Findings;
use crate::prelude::*;
use crate::strict_toml;

/// Largest manifest that is read, in bytes.
pub const MAX_MANIFEST_BYTES: usize = 16 << 20;

/// Everything that one configuration version declares.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Manifest {
    /// Name of the site; has to equal the site of the nodes' settings.
    pub site: SmolStr,
    /// Ranks of work.
    pub rank: Vec<Rank>,
    /// Services.
    pub service: Vec<Service>,
    /// Resources that routes refer to.
    pub resource: Vec<Resource>,
    /// Routes.
    pub route: Vec<Route>,
}

/// A rank of work.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Rank {
    /// Name.
    pub name: RankId,
    /// Order of service; 0 is the most urgent.
    pub order: u8,
    /// Guaranteed share of dispatches while work of this rank waits, in percent.
    pub min_share_percent: u8,
}

/// A service.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Service {
    /// Name, as backend servers announce it.
    pub name: ServiceId,
}

/// A resource that routes refer to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Resource {
    /// Headers added to the request that is forwarded.
    HeaderSet {
        /// Name.
        #[serde(default)]
        name: SmolStr,
        /// Header names and values.
        #[serde(default)]
        headers: BTreeMap<String, String>,
    },
    /// Limit on the concurrent requests of one caller at one node.
    CallerLimit {
        /// Name.
        #[serde(default)]
        name: SmolStr,
        /// Concurrent requests.
        #[serde(default)]
        concurrent: u32,
    },
}

impl Resource {
    /// Name of the resource.
    pub fn name(&self) -> &SmolStr {
        match self {
            Self::HeaderSet { name, .. } | Self::CallerLimit { name, .. } => name,
        }
    }
}

/// A route from a request to a service.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Route {
    /// Name.
    pub name: SmolStr,
    /// HTTP method.
    pub method: SmolStr,
    /// Exact path, or a prefix that ends in `/*`.
    pub path: SmolStr,
    /// Host header to match; any host when absent.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub host: Option<SmolStr>,
    /// Service that runs the request.
    pub service: ServiceId,
    /// Rank of the work.
    pub rank: RankId,
    /// Time that a request may take, in milliseconds.
    pub deadline_ms: u32,
    /// Whether running the request twice has the effect of running it once.
    pub idempotent: bool,
    /// Retries allowed for the whole call tree.
    pub retries: u8,
    /// Names of resources that the route needs.
    pub resources: Vec<SmolStr>,
}

/// Parses and validates a manifest.
///
/// # Errors
///
/// All findings, each with its line and place.
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
    let (m, places) = strict_toml::read::<Manifest>(text)?;
    match validate(&m) {
        Ok(()) => Ok(m),
        Err(f) => Err(places.annotate(f)),
    }
}
