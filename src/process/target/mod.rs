//! Local backend server of the node, and quarantine of requests that crash it.

pub mod backend;
pub mod monitor;
pub mod quarantine;
