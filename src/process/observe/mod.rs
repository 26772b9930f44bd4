//! Metrics, the admin API and observations of targets.

pub mod admin;
pub mod metrics;
pub(in crate::process) mod observed_target;
pub mod sample;
