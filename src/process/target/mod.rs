//! The backend server beside the node, and requests that crash it.

pub mod backend;
pub mod monitor;
pub mod quarantine;
