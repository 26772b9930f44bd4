//! Configuration distribution and request routing for a service mesh.
//!
//! Modules are divided by how long their state lives: `request`, `connection`, `version` and `process` hold the state
//! of a request, a connection, a configuration version and the process. `sidecar` is the node that runs beside a target
//! that only it can reach, and `platform` holds the interfaces to the users' platform.

pub mod cmd;
pub mod connection;
pub mod devsite;
pub mod digest;
pub mod findings;
pub mod key;
pub mod load;
pub mod logging;
pub mod platform;
pub mod prelude;
pub mod process;
pub mod request;
pub mod settings;
pub mod sidecar;
pub mod store;
pub mod strict_toml;
pub mod version;
