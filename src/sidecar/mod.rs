//! Sidecar node: runs on the VM of a target and is the only process that can reach the target.
//!
//! Its folders are named after what their state lives for:
//!
//! - [`request`]: route, attempts, slot and exchange with the target
//! - [`connection`]: links between nodes, and connections to the target
//! - [`version`]: the configuration, and how it reaches the node and is passed on
//! - [`process`]: the target of this node, the other nodes, the choice among targets, and the process itself
//!
//! Policies are without I/O; the modules that run them are beside them. [`adapter`] translates the names and formats of a
//! platform.

pub mod adapter;
pub mod connection;
pub mod process;
pub mod request;
pub mod settings;
pub mod version;
