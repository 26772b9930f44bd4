//! Configuration distribution and request routing for a service mesh.
//!
//! Folders follow life span: `request`, `connection`, `version` and `process` own the state that lives that long.
//! `sidecar` is the node beside a target that only it can reach, and `platform` the border to the users' platform.

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
pub mod strict;
pub mod version;
