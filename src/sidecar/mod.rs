//! Sidecar node: runs on the VM of a target and is the only process that can reach the target.
//!
//! Modules by the lifetime of their state:
//!
//! - request: [`entry`] (route, retries), [`attempt`] (choice of a target, result), [`admit`] (slot, exchange with the
//!   target)
//! - connection: [`link`], `dial`, `liveness`, [`relay`], [`transit`] and [`frame`] (between nodes), [`pool`] and `metered` (to the target)
//! - version: [`routes`]
//! - process: policies without I/O ([`queue`], [`rate_limit`], [`placement`], `candidates`, [`service_times`], [`members`], [`target`],
//!   [`budget`], [`split`], [`fairness`], [`watchers`],
//!   [`distribution`], [`patch`]), the modules that run them ([`slots`],
//!   [`discovery`], [`config`], [`config_server`], [`control`], `retries`, `target_change`), and [`node`], [`settings`], [`start`],
//!   [`admin`], [`metrics`], [`sample`]
//!
//! [`adapter`] translates the names and formats of a platform.

pub mod adapter;
pub mod admin;
pub mod admit;
pub mod attempt;
pub mod budget;
mod candidates;
pub mod config;
pub mod config_server;
pub mod control;
mod dial;
pub mod discovery;
pub mod distribution;
pub mod entry;
pub mod fairness;
pub mod frame;
pub mod link;
mod liveness;
pub mod members;
mod metered;
pub mod metrics;
pub mod node;
pub mod patch;
pub mod placement;
pub mod pool;
pub mod queue;
pub mod rate_limit;
pub mod relay;
mod retries;
pub mod routes;
pub mod sample;
pub mod service_times;
pub mod settings;
pub mod slots;
pub mod split;
pub mod start;
pub mod target;
mod target_change;
pub mod transit;
pub mod watchers;
