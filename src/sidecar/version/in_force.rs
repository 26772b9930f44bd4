//! The version in force at this node: adopts newer ones, keeps recent documents, and tells when it was last confirmed to
//! be current.

use bytes::Bytes;

use crate::prelude::*;
use crate::sidecar::process::node::{lock, Node};
use crate::sidecar::process::sample::Confirmation;
use crate::sidecar::version::freshness::FreshnessLimits;
use crate::sidecar::version::routes::RouteTable;

/// Maximum number of recent documents to keep as bases of patches. Nodes that request a version are at most a few
/// versions behind.
const MAX_RECENT_DOCUMENTS: usize = 4;

/// Message of another node about the configuration.
#[derive(Debug)]
pub enum ConfigUpdate {
    /// The node holds this version.
    Version(NodeId, VersionNumber),
    /// The node sent its document, as a patch of this version, or whole if the version is 0.
    Document(NodeId, VersionNumber, Bytes),
}

/// Encoded patches from earlier versions to the one in force.
#[derive(Debug, Default)]
pub struct PatchCache {
    /// Version that results from applying the patches.
    pub number: VersionNumber,
    /// Patches by their base version; 0 for the whole document.
    pub patches: HashMap<VersionNumber, Bytes>,
}

impl Node {
    /// Number of the version in force; 0 if there is none.
    pub fn version(&self) -> VersionNumber {
        self.routes.load().as_ref().map_or(0, |t| t.number)
    }

    /// Adopts a version if it is newer than the one in force. Returns whether it is.
    pub fn adopt(&self, table: RouteTable, source: &str) -> bool {
        if table.number <= self.version() {
            return false;
        }
        let version = table.number;
        let number = version.to_string();
        self.metrics.version.set(version as i64);
        self.log.event(
            "version_adopted",
            &[("number", &number), ("source", source)],
        );
        for name in &table.unknown_types {
            self.log
                .event("route_kind_unknown", &[("number", &number), ("kind", name)]);
        }
        let names = table.route_names();
        self.placement()
            .retain_routes(|route| names.contains(route));
        let mut recent = lock(&self.recent_documents);
        if recent.len() == MAX_RECENT_DOCUMENTS {
            recent.pop_front();
        }
        recent.push_back((table.number, table.document.clone()));
        drop(recent);
        self.routes.store(Some(Arc::new(table)));
        self.version_adopted.send_replace(version);
        if self.reaches_store() {
            self.state_changed.send_modify(|n| *n += 1);
        }
        true
    }

    /// Records which version another node holds; a newer one than the version in force is requested from it.
    pub fn on_peer_version(&self, node: &NodeId, number: VersionNumber) {
        if number > self.version() && !node.is_empty() {
            let update = ConfigUpdate::Version(node.clone(), number);
            // The receiver is never dropped while the process runs.
            let _ = self.config_updates.send(update);
        }
    }

    /// Hands over a document that another node sent, to be adopted.
    pub fn on_peer_config(&self, node: &NodeId, base: VersionNumber, data: Bytes) {
        let update = ConfigUpdate::Document(node.clone(), base, data);
        let _ = self.config_updates.send(update);
    }

    /// Intervals and timeouts of the confirmation of the version in force.
    pub fn freshness_limits(&self) -> FreshnessLimits {
        FreshnessLimits::new(Duration::from_millis(self.settings().sidecar.apply_ms))
    }

    /// Records that no newer version than the one in force was known at the time `at`.
    pub fn confirm_version(&self, at: Now) {
        self.last_confirmed.record(Confirmation::Version, at);
        if self.clock.now() <= at + self.freshness_limits().max_age {
            self.version_confirmed.send_modify(|n| *n += 1);
        }
    }

    /// Time since the version in force was last confirmed to be current, if it was.
    pub fn confirmation_age(&self) -> Option<Duration> {
        let last = self.last_confirmed.last(Confirmation::Version)?;
        Some(self.clock.now().saturating_sub(last))
    }

    /// Time since the version in force was last confirmed to be current, or since the start of the process.
    pub fn unconfirmed_time(&self) -> Duration {
        self.last_confirmed
            .age(Confirmation::Version, self.clock.now())
    }

    /// Document of a recent version; `None` if it is not kept.
    pub fn document(&self, number: VersionNumber) -> Option<Bytes> {
        let recent = lock(&self.recent_documents);
        let found = recent.iter().find(|(n, _)| *n == number);
        found.map(|(_, d)| d.clone())
    }
}
