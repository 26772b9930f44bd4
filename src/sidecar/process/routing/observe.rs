//! What a choice of a target considers, for queries that explain it. No I/O.

use crate::prelude::*;
use crate::sidecar::process::routing::known_target::{Target, TargetInfo};

/// Why a target is not eligible for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exclusion {
    /// It does not accept requests.
    NotReady,
    /// Its node does not respond on a link.
    Unreachable,
    /// It is about to stop.
    Leaving,
    /// A rollout does not allow its version for the request.
    Rollout,
    /// It rejected such a request a moment before.
    BackOff,
}

/// Follows a choice. Requests use `()`, for which the calls compile to nothing.
pub trait Observer {
    /// A target is not eligible.
    fn on_excluded(&self, _node: &NodeId, _why: Exclusion) {}

    /// A target was sampled and is compared with others.
    fn on_sampled(&self, _node: &NodeId) {}
}

impl Observer for () {}

impl Target {
    /// Why the target is not eligible for any request; `allowed` says whether a rollout allows it.
    pub(super) fn exclusion<F>(&self, allowed: F) -> Option<Exclusion>
    where
        F: FnOnce(&TargetInfo) -> bool,
    {
        match &self.info {
            info if !info.ready => Some(Exclusion::NotReady),
            info if !info.reachable => Some(Exclusion::Unreachable),
            _ if self.leaving => Some(Exclusion::Leaving),
            info if !allowed(info) => Some(Exclusion::Rollout),
            _ => None,
        }
    }
}
