//! What lives for one version of the configuration: its routes, and its way from the store and between nodes.

pub mod config;
pub mod config_server;
pub mod confirm;
pub mod distribution;
pub mod freshness;
pub mod in_force;
pub mod patch;
pub mod routes;
