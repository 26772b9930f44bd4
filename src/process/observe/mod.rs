//! Metrics and the admin API.

pub mod admin;
pub mod metrics;
pub(in crate::process) mod observed;
pub mod sample;
