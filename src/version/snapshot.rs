//! An immutable configuration version, indexed for routing.

use super::manifest::{Manifest, Resource, Route};
use super::validate::validate;
use crate::digest::Digest;
use crate::findings::Findings;
use crate::prelude::*;

/// Identifies a version by its number and the hash of its content.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    serde::Serialize,
    serde::Deserialize,
)]
pub struct VersionRef {
    /// Number; grows by one with each accepted commit.
    pub number: VersionNumber,
    /// Hash of the canonical content.
    pub hash: Digest,
}

/// A version whose manifest has been validated.
#[derive(Debug)]
pub struct Snapshot {
    /// Number of the version, and the hash that its content was checked against.
    pub version: VersionRef,
    /// Content hash of the previous version; all zeros for version 1.
    pub parent: Digest,
    /// Manifest that was decoded from the content.
    pub manifest: Manifest,
    /// Content in canonical form, as it is hashed and distributed.
    pub content: Vec<u8>,
    /// Indices of the routes, by method.
    by_method: HashMap<SmolStr, Vec<usize>>,
    /// Indices of the resources, by name.
    resources: HashMap<SmolStr, usize>,
}

/// Encodes a manifest in canonical form: JSON with the fields in the order of their declaration.
pub fn canonical(m: &Manifest) -> Vec<u8> {
    serde_json::to_vec(m).unwrap_or_default()
}

impl Snapshot {
    /// Decodes and validates content.
    ///
    /// # Errors
    ///
    /// Findings when the content does not match its hash, cannot be decoded, is not in canonical form or is not valid.
    pub fn decode(version: VersionRef, parent: Digest, content: Vec<u8>) -> Result<Self, Findings> {
        let reject = |message: String, hint: &str| {
            let mut f = Findings::default();
            f.add("content", message, hint);
            Err(f)
        };
        if Digest::of(&content) != version.hash {
            return reject("content does not match its hash".into(), "fetch it again");
        }
        let manifest: Manifest = match serde_json::from_slice(&content) {
            Ok(m) => m,
            Err(e) => return reject(e.to_string(), "commit a valid manifest"),
        };
        if canonical(&manifest) != content {
            let message = "content is not in the canonical form";
            return reject(message.into(), "commit a valid manifest");
        }
        validate(&manifest)?;
        let mut by_method: HashMap<SmolStr, Vec<usize>> = HashMap::default();
        for (i, r) in manifest.route.iter().enumerate() {
            by_method.entry(r.method.clone()).or_default().push(i);
        }
        let resources = manifest
            .resource
            .iter()
            .enumerate()
            .map(|(i, r)| (r.name().clone(), i))
            .collect();
        Ok(Self {
            version,
            parent,
            manifest,
            content,
            by_method,
            resources,
        })
    }

    /// Finds the route of a request. A route with a host is preferred to one without, then an exact path to a prefix,
    /// then a longer prefix to a shorter one.
    pub fn route(&self, method: &str, host: &str, path: &str) -> Option<&Route> {
        let candidates = self.by_method.get(method)?;
        candidates
            .iter()
            .map(|i| &self.manifest.route[*i])
            .filter(|r| r.host.as_ref().is_none_or(|h| h == host) && path_matches(&r.path, path))
            .max_by_key(|r| (r.host.is_some(), !r.path.ends_with("/*"), r.path.len()))
    }

    /// Finds a resource by name.
    pub fn resource(&self, name: &str) -> Option<&Resource> {
        self.resources
            .get(name)
            .map(|i| &self.manifest.resource[*i])
    }
}

fn path_matches(pattern: &str, path: &str) -> bool {
    match pattern.strip_suffix("/*") {
        Some(prefix) => path
            .strip_prefix(prefix)
            .is_some_and(|rest| rest.starts_with('/')),
        None => pattern == path,
    }
}
